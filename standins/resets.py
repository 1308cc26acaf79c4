"""Connections that are reset right after they are opened."""

from __future__ import annotations

import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Option of SO_LINGER with which closing a connection resets it."""

HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
"""Head of a request that some callers send before they reset their connection."""

CONNECT_SECONDS = 1.0
"""Timeout of opening a connection."""


def reset_connections(address: tuple[str, int], count: int, data: bytes = b"") -> bool:
    """Open connections and reset each of them at once.

    Args:
        address: Host and port.
        count: Number of connections.
        data: Sent before the reset.

    Returns:
        False if one could not be opened.
    """
    for _ in range(count):
        with socket.socket() as caller:
            caller.settimeout(CONNECT_SECONDS)
            try:
                caller.connect(address)
                caller.sendall(data)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            except OSError:
                return False
    return True
