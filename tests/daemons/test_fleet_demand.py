"""Gateways and registries, run as processes, exchange their demand and recover from a restart."""

from __future__ import annotations

from collections.abc import Iterator

import httpx
import pytest

from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet, wait_until

REGISTRY, GATEWAY = 1, 2
"""Roles of boxes, by which their addresses are chosen."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet() as running:
        yield running


def gauge(fleet: DiscoveredFleet, role: int, number: int, name: str) -> float:
    """Return a gauge of a box's metrics page; 0 while the page cannot be read."""
    url = f"http://{fleet.ip(role, number)}:{fleet.port + 1}/metrics"
    try:
        lines = fleet.client.get(url).text.splitlines()
    except httpx.HTTPError:
        return 0.0
    prefix = f"ledgeladder_{name} "
    return float(next((line[len(prefix) :] for line in lines if line.startswith(prefix)), 0.0))


def exchange_works(fleet: DiscoveredFleet) -> bool:
    """Return whether each gateway reports to one registry and receives totals."""
    registries, gateways = range(fleet.registries), range(fleet.gateways)
    reports = sum(gauge(fleet, REGISTRY, number, "demand_reports") for number in registries)
    known = [gauge(fleet, GATEWAY, number, "demand_known") for number in gateways]
    return reports == fleet.gateways and all(known)


def test_every_gateway_gets_totals_also_after_registries_restart(fleet: DiscoveredFleet) -> None:
    """No message of demand may close a link, and no sum may need a box that ended."""
    wait_until(lambda: exchange_works(fleet), 30, "demand of all gateways")
    names = [name for name in fleet.boxes if name.startswith("registry")]
    for name in names:
        fleet.kill(name)
        fleet.restart(name)
        wait_until(lambda: exchange_works(fleet), 30, "demand after a restart")
    gateways = [name for name in fleet.boxes if name.startswith("gateway")]
    lines = [line["message"] for name in gateways for line in fleet.log(name)]
    assert lines.count("fleet demand known") >= fleet.gateways
    assert "message of the wrong kind" not in lines
