"""Reading and checking a settings file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from ..model import Problem, ResultCode
from .discovered import GatewaySettings, RegistrySettings
from .models import ControlSettings, EntrySettings

if TYPE_CHECKING:
    from pathlib import Path

    from pydantic_core import ErrorDetails

_Settings = TypeVar("_Settings", bound=BaseModel)


def _problem(detail: str) -> Problem:
    return Problem(code=ResultCode.SETTINGS_INVALID, detail=detail)


def _describe(path: Path, error: ErrorDetails) -> str:
    key = ".".join(str(part) for part in error["loc"])
    value = error["input"]
    if error["type"] == "missing":
        return f"{path}: {key}: missing"
    if "secret" in key:
        value = "(not shown)"
    return f"{path}: {key} = {value!r}: {error['msg']}"


def read_toml(path: Path) -> Result[dict[str, Any], Problem]:
    """Read a TOML file.

    Args:
        path: The file.

    Returns:
        Its content, or a problem that names the file and the place.
    """
    try:
        return Success(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(_problem(f"{path}: {error}"))


def check_settings(
    path: Path, content: dict[str, Any], model: type[_Settings]
) -> Result[_Settings, Problem]:
    """Check the content of a settings file.

    Args:
        path: The file, for messages.
        content: Its content.
        model: The settings that it must hold.

    Returns:
        The settings, or a problem that names each wrong key, its value and what is allowed.
    """
    try:
        return Success(model.model_validate(content))
    except ValidationError as error:
        lines = [_describe(path, detail) for detail in error.errors()]
        return Failure(_problem("\n".join(lines)))


def load_entry_settings(path: Path) -> Result[EntrySettings, Problem]:
    """Load the settings of an entry process."""
    return read_toml(path).bind(lambda content: check_settings(path, content, EntrySettings))


def load_control_settings(path: Path) -> Result[ControlSettings, Problem]:
    """Load the settings of a control process."""
    return read_toml(path).bind(lambda content: check_settings(path, content, ControlSettings))


def load_gateway_settings(path: Path) -> Result[GatewaySettings, Problem]:
    """Load the settings of a gateway process."""
    return read_toml(path).bind(lambda content: check_settings(path, content, GatewaySettings))


def load_registry_settings(path: Path) -> Result[RegistrySettings, Problem]:
    """Load the settings of a registry process."""
    return read_toml(path).bind(lambda content: check_settings(path, content, RegistrySettings))
