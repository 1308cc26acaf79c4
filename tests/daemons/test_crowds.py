"""Clients that do not behave: many at once, whose requests together exceed a process.

Only what does not depend on the speed of the machine is checked: the process lives, its memory and
descriptors stay under bounds that follow from the settings, and an ordinary request is answered
while the crowd is still connected.
"""

from __future__ import annotations

import contextlib
import os
import resource
import socket
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from standins.crowds import Crowd, chunked, crowd_at, wait_settled
from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    example_document,
    running_discovered_fleet,
    wait_until,
)

from .test_gateway import request

MEMORY_MB = 96
"""Memory of each machine, by the settings; the bound on the memory of each process."""

BODY_BYTES = 1_048_576
"""Longest body that the document allows."""

IDLE_MS = 600_000
"""Longest pause that the document allows, so that no connection leaves by itself."""

DESCRIPTORS = 256
"""Descriptors of a process in the test of silent connections."""

BASE_DESCRIPTORS = 100
"""Descriptors of a process for everything but the connections of its callers."""

CROWD = 150
"""Connections of a crowd whose bodies together are larger than the memory."""

AHEAD = 60
"""Connections of a crowd that sends requests ahead, each of which may need one to an upstream."""

CHUNK = 65_536
"""Size of a large chunk, and how far before their limit bodies stop."""

ANSWER_SECONDS = 30
"""How long an ordinary request is tried; a process that hangs is not reached within it."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(
        gateways=1, engines=0, services=1, memory_mb=MEMORY_MB
    ) as running:
        limits = example_document(1)["limits"] | {
            "maxBodyBytes": BODY_BYTES,
            "idleTimeoutMs": IDLE_MS,
        }
        running.publish_next(limits=limits)
        yield running


class Target:
    """A process under test, newly started."""

    def __init__(self, fleet: DiscoveredFleet, name: str, offset: int) -> None:
        self.fleet = fleet
        self.box = fleet.boxes[name]
        fleet.kill(name)
        fleet.restart(name)
        assert self.box.popen is not None
        self.popen = self.box.popen
        self.address = (self.box.ip, fleet.port + offset)
        wait_until(self.is_served, ANSWER_SECONDS, f"{name} serves")

    def is_served(self) -> bool:
        """Return True if an ordinary request on a new connection is answered."""
        with contextlib.suppress(httpx.HTTPError):
            if self.box.name.startswith("gateway"):
                # An answer of a service, under the newest document.
                return request(self.fleet, "status", body=b"x" * 1000).status_code == 200
            url = f"http://{self.address[0]}:{self.address[1]}/api/config"
            return httpx.get(url, timeout=5.0, trust_env=False).status_code == 200
        return False

    def memory_mb(self) -> float:
        """Return the most memory that the process had so far, in MB."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.popen.pid}/fd"))

    def connect(self, crowd: Crowd, count: int) -> list[socket.socket]:
        """Open connections, and wait until the process has accepted what it accepts."""
        connections = crowd.connect(count)
        wait_settled(self.address, self.descriptors)
        return connections

    def check(self, most_descriptors: int) -> None:
        """Check everything that must hold while the crowd is connected, and after it."""
        wait_settled(self.address, self.descriptors)
        assert self.popen.poll() is None
        wait_until(self.is_served, ANSWER_SECONDS, "an ordinary request is answered")
        assert self.popen.poll() is None
        assert self.memory_mb() < MEMORY_MB
        assert self.descriptors() <= most_descriptors


@pytest.fixture
def gateway(fleet: DiscoveredFleet) -> Target:
    return Target(fleet, "gateway-0", 3)


@pytest.fixture
def registry(fleet: DiscoveredFleet) -> Target:
    return Target(fleet, "registry-0", 2)


def head(*fields: str, usual: bool = True, method: str = "POST") -> bytes:
    """Return the head of a request.

    Args:
        fields: Further header fields.
        usual: False to leave out all that the platform's callers send.
        method: HTTP method.
    """
    lines = [f"{method} /status/x HTTP/1.1", f"Host: {HOST}"]
    if usual:
        lines += ["Attempt-Id: 0123456789abcdef", "Deadline-Ms: 6000"]
        lines += [f"Authorization: Token {KEY}"]
    return "\r\n".join([*lines, *fields, "", ""]).encode()


CHUNKED_HEAD = head("Transfer-Encoding: chunked")


def send_alike(target: Target, crowd: Crowd, count: int, payload: bytes) -> list[socket.socket]:
    """Send the same on a number of connections at once."""
    connections = target.connect(crowd, count)
    crowd.send((connection, payload) for connection in connections)
    return connections


