"""The settings page of the documentation matches the models."""

from __future__ import annotations

from pathlib import Path

from ledgeladder.settings.reference import reference_page

PAGE = Path(__file__).resolve().parent.parent.parent / "docs" / "reference" / "settings.md"


def test_page_is_current() -> None:
    assert PAGE.read_text(encoding="utf-8") == reference_page()
