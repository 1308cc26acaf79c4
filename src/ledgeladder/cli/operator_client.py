"""Client for the operator API of the control boxes."""

from __future__ import annotations

import time
from typing import Any, Final

import httpx
import msgspec
from returns.result import Failure, Result, Success

from ..model import Problem, ResultCode

CALL_TIMEOUT_SECONDS: Final = 8.0
RETRY_DELAY_SECONDS: Final = 0.2

RETRYABLE_CODES: Final = (
    ResultCode.NOT_LEADER,
    ResultCode.NO_QUORUM,
    ResultCode.CHANGE_UNKNOWN,
)
"""Codes after which the call is retried, possibly at another box."""


class OperatorClient(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the control boxes and credentials of the operator."""

    addresses: tuple[str, ...]
    """Operator addresses of the control boxes."""

    token: str
    """The operator's token."""

    timeout_seconds: float = 15.0
    """Maximum time for a call, over all boxes."""


def call(
    client: OperatorClient, method: str, path: str, body: bytes | None = None
) -> Result[dict[str, Any], Problem]:
    """Call the leader, which is found by trying all boxes and following redirect hints.

    Retries of changes are safe, as changes are identified by an id.

    Args:
        client: Addresses and credentials.
        method: HTTP method.
        path: Path of the call.
        body: JSON body.

    Returns:
        The decoded JSON answer, or the problem.
    """
    deadline = time.monotonic() + client.timeout_seconds
    remaining = list(client.addresses)
    problem = Problem(code=ResultCode.NO_QUORUM, detail="no control box answered")
    while time.monotonic() < deadline:
        if not remaining:
            remaining = list(client.addresses)
            time.sleep(RETRY_DELAY_SECONDS)
        address = remaining.pop(0)
        answer = _call_one(client, address, method, path, body)
        if answer is None:
            continue
        if "error" not in answer:
            return Success(answer)
        problem = _decode_problem(answer)
        if problem.code not in RETRYABLE_CODES:
            return Failure(problem)
        hint = answer.get("leader")
        if hint and hint != address:
            remaining.insert(0, hint)
            time.sleep(RETRY_DELAY_SECONDS / 4)
    return Failure(problem)


def _call_one(
    client: OperatorClient, address: str, method: str, path: str, body: bytes | None
) -> dict[str, Any] | None:
    headers = {"authorization": f"Bearer {client.token}", "content-type": "application/json"}
    url = f"http://{address}{path}"
    try:
        response = httpx.request(
            method,
            url,
            content=body,
            headers=headers,
            timeout=CALL_TIMEOUT_SECONDS,
            trust_env=False,
            verify=False,
        )
        content = response.json()
    except (httpx.HTTPError, ValueError):
        return None
    return content if isinstance(content, dict) else None


def _decode_problem(answer: dict[str, Any]) -> Problem:
    error = answer["error"]
    detail = str(error.get("message", ""))
    if "version" in answer:
        detail = f"{detail} (version in force: {answer['version']})"
    return Problem(code=ResultCode(int(error["code"])), detail=detail)
