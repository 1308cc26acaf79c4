"""Socket options that make a silent peer noticed."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import SocketStream

UNACKNOWLEDGED_MILLISECONDS: Final = 3000
"""Sent bytes that nobody acknowledged for this long end a connection. Below the 3 s after which
the platform expects a box that is cut off to have noticed, plus one retransmission."""

KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 3
"""An idle connection to a box without power ends after about 5 s."""


def tune_socket(stream: SocketStream) -> None:
    """Set time-outs on a connection, so that a peer behind a cut does not hold it for minutes.

    Args:
        stream: The connection.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
