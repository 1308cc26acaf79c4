"""Requests that a planned stop of one gateway may not finish, over real processes.

Guards against requests that a stopping gateway sends to an upstream and then ends without an
answer.
"""

from __future__ import annotations

import contextlib
import secrets
import signal
import socket
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

import pytest

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    example_document,
    running_discovered_fleet,
    wait_until,
)

LONG_SECONDS = 30
"""Duration of a plain request that outlasts a planned stop."""

LONG_EVENTS = 1000
"""Events of a stream that outlasts a planned stop."""

SHORT_EVENTS = 90
"""Events of a stream that ends within a planned stop, but not within its notice."""

STOP_DELAYS_SECONDS = (0.0, 0.4, 0.8, 1.2, 1.6, 2.4)
"""Times after the stop signal at which requests are sent; the first are taken."""

ONCE_ROUTES = ("preview", "once")
"""Routes whose requests may run once only."""

DEADLINE_MS = 20_000
"""Deadline of the requests, which is past the end of a planned stop."""

WAIT_SECONDS = 1.5
"""Back-off of all services, which requests of the route `patient` wait for."""


@dataclass(kw_only=True)
class Outcome:
    """What the caller of one request received."""

    id: str
    """Its `Attempt-Id`."""

    route: str
    """Name of its route."""

    data: bytes
    """All bytes until the connection ended."""

    @property
    def status(self) -> int:
        """Status of the answer; 0 without an answer."""
        return int(self.data[9:12]) if self.data.startswith(b"HTTP/1.1 ") else 0

    @property
    def is_whole(self) -> bool:
        """Whether the answer is framed as complete."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        for line in head.lower().splitlines():
            if line.startswith(b"content-length:"):
                return len(body) == int(line.partition(b":")[2])
        return body.endswith(b"0\r\n\r\n")


def document(version: int) -> dict[str, Any]:
    """Return the example document with long timeouts and more routes."""
    example = example_document(version)
    draft, _status, preview, _open = example["routes"]
    once = draft | {"name": "once", "pathPrefix": "/once/", "resumable": False}
    patient = preview | {
        "name": "patient",
        "pathPrefix": "/patient/",
        "targetLatencyMs": 4 * WAIT_SECONDS * 1000,
    }
    routes = [route | {"timeoutMs": DEADLINE_MS} for route in (*example["routes"], once, patient)]
    return example | {"routes": routes}


@contextlib.contextmanager
def running_stoppable_fleet(**more: Any) -> Iterator[DiscoveredFleet]:
    """Run two gateways with short planned stops; yields once both serve.

    Args:
        more: Further options of `running_discovered_fleet`.
    """
    options = {"engines": 3, "services": 2, "gateways": 2, "stop_seconds": 4, "document": document}
    with running_discovered_fleet(**options, **more) as running:
        for gateway in range(running.gateways):
            wait_until(lambda: is_served(running, gateway), 20, "requests served")  # noqa: B023
        yield running


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_stoppable_fleet() as running:
        yield running


@pytest.fixture(autouse=True)
def stopped_gateway(fleet: DiscoveredFleet) -> Iterator[None]:
    """Start the gateway that a test stopped, and let services answer fast again."""
    yield
    set_mode(fleet)
    fleet.wait_exit("gateway-1")
    fleet.restart("gateway-1")
    wait_until(lambda: fleet.ready(1) and is_served(fleet, 1), 20, "ready again")


def set_mode(fleet: DiscoveredFleet, **mode: Any) -> None:
    """Set how all services respond."""
    for number in range(2):
        fleet.set_response_mode(f"services-{number}", **mode)


def is_served(fleet: DiscoveredFleet, gateway: int) -> bool:
    """Return whether a gateway serves streams and plain requests."""
    outcomes = [send(fleet, gateway, route, events=5) for route in ("draft", "preview", "status")]
    return all(outcome.status == 200 and outcome.is_whole for outcome in outcomes)


def build_request(
    route: str, attempt: str, *, events: int, deadline_ms: int = DEADLINE_MS, close: bool = True
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"POST /{route}/x HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
        "Content-Length: 4",
    ]
    if route in ("draft", "once"):
        lines.append(f"Token-Count: 10,{events}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\nbody").encode()


def new_attempt(route: str) -> str:
    return f"{route}-{secrets.token_hex(8)}"


def connect(fleet: DiscoveredFleet, gateway: int) -> socket.socket:
    host, _, port = fleet.caller_address(gateway).rpartition(":")
    return socket.create_connection((host, int(port)), timeout=30)


def receive_all(sock: socket.socket) -> bytes:
    """Read until the connection ends or is reset."""
    data = bytearray()
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionError:
        pass
    return bytes(data)


def send(
    fleet: DiscoveredFleet,
    gateway: int,
    route: str,
    *,
    attempt: str = "",
    events: int = LONG_EVENTS,
    delay: float = 0.0,
    deadline_ms: int = DEADLINE_MS,
) -> Outcome:
    """Send one request on a new connection after a delay, and read until the connection ends."""
    time.sleep(delay)
    attempt = attempt or new_attempt(route)
    data = b""
    try:
        with connect(fleet, gateway) as sock:
            sock.sendall(build_request(route, attempt, events=events, deadline_ms=deadline_ms))
            data = receive_all(sock)
    except ConnectionError:
        pass
    return Outcome(id=attempt, route=route, data=data)


def send_on_kept(sock: socket.socket, route: str, delay: float) -> Outcome:
    """Send one request on an open connection after a delay, and read until it ends."""
    time.sleep(delay)
    attempt = new_attempt(route)
    data = b""
    with sock:
        try:
            sock.sendall(build_request(route, attempt, events=LONG_EVENTS))
            data = receive_all(sock)
        except ConnectionError:
            pass
    return Outcome(id=attempt, route=route, data=data)


def open_kept(fleet: DiscoveredFleet, gateway: int) -> socket.socket:
    """Return a connection on which one request was answered."""
    sock = connect(fleet, gateway)
    sock.sendall(build_request("status", new_attempt("kept"), events=0, close=False))
    data = b""
    while not data.endswith(b"echo:body"):
        part = sock.recv(65536)
        assert part
        data += part
    assert data.startswith(b"HTTP/1.1 200")
    return sock


def run_counts(fleet: DiscoveredFleet) -> Counter[str]:
    return Counter(line["id"] for line in fleet.ledger())


def wait_for_runs(fleet: DiscoveredFleet, attempts: list[str]) -> None:
    wait_until(lambda: set(attempts) <= run_counts(fleet).keys(), 10, "requests at upstreams")


def check_answers(fleet: DiscoveredFleet, outcomes: list[Outcome], late: set[str]) -> None:
    """Check that each request that ran has a final answer, and that refused ones did not run.

    Args:
        fleet: The fleet.
        outcomes: Outcomes of all requests.
        late: Ids of those that were sent after the stop signal; they take longer than a planned
            stop.
    """
    runs = run_counts(fleet)
    wrong = []
    for outcome in outcomes:
        ran = runs[outcome.id]
        begun = outcome.status == 200 and not outcome.is_whole
        if ran and not (outcome.status in (502, 504) and outcome.is_whole) and not begun:
            wrong.append((outcome, "no final answer of a request that ran"))
        if outcome.status == 503 and (ran or not outcome.is_whole):
            wrong.append((outcome, "refused, but ran"))
        if begun and outcome.route not in ("draft", "once"):
            wrong.append((outcome, "plain answer broken off"))
        if outcome.route in ONCE_ROUTES and (ran > 1 or (ran and outcome.id in late)):
            wrong.append((outcome, f"may run once only, ran {ran} times"))
    assert not [(item.id, reason, item.data[-300:]) for item, reason in wrong]


@pytest.mark.parametrize("route", ["preview", "status", "once", "draft"])
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
def test_request_that_outlasts_a_planned_stop_is_answered(
    fleet: DiscoveredFleet, route: str, kept: bool
) -> None:
    """Failure: requests were sent to upstreams during a planned stop, and ended without an answer
    at its end."""
    socks = [open_kept(fleet, 1) for _ in STOP_DELAYS_SECONDS] if kept else []
    set_mode(fleet, seconds=LONG_SECONDS)
    early = [new_attempt(route) for _ in range(2)]
    with ThreadPoolExecutor(max_workers=32) as threads:
        running: list[Future[Outcome]] = [
            threads.submit(send, fleet, 1, route, attempt=attempt) for attempt in early
        ]
        wait_for_runs(fleet, early)
        fleet.signal("gateway-1", signal.SIGTERM)
        for number, delay in enumerate(STOP_DELAYS_SECONDS):
            running.append(
                threads.submit(send_on_kept, socks[number], route, delay)
                if kept
                else threads.submit(send, fleet, 1, route, delay=delay)
            )
    outcomes = [item.result() for item in running]
    check_answers(fleet, outcomes, {item.id for item in outcomes} - set(early))
    assert fleet.wait_exit("gateway-1") == 0


def test_stream_without_an_event_at_the_end_of_a_planned_stop_is_answered(
    fleet: DiscoveredFleet,
) -> None:
    """Failure: a stream whose engines had sent no event yet ended without an answer, or was refused
    as not run although an engine may run it."""
    engines = [name for name in fleet.boxes if name.startswith("engines")]
    requests = [(open_kept(fleet, 1), route) for route in ("draft", "once") for _ in range(3)]
    try:
        for name in engines:
            fleet.signal(name, signal.SIGSTOP)
        with ThreadPoolExecutor(max_workers=8) as threads:
            running = [threads.submit(send_on_kept, sock, route, 0.0) for sock, route in requests]
            # A request that comes after the signal is refused or answered in the same way.
            fleet.signal("gateway-1", signal.SIGTERM)
        outcomes = [item.result() for item in running]
    finally:
        for name in engines:
            fleet.signal(name, signal.SIGCONT)
    assert {item.status for item in outcomes} <= {502, 503, 504}, outcomes
    assert all(item.is_whole for item in outcomes)
    wait_until(lambda: is_served(fleet, 0), 20, "engines serve again")
    runs = run_counts(fleet)
    assert not [item.id for item in outcomes if item.status == 503 and runs[item.id]]
    assert not [item.id for item in outcomes if item.route == "once" and runs[item.id] > 1]


def test_pipelined_request_of_a_planned_stop_is_answered(fleet: DiscoveredFleet) -> None:
    """Failure: a request sent ahead on a connection was read, and its connection closed without an
    answer once the one before it was answered in a planned stop."""
    first, second = new_attempt("draft"), new_attempt("status")
    with connect(fleet, 1) as sock:
        sock.sendall(build_request("draft", first, events=SHORT_EVENTS, close=False))
        wait_for_runs(fleet, [first])
        sock.sendall(build_request("status", second, events=0, close=False))
        fleet.signal("gateway-1", signal.SIGTERM)
        data = receive_all(sock)
    head, _, later = data.partition(b"0\r\n\r\n")
    assert head.count(b"id: ") == SHORT_EVENTS
    outcome = Outcome(id=second, route="status", data=later)
    assert outcome.status in (200, 503), data[-300:]
    assert outcome.is_whole
    assert run_counts(fleet)[second] == (outcome.status == 200)


def count_backoffs(fleet: DiscoveredFleet) -> int:
    """Return how often services asked the second gateway for rest."""
    lines = fleet.log("gateway-1")
    return sum(line["message"] == "upstream requested back-off" for line in lines)


def test_request_that_waits_when_a_planned_stop_begins_is_not_sent_late(
    fleet: DiscoveredFleet,
) -> None:
    """Failure: a request that may run once only waited for upstreams when a planned stop began, was
    sent, and ended without an answer."""
    set_mode(fleet, rest=str(WAIT_SECONDS), seconds=LONG_SECONDS)
    known = count_backoffs(fleet)
    with ThreadPoolExecutor(max_workers=8) as threads:
        # Both services refuse the first request, and the others wait for them.
        running = [threads.submit(send, fleet, 1, "patient")]
        wait_until(lambda: count_backoffs(fleet) >= known + 2, 10, "back-off of both services")
        running += [threads.submit(send, fleet, 1, "patient") for _ in range(3)]
        fleet.signal("gateway-1", signal.SIGTERM)
        wait_until(lambda: not fleet.ready(1), 5, "not ready")
        set_mode(fleet, seconds=LONG_SECONDS)
    outcomes = [item.result() for item in running]
    assert {item.status for item in outcomes} == {503}, [item.data for item in outcomes]
    runs = run_counts(fleet)
    assert not [item.id for item in outcomes if runs[item.id]]
    assert fleet.wait_exit("gateway-1") == 0


def test_request_that_waits_for_the_start_is_not_sent_late(fleet: DiscoveredFleet) -> None:
    """Failure: a request that may run once only waited for the start of a box that was stopped at
    once, was sent, and ended without an answer."""
    set_mode(fleet, seconds=LONG_SECONDS)
    fleet.kill("gateway-1")
    fleet.restart("gateway-1")
    wait_until(lambda: accepts(fleet, 1), 10, "connections accepted")
    with ThreadPoolExecutor(max_workers=8) as threads:
        running = [threads.submit(send, fleet, 1, "preview") for _ in range(4)]
        fleet.signal("gateway-1", signal.SIGTERM)
    outcomes = [item.result() for item in running]
    # A request may have been sent before the signal arrived.
    check_answers(fleet, outcomes, set())
    assert fleet.wait_exit("gateway-1") == 0


def accepts(fleet: DiscoveredFleet, gateway: int) -> bool:
    try:
        connect(fleet, gateway).close()
    except ConnectionError:
        return False
    return True


def test_request_whose_deadline_fits_is_served_in_a_planned_stop(fleet: DiscoveredFleet) -> None:
    """Failure: a stopping gateway that is still asked refused what it could answer in time.

    No answer means that it no longer listened.
    """
    fleet.signal("gateway-1", signal.SIGTERM)
    wait_until(lambda: not fleet.ready(1), 5, "not ready")
    outcomes = [send(fleet, 1, route, deadline_ms=1000, events=5) for route in ONCE_ROUTES]
    assert {item.status for item in outcomes} <= {200, 0}, outcomes
    assert all(item.is_whole for item in outcomes if item.status)


def test_stopping_gateway_refuses_at_once_what_may_outlast_it(fleet: DiscoveredFleet) -> None:
    """Failure: a request that may run once only was taken in a planned stop that its deadline
    outlasts.

    The refusal names a time to return, and another gateway serves the request. No answer means that
    the gateway no longer listened.
    """
    fleet.signal("gateway-1", signal.SIGTERM)
    wait_until(lambda: not fleet.ready(1), 5, "not ready")
    for route in ONCE_ROUTES:
        refused = send(fleet, 1, route, events=5)
        assert refused.status in (503, 0), refused
        assert not refused.status or b"retry-after:" in refused.data.lower()
        assert not run_counts(fleet)[refused.id]
        assert send(fleet, 0, route, events=5).status == 200
