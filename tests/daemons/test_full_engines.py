"""Gateways and registries, run as processes, tell each other which engines are full."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterator

import httpx
import pytest

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)
from standins.shared_room import shared_room_document

REGISTRY, GATEWAY = 1, 2
"""Roles of boxes, by which their addresses are chosen."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(document=shared_room_document) as running:
        wait_until(holds(lambda: all_serve(running)), 30, "streams")
        yield running


def send(fleet: DiscoveredFleet, gateway: int) -> httpx.Response:
    """Send one request of a stream."""
    fields = {
        "Host": HOST,
        "Attempt-Id": f"{gateway}-{secrets.token_hex(8)}",
        "Deadline-Ms": "3000",
        "Authorization": f"Token {KEY}",
        "Token-Count": "10,2",
    }
    return fleet.client.post(f"http://{fleet.caller_address(gateway)}/draft/x", headers=fields)


def all_serve(fleet: DiscoveredFleet) -> bool:
    """Return whether each gateway serves a stream."""
    return all(send(fleet, number).status_code == 200 for number in range(fleet.gateways))


def holds(condition: Callable[[], bool]) -> Callable[[], bool]:
    """Return a condition that does not hold while a box gives no answer."""

    def check() -> bool:
        try:
            return condition()
        except httpx.HTTPError:
            return False

    return check


def metric(fleet: DiscoveredFleet, role: int, number: int, name: str) -> float:
    """Return a value of a box's metrics page; 0 if it is not there."""
    url = f"http://{fleet.ip(role, number)}:{fleet.port + 1}/metrics"
    lines = fleet.client.get(url).text.splitlines()
    prefix = f"ledgeladder_{name} "
    return float(next((line[len(prefix) :] for line in lines if line.startswith(prefix)), 0.0))


def count(fleet: DiscoveredFleet, number: int, *events: str) -> float:
    """Return how often some events happened at a gateway."""
    return sum(
        metric(fleet, GATEWAY, number, f'events_total{{event="{event}"}}') for event in events
    )


def test_gateway_that_is_refused_tells_all_others(fleet: DiscoveredFleet) -> None:
    """Only one gateway has requests, so that the others learn of full engines by notices alone."""
    registries, others = range(fleet.registries), range(1, fleet.gateways)
    wait_until(
        holds(
            lambda: sum(metric(fleet, REGISTRY, item, "demand_reports") for item in registries)
            == fleet.gateways
        ),
        30,
        "demand reports, which say that a gateway knows notices",
    )
    # Engines that had no layers yet may have refused requests of the start.
    before = {item: count(fleet, item, "full-noticed", "full-ignored") for item in others}
    reported = {item: count(fleet, item, "full-reported") for item in range(fleet.gateways)}
    engines = [name for name in fleet.boxes if name.startswith("engines")]
    for name in engines:
        fleet.set_response_mode(name, rest="")

    def is_known_everywhere() -> bool:
        send(fleet, 0)
        return all(
            count(fleet, item, "full-noticed", "full-ignored") > before[item] for item in others
        )

    try:
        wait_until(holds(is_known_everywhere), 30, "notices at the other gateways")
    finally:
        for name in engines:
            fleet.set_response_mode(name)
    assert count(fleet, 0, "full-reported") > reported[0]
    assert all(count(fleet, item, "full-reported") == reported[item] for item in others)
    wait_until(holds(lambda: all_serve(fleet)), 30, "streams after the engines have room again")
    lines = [line["message"] for name in fleet.boxes for line in fleet.log(name)]
    assert "engine full" in lines
    assert "message of the wrong kind" not in lines
    assert "child failed" not in lines
