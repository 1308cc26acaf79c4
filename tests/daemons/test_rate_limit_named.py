"""Upstreams that advertise how many requests a second they accept from all boxes together.

Guards against exceeding that rate: boxes that choose by load and speed alone, or that each apply
the full rate, send too much to an upstream that refuses nothing.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Iterator

import httpx
import pytest

from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet, wait_until

from .test_rest_asked_for import SEND_INTERVAL_SECONDS, send, serving_upstream

GATEWAYS = 3

ADVERTISED_RATE = 0.5
"""Requests a second that an upstream advertises."""

SETTLE_SECONDS = 3.0
"""How long the rate may be exceeded after it was first advertised, while boxes learn of it."""

WINDOW_SECONDS = 4.0
"""Length of the windows in which requests are counted."""

MAX_REQUESTS = 1.5 * ADVERTISED_RATE * WINDOW_SECONDS + 5
"""Requests that may arrive in any window."""

SENDING_SECONDS = 12.0

LIMITED_CODE = "1208"
"""Result code of a request whose upstreams have all reached their rate."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(gateways=GATEWAYS) as running:
        wait_until(lambda: send(running, "draft").status_code == 200, 20, "streams")
        yield running


@pytest.fixture(autouse=True)
def reset_upstreams(fleet: DiscoveredFleet) -> Iterator[None]:
    """Restart all upstreams and boxes without a rate and wait until all routes are served."""
    yield
    for name in fleet.boxes:
        fleet.set_response_mode(name)
        fleet.restart(name)
    wait_until(lambda: all(fleet.ready(item) for item in range(GATEWAYS)), 30, "gateways ready")

    def all_serve() -> bool:
        pairs = [(route, item) for route in ("status", "draft") for item in range(GATEWAYS)]
        return all(_status(fleet, route, item) == 200 for route, item in pairs)

    wait_until(all_serve, 10, "all serve")
    time.sleep(SETTLE_SECONDS)


def _status(fleet: DiscoveredFleet, route: str, gateway: int) -> int:
    try:
        return send(fleet, route, gateway).status_code
    except httpx.HTTPError:
        return 0


def send_to_all_gateways(
    fleet: DiscoveredFleet, route: str, seconds: float, fault: Callable[[], None] | None = None
) -> list[int]:
    """Send requests through all gateways concurrently and inject a fault after a third of the time.

    Returns:
        HTTP statuses of the answers; 0 where a gateway did not answer.
    """
    until = time.monotonic() + seconds
    statuses: list[int] = []

    def keep_sending(number: int) -> None:
        while time.monotonic() < until:
            statuses.append(_status(fleet, route, number))
            time.sleep(SEND_INTERVAL_SECONDS)

    threads = [threading.Thread(target=keep_sending, args=(item,)) for item in range(GATEWAYS)]
    for thread in threads:
        thread.start()
    time.sleep(seconds / 3)
    if fault is not None:
        fault()
    for thread in threads:
        thread.join()
    return statuses


def run_times(fleet: DiscoveredFleet, name: str, since: float) -> list[float]:
    """Return when an upstream began to run requests since a time, oldest first."""
    ids = fleet.upstream_ids(name)
    lines = fleet.ledger("run")
    return sorted(line["at"] for line in lines if line["upstream"] in ids and line["at"] >= since)


def max_in_window(times: list[float]) -> int:
    """Return the highest number of requests in any window of `WINDOW_SECONDS`."""
    return max(
        (sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times), default=0
    )


@pytest.mark.parametrize("route", ["status", "preview", "draft"])
def test_rate_is_kept_by_all_boxes_together(fleet: DiscoveredFleet, route: str) -> None:
    """One upstream advertises a rate, refuses nothing and stays fast; the others can serve all
    requests that arrive at the gateways."""
    name = serving_upstream(fleet, route)
    fleet.set_response_mode(name, limit=str(ADVERTISED_RATE))
    advertised_at = time.time()
    statuses = send_to_all_gateways(fleet, route, SENDING_SECONDS)
    assert set(statuses) == {200}
    assert max_in_window(run_times(fleet, name, advertised_at + SETTLE_SECONDS)) <= MAX_REQUESTS


@pytest.mark.parametrize("fault", ["registry killed", "registry suspended", "gateway killed"])
def test_rate_is_kept_when_boxes_fail_and_return(fleet: DiscoveredFleet, fault: str) -> None:
    """The box that grants the rate or a gateway fails, and may return with stale state."""
    name = serving_upstream(fleet, "status")
    fleet.set_response_mode(name, limit=str(ADVERTISED_RATE))
    advertised_at = time.time()

    def inject_fault() -> None:
        if fault == "registry killed":
            fleet.kill("registry-0")
            fleet.restart("registry-0")
        elif fault == "gateway killed":
            fleet.kill("gateway-0")
            fleet.restart("gateway-0")
        else:
            fleet.signal("registry-0", signal.SIGSTOP)
            time.sleep(2.0)
            fleet.signal("registry-0", signal.SIGCONT)

    send_to_all_gateways(fleet, "status", SENDING_SECONDS, inject_fault)
    assert max_in_window(run_times(fleet, name, advertised_at + SETTLE_SECONDS)) <= MAX_REQUESTS


@pytest.mark.parametrize("route", ["status", "draft"])
def test_requests_wait_or_are_refused_as_not_run_while_all_upstreams_are_limited(
    fleet: DiscoveredFleet, route: str
) -> None:
    """All upstreams advertise a rate. Requests with enough time are served in turn, the others are
    refused at once, and none is sent to an upstream that has reached its rate."""
    pool = "engines" if route == "draft" else "services"
    names = [name for name in fleet.boxes if name.startswith(pool)]
    for name in names:
        fleet.set_response_mode(name, limit=str(ADVERTISED_RATE))
    advertised_at = time.time()
    send_to_all_gateways(fleet, route, SETTLE_SECONDS)
    answers = [send(fleet, route, item % GATEWAYS, deadline_ms=300) for item in range(12)]
    refused = [answer for answer in answers if answer.status_code == 503]
    assert refused
    assert {answer.headers["ledgeladder-code"] for answer in refused} == {LIMITED_CODE}
    assert {answer.headers["ledgeladder-execution"] for answer in refused} == {"not-run"}
    assert all(float(answer.headers["retry-after"]) > 0 for answer in refused)
    statuses = send_to_all_gateways(fleet, route, SENDING_SECONDS)
    assert 200 in statuses
    for name in names:
        assert max_in_window(run_times(fleet, name, advertised_at + SETTLE_SECONDS)) <= MAX_REQUESTS
