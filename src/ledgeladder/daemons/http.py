"""HTTP server with hypercorn, client for upstreams, and JSON responses for problems."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Any, Final

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.responses import JSONResponse

from ..links.tcp import bind_tcp
from ..model import EXECUTION_HEADER, Problem, ResultCode

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Message, Receive, Scope, Send

CODE_HEADER: Final = "Ledgeladder-Code"
"""Header with the numbered result code."""

HEADER_LIMIT_BYTES: Final = 32 * 1024
"""Longest accepted request head."""

CONNECT_TIMEOUT_SECONDS: Final = 0.5
"""Timeout for connecting to an upstream."""

KEEP_ALIVE_SECONDS: Final = 15.0
"""How long an idle connection to an upstream is kept."""

RECEIVE_BUFFER_BYTES: Final = 16 * 1024
"""Receive buffer of a connection of this server, which reads ahead of the application. The kernel
doubles it. The account does not see what was read ahead, so that each connection has little."""

QUEUED_EVENTS: Final = 2
"""Parts of a body that the server reads ahead of the application."""

GRACE_SECONDS: Final = 5.0
"""How long hypercorn waits for open connections during shutdown."""


class _UpstreamTransport(httpx.AsyncHTTPTransport):
    """Transport that reports a connection as lost whenever it was reset."""

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        try:
            return await super().handle_async_request(request)
        except AttributeError as error:
            # The library asks the transport for its socket, which is gone after a reset.
            raise httpx.ReadError(f"connection reset: {error}", request=request) from error


def upstream_client(source_address: str | None) -> httpx.AsyncClient:
    """Build the HTTP client for upstreams, without a read timeout: callers monitor progress.

    Args:
        source_address: Source IP address; None lets the system choose.

    Returns:
        The client.
    """
    limits = httpx.Limits(
        max_connections=None, max_keepalive_connections=200, keepalive_expiry=KEEP_ALIVE_SECONDS
    )
    # Upstreams use plain HTTP; loading certificates would cost startup time and memory.
    transport = _UpstreamTransport(
        verify=False, limits=limits, local_address=source_address, trust_env=False
    )
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS)
    return httpx.AsyncClient(timeout=timeout, transport=transport, trust_env=False)


def problem_headers(problem: Problem) -> dict[str, str]:
    """Return the response headers for a problem."""
    headers = {
        CODE_HEADER: str(int(problem.code)),
        EXECUTION_HEADER: problem.known_execution.value,
    }
    if problem.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after)))
    return headers


def problem_body(problem: Problem) -> dict[str, Any]:
    """Return the JSON body for a problem."""
    return {
        "error": {
            "code": int(problem.code),
            "type": problem.code.name.lower(),
            "execution": problem.known_execution.value,
            "message": problem.detail,
            "retry_after": problem.retry_after,
        }
    }


def problem_response(problem: Problem, *, extra: dict[str, Any] | None = None) -> JSONResponse:
    """Build the response for a problem.

    Args:
        problem: The problem.
        extra: Additional keys of the body.

    Returns:
        The response.
    """
    body = problem_body(problem) | (extra or {})
    return JSONResponse(body, status_code=problem.status, headers=problem_headers(problem))


async def not_found(request: object, error: Exception) -> JSONResponse:
    """Handle unknown paths, as a Starlette exception handler."""
    return problem_response(Problem(code=ResultCode.NOT_FOUND, detail="no such page"))


async def serve_http(
    app: ASGIApp,
    address: str,
    stop: anyio.Event,
    *,
    grace_seconds: float = GRACE_SECONDS,
) -> None:
    """Serve an ASGI application until stopped.

    Args:
        app: The application.
        address: `host:port` to listen on.
        stop: Set to start the shutdown.
        grace_seconds: How long to wait for open connections during shutdown.

    Raises:
        OSError: If listening on the address fails.
    """
    config = Config()
    # Hypercorn would leave tasks behind if listening failed after its start.
    config.bind = [f"fd://{bind_tcp(address, RECEIVE_BUFFER_BYTES).detach()}"]
    config.max_app_queue_size = QUEUED_EVENTS
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.graceful_timeout = grace_seconds
    config.shutdown_timeout = grace_seconds
    config.h11_max_incomplete_size = HEADER_LIMIT_BYTES
    config.include_server_header = False
    # The two packages describe the same messages with different types.
    served: Any = _drop_unread_body(app)
    await serve(served, config, shutdown_trigger=stop.wait)


def _drop_unread_body(app: ASGIApp) -> ASGIApp:
    """Return an application that reads and drops the rest of a body while its answer ends.

    Hypercorn reports the end of an answer through the bounded queue that holds the body. It waits
    for room there, for ever if nobody reads it.
    """

    async def run(scope: Scope, receive: Receive, send: Send) -> None:
        async def drop() -> None:
            while True:
                await receive()

        async def send_and_drop(message: Message) -> None:
            if message["type"] != "http.response.body" or message.get("more_body"):
                await send(message)
                return
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(drop)
                await send(message)
                tasks.cancel_scope.cancel()

        await app(scope, receive, send_and_drop)

    return run
