"""Upstreams that name how many requests a second they take from all boxes together.

What was seen: an engine that named 1.9 requests a second went on getting 6 a second, over eight
boxes. It refused none and stayed quick, so that callers and alerts noticed nothing. How it came
about: each box chose by load and speed, by which it was the best engine. Cause: no code read the
figure that answers name, and what an upstream asks of all boxes together had no place in what a box
knows; each box by itself could not keep to it either. Proof: boxes log that the limit is named, and
go on sending; the sum of what the upstream sees, over all boxes, against the figure.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Iterator

import httpx
import pytest

from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet, wait_until

from .test_rest_asked_for import PAUSE_SECONDS, send, serving

GATEWAYS = 3

RATE = 0.5
"""Requests a second that are named."""

SETTLE_SECONDS = 3.0
"""How long after it was first named a limit may be passed, while boxes learn of it."""

SPAN_SECONDS = 4.0
"""Length of the spans in which requests are counted."""

MOST = 1.5 * RATE * SPAN_SECONDS + 5
"""Requests that may arrive in any of them."""

SENDING_SECONDS = 12.0

LIMITED_CODE = "1208"
"""Result code of a request that the upstreams for it take no more of."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(gateways=GATEWAYS) as running:
        wait_until(lambda: send(running, "draft").status_code == 200, 20, "streams")
        yield running


@pytest.fixture(autouse=True)
def settled(fleet: DiscoveredFleet) -> Iterator[None]:
    """Upstreams that name nothing, and boxes that have heard so."""
    yield
    for name in fleet.boxes:
        fleet.set_response_mode(name)
        fleet.restart(name)
    wait_until(lambda: all(fleet.ready(item) for item in range(GATEWAYS)), 30, "gateways ready")

    def all_serve() -> bool:
        pairs = [(route, item) for route in ("status", "draft") for item in range(GATEWAYS)]
        return all(_answers(fleet, route, item) == 200 for route, item in pairs)

    wait_until(all_serve, 10, "all serve")
    time.sleep(SETTLE_SECONDS)


def _answers(fleet: DiscoveredFleet, route: str, gateway: int) -> int:
    try:
        return send(fleet, route, gateway).status_code
    except httpx.HTTPError:
        return 0


def send_over_all(
    fleet: DiscoveredFleet, route: str, seconds: float, trouble: Callable[[], None] | None = None
) -> list[int]:
    """Send requests through all gateways side by side, and cause trouble after a third of the time.

    Returns:
        Statuses of the answers; 0 for a gateway that does not answer.
    """
    until = time.monotonic() + seconds
    statuses: list[int] = []

    def keep_sending(number: int) -> None:
        while time.monotonic() < until:
            statuses.append(_answers(fleet, route, number))
            time.sleep(PAUSE_SECONDS)

    threads = [threading.Thread(target=keep_sending, args=(item,)) for item in range(GATEWAYS)]
    for thread in threads:
        thread.start()
    time.sleep(seconds / 3)
    if trouble is not None:
        trouble()
    for thread in threads:
        thread.join()
    return statuses


def runs_on(fleet: DiscoveredFleet, name: str, since: float) -> list[float]:
    """Return when requests came to an upstream since a time, oldest first."""
    ids = fleet.upstream_ids(name)
    lines = fleet.ledger("run")
    return sorted(line["at"] for line in lines if line["upstream"] in ids and line["at"] >= since)


def most_in_a_span(times: list[float]) -> int:
    """Return the most requests in any span of `SPAN_SECONDS`."""
    return max((sum(at <= other < at + SPAN_SECONDS for other in times) for at in times), default=0)


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_limit_is_kept_by_all_boxes_together(fleet: DiscoveredFleet, route: str) -> None:
    """The pattern: callers come at all boxes at 10 a second each; one upstream names 0.5 a second,
    refuses nothing and stays quick, and the others can serve all."""
    name = serving(fleet, route)
    fleet.set_response_mode(name, limit=str(RATE))
    named_at = time.time()
    statuses = send_over_all(fleet, route, SENDING_SECONDS)
    assert set(statuses) == {200}
    assert most_in_a_span(runs_on(fleet, name, named_at + SETTLE_SECONDS)) <= MOST


@pytest.mark.parametrize("trouble", ["registry killed", "registry stands still", "gateway killed"])
def test_limit_is_kept_while_boxes_come_and_go(fleet: DiscoveredFleet, trouble: str) -> None:
    """The pattern: the one that kept the sum is gone, and may come back with what it believed."""
    name = serving(fleet, "status")
    fleet.set_response_mode(name, limit=str(RATE))
    named_at = time.time()

    def cause() -> None:
        if trouble == "registry killed":
            fleet.kill("registry-0")
            fleet.restart("registry-0")
        elif trouble == "gateway killed":
            fleet.kill("gateway-0")
            fleet.restart("gateway-0")
        else:
            fleet.signal("registry-0", signal.SIGSTOP)
            time.sleep(2.0)
            fleet.signal("registry-0", signal.SIGCONT)

    send_over_all(fleet, "status", SENDING_SECONDS, cause)
    assert most_in_a_span(runs_on(fleet, name, named_at + SETTLE_SECONDS)) <= MOST


@pytest.mark.parametrize("route", ["status", "draft"])
def test_callers_wait_or_are_refused_as_not_run_while_all_upstreams_are_limited(
    fleet: DiscoveredFleet, route: str
) -> None:
    """The pattern: no upstream is left that takes any number. Those that have the time are served
    by turns; the others are told at once, and none is sent to an upstream that takes no more."""
    pool = "engines" if route == "draft" else "services"
    names = [name for name in fleet.boxes if name.startswith(pool)]
    for name in names:
        fleet.set_response_mode(name, limit=str(RATE))
    named_at = time.time()
    send_over_all(fleet, route, SETTLE_SECONDS)
    answers = [send(fleet, route, item % GATEWAYS, deadline_ms=300) for item in range(12)]
    refused = [answer for answer in answers if answer.status_code == 503]
    assert refused
    assert {answer.headers["ledgeladder-code"] for answer in refused} == {LIMITED_CODE}
    assert {answer.headers["ledgeladder-execution"] for answer in refused} == {"not-run"}
    assert all(float(answer.headers["retry-after"]) > 0 for answer in refused)
    statuses = send_over_all(fleet, route, SENDING_SECONDS)
    assert 200 in statuses
    for name in names:
        assert most_in_a_span(runs_on(fleet, name, named_at + SETTLE_SECONDS)) <= MOST
