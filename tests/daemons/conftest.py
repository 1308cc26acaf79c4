"""Fixtures with fleets of processes."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

import pytest

from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet
from standins.fleet import Fleet, running_fleet, wait_until

from .callers import complete


def configure_and_wait(fleet: Fleet) -> Fleet:
    fleet.wait_leader()
    applied = fleet.configure()
    assert applied.returncode == 0, applied.stderr
    fleet.wait_ready()
    fleet.wait_upstreams()
    return fleet


def is_serving(fleet: Fleet, entry: str) -> bool:
    return complete(fleet, entry, "again", 2).status_code == 200


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """A fleet behind the fault-injecting proxy: a box of each role in each failure domain."""
    with running_fleet(proxied=True, entries_per_domain=(1, 1, 1)) as running:
        yield configure_and_wait(running)


@pytest.fixture(scope="module")
def listed() -> Iterator[Fleet]:
    """A fleet with one entry box and without the proxy."""
    with running_fleet(entries_per_domain=(1, 0, 0), services=1) as running:
        yield configure_and_wait(running)


@pytest.fixture(scope="module")
def discovered() -> Iterator[DiscoveredFleet]:
    """Gateways and registries with two engines and one service."""
    with running_discovered_fleet(engines=2, services=1) as running:
        yield running


@pytest.fixture
def healed(fleet: Fleet) -> Iterator[Fleet]:
    """The fleet; removes all faults and restarts all stopped processes after the test."""
    yield fleet
    assert fleet.proxy is not None
    fleet.proxy.heal()
    for name, process in fleet.processes.items():
        fleet.signal(name, 18)
        if process.popen is None or process.popen.poll() is not None:
            fleet.launch(name)
    fleet.wait_leader()
    fleet.wait_ready()
    fleet.wait_upstreams()
    for name in fleet.entry_names:
        # An engine that was down gets no work until the boxes that probe it have checked it again.
        try:
            wait_until(partial(is_serving, fleet, name), 20, f"{name} serving again")
        except TimeoutError as error:
            raise AssertionError(complete(fleet, name, "again", 2).text) from error
