"""The table of result codes in the documentation matches the code."""

from __future__ import annotations

from pathlib import Path

from ledgeladder.model import CODE_TABLE, ResultCode

PAGE = Path(__file__).resolve().parent.parent.parent / "docs" / "reference" / "codes.md"


def test_every_code_has_an_entry() -> None:
    assert set(CODE_TABLE) == set(ResultCode)


def test_documentation_matches_every_entry() -> None:
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    rows = [line for line in lines if line.startswith("| ") and line[2].isdigit()]
    expected = [
        f"| {int(code)} | `{code.name}` | {entry.status} | {entry.execution.value} "
        f"| {entry.meaning} |"
        for code, entry in CODE_TABLE.items()
    ]
    assert rows == expected