def test_bodies_in_large_chunks_that_never_end(gateway: Target) -> None:
    """Guards against bodies that together use up the memory, each of them inside its limit."""
    with crowd_at(gateway.address) as crowd:
        send_alike(gateway, crowd, CROWD, CHUNKED_HEAD + chunked(BODY_BYTES - CHUNK, CHUNK))
        gateway.check(CROWD + BASE_DESCRIPTORS)
    gateway.check(CROWD + BASE_DESCRIPTORS)


def test_bodies_in_one_byte_chunks_that_never_end(gateway: Target) -> None:
    """Guards against chunks whose decoding keeps everybody else waiting."""
    with crowd_at(gateway.address) as crowd:
        send_alike(gateway, crowd, CROWD, CHUNKED_HEAD + chunked(10_000, 1))
        gateway.check(CROWD + BASE_DESCRIPTORS)
    gateway.check(CROWD + BASE_DESCRIPTORS)


def test_bodies_far_over_the_limit(gateway: Target) -> None:
    """Guards against bodies that are kept although they are over the limit."""
    with crowd_at(gateway.address) as crowd:
        sent = 3 * BODY_BYTES
        announced = head("Content-Length: 1000000000000") + b"x" * sent
        unannounced = CHUNKED_HEAD + chunked(sent, CHUNK)
        connections = gateway.connect(crowd, CROWD)
        half = CROWD // 2
        crowd.send(
            [(connection, announced) for connection in connections[:half]]
            + [(connection, unannounced) for connection in connections[half:]]
        )
        gateway.check(CROWD + BASE_DESCRIPTORS)
    gateway.check(CROWD + BASE_DESCRIPTORS)


def test_announced_bodies_that_end_byte_by_byte(gateway: Target) -> None:
    """Guards against bodies that are held for as long as a byte arrives now and then."""
    with crowd_at(gateway.address) as crowd:
        payload = head("Content-Length: 1000000") + b"x" * 990_000
        connections = send_alike(gateway, crowd, CROWD, payload)
        for _ in range(10):
            crowd.send((connection, b"x") for connection in connections)
        gateway.check(CROWD + BASE_DESCRIPTORS)
    gateway.check(CROWD + BASE_DESCRIPTORS)


def test_requests_sent_ahead_whose_answers_are_not_read(gateway: Target) -> None:
    """Guards against pipelined requests and unread answers that pile up."""
    with crowd_at(gateway.address) as crowd:
        usual = head(method="GET") * 2000
        bare = head(method="GET", usual=False) * 2000
        connections = gateway.connect(crowd, AHEAD)
        half = AHEAD // 2
        crowd.send(
            [(connection, usual) for connection in connections[:half]]
            + [(connection, bare) for connection in connections[half:]]
        )
        gateway.check(2 * AHEAD + BASE_DESCRIPTORS)
    gateway.check(2 * AHEAD + BASE_DESCRIPTORS)


def test_heads_that_never_end(gateway: Target) -> None:
    """Guards against heads that are kept for as long as they are not complete."""
    with crowd_at(gateway.address) as crowd:
        payload = head()[:-2] + b"X-Long: " + b"x" * 15_000
        send_alike(gateway, crowd, 4 * CROWD, payload)
        gateway.check(4 * CROWD + BASE_DESCRIPTORS)
    gateway.check(4 * CROWD + BASE_DESCRIPTORS)


def limit_descriptors(target: Target) -> None:
    """Lower the descriptors of the process."""
    _, hard = resource.prlimit(target.popen.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(target.popen.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))


def test_silent_connections_leave_descriptors_to_others(gateway: Target) -> None:
    """Guards against idle callers that take the descriptors of everything else."""
    limit_descriptors(gateway)
    with crowd_at(gateway.address) as crowd:
        crowd.connect(2 * DESCRIPTORS)
        gateway.check(DESCRIPTORS * 3 // 4)
    gateway.check(DESCRIPTORS * 3 // 4)


def test_bodies_that_never_end_at_a_control_box(registry: Target) -> None:
    """Guards against documents that together use up the memory of a control box."""
    with crowd_at(registry.address) as crowd:
        payload = b"PUT /api/config HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        send_alike(registry, crowd, CROWD, payload + chunked(2 * BODY_BYTES, CHUNK))
        registry.check(CROWD + BASE_DESCRIPTORS)
    registry.check(CROWD + BASE_DESCRIPTORS)


def test_silent_connections_at_a_control_box(registry: Target) -> None:
    """Guards against idle callers that keep a control box from its peers, disk and upstreams."""
    limit_descriptors(registry)
    with crowd_at(registry.address) as crowd:
        crowd.connect(2 * DESCRIPTORS)
        registry.check(DESCRIPTORS * 3 // 4)
    registry.check(DESCRIPTORS * 3 // 4)


def test_full_size_request_is_served_in_calm(fleet: DiscoveredFleet) -> None:
    """Guards against a limit on the sum that refuses a request inside the limits of its own."""
    assert request(fleet, "status", body=b"x" * BODY_BYTES).status_code == 200
