"""Links between the processes of the system: msgpack frames over TCP."""

from __future__ import annotations

from .accepting import AcceptQueue, accept_connections
from .endpoint import keep_link, open_link, serve_links
from .link import (
    Link,
    LinkIdentity,
    accept_handshake,
    initiate_handshake,
    post_to_all,
)
from .tcp import connect_tcp, is_port_closed, listen_tcp, socket_of, split_address, wrap_socket

__all__ = [
    "AcceptQueue",
    "Link",
    "LinkIdentity",
    "accept_connections",
    "accept_handshake",
    "connect_tcp",
    "initiate_handshake",
    "keep_link",
    "listen_tcp",
    "is_port_closed",
    "open_link",
    "post_to_all",
    "serve_links",
    "socket_of",
    "split_address",
    "wrap_socket",
]
