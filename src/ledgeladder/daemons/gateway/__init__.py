"""The gateway daemon, which forwards HTTP requests to registered upstreams."""

from __future__ import annotations

from .main import run_gateway

__all__ = ["run_gateway"]
