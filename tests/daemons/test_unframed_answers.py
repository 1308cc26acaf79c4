"""Answers with neither a length nor chunks, which end with their connections.

Guards against taking one that was broken off for a whole one, directly and through a relay.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterator

import httpx
import pytest

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)
from standins.fault_proxy import FaultProxy, OpenConnections

BODY = b"request " * 100
EVENTS = 8


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(proxy=FaultProxy()) as running:
        wait_until(lambda: send(running, "draft").status_code == 200, 20, "streams")
        yield running


@pytest.fixture(params=["direct", "relayed"])
def way(request: pytest.FixtureRequest, fleet: DiscoveredFleet) -> Iterator[str]:
    """How the gateway reaches upstreams; all of them answer normally again after the test."""
    assert fleet.proxy is not None
    if request.param == "relayed":
        fleet.proxy.drop_packets([fleet.ip(2, 0)], OpenConnections.HANG)
        wait_until(lambda: send(fleet, "draft").status_code == 200, 20, "relayed streams")
    yield request.param
    set_mode(fleet)
    fleet.proxy.heal()
    wait_until(lambda: send(fleet, "draft").status_code == 200, 20, "streams again")


def set_mode(fleet: DiscoveredFleet, *names: str, **mode: str) -> None:
    """Set how some upstreams answer, or all of them."""
    pools = ("engines", "services")
    for name in names or [name for name in fleet.boxes if name.startswith(pools)]:
        fleet.set_response_mode(name, **mode)


def send(fleet: DiscoveredFleet, route: str) -> httpx.Response:
    """Send one request through the first gateway."""
    fields = {
        "Host": HOST,
        "Attempt-Id": secrets.token_hex(8),
        "Deadline-Ms": "4000",
        "Authorization": f"Token {KEY}",
    }
    if route == "draft":
        fields["Token-Count"] = f"10,{EVENTS}"
    url = f"http://{fleet.caller_address(0)}/{route}/x"
    return fleet.client.post(url, headers=fields, content=BODY)


def expected_text(route: str) -> str:
    if route != "draft":
        return f"echo:{BODY.decode()}"
    return "".join(f"id: {number}\ndata: token-{number}\n\n" for number in range(EVENTS))


@pytest.mark.parametrize("route", ["draft", "status", "preview"])
def test_unframed_answer_is_whole(fleet: DiscoveredFleet, way: str, route: str) -> None:
    set_mode(fleet, unframed="whole")
    answer = send(fleet, route)
    assert (answer.status_code, answer.text) == (200, expected_text(route))


@pytest.mark.parametrize("end", ["inside", "reset"])
def test_stream_that_ends_inside_an_event_is_carried_on(
    fleet: DiscoveredFleet, way: str, end: str
) -> None:
    """By an engine that answers normally."""
    engines = [name for name in fleet.boxes if name.startswith("engines")]
    serving = send(fleet, "draft").headers["replica-seal"].partition(".")[0]
    broken = [name for name in engines if serving in fleet.upstream_ids(name)]
    set_mode(fleet, *broken, unframed=end)
    answer = send(fleet, "draft")
    assert (answer.status_code, answer.text) == (200, expected_text("draft"))


@pytest.mark.parametrize("route", ["status", "preview"])
def test_answer_that_is_reset_is_not_taken_for_whole(
    fleet: DiscoveredFleet, way: str, route: str
) -> None:
    set_mode(fleet, unframed="reset")
    answer = send(fleet, route)
    assert answer.status_code in (502, 504)
