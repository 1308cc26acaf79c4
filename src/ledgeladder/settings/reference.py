"""Generates the reference page of the settings from their models."""

from __future__ import annotations

import ast
import inspect
import textwrap
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import msgspec

from ..model.validation import section_of
from .discovered import GatewaySettings, RegistrySettings
from .models import ControlSettings, EntrySettings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from msgspec.structs import FieldInfo

PAGE_HEAD: Final = """# Settings

TOML files, one a process. `ledgeladder settings check FILE` checks one, `ledgeladder settings
reference` prints this page. Commented examples: [entry.toml](../examples/entry.toml),
[control.toml](../examples/control.toml).
"""


PROCESSES: Final[tuple[tuple[str, type[msgspec.Struct]], ...]] = (
    ("Entry", EntrySettings),
    ("Control", ControlSettings),
    ("Gateway", GatewaySettings),
    ("Registry", RegistrySettings),
)
"""Settings models of the processes, in the order of the page."""


def reference_page() -> str:
    """Return the reference page in Markdown."""
    lines = [PAGE_HEAD]
    for title, model in PROCESSES:
        lines.append(f"## {title} process\n")
        lines.append("| Key | Allowed | Default | Meaning |")
        lines.append("| --- | --- | --- | --- |")
        lines.extend(_rows(model, ""))
        lines.append("")
    return "\n".join(lines)


def _rows(model: type[msgspec.Struct], prefix: str) -> Iterator[str]:
    _schemas, parts = msgspec.json.schema_components([model], schema_hook=_path_schema)
    properties = parts[model.__name__]["properties"]
    meanings = _meanings(model)
    for field in msgspec.structs.fields(model):
        section = section_of(field.type)
        if section is not None:
            yield from _rows(section, f"{prefix}{field.name}.")
            continue
        allowed = _allowed(properties[field.name])
        default = "required" if field.required else f"`{_default(field)}`"
        yield f"| `{prefix}{field.name}` | {allowed} | {default} | {meanings[field.name]} |"


def _meanings(model: type[msgspec.Struct]) -> dict[str, str]:
    """Return the docstring below each field of a section.

    They are parsed from the source. Keeping them in the models would slow down the start of every
    process.
    """
    meanings = {}
    for base in reversed(model.__mro__):
        if not issubclass(base, msgspec.Struct) or base is msgspec.Struct:
            continue
        body = ast.parse(textwrap.dedent(inspect.getsource(base))).body[0]
        assert isinstance(body, ast.ClassDef)
        for item, below in zip(body.body, body.body[1:], strict=False):
            match item, below:
                case (
                    ast.AnnAssign(target=ast.Name(id=name)),
                    ast.Expr(value=ast.Constant(value=str(text))),
                ):
                    meanings[name] = " ".join(text.split())
    return meanings


def _path_schema(annotation: type) -> dict[str, Any]:
    assert annotation is Path
    return {"type": "string"}


def _default(field: FieldInfo) -> str:
    return "not set" if field.default is None else str(field.default)


def _allowed(schema: dict[str, Any]) -> str:
    options = [part for part in schema.get("anyOf", [schema]) if part.get("type") != "null"]
    part = options[0]
    if "enum" in part:
        return ", ".join(f"`{value}`" for value in part["enum"])
    words = [str(part.get("type", "text"))]
    for key, text in (("minimum", "from"), ("maximum", "to"), ("minLength", "length from")):
        if key in part:
            words.append(f"{text} {part[key]}")
    if "pattern" in part:
        words.append(f"like `{part['pattern']}`".replace("|", "\\|"))
    return " ".join(words)
