"""Clients that do not behave, at the ports of the own interface for callers and operators.

Only what does not depend on the speed of the machine is checked, as in `test_crowds`.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from ledgeladder.links import split_address
from standins.crowds import chunked, crowd_at, wait_settled
from standins.fleet import OPERATOR_TOKEN, Fleet, running_fleet, wait_until

from .callers import KEY
from .conftest import configure_and_wait

MEMORY_MB = 128
"""Memory of each machine, by the settings; the bound on the memory of each process."""

BODY_BYTES = 1_048_576
"""Longest body that both ports take."""

CHUNK = 65_536
"""Size of a large chunk, and how far before their limit bodies stop."""

CROWD = 150
"""Connections of a crowd whose bodies together are larger than the memory."""

BASE_DESCRIPTORS = 100
"""Descriptors of a process for everything but the connections of the crowd."""

ANSWER_SECONDS = 30
"""How long an ordinary request is tried; a process that hangs is not reached within it."""

HEADS = {
    "entry-a1": "POST /v1/services/previews/work HTTP/1.1\r\n"
    f"Authorization: {KEY['authorization']}\r\n",
    "control-1": f"POST /v1/changes HTTP/1.1\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n",
}
"""Begins of requests by the process that they are sent to."""

CHUNKED = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n"

REQUESTS = {
    "large-chunks": (CHUNKED, chunked(BODY_BYTES - CHUNK, CHUNK)),
    "one-byte-chunks": (CHUNKED, chunked(10_000, 1)),
    "announced": ("Host: x\r\nContent-Length: 1000000\r\n\r\n", b"x" * 990_000),
    "far-over-the-limit": (CHUNKED, chunked(5 * BODY_BYTES, CHUNK)),
    "heads": ("X-Long: " + "x" * 15_000, b""),
}
"""Rests of requests that never end, by what they consist of."""


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """A fleet of its own for each test, as the highest memory use of a process never falls."""
    with running_fleet(
        controls=1, entries_per_domain=(1, 0, 0), engines=[], services=1, memory_mb=MEMORY_MB
    ) as running:
        yield configure_and_wait(running)


def is_served(fleet: Fleet, name: str) -> bool:
    """Return True if an ordinary request is answered."""
    try:
        if name.startswith("control"):
            return fleet.operator(name, "/v1/configuration").status_code == 200
        url = f"{fleet.url(name)}/v1/services/previews/work"
        body = {"what": "x" * 1000, "seconds": 0.0}
        return fleet.client.post(url, json=body, headers=KEY, timeout=8).status_code == 200
    except httpx.HTTPError:
        return False


@pytest.mark.parametrize("name", HEADS)
@pytest.mark.parametrize("kind", REQUESTS)
def test_requests_that_never_end_stay_within_memory(fleet: Fleet, name: str, kind: str) -> None:
    """Guards against bodies that are each within their limit and together use up the memory."""
    process = fleet.processes[name]
    address = split_address(fleet.addresses[f"{name}/operator" if "control" in name else name])

    def descriptors() -> int:
        return len(os.listdir(f"/proc/{process.pid}/fd"))

    def check() -> None:
        wait_settled(address, descriptors)
        wait_until(lambda: is_served(fleet, name), ANSWER_SECONDS, "an ordinary request")
        assert process.popen is not None
        assert process.popen.poll() is None
        status = Path(f"/proc/{process.pid}/status").read_text().splitlines()
        peak = next(line for line in status if line.startswith("VmHWM"))
        assert int(peak.split()[1]) < MEMORY_MB * 1024
        assert descriptors() <= CROWD + BASE_DESCRIPTORS

    rest, body = REQUESTS[kind]
    payload = (HEADS[name] + rest).encode() + body
    with crowd_at(address) as crowd:
        connections = crowd.connect(CROWD)
        wait_settled(address, descriptors)
        crowd.send((connection, payload) for connection in connections)
        check()
    check()
    wait_until(lambda: descriptors() <= BASE_DESCRIPTORS, ANSWER_SECONDS, "the crowd is closed")


def test_full_size_requests_are_served_in_calm(fleet: Fleet) -> None:
    """Guards against a limit on the sum that refuses a request inside the limits of its own."""
    url = f"{fleet.url('entry-a1')}/v1/services/previews/work"
    body = b'{"what": "x", "seconds": 0.0}'.ljust(BODY_BYTES)
    assert fleet.client.post(url, content=body, headers=KEY, timeout=30).status_code == 200
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    url = f"http://{fleet.addresses['control-1/operator']}/v1/changes"
    answer = fleet.client.post(url, content=b"{}".ljust(BODY_BYTES), headers=headers, timeout=30)
    assert answer.status_code == 400, answer.text
