"""The entry daemon that forwards HTTP to upstreams that register."""

from __future__ import annotations

from .main import run_gateway

__all__ = ["run_gateway"]
