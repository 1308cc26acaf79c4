"""HTTP/1.1 over anyio streams with h11, which forwards header fields and bodies unchanged."""

from __future__ import annotations

from .backpressure import BackoffRequestedError, raise_for_backoff, read_backoff, read_rate
from .client import (
    AnswerBrokenError,
    AnswerInvalidError,
    ConnectError,
    ConnectionPool,
    UpstreamConnection,
    connect,
    read_head,
    read_part,
    send_request,
    wrap_stream,
)
from .server import Exchange, HttpRequest, HttpSite, serve_http1, serve_listener

__all__ = [
    "AnswerBrokenError",
    "AnswerInvalidError",
    "ConnectError",
    "ConnectionPool",
    "Exchange",
    "HttpRequest",
    "HttpSite",
    "BackoffRequestedError",
    "UpstreamConnection",
    "connect",
    "raise_for_backoff",
    "read_head",
    "read_part",
    "read_rate",
    "read_backoff",
    "send_request",
    "serve_http1",
    "serve_listener",
    "wrap_stream",
]
