"""Settings files: models and loading."""

from __future__ import annotations

from .loading import load_control_settings, load_entry_settings, read_toml
from .models import ControlPeer, ControlSettings, EntryPeer, EntrySettings, Operator

__all__ = [
    "ControlPeer",
    "ControlSettings",
    "EntryPeer",
    "EntrySettings",
    "Operator",
    "load_control_settings",
    "load_entry_settings",
    "read_toml",
]
