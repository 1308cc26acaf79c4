"""Allows `python -m ledgeladder`."""

from __future__ import annotations

from .cli.main import run

run()
