"""Validation of settings files and request bodies, with one message for each wrong key."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, TypeVar, get_args, get_origin

import msgspec
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Iterator

_Model = TypeVar("_Model", bound=msgspec.Struct)

MISSING: Final = "missing"
"""Message for a required key that is missing."""


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One wrong key."""

    key: str
    """Path of keys and list indices, joined by dots; empty for the whole content."""

    value: Any
    """Value of the key; None if it is missing."""

    message: str
    """Description of the allowed values."""


def check_model(content: Any, model: type[_Model]) -> Result[_Model, list[Fault]]:
    """Validate the content of a file or of a request body.

    Strings are converted to numbers and booleans where needed, as templates write all values as
    strings.

    Args:
        content: Parsed TOML or JSON.
        model: Model to convert it to.

    Returns:
        The model instance, or all faults.
    """
    try:
        return Success(_convert(content, model))
    except msgspec.ValidationError as error:
        faults = list(_find_faults(content, model, ""))
        return Failure(faults or [Fault(key="", value=None, message=str(error))])


def _convert(value: Any, annotation: Any) -> Any:
    return msgspec.convert(value, annotation, strict=False, dec_hook=_decode_path)


def _decode_path(annotation: type, value: Any) -> Any:
    if annotation is Path and isinstance(value, str):
        return Path(value)
    raise msgspec.ValidationError(f"Expected `{annotation.__name__}`")


def _find_faults(value: Any, annotation: Any, key: str) -> Iterator[Fault]:
    section = section_of(annotation)
    if section is not None and isinstance(value, dict):
        yield from _find_section_faults(value, section, key)
        return
    if section is not None and isinstance(value, list):
        faults = [
            fault
            for position, item in enumerate(value)
            for fault in _find_faults(item, section, _join(key, str(position)))
        ]
        if faults:
            yield from faults
            return
    try:
        _convert(value, annotation)
    except msgspec.ValidationError as error:
        yield Fault(key=key, value=value, message=str(error).partition(" - at ")[0])


def _find_section_faults(
    value: dict[str, Any], section: type[msgspec.Struct], key: str
) -> Iterator[Fault]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(section)}
    for name, field in fields.items():
        if name in value:
            yield from _find_faults(value[name], field.type, _join(key, name))
        elif field.required:
            yield Fault(key=_join(key, name), value=None, message=MISSING)
    if not section.__struct_config__.forbid_unknown_fields:
        return
    for name in value:
        if name not in fields:
            yield Fault(key=_join(key, name), value=value[name], message="unknown key")


def section_of(annotation: Any) -> type[msgspec.Struct] | None:
    """Return the section type of a key or of its list items, or None if the key has a value."""
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return annotation
    if get_origin(annotation) is None:
        return None
    sections = (section_of(part) for part in get_args(annotation))
    return next((section for section in sections if section is not None), None)


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name
