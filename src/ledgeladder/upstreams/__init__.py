"""Ports to everything outside: engines, plain services, the platform."""

from __future__ import annotations
