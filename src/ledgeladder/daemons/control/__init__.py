"""The control daemon."""

from __future__ import annotations

from .main import format_folder, run_control

__all__ = ["format_folder", "run_control"]
