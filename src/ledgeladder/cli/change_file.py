"""Change files: configuration objects in TOML."""

from __future__ import annotations

import hashlib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result

from ..model import ChangeDocument, Problem, ResultCode
from ..model.validation import check_model
from ..settings import read_toml

if TYPE_CHECKING:
    from ..model.validation import Fault

OBJECT_KEYS: Final = ("upstreams", "pipelines", "priorities", "accounts", "policies")


def read_change(
    path: Path, *, change_id: str, base_version: int
) -> Result[ChangeDocument, Problem]:
    """Read a change file.

    An account may have `key` instead of `key_sha256`, and a policy may have `source_file`, relative
    to the change file, instead of `source`. Both are resolved here.

    Args:
        path: The file.
        change_id: Id of the change.
        base_version: Version that the change is based on.

    Returns:
        The change, or a problem with all wrong keys.
    """
    return read_toml(path).bind(
        lambda content: _check(path, content, change_id=change_id, base_version=base_version)
    )


def _check(
    path: Path, content: dict[str, Any], *, change_id: str, base_version: int
) -> Result[ChangeDocument, Problem]:
    try:
        document = {
            "change_id": change_id,
            "base_version": base_version,
            "put": {key: content.pop(key) for key in OBJECT_KEYS if key in content},
            **content,
        }
        for account in document["put"].get("accounts", ()):
            _resolve_key(account)
        for policy in document["put"].get("policies", ()):
            _resolve_source(path, policy)
    except (OSError, AttributeError, TypeError) as error:
        return Failure(Problem(code=ResultCode.CHANGE_INVALID, detail=f"{path}: {error}"))
    return check_model(document, ChangeDocument).alt(lambda faults: _problem(path, faults))


def _problem(path: Path, faults: list[Fault]) -> Problem:
    lines = [_describe(path, fault) for fault in faults]
    return Problem(code=ResultCode.CHANGE_INVALID, detail="\n".join(lines))


def _describe(path: Path, fault: Fault) -> str:
    return f"{path}: {fault.key} = {fault.value!r}: {fault.message}"


def _resolve_key(account: dict[str, Any]) -> None:
    key = account.pop("key", None)
    if key is not None:
        account["key_sha256"] = hashlib.sha256(str(key).encode()).hexdigest()


def _resolve_source(path: Path, policy: dict[str, Any]) -> None:
    source_file = policy.pop("source_file", None)
    if source_file is not None:
        policy["source"] = (path.parent / source_file).read_text(encoding="utf-8")
