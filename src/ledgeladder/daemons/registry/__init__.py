"""The control daemon of clusters with discovery: registers upstreams and publishes documents."""

from __future__ import annotations

from .main import run_registry

__all__ = ["run_registry"]
