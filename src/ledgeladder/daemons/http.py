"""Serving HTTP with hypercorn, and the shape in which problems are answered."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Any, Final

import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.responses import JSONResponse

from ..model import EXECUTION_HEADER, Problem, ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import anyio

CODE_HEADER: Final = "Ledgeladder-Code"
"""Header with the numbered result code."""

HEADER_LIMIT_BYTES: Final = 32 * 1024
"""Longest request head."""

CONNECT_SECONDS: Final = 0.5
"""How long connecting to an upstream may take."""

IDLE_SECONDS: Final = 15.0
"""How long an unused connection to an upstream is kept."""

GRACE_SECONDS: Final = 5.0
"""How long hypercorn waits for open connections once it has been told to stop."""


def upstream_client(source_address: str | None) -> httpx.AsyncClient:
    """Build the HTTP client for upstreams, without a read time-out: callers watch progress.

    Args:
        source_address: IP number that connections come from, or None for the system's choice.

    Returns:
        The client.
    """
    limits = httpx.Limits(
        max_connections=None, max_keepalive_connections=200, keepalive_expiry=IDLE_SECONDS
    )
    # Upstreams speak plain HTTP; loading certificates would cost time and memory at the start.
    transport = httpx.AsyncHTTPTransport(
        verify=False, limits=limits, local_address=source_address, trust_env=False
    )
    timeout = httpx.Timeout(None, connect=CONNECT_SECONDS)
    return httpx.AsyncClient(timeout=timeout, transport=transport, trust_env=False)


def problem_headers(problem: Problem) -> dict[str, str]:
    """Return the headers that go with a problem."""
    headers = {
        CODE_HEADER: str(int(problem.code)),
        EXECUTION_HEADER: problem.known_execution.value,
    }
    if problem.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after)))
    return headers


def problem_body(problem: Problem) -> dict[str, Any]:
    """Return the JSON body that describes a problem."""
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
    """Answer with a problem.

    Args:
        problem: The problem.
        extra: Further keys for the body.

    Returns:
        The response.
    """
    body = problem_body(problem) | (extra or {})
    return JSONResponse(body, status_code=problem.status, headers=problem_headers(problem))


async def not_found(request: object, error: Exception) -> JSONResponse:
    """Answer for a page that does not exist, as a Starlette exception handler."""
    return problem_response(Problem(code=ResultCode.NOT_FOUND, detail="no such page"))


async def serve_http(
    app: Callable[..., Awaitable[None]],
    address: str,
    stop: anyio.Event,
    *,
    grace_seconds: float = GRACE_SECONDS,
) -> None:
    """Serve an ASGI application until told to stop.

    Args:
        app: The application.
        address: `host:port` to listen on.
        stop: Set to stop listening.
        grace_seconds: How long open connections are then waited for.
    """
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.graceful_timeout = grace_seconds
    config.shutdown_timeout = grace_seconds
    config.h11_max_incomplete_size = HEADER_LIMIT_BYTES
    config.include_server_header = False
    await serve(app, config, shutdown_trigger=stop.wait)
