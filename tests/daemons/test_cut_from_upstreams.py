"""Gateways that callers reach and that reach no upstream, over real processes.

Guards against a box that takes every upstream for dead because its own connections fail.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, wait

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

CUT_GATEWAYS = (0, 1)
"""Gateways that are cut off, most of them and all but one failure domain."""

CONTACT_SECONDS = 3.0
"""Time after which a cut box must serve its callers again."""

MIN_SERVED_SHARE = 2 / 3
"""Least share of first attempts that a cut box must serve, while the other boxes serve all."""

REQUESTS = 15
"""Requests that are sent to a cut box for each route."""


STREAMS = 3
"""Streams that run on each gateway when it is cut off."""

STREAM_EVENTS = 100
"""Events of these streams, which last for about two seconds."""

STREAM_START_SECONDS = 0.5
"""Time in which these streams begin."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(proxy=FaultProxy()) as running:
        for gateway in range(running.gateways):
            wait_until(
                lambda: send(running, "draft", gateway).status_code == 200,  # noqa: B023
                20,
                "streams",
            )
        yield running


@pytest.fixture(autouse=True)
def heal(fleet: DiscoveredFleet) -> Iterator[None]:
    """End the partition after a test, and wait until every gateway serves by itself."""
    yield
    assert fleet.proxy is not None
    fleet.proxy.heal()
    for gateway in CUT_GATEWAYS:
        wait_until(
            lambda: send(fleet, "draft", gateway).status_code == 200,  # noqa: B023
            20,
            "served after the partition",
        )


def send(
    fleet: DiscoveredFleet, route: str, gateway: int, *, events: int = 3, deadline_ms: int = 6000
) -> httpx.Response:
    """Send one request."""
    fields = {
        "Host": HOST,
        "Attempt-Id": f"{gateway}-{secrets.token_hex(8)}",
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }
    if route == "draft":
        fields["Token-Count"] = f"10,{events}"
    url = f"http://{fleet.caller_address(gateway)}/{route}/x"
    return fleet.client.post(url, headers=fields)


def cut(fleet: DiscoveredFleet, open_connections: OpenConnections) -> None:
    """Cut some gateways off from all upstreams."""
    assert fleet.proxy is not None
    hosts = [fleet.ip(2, gateway) for gateway in CUT_GATEWAYS]
    fleet.proxy.drop_packets(hosts, open_connections)


def served_share(fleet: DiscoveredFleet, route: str, gateway: int) -> float:
    """Return the share of requests that are served at the first attempt."""
    answers = [send(fleet, route, gateway) for _ in range(REQUESTS)]
    return sum(answer.status_code == 200 for answer in answers) / REQUESTS


@pytest.mark.parametrize("open_connections", list(OpenConnections))
def test_box_that_reaches_no_upstream_serves_its_callers(
    fleet: DiscoveredFleet, open_connections: OpenConnections
) -> None:
    cut(fleet, open_connections)
    cut_at = time.monotonic()
    while time.monotonic() - cut_at < CONTACT_SECONDS:
        send(fleet, "draft", 0, deadline_ms=1000)
        send(fleet, "status", 1, deadline_ms=1000)
    served = {
        (route, gateway): served_share(fleet, route, gateway)
        for route in ("draft", "status", "preview")
        for gateway in CUT_GATEWAYS
    }
    assert {key: share for key, share in served.items() if share < MIN_SERVED_SHARE} == {}


def test_boxes_that_reach_no_upstream_report_no_loss(fleet: DiscoveredFleet) -> None:
    """Two boxes that agree would be believed, and the layers of living engines be moved."""
    registries = [name for name in fleet.boxes if name.startswith("registry")]

    def losses() -> list[str]:
        return [
            f"{name}: {line['upstream']}"
            for name in registries
            for line in fleet.log(name)
            if line["message"] == "engine lost"
        ]

    before = losses()
    with ThreadPoolExecutor() as threads:
        streams = [
            threads.submit(send, fleet, "draft", gateway, events=STREAM_EVENTS)
            for gateway in CUT_GATEWAYS * STREAMS
        ]
        time.sleep(STREAM_START_SECONDS)
        cut(fleet, OpenConnections.HANG)
        wait(streams)
    assert losses() == before
