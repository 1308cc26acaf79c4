"""Upstreams that request back-off from a box or are draining, over real processes.

Guards against requests being sent to an upstream before the end of the back-off that its refusal
names, or after an answer said that it is draining.
"""

from __future__ import annotations

import secrets
import time
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

BACKOFF_SECONDS = 3.0
"""Back-off that upstreams request."""

IN_FLIGHT_SECONDS = 0.5
"""How long after the first refusal requests in flight may still arrive."""

SEND_INTERVAL_SECONDS = 0.05
"""Time between two requests."""

SHORT_BACKOFF_SECONDS = 1.5
"""Back-off shortly before whose end a request arrives."""

BEFORE_END_SECONDS = 0.1
"""How long before; shorter than the time in which the route promises an answer."""

SHORT_DEADLINE_MS = 400
"""Deadline of a request that can't wait for the end of a back-off, in milliseconds."""

BACKING_OFF_CODE = "1207"
"""Result code of a request whose upstreams are all backing off."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet() as running:
        wait_until(lambda: send(running, "draft").status_code == 200, 20, "streams")
        yield running


@pytest.fixture(autouse=True)
def reset_upstreams(fleet: DiscoveredFleet) -> Iterator[None]:
    """Have all upstreams serve again after a test and wait until no back-off is left."""
    yield
    for name in fleet.boxes:
        fleet.set_response_mode(name)
    time.sleep(BACKOFF_SECONDS)


def send(
    fleet: DiscoveredFleet, route: str, gateway: int = 0, *, deadline_ms: int = 6000
) -> httpx.Response:
    """Send one request."""
    fields = {
        "Host": HOST,
        "Attempt-Id": f"{gateway}-{secrets.token_hex(8)}",
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }
    if route == "draft":
        fields["Token-Count"] = "10,2"
    url = f"http://{fleet.caller_address(gateway)}/{route}/x"
    return fleet.client.post(url, headers=fields)


def request_backoff_from_all(fleet: DiscoveredFleet, route: str, backoff: str) -> list[str]:
    """Have all upstreams that serve a route request back-off; returns their names."""
    pool = "engines" if route == "draft" else "services"
    names = [name for name in fleet.boxes if name.startswith(pool)]
    for name in names:
        fleet.set_response_mode(name, rest=backoff)
    return names


def is_refused_for_backoff(fleet: DiscoveredFleet, route: str) -> bool:
    """Return whether a request with a short deadline is refused as all upstreams back off."""
    answer = send(fleet, route, deadline_ms=SHORT_DEADLINE_MS)
    return answer.headers.get("ledgeladder-code") == BACKING_OFF_CODE


def keep_sending(
    fleet: DiscoveredFleet, route: str, seconds: float, gateway: int = 0
) -> list[httpx.Response]:
    """Send one request after the other for a number of seconds."""
    until = time.monotonic() + seconds
    answers = []
    while time.monotonic() < until:
        answers.append(send(fleet, route, gateway))
        time.sleep(SEND_INTERVAL_SECONDS)
    return answers


def arrivals(fleet: DiscoveredFleet, event: str, name: str, gateway: int) -> list[float]:
    """Return when requests of a gateway arrived at an upstream, oldest first."""
    ids = fleet.upstream_ids(name)
    return sorted(
        line["at"]
        for line in fleet.ledger(event)
        if line["upstream"] in ids and line["id"].startswith(f"{gateway}-")
    )


def serving_upstream(fleet: DiscoveredFleet, route: str) -> str:
    """Return the name of the upstream that a request is sent to, the first one of a path."""
    seal = send(fleet, route).headers["replica-seal"]
    upstream = seal.partition(".")[0]
    names = [name for name in fleet.boxes if name.startswith(("engines", "services"))]
    return next(name for name in names if upstream in fleet.upstream_ids(name))


def during_backoff(times: list[float]) -> list[float]:
    """Return the arrivals within the back-off of the first refusal, as seconds after it."""
    return [at - times[0] for at in times if IN_FLIGHT_SECONDS < at - times[0] < BACKOFF_SECONDS]


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_upstream_gets_no_request_during_its_backoff(fleet: DiscoveredFleet, route: str) -> None:
    """The nearest upstream refuses and requests back-off while requests keep arriving."""
    name = serving_upstream(fleet, route)
    fleet.set_response_mode(name, rest=str(BACKOFF_SECONDS))
    answers = keep_sending(fleet, route, BACKOFF_SECONDS)
    refused = arrivals(fleet, "refused", name, 0)
    assert refused, "the upstream was never chosen"
    assert during_backoff(refused) == []
    assert {answer.status_code for answer in answers} == {200}


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_request_with_short_deadline_is_refused_at_once_while_all_upstreams_back_off(
    fleet: DiscoveredFleet, route: str
) -> None:
    """The answer says that it was not run and when the first back-off ends."""
    names = request_backoff_from_all(fleet, route, str(BACKOFF_SECONDS))
    requested_at = time.monotonic()
    wait_until(lambda: is_refused_for_backoff(fleet, route), 2, "all backing off")
    for name in names:
        fleet.set_response_mode(name)
    answer = send(fleet, route, deadline_ms=SHORT_DEADLINE_MS)
    assert answer.status_code == 503
    assert answer.headers["ledgeladder-code"] == BACKING_OFF_CODE
    assert answer.headers["ledgeladder-execution"] == "not-run"
    retry_after = float(answer.headers["retry-after"])
    assert 0 < retry_after <= BACKOFF_SECONDS
    assert answer.elapsed.total_seconds() < retry_after
    time.sleep(retry_after)
    assert send(fleet, route).status_code == 200
    assert time.monotonic() - requested_at >= retry_after


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_request_shortly_before_the_end_of_a_backoff_is_served(
    fleet: DiscoveredFleet, route: str
) -> None:
    """It waits for the end of the back-off, which is within the time that its route promises."""
    names = request_backoff_from_all(fleet, route, str(SHORT_BACKOFF_SECONDS))
    wait_until(lambda: is_refused_for_backoff(fleet, route), 2, "all backing off")
    for name in names:
        fleet.set_response_mode(name)
    retry_after = float(
        send(fleet, route, deadline_ms=SHORT_DEADLINE_MS).headers.get("retry-after", "0")
    )
    time.sleep(max(0.0, retry_after - BEFORE_END_SECONDS))
    assert send(fleet, route).status_code == 200


@pytest.mark.parametrize("route", ["status", "draft"])
def test_draining_upstream_gets_no_new_work(fleet: DiscoveredFleet, route: str) -> None:
    """Its answers say that it is draining while its heartbeats say ready, as behind a network
    partition from the control boxes."""
    fleet.set_response_mode(serving_upstream(fleet, route), leaving=True)
    answers = keep_sending(fleet, route, BACKOFF_SECONDS)
    draining = [answer for answer in answers if "server-leaving" in answer.headers]
    assert len(draining) == 1
    assert {answer.status_code for answer in answers} == {200}
