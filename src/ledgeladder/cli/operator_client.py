"""Talking to the control boxes as an operator."""

from __future__ import annotations

import time
from typing import Any, Final

import httpx
import msgspec
from returns.result import Failure, Result, Success

from ..model import Problem, ResultCode

CALL_SECONDS: Final = 8.0
RETRY_SECONDS: Final = 0.2

UNANSWERED: Final = (
    ResultCode.NOT_LEADER,
    ResultCode.NO_QUORUM,
    ResultCode.CHANGE_UNKNOWN,
)
"""Codes after which the same call is sent again, perhaps to another box."""


class OperatorClient(msgspec.Struct, frozen=True, kw_only=True):
    """Where the control boxes are and who asks."""

    addresses: tuple[str, ...]
    """Operator addresses of the control boxes."""

    token: str
    """The operator's token."""

    seconds: float = 15.0
    """How long a call is tried over all boxes."""


def call(
    client: OperatorClient, method: str, path: str, body: bytes | None = None
) -> Result[dict[str, Any], Problem]:
    """Call the leader, finding it by trying boxes and following hints.

    Sending a change twice is safe: it carries an id.

    Args:
        client: Where to call.
        method: HTTP method.
        path: Path of the call.
        body: JSON body.

    Returns:
        The JSON answer, or the problem.
    """
    deadline = time.monotonic() + client.seconds
    waiting = list(client.addresses)
    problem = Problem(code=ResultCode.NO_QUORUM, detail="no control box answered")
    while time.monotonic() < deadline:
        if not waiting:
            waiting = list(client.addresses)
            time.sleep(RETRY_SECONDS)
        address = waiting.pop(0)
        answer = _call_one(client, address, method, path, body)
        if answer is None:
            continue
        if "error" not in answer:
            return Success(answer)
        problem = _problem_of(answer)
        if problem.code not in UNANSWERED:
            return Failure(problem)
        hint = answer.get("leader")
        if hint and hint != address:
            waiting.insert(0, hint)
            time.sleep(RETRY_SECONDS / 4)
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
            timeout=CALL_SECONDS,
            trust_env=False,
            verify=False,
        )
        content = response.json()
    except (httpx.HTTPError, ValueError):
        return None
    return content if isinstance(content, dict) else None


def _problem_of(answer: dict[str, Any]) -> Problem:
    error = answer["error"]
    detail = str(error.get("message", ""))
    if "version" in answer:
        detail = f"{detail} (version in force: {answer['version']})"
    return Problem(code=ResultCode(int(error["code"])), detail=detail)
