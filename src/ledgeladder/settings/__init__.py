"""Settings of the processes: models of the settings files, and functions that load them."""

from __future__ import annotations

from .discovered import DiscoveredBox, DiscoveredCluster, GatewaySettings, RegistrySettings
from .loading import (
    load_control_settings,
    load_entry_settings,
    load_gateway_settings,
    load_registry_settings,
    read_toml,
)
from .models import ControlPeer, ControlSettings, EntryPeer, EntrySettings, Operator

__all__ = [
    "ControlPeer",
    "ControlSettings",
    "DiscoveredBox",
    "DiscoveredCluster",
    "EntryPeer",
    "EntrySettings",
    "GatewaySettings",
    "Operator",
    "RegistrySettings",
    "load_control_settings",
    "load_entry_settings",
    "load_gateway_settings",
    "load_registry_settings",
    "read_toml",
]
