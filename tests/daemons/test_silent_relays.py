"""Silence on connections that a gateway has through another one, over real processes.

Guards against answers that end because an upstream, or the box that relays, is suspended for a
second.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet, wait_until
from standins.fault_proxy import FaultProxy, OpenConnections

from .test_silent_upstreams import ONCE_ROUTES, ROUTES, Answer, document, send, upstream_names

CUT_GATEWAYS = (0, 1)
"""Gateways that are cut off from all upstreams."""

LEAD_SECONDS = 0.6
"""Time between the first request and the silence."""

DELAYS_SECONDS = (0.0, 0.3, 0.5, 0.7, 1.0)
"""Times at which requests are sent; some during the silence."""

SILENT_SECONDS = 1.2
"""How long processes are suspended."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    """A fleet of which most gateways are cut off, and get relayed connections."""
    options = {"engines": 3, "engine_slots": 64, "document": document}
    with running_discovered_fleet(proxy=FaultProxy(), **options) as running:
        assert running.proxy is not None
        wait_until(lambda: is_served(running, "draft", 0), 20, "streams")
        hosts = [running.ip(2, gateway) for gateway in CUT_GATEWAYS]
        targets = [running.boxes[name].ip for name in upstream_names(running)]
        running.proxy.drop_packets(hosts, OpenConnections.HANG, targets)
        for gateway in range(running.gateways):
            for route in ("draft", "preview"):
                wait_until(
                    lambda: is_served(running, route, gateway),  # noqa: B023
                    20,
                    f"{route} by gateway {gateway}",
                )
        yield running


def is_served(fleet: DiscoveredFleet, route: str, gateway: int) -> bool:
    return send(fleet, route, gateway).outcome == "whole"


def relays(fleet: DiscoveredFleet) -> list[str]:
    """Return the names of the gateways that are not cut off."""
    names = [name for name in fleet.boxes if name.startswith("gateway")]
    return [
        name
        for name in names
        if fleet.boxes[name].ip not in {fleet.ip(2, gateway) for gateway in CUT_GATEWAYS}
    ]


def relayed_requests(fleet: DiscoveredFleet) -> set[str]:
    """Return the ids of the requests that were answered over relayed connections."""
    lines = [line for gateway in CUT_GATEWAYS for line in fleet.log(f"gateway-{gateway}")]
    return {
        line["request"] for line in lines if line["message"] == "request" and "relayed_by" in line
    }


def is_late(number: int) -> bool:
    """Return whether the request of this number is sent during the silence."""
    return DELAYS_SECONDS[number % len(DELAYS_SECONDS)] > LEAD_SECONDS


def is_refused(answer: Answer, runs: Counter[str]) -> bool:
    return answer.outcome.startswith("503") and not runs[answer.id]


@pytest.mark.parametrize("silent", ["upstreams", "relays"])
def test_relayed_answers_are_whole_after_a_silence(fleet: DiscoveredFleet, silent: str) -> None:
    """Failure: a relayed connection was given up because one of its ends was silent.

    A request that arrives while all boxes that relay are silent may be refused, as not run.
    """
    names = upstream_names(fleet) if silent == "upstreams" else relays(fleet)
    with ThreadPoolExecutor(max_workers=64) as threads:
        running = [
            threads.submit(send, fleet, route, gateway, delay)
            for route in ROUTES
            for gateway in CUT_GATEWAYS
            for delay in DELAYS_SECONDS
        ]
        time.sleep(LEAD_SECONDS)
        for name in names:
            fleet.signal(name, signal.SIGSTOP)
        time.sleep(SILENT_SECONDS)
        for name in names:
            fleet.signal(name, signal.SIGCONT)
    answers = [item.result() for item in running]
    runs = Counter(line["id"] for line in fleet.ledger())
    not_whole = [
        (answer.route, answer.outcome, runs[answer.id])
        for number, answer in enumerate(answers)
        if answer.outcome != "whole"
        and not (silent == "relays" and is_late(number) and is_refused(answer, runs))
    ]
    assert not_whole == []
    whole = [answer for answer in answers if answer.outcome == "whole"]
    assert not [item for item in whole if item.route in ONCE_ROUTES and runs[item.id] != 1]
    ids = {answer.id for answer in whole}
    wait_until(lambda: relayed_requests(fleet) >= ids, 10, "all answers to be relayed ones")
