"""The entry daemon."""

from __future__ import annotations

from .main import run_entry

__all__ = ["run_entry"]
