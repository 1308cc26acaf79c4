"""Socket options that detect unreachable peers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import SocketStream

USER_TIMEOUT_MILLISECONDS: Final = 3000
"""How long sent bytes may stay unacknowledged before the connection is closed. The platform allows
an isolated box 3 s and one retransmission to detect it."""

KEEPALIVE_IDLE_SECONDS: Final = 2
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 3
"""Number of unanswered probes after which an idle connection is closed. Where TCP_USER_TIMEOUT is
supported, it overrides this number (tcp(7)), and a connection to a machine without power ends by
that time."""


def tune_socket(stream: SocketStream) -> None:
    """Set timeouts on a connection, so that an unreachable peer does not keep it open for minutes.

    Args:
        stream: The connection.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
