"""Answers with problems, for daemons that forward requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model import CODE_TABLE, EXECUTION_HEADER, Execution, Problem

if TYPE_CHECKING:
    from ..http1 import Exchange

CODE_FIELD: Final = b"Ledgeladder-Code"

DEFAULT_RETRY_AFTER_SECONDS: Final = 0.25
"""Retry delay for a rejection that states none. It is half of the time within which a first event
is expected, so a retry can still be in time."""

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request has not run and will not run."""


async def write_problem(exchange: Exchange, problem: Problem) -> None:
    """Answer with a problem.

    Args:
        exchange: Exchange on which nothing has been sent yet.
        problem: The problem.

    Raises:
        AssertionError: If the status guarantees that the request has not run but the code does
            not.
    """
    headers = [
        (b"Content-Type", b"application/json"),
        (CODE_FIELD, str(int(problem.code)).encode()),
        (EXECUTION_HEADER.encode(), problem.known_execution.value.encode()),
    ]
    if problem.status in NOT_RUN_STATUSES:
        assert problem.known_execution is Execution.NOT_RUN
        seconds = problem.retry_after or DEFAULT_RETRY_AFTER_SECONDS
        headers.append((b"Retry-After", f"{seconds:.3f}".encode()))
    body = {
        "error": {
            "code": int(problem.code),
            "type": problem.code.name.lower(),
            "meaning": CODE_TABLE[problem.code].meaning,
            "detail": problem.detail,
        }
    }
    await exchange.answer(problem.status, headers, msgspec.json.encode(body))
