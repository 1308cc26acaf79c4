"""Upstreams that ask a box for rest, or say that they leave, over real processes.

What was seen: a service refused a box with 503 and asked for 3 s of rest; the box sent it five more
requests in that time. How it came about: the box kept off a service that refused for a quarter of
a second, whatever it asked for, and chose it again since it was the nearest one. Cause: no code
read the time that a refusal names, nor that an answer says that its upstream leaves. Proof: the
refused requests in the ledger of the upstream against the time of its first refusal.
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

REST_SECONDS = 3.0
"""Rest that is asked for."""

ON_THE_WAY_SECONDS = 0.5
"""How long requests that were on their way may still arrive."""

PAUSE_SECONDS = 0.05
"""Time between two requests."""

SHORT_REST_SECONDS = 1.5
"""Rest at the end of which a request comes."""

BEFORE_THE_END_SECONDS = 0.1
"""How long before: a part of the time in which a route promises an answer."""

SHORT_MS = 400
"""Time of a request that is too short to wait for a rest, in milliseconds."""

RESTING_CODE = "1207"
"""Result code of a request that all upstreams for it want rest from."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet() as running:
        wait_until(lambda: send(running, "draft").status_code == 200, 20, "streams")
        yield running


@pytest.fixture(autouse=True)
def settled(fleet: DiscoveredFleet) -> Iterator[None]:
    """Upstreams that serve, with no rest left over from the test before."""
    yield
    for name in fleet.boxes:
        fleet.set_response_mode(name)
    time.sleep(REST_SECONDS)


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


def rest_all(fleet: DiscoveredFleet, route: str, rest: str) -> list[str]:
    """Have all upstreams that a request could be sent to ask for rest; returns their names."""
    pool = "engines" if route == "draft" else "services"
    names = [name for name in fleet.boxes if name.startswith(pool)]
    for name in names:
        fleet.set_response_mode(name, rest=rest)
    return names


def refused_for_rest(fleet: DiscoveredFleet, route: str) -> bool:
    """Tell whether a request that has little time is refused since all upstreams rest."""
    answer = send(fleet, route, deadline_ms=SHORT_MS)
    return answer.headers.get("ledgeladder-code") == RESTING_CODE


def keep_sending(
    fleet: DiscoveredFleet, route: str, seconds: float, gateway: int = 0
) -> list[httpx.Response]:
    """Send one request after the other for some time."""
    until = time.monotonic() + seconds
    answers = []
    while time.monotonic() < until:
        answers.append(send(fleet, route, gateway))
        time.sleep(PAUSE_SECONDS)
    return answers


def arrivals(fleet: DiscoveredFleet, event: str, name: str, gateway: int) -> list[float]:
    """Return when requests of a gateway came to an upstream, oldest first."""
    ids = fleet.upstream_ids(name)
    return sorted(
        line["at"]
        for line in fleet.ledger(event)
        if line["upstream"] in ids and line["id"].startswith(f"{gateway}-")
    )


def serving(fleet: DiscoveredFleet, route: str) -> str:
    """Return the upstream that a request is sent to, the first one of a path."""
    seal = send(fleet, route).headers["replica-seal"]
    upstream = seal.partition(".")[0]
    names = [name for name in fleet.boxes if name.startswith(("engines", "services"))]
    return next(name for name in names if upstream in fleet.upstream_ids(name))


def in_rest(times: list[float]) -> list[float]:
    """Return the requests that came while the first one's refusal asked for rest."""
    return [at - times[0] for at in times if ON_THE_WAY_SECONDS < at - times[0] < REST_SECONDS]


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_upstream_that_asks_for_rest_gets_it(fleet: DiscoveredFleet, route: str) -> None:
    """The pattern: the nearest upstream refuses and asks for rest, while callers come at 15/s."""
    name = serving(fleet, route)
    fleet.set_response_mode(name, rest=str(REST_SECONDS))
    answers = keep_sending(fleet, route, REST_SECONDS)
    refused = arrivals(fleet, "refused", name, 0)
    assert refused, "the upstream was never chosen"
    assert in_rest(refused) == []
    assert {answer.status_code for answer in answers} == {200}


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_request_without_the_time_is_refused_at_once_while_all_upstreams_rest(
    fleet: DiscoveredFleet, route: str
) -> None:
    """Its caller is told that it was not run and when the first of them wants work again."""
    names = rest_all(fleet, route, str(REST_SECONDS))
    asked_at = time.monotonic()
    wait_until(lambda: refused_for_rest(fleet, route), 2, "all resting")
    for name in names:
        fleet.set_response_mode(name)
    answer = send(fleet, route, deadline_ms=SHORT_MS)
    assert answer.status_code == 503
    assert answer.headers["ledgeladder-code"] == RESTING_CODE
    assert answer.headers["ledgeladder-execution"] == "not-run"
    told = float(answer.headers["retry-after"])
    assert 0 < told <= REST_SECONDS
    assert answer.elapsed.total_seconds() < told
    time.sleep(told)
    assert send(fleet, route).status_code == 200
    assert time.monotonic() - asked_at >= told


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_request_that_comes_shortly_before_the_end_of_a_rest_is_served(
    fleet: DiscoveredFleet, route: str
) -> None:
    """It can still be served as soon as its route promises, and waits for it."""
    names = rest_all(fleet, route, str(SHORT_REST_SECONDS))
    wait_until(lambda: refused_for_rest(fleet, route), 2, "all resting")
    for name in names:
        fleet.set_response_mode(name)
    told = float(send(fleet, route, deadline_ms=SHORT_MS).headers.get("retry-after", "0"))
    time.sleep(max(0.0, told - BEFORE_THE_END_SECONDS))
    assert send(fleet, route).status_code == 200


@pytest.mark.parametrize("route", ["status", "draft"])
def test_upstream_that_says_that_it_leaves_gets_no_new_work(
    fleet: DiscoveredFleet, route: str
) -> None:
    """The pattern: its heartbeats say that it is ready, and its answers that it leaves, as behind a
    cut from the control boxes."""
    fleet.set_response_mode(serving(fleet, route), leaving=True)
    answers = keep_sending(fleet, route, REST_SECONDS)
    said = [answer for answer in answers if "server-leaving" in answer.headers]
    assert len(said) == 1
    assert {answer.status_code for answer in answers} == {200}
