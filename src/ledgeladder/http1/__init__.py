"""HTTP/1.1 over anyio streams with h11, where every byte that passes through must stay as it is."""

from __future__ import annotations

from .client import (
    AnswerBrokenError,
    ConnectError,
    ConnectionPool,
    UpstreamConnection,
    connect,
    read_head,
    read_part,
    send_request,
)
from .server import Exchange, HttpRequest, HttpSite, serve_http1
from .sockets import tune_socket
from .wishes import RestAskedError, raise_for_rest, read_rate, read_rest

__all__ = [
    "AnswerBrokenError",
    "ConnectError",
    "ConnectionPool",
    "Exchange",
    "HttpRequest",
    "HttpSite",
    "RestAskedError",
    "UpstreamConnection",
    "connect",
    "raise_for_rest",
    "read_head",
    "read_part",
    "read_rate",
    "read_rest",
    "send_request",
    "serve_http1",
    "tune_socket",
]
