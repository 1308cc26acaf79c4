"""Planned stops of gateways that use or serve relayed connections, over real processes.

Guards against relayed requests that a planned stop ends without an answer.
"""

from __future__ import annotations

import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.discovered_fleet import DiscoveredFleet, wait_until

from .test_stop_answers import (
    LONG_SECONDS,
    STOP_DELAYS_SECONDS,
    check_answers,
    is_served,
    new_attempt,
    running_stoppable_fleet,
    send,
    set_mode,
    wait_for_runs,
)

ROUTES = ("preview", "status", "once", "draft")
"""Routes of requests that may run once only or be repeated, plain ones and streams."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    """A fleet whose first gateway is cut off, and gets relayed connections from the second."""
    with running_stoppable_fleet(cut_gateways=(0,)) as running:
        yield running


@pytest.fixture(autouse=True)
def stopped_gateway(fleet: DiscoveredFleet) -> Iterator[None]:
    """Start the gateway that a test stopped, and let services answer fast again."""
    yield
    set_mode(fleet)
    for gateway in range(fleet.gateways):
        fleet.restart(f"gateway-{gateway}")
    wait_until(lambda: is_served(fleet, 0) and is_served(fleet, 1), 20, "served again")


@pytest.mark.parametrize("stopped", [0, 1], ids=["asking", "relaying"])
def test_relayed_request_that_outlasts_a_planned_stop_is_answered(
    fleet: DiscoveredFleet, stopped: int
) -> None:
    """Failure: relayed requests were sent in a planned stop, or ran when it began, and ended
    without an answer."""
    set_mode(fleet, seconds=LONG_SECONDS)
    early = [new_attempt(route) for route in ROUTES]
    with ThreadPoolExecutor(max_workers=32) as threads:
        running = [
            threads.submit(send, fleet, 0, route, attempt=attempt)
            for route, attempt in zip(ROUTES, early, strict=True)
        ]
        wait_for_runs(fleet, early)
        fleet.signal(f"gateway-{stopped}", signal.SIGTERM)
        if stopped == 0:
            running += [
                threads.submit(send, fleet, 0, route, delay=delay)
                for route in ROUTES
                for delay in STOP_DELAYS_SECONDS
            ]
    outcomes = [item.result() for item in running]
    check_answers(fleet, outcomes, {item.id for item in outcomes} - set(early))
    assert fleet.wait_exit(f"gateway-{stopped}") == 0
