"""Many upstream answers at once that have no end, that are long, or that nobody reads.

Guards against a gateway whose memory grows with what upstreams send, and which then ends with the
requests of other callers.
"""

from __future__ import annotations

import secrets
import select
import socket
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack
from typing import Any

import httpx
import pytest

from ledgeladder.links import split_address
from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    example_document,
    running_discovered_fleet,
    wait_until,
)

from .test_gateway import request, serves_streams, stream_text

MEBIBYTE = 1024 * 1024

MEMORY_MB = 128
"""Memory of each machine, by the settings; the bound on the memory of each process."""

CALLERS = 30
"""Callers at once, whose answers together are larger than the memory."""

LONG_BYTES = 8 * MEBIBYTE
"""Size of a long answer, within the bound for each."""

EVENT_BYTES = 192 * 1024
"""Size of a long event, within the bound for each."""

DIRECT, RELAYED = 0, 1
"""Gateways of the fleet; the second one reaches no upstream itself."""

PLAIN_CASES = [
    ("header fields", DIRECT),
    ("interim answers", DIRECT),
    ("body with a length", DIRECT),
    ("body with a length", RELAYED),
    ("body until the end", DIRECT),
    ("body until the end", RELAYED),
    ("chunks", DIRECT),
    ("chunk extension", DIRECT),
]
STREAM_CASES = [
    ("status line", DIRECT),
    ("body with a length", DIRECT),
    ("one event", DIRECT),
    ("comments", DIRECT),
    ("comments", RELAYED),
]

OTHER_SECONDS = 60.0
"""Deadline of the stream of another caller, which no machine is too slow for."""

OTHER_EVENTS = 60
"""Events of the stream of another caller."""


def case_name(value: str | int) -> str:
    """Return a name without spaces for a parameter."""
    return ("direct", "relayed")[value] if isinstance(value, int) else value.replace(" ", "-")


@pytest.fixture
def fleet() -> Iterator[DiscoveredFleet]:
    """A fleet of its own for each test, as the highest memory use of a process never falls."""

    def document(version: int) -> dict[str, Any]:
        content = example_document(version)
        for route in content["routes"]:
            route["timeoutMs"] = int(OTHER_SECONDS * 1000)
        return content

    client = httpx.Client(timeout=OTHER_SECONDS, trust_env=False)
    with running_discovered_fleet(
        gateways=2,
        engines=2,
        services=2,
        cut_gateways=(RELAYED,),
        document=document,
        client=client,
        memory_mb=MEMORY_MB,
    ) as running:
        wait_until(lambda: serves_streams(running, DIRECT), 20, "streams")
        wait_until(lambda: serves_streams(running, RELAYED), 20, "relayed streams")
        yield running


def peak_bytes(fleet: DiscoveredFleet, name: str) -> int:
    """Return the highest memory use of a process so far."""
    popen = fleet.boxes[name].popen
    assert popen is not None
    with open(f"/proc/{popen.pid}/status") as status:
        fields = dict(line.split(":", 1) for line in status)
    return int(fields["VmHWM"].split()[0]) * 1024


def send(fleet: DiscoveredFleet, gateway: int, target: str) -> socket.socket:
    """Send a request whose answer is not read; the kernel keeps little of it."""
    host, port = split_address(fleet.caller_address(gateway))
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    caller.connect((host, port))
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {secrets.token_hex(8)}\r\n"
        f"Deadline-Ms: 6000\r\nAuthorization: Token {KEY}\r\nContent-Length: 0\r\n"
    )
    if target.startswith("/draft/"):
        head += "Token-Count: 10,30\r\n"
    caller.sendall(f"{head}\r\n".encode())
    return caller


def crowd(fleet: DiscoveredFleet, gateway: int, target: str) -> list[socket.socket]:
    """Send a request for each caller, and wait until each has an answer, its end or its begin."""
    callers = [send(fleet, gateway, target) for _ in range(CALLERS)]
    waiting = set(callers)

    def all_answered() -> bool:
        waiting.difference_update(select.select(waiting, [], [], 0)[0] if waiting else [])
        return not waiting

    wait_until(all_answered, 30, "every caller has an answer")
    return callers


