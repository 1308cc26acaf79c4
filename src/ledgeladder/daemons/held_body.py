"""Reads request bodies of the own interface, whose sum the account of the process bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio
from starlette.requests import ClientDisconnect

from ..http1.crowding import IncomingBody, RequestBytes
from ..model import Problem, ProblemError, ResultCode

if TYPE_CHECKING:
    from starlette.requests import Request

BODY_TIMEOUT_SECONDS: Final = 15.0
"""Time for receiving the body of a request, besides that for its size."""

RETRY_AFTER_SECONDS: Final = 1.0
"""Retry delay of a request without room; the least that the header states."""


async def read_held_body(request: Request, held: RequestBytes, *, limit_bytes: int) -> bytes:
    """Read a request body, limited in size and time.

    Args:
        request: The request.
        held: What the account has for it. The caller releases it once the request is answered.
        limit_bytes: Longest body.

    Returns:
        The body, which then does not make way for others.

    Raises:
        ProblemError: With code BODY_TOO_LARGE, MEMORY_FULL if the process has no room for it, or
            MALFORMED_REQUEST if it is incomplete.
    """
    length = request.headers.get("content-length", "0")
    body = IncomingBody(announced=int(length) if length.isdecimal() else 0)
    try:
        with (
            anyio.fail_after(body.whole_seconds(BODY_TIMEOUT_SECONDS)) as timeout,
            anyio.CancelScope() as reading,
        ):
            began_at = anyio.current_time()
            held.close = reading.cancel
            _require_room(body, held, limit_bytes)
            async for chunk in request.stream():
                body.add(chunk)
                _require_room(body, held, limit_bytes)
                timeout.deadline = began_at + body.whole_seconds(BODY_TIMEOUT_SECONDS)
            held.pin()
    except (TimeoutError, ClientDisconnect) as error:
        detail = f"the body did not arrive within {body.whole_seconds(BODY_TIMEOUT_SECONDS):g} s"
        raise _refusal(ResultCode.MALFORMED_REQUEST, detail) from error
    if reading.cancelled_caught:
        raise _refusal(ResultCode.MEMORY_FULL, f"made way for others after {body.size} bytes")
    return body.join()


def _require_room(body: IncomingBody, held: RequestBytes, limit_bytes: int) -> None:
    size = max(body.size, body.announced)
    if size > limit_bytes:
        raise _refusal(ResultCode.BODY_TOO_LARGE, f"the body exceeds {limit_bytes} bytes")
    if size and not held.hold(size):
        raise _refusal(ResultCode.MEMORY_FULL, f"no memory for {size} bytes")


def _refusal(code: ResultCode, detail: str) -> ProblemError:
    retry_after = RETRY_AFTER_SECONDS if code is ResultCode.MEMORY_FULL else None
    return ProblemError(Problem(code=code, detail=detail, retry_after=retry_after))
