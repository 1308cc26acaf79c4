"""Socket options that make a silent peer noticed."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import SocketStream

UNACKNOWLEDGED_MILLISECONDS: Final = 3000
"""Sent bytes that nobody acknowledged for this long end a connection. The platform gives a box that
is cut off 3 s and one retransmission to notice it."""

KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 3
"""Probes of an idle connection. Linux lets TCP_USER_TIMEOUT decide when they have failed (tcp(7)),
so an idle connection to a box without power ends about 3 s after the last byte, and the number of
probes counts only where that option is not known."""


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