def check_crowd(fleet: DiscoveredFleet, gateway: int, target: str) -> None:
    """Send the crowd beside the stream of another caller, and check what must hold."""

    def is_served() -> bool:
        return request(fleet, "status", gateway=gateway).status_code == 200

    runs = len(fleet.ledger())
    with ExitStack() as sockets, ThreadPoolExecutor(1) as threads:
        beside: Future[httpx.Response] = threads.submit(
            request,
            fleet,
            "draft",
            gateway=gateway,
            Token_Count=f"10,{OTHER_EVENTS}",
            Deadline_Ms=str(int(OTHER_SECONDS * 1000)),
        )
        wait_until(lambda: len(fleet.ledger()) > runs, 20, "the other caller's stream runs")
        for caller in crowd(fleet, gateway, target):
            sockets.enter_context(caller)
        answer = beside.result()
        assert answer.status_code == 200
        assert answer.text == stream_text(0, OTHER_EVENTS)
        wait_until(is_served, 20, "an ordinary request beside unread answers")
        for number in range(fleet.gateways):
            box = fleet.boxes[f"gateway-{number}"]
            assert box.popen is not None
            assert box.popen.poll() is None
            assert peak_bytes(fleet, box.name) < MEMORY_MB * MEBIBYTE
    wait_until(is_served, 20, "an ordinary request")
    wait_until(lambda: serves_streams(fleet, gateway), 20, "a stream")


@pytest.mark.parametrize(("part", "gateway"), PLAIN_CASES, ids=case_name)
def test_plain_answers_without_end_stay_within_memory(
    fleet: DiscoveredFleet, part: str, gateway: int
) -> None:
    """Guards against answers that are each within their bound and together exceed the memory."""
    target = f"/status/trouble?{httpx.QueryParams(endless=part)}"
    check_crowd(fleet, gateway, target)


@pytest.mark.parametrize(("part", "gateway"), STREAM_CASES, ids=case_name)
def test_streams_without_end_stay_within_memory(
    fleet: DiscoveredFleet, part: str, gateway: int
) -> None:
    """Guards against streams that are each within their bound and together exceed the memory."""
    target = f"/draft/trouble?{httpx.QueryParams(endless=part)}"
    check_crowd(fleet, gateway, target)


@pytest.mark.parametrize("gateway", [DIRECT, RELAYED], ids=case_name)
def test_long_answers_that_nobody_reads_stay_within_memory(
    fleet: DiscoveredFleet, gateway: int
) -> None:
    """Guards against answers that are kept, uncounted, for callers that do not read."""
    check_crowd(fleet, gateway, f"/status/trouble?answer_bytes={LONG_BYTES}")


@pytest.mark.parametrize("gateway", [DIRECT, RELAYED], ids=case_name)
def test_streams_that_nobody_reads_stay_within_memory(fleet: DiscoveredFleet, gateway: int) -> None:
    """Guards against events that are read ahead of callers that do not read."""
    check_crowd(fleet, gateway, f"/draft/trouble?event_bytes={EVENT_BYTES}")


def test_long_answer_is_whole_in_calm(fleet: DiscoveredFleet) -> None:
    """Guards against a bound that a single answer within the limits meets."""
    for gateway in (DIRECT, RELAYED):
        url = f"http://{fleet.caller_address(gateway)}/status/trouble"
        fields = {
            "Host": HOST,
            "Attempt-Id": secrets.token_hex(8),
            "Deadline-Ms": "6000",
            "Authorization": f"Token {KEY}",
        }
        parameters = {"answer_bytes": LONG_BYTES}
        answer = fleet.client.post(url, headers=fields, params=parameters)
        assert answer.status_code == 200
        assert len(answer.content) == LONG_BYTES
