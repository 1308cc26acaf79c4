"""The `config` commands: apply, show, history and validate."""

from __future__ import annotations

import json
import secrets
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import msgspec
from returns.result import Failure, Result, Success

from ..model import Configuration, Problem, ResultCode, apply_objects, find_problems
from ..routing.policy import validate_policies
from .change_file import read_change
from .operator_client import OperatorClient, call

if TYPE_CHECKING:
    from ..model import ChangeDocument

POLL_INTERVAL_SECONDS: Final = 0.2


def apply_file(
    client: OperatorClient, path: Path, *, change_id: str, base_version: int, wait_seconds: float
) -> Result[dict[str, Any], Problem]:
    """Submit a change file.

    Args:
        client: Client for the control boxes.
        path: The file.
        change_id: Id of the change; empty for a new one. Resubmitting under the same id is safe.
        base_version: Version that the change is based on; negative for the current one.
        wait_seconds: Maximum time to wait until the change is in force on every box; 0 to not wait.

    Returns:
        The answer of the leader and, if waited, the boxes that have the change; or the problem.
    """
    if base_version < 0:
        current = call(client, "GET", "/v1/status")
        if isinstance(current, Failure):
            return current
        base_version = int(current.unwrap()["version"])
    change = read_change(
        path, change_id=change_id or secrets.token_hex(12), base_version=base_version
    )
    return change.bind(lambda document: _submit(client, document, wait_seconds))


def _submit(
    client: OperatorClient, change: ChangeDocument, wait_seconds: float
) -> Result[dict[str, Any], Problem]:
    print(f"change id {change.change_id}", file=sys.stderr)
    outcome = call(client, "POST", "/v1/changes", msgspec.json.encode(change))
    if isinstance(outcome, Failure) or not wait_seconds:
        return outcome
    answer = outcome.unwrap()
    return Success(answer | wait_until_in_force(client, int(answer["version"]), wait_seconds))


def wait_until_in_force(client: OperatorClient, version: int, seconds: float) -> dict[str, Any]:
    """Wait until every connected box has a version in force.

    Args:
        client: Client for the control boxes.
        version: The version.
        seconds: Timeout.

    Returns:
        The time waited, the boxes with the version in force, and those without confirmation.
    """
    started = time.monotonic()
    while True:
        status = call(client, "GET", "/v1/status")
        boxes = status.unwrap()["boxes"] if isinstance(status, Success) else {}
        outdated = sorted(name for name, box in boxes.items() if box["version"] < version)
        waited = time.monotonic() - started
        if (boxes and not outdated) or waited > seconds:
            return {
                "waited_seconds": round(waited, 3),
                "in_force": sorted(set(boxes) - set(outdated)),
                "not_confirmed": outdated,
            }
        time.sleep(POLL_INTERVAL_SECONDS)


def validate_file(path: Path) -> Result[dict[str, Any], Problem]:
    """Validate a change file against an empty configuration, without a server."""
    return read_change(path, change_id="validation", base_version=0).bind(_validate)


def _validate(change: ChangeDocument) -> Result[dict[str, Any], Problem]:
    configuration = apply_objects(Configuration(), change.put, change.remove)
    problems = find_problems(configuration)
    if problems:
        return Failure(Problem(code=ResultCode.CHANGE_INVALID, detail="\n".join(problems)))
    policy_problems = validate_policies(configuration)
    if policy_problems:
        detail = "\n".join(problem.detail for problem in policy_problems)
        return Failure(Problem(code=ResultCode.POLICY_INVALID, detail=detail))
    return Success({"valid": True})


def show(client: OperatorClient) -> Result[dict[str, Any], Problem]:
    """Fetch the configuration."""
    return call(client, "GET", "/v1/configuration")


def history(client: OperatorClient) -> Result[dict[str, Any], Problem]:
    """Fetch the accepted changes."""
    answer = call(client, "GET", "/v1/audit")
    if isinstance(answer, Failure):
        return answer
    accepted = [
        entry for entry in answer.unwrap()["entries"] if entry["code"] == int(ResultCode.OK)
    ]
    return Success({"entries": accepted})


def print_json(value: dict[str, Any]) -> None:
    """Print an answer as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))
