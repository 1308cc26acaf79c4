"""The control daemon of boxes that find each other: upstreams register here, operators publish."""

from __future__ import annotations

from .main import run_registry

__all__ = ["run_registry"]
