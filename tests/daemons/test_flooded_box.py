"""A load balancer that hands nearly all new connections to one box.

Guards against a box that takes them and then serves fewer of the requests that it has read.
"""

from __future__ import annotations

import secrets
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import httpx

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)

CALLERS = 24
"""Callers at once, eight for each box of the fleet."""

REQUESTS = 12
"""Requests of each caller, each on a new connection."""

MIN_SERVED_RATIO = 3 / 4
"""Least share of the usual service."""


def call(fleet: DiscoveredFleet, gateways: list[int], number: int) -> Counter[int]:
    """Send requests one after the other, and count the statuses."""
    statuses: Counter[int] = Counter()
    for attempt in range(REQUESTS):
        route = ("draft", "status", "preview")[(number + attempt) % 3]
        gateway = gateways[(number + attempt) % len(gateways)]
        fields = {
            "Host": HOST,
            "Attempt-Id": secrets.token_hex(8),
            "Deadline-Ms": "6000",
            "Authorization": f"Token {KEY}",
            "Token-Count": "10,5",
        }
        if route != "draft":
            del fields["Token-Count"]
        url = f"http://{fleet.caller_address(gateway)}/{route}/x"
        with httpx.Client(timeout=10.0, trust_env=False) as client:
            statuses[client.post(url, headers=fields).status_code] += 1
    return statuses


def served_share(fleet: DiscoveredFleet, gateways: list[int]) -> float:
    """Return the share of requests that are served when all callers use some gateways."""
    with ThreadPoolExecutor(CALLERS) as threads:
        counts = list(threads.map(lambda number: call(fleet, gateways, number), range(CALLERS)))
    total = sum(counts, Counter[int]())
    return total[200] / total.total()


def test_box_that_gets_all_callers_serves_them() -> None:
    with running_discovered_fleet() as fleet:
        everyone = list(range(fleet.gateways))
        wait_until(lambda: call(fleet, everyone, 0)[200] == REQUESTS, 30, "all routes")
        usual = served_share(fleet, everyone)
        assert served_share(fleet, [0]) >= usual * MIN_SERVED_RATIO
