"""What control concludes from engines that are suspended for a while, over real processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from typing import Any

import pytest

from ledgeladder.daemons.registry.placement import REPAIR_INTERVAL_SECONDS
from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet, wait_until

ENGINES = 6
"""Engines of the fleet, two in each of three failure domains, which hold the whole model."""

STOPPED = ("engines-0", "engines-1", "engines-2", "engines-3")
"""Engines that stop. The first layers are then missing, which the remaining two could load."""

SILENT_HEARTBEATS = 5
"""Heartbeats that are missed in a silence, two more than make an engine presumed lost."""


@pytest.fixture
def fleet() -> Iterator[DiscoveredFleet]:
    """A fleet whose engines hold their layers."""
    with running_discovered_fleet(
        engines=ENGINES, services=0, gateways=1, keep_ids=True
    ) as running:
        wait_until(
            lambda: len(log_lines(running, "engine loaded its layers")) >= ENGINES, 30, "loads"
        )
        yield running


def log_lines(fleet: DiscoveredFleet, message: str) -> list[dict[str, Any]]:
    """Return the lines of one kind in the logs of all registries."""
    names = [name for name in fleet.boxes if name.startswith("registry")]
    return [line for name in names for line in fleet.log(name) if line["message"] == message]


def test_layers_of_silent_engines_stay_where_they_are(fleet: DiscoveredFleet) -> None:
    """Failure: the layers of sound engines were moved after three missed heartbeats."""
    for name in STOPPED:
        fleet.signal(name, signal.SIGSTOP)
    heartbeat_seconds = fleet.heartbeat_ms / 1000
    time.sleep(SILENT_HEARTBEATS * heartbeat_seconds + REPAIR_INTERVAL_SECONDS)
    for name in STOPPED:
        fleet.signal(name, signal.SIGCONT)
    time.sleep(2 * REPAIR_INTERVAL_SECONDS)
    assert not log_lines(fleet, "engine moved")


def test_layers_of_engines_that_exited_are_moved(fleet: DiscoveredFleet) -> None:
    """Failure: the check of silent engines keeps the layers of dead ones unserved."""
    for name in STOPPED:
        fleet.kill(name)
    wait_until(lambda: bool(log_lines(fleet, "engine moved")), 8, "engine moved")
