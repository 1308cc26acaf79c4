"""Loads and validates settings files."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ..model import Problem, ResultCode
from ..model.validation import MISSING, check_model
from .discovered import GatewaySettings, RegistrySettings
from .models import ControlSettings, EntrySettings

if TYPE_CHECKING:
    from pathlib import Path

    from ..model.validation import Fault

_Settings = TypeVar("_Settings", bound=msgspec.Struct)


def _problem(detail: str) -> Problem:
    return Problem(code=ResultCode.SETTINGS_INVALID, detail=detail)


def _describe(path: Path, fault: Fault) -> str:
    if fault.message == MISSING:
        return f"{path}: {fault.key}: {MISSING}"
    value = "(not shown)" if "secret" in fault.key else fault.value
    return f"{path}: {fault.key} = {value!r}: {fault.message}"


def read_toml(path: Path) -> Result[dict[str, Any], Problem]:
    """Read a TOML file.

    Args:
        path: The file.

    Returns:
        Its content, or a problem with the file and the position of the error.
    """
    try:
        return Success(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(_problem(f"{path}: {error}"))


def check_settings(
    path: Path, content: dict[str, Any], model: type[_Settings]
) -> Result[_Settings, Problem]:
    """Validate the content of a settings file.

    Args:
        path: The file, for error messages.
        content: Its content.
        model: Model to convert it to.

    Returns:
        The settings, or a problem with each wrong key, its value and the allowed values.
    """
    return check_model(content, model).alt(
        lambda faults: _problem("\n".join(_describe(path, fault) for fault in faults))
    )


def drop_empty(content: Any) -> Any:
    """Remove empty values, at any depth.

    Templates write an empty string where they have no value; the key then counts as missing.

    >>> drop_empty({"a": "", "b": {"c": None, "d": 0}})
    {'b': {'d': 0}}
    """
    if not isinstance(content, dict):
        return content
    return {key: drop_empty(value) for key, value in content.items() if value not in ("", None)}


def load_entry_settings(path: Path) -> Result[EntrySettings, Problem]:
    """Load the settings of an entry process."""
    return read_toml(path).bind(lambda content: check_settings(path, content, EntrySettings))


def load_control_settings(path: Path) -> Result[ControlSettings, Problem]:
    """Load the settings of a control process."""
    return read_toml(path).bind(lambda content: check_settings(path, content, ControlSettings))


def load_gateway_settings(path: Path) -> Result[GatewaySettings, Problem]:
    """Load the settings of a gateway process."""
    return read_toml(path).bind(
        lambda content: check_settings(path, drop_empty(content), GatewaySettings)
    )


def load_registry_settings(path: Path) -> Result[RegistrySettings, Problem]:
    """Load the settings of a registry process."""
    return read_toml(path).bind(
        lambda content: check_settings(path, drop_empty(content), RegistrySettings)
    )
