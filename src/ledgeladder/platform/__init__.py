"""Adapter for the users' platform: its names, formats and calls, without routing decisions."""

from __future__ import annotations
