"""Gateways that callers reach and that reach no upstream, over real processes.

Guards against a box that takes every upstream for dead because its own connections fail.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter
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

CUT_MESSAGE = "box reaches no upstream, its connections are relayed"
"""Line of a box that finds itself cut off."""

CUT_END_MESSAGE = "box reaches upstreams again"
"""Line of a box whose cut is over."""

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


def cut(
    fleet: DiscoveredFleet,
    open_connections: OpenConnections,
    gateways: tuple[int, ...] = CUT_GATEWAYS,
    upstreams: tuple[str, ...] = ("engines", "services"),
) -> None:
    """Cut some gateways off from the upstreams of some pools."""
    assert fleet.proxy is not None
    hosts = [fleet.ip(2, gateway) for gateway in gateways]
    targets = [box.ip for name, box in fleet.boxes.items() if name.startswith(upstreams)]
    fleet.proxy.drop_packets(hosts, open_connections, targets)


def log_count(fleet: DiscoveredFleet, message: str) -> int:
    """Return how often the gateways logged a message."""
    names = [name for name in fleet.boxes if name.startswith("gateway")]
    return sum(line["message"] == message for name in names for line in fleet.log(name))


def stream_while_cut(
    fleet: DiscoveredFleet, open_connections: OpenConnections
) -> list[httpx.Response]:
    """Start streams on the gateways that are then cut off, and return their answers."""
    with ThreadPoolExecutor() as threads:
        streams = [
            threads.submit(send, fleet, "draft", gateway, events=STREAM_EVENTS)
            for gateway in CUT_GATEWAYS * STREAMS
        ]
        time.sleep(STREAM_START_SECONDS)
        cut(fleet, open_connections)
        wait(streams)
    return [stream.result() for stream in streams]


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
    stream_while_cut(fleet, OpenConnections.HANG)
    assert losses() == before


@pytest.mark.parametrize("open_connections", list(OpenConnections))
def test_streams_that_run_when_their_box_is_cut_off_are_whole(
    fleet: DiscoveredFleet, open_connections: OpenConnections
) -> None:
    """Streams whose connections live on are not sent again; the others are resumed elsewhere."""
    runs_before = len(fleet.ledger())
    answers = stream_while_cut(fleet, open_connections)
    assert [answer.status_code for answer in answers] == [200] * len(answers)
    assert {answer.text.count("id: ") for answer in answers} == {STREAM_EVENTS}
    if open_connections is OpenConnections.LIVE_ON:
        assert len(fleet.ledger()) - runs_before == len(answers)


@pytest.mark.parametrize("open_connections", list(OpenConnections))
def test_request_that_may_run_once_runs_once_on_a_box_that_is_cut_off(
    fleet: DiscoveredFleet, open_connections: OpenConnections
) -> None:
    """Also while it is sent, and no refusal has run."""
    with ThreadPoolExecutor() as threads:
        calls = []
        for number in range(REQUESTS * 4):
            if number == REQUESTS:
                cut(fleet, open_connections)
            calls.append(threads.submit(send, fleet, "preview", CUT_GATEWAYS[number % 2]))
            time.sleep(0.01)
        answers = [call.result() for call in calls]
    runs = Counter(line["id"] for line in fleet.ledger())
    sent = [(answer.request.headers["attempt-id"], answer.status_code) for answer in answers]
    assert [item for item in sent if runs[item[0]] > 1] == []
    assert [item for item in sent if item[1] == 503 and runs[item[0]]] == []
    assert [item for item in sent if item[1] == 200 and not runs[item[0]]] == []


def test_lost_pool_is_no_cut_of_the_box(fleet: DiscoveredFleet) -> None:
    """All plain services fall silent, while the engines are reached."""
    before = log_count(fleet, CUT_MESSAGE)
    cut(fleet, OpenConnections.HANG, upstreams=("services",))
    for _ in range(REQUESTS):
        for gateway in CUT_GATEWAYS:
            send(fleet, "status", gateway, deadline_ms=300)
    assert log_count(fleet, CUT_MESSAGE) == before


def test_fleet_that_reaches_no_upstream_stays_in_the_balancer(fleet: DiscoveredFleet) -> None:
    """No box is told apart from the others; requests are refused as not run, before their time."""
    everyone = tuple(range(fleet.gateways))
    before = log_count(fleet, CUT_MESSAGE)
    cut(fleet, OpenConnections.RESET, gateways=everyone)
    for _ in range(REQUESTS):
        for gateway in everyone:
            answer = send(fleet, "draft", gateway, deadline_ms=6000)
            assert answer.status_code == 503
            assert answer.headers["ledgeladder-execution"] == "not-run"
            assert "retry-after" in answer.headers
    assert all(fleet.ready(gateway) for gateway in everyone)
    assert log_count(fleet, CUT_MESSAGE) == before


def test_box_connects_by_itself_once_the_partition_ends(fleet: DiscoveredFleet) -> None:
    cut(fleet, OpenConnections.HANG)
    wait_until(lambda: send(fleet, "draft", 0).status_code == 200, 10, "served by a relay")
    ended = log_count(fleet, CUT_END_MESSAGE)
    assert fleet.proxy is not None
    fleet.proxy.heal()
    wait_until(lambda: log_count(fleet, CUT_END_MESSAGE) > ended, 10, "direct connections")
    relayed = log_count(fleet, "connection relayed")
    assert send(fleet, "draft", 0).status_code == 200
    assert log_count(fleet, "connection relayed") == relayed
