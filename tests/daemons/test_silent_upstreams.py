"""Sound upstreams that are suspended for a while, over real processes.

Guards against answers that a gateway ends because their upstreams are silent. A suspended process
answers nothing, while its kernel accepts connections and keeps the bytes that arrive.
"""

from __future__ import annotations

import secrets
import signal
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor, wait
from dataclasses import dataclass
from typing import Any

import httpx
import pytest

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    example_document,
    running_discovered_fleet,
    wait_until,
)

STREAM_EVENTS = 60
"""Events of a stream, which lasts for about 1.2 s."""

REQUESTS = 2
"""Requests of each route and gateway before the silence, and as many during it."""

REQUEST_INTERVAL_SECONDS = 0.3
"""Time between two of these requests, which are in different states when the silence begins."""

DOCUMENT_LEAD_SECONDS = 0.2
"""Time between the publication of a document and the silence."""

DEADLINE_MS = 8000
"""Deadline of the requests."""

ROUTES = ("draft", "once", "status", "preview")
"""Routes of resumable streams, of streams that may run once only, and of plain requests."""

ONCE_ROUTES = ("once", "preview")
"""Routes whose requests may run once only."""


def document(version: int) -> dict[str, Any]:
    """Return the example document with a route of streams that may run once only.

    Engines have room for all requests, so that none is refused.
    """
    example = example_document(version)
    once = example["routes"][0] | {"name": "once", "pathPrefix": "/once/", "resumable": False}
    engines, services = example["services"]
    engines = engines | {"engine": engines["engine"] | {"kvTokenBytes": 100_000}}
    return example | {"routes": [*example["routes"], once], "services": [engines, services]}


def with_idle_timeout() -> dict[str, Any]:
    """Return the limits of the document with a shorter idle timeout."""
    return {"limits": example_document(1)["limits"] | {"idleTimeoutMs": 2000}}


def with_route_changes(**changes: Any) -> dict[str, Any]:
    """Return the routes of the document with the same changes to each."""
    return {"routes": [route | changes for route in document(1)["routes"]]}


DOCUMENTS = {
    "no-document": None,
    "idle-timeout": with_idle_timeout(),
    "route-timeout": with_route_changes(timeoutMs=7000),
    "target-latency": with_route_changes(targetLatencyMs=400),
}
"""Changes of the document that is published before a silence."""


@dataclass(kw_only=True)
class Answer:
    """Answer of one request."""

    id: str
    """Its `Attempt-Id`."""

    route: str
    """Name of its route."""

    outcome: str
    """`whole`, or what the caller got instead."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    """A fleet in which no failure domain holds all layers, so that all paths cross domains."""
    with running_discovered_fleet(engines=3, engine_slots=64, document=document) as running:
        for gateway in range(running.gateways):
            wait_until(
                lambda: send(running, "draft", gateway).outcome == "whole",  # noqa: B023
                20,
                "streams",
            )
        yield running


def send(fleet: DiscoveredFleet, route: str, gateway: int, delay: float = 0.0) -> Answer:
    """Send one request after a delay, and read its answer."""
    time.sleep(delay)
    attempt = f"{route}-{secrets.token_hex(8)}"
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Token {KEY}",
    }
    is_stream = route in ("draft", "once")
    if is_stream:
        fields["Token-Count"] = f"10,{STREAM_EVENTS}"
    url = f"http://{fleet.caller_address(gateway)}/{route}/x"
    text = b""
    status = 0
    try:
        with fleet.client.stream("POST", url, headers=fields, content=b"body") as answer:
            status = answer.status_code
            for part in answer.iter_bytes():
                text += part
    except httpx.HTTPError as error:
        return Answer(id=attempt, route=route, outcome=f"{status} cut: {type(error).__name__}")
    is_whole = text.count(b"id: ") == STREAM_EVENTS if is_stream else text == b"echo:body"
    if status == 200 and is_whole:
        return Answer(id=attempt, route=route, outcome="whole")
    return Answer(id=attempt, route=route, outcome=f"{status} {text.decode()[:200]}")


def play_silence(
    fleet: DiscoveredFleet, stopped: list[str], seconds: float, changes: dict[str, Any] | None
) -> list[Answer]:
    """Suspend processes while requests run, and return the answers.

    Args:
        fleet: The fleet.
        stopped: Names of the processes.
        seconds: How long they are suspended.
        changes: Changes of the document that is published before; None for no document.
    """
    with ThreadPoolExecutor(max_workers=64) as threads:
        running: list[Future[Answer]] = []

        def start_requests() -> None:
            running.extend(
                threads.submit(send, fleet, route, gateway, number * REQUEST_INTERVAL_SECONDS)
                for route in ROUTES
                for gateway in range(fleet.gateways)
                for number in range(REQUESTS)
            )

        start_requests()
        time.sleep(REQUESTS * REQUEST_INTERVAL_SECONDS - DOCUMENT_LEAD_SECONDS)
        if changes is not None:
            fleet.publish_next(**changes)
        time.sleep(DOCUMENT_LEAD_SECONDS)
        for name in stopped:
            fleet.signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        for name in stopped:
            fleet.signal(name, signal.SIGCONT)
        wait(running)
    return [item.result() for item in running]


def upstream_names(fleet: DiscoveredFleet) -> list[str]:
    """Return the names of all engines and plain services."""
    return [name for name in fleet.boxes if name.startswith(("engines", "services"))]


@pytest.mark.parametrize(
    ("seconds", "documents"),
    [
        (0.3, "no-document"),
        (1.2, "no-document"),
        (1.2, "idle-timeout"),
        (1.3, "route-timeout"),
        (2.0, "target-latency"),
        (3.0, "no-document"),
    ],
)
def test_answers_of_upstreams_that_are_silent_for_a_while_are_whole(
    fleet: DiscoveredFleet, seconds: float, documents: str
) -> None:
    """Failure: streams whose path crosses failure domains were broken off after a second of
    silence, and those that may run once only with them."""
    answers = play_silence(fleet, upstream_names(fleet), seconds, DOCUMENTS[documents])
    outcomes = Counter((answer.route, answer.outcome) for answer in answers)
    assert {outcome for _route, outcome in outcomes} == {"whole"}, outcomes
    runs = Counter(line["id"] for line in fleet.ledger())
    assert not [item for item in answers if item.route in ONCE_ROUTES and runs[item.id] != 1]
