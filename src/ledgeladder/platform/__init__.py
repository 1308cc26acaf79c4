"""Binding to the users' platform: its names, formats and calls. Nothing here decides."""

from __future__ import annotations
