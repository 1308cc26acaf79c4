"""Connections at the ports of links and relayed connections that come from no box of the system.

Guards against a process whose memory or descriptors such connections use up.
"""

from __future__ import annotations

import os
import resource
import socket
import struct
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet, wait_until

from .test_gateway import request
from .test_reset_connections import failures
from .test_unbounded_answers import MEBIBYTE, peak_bytes

MEMORY_MB = 96
"""Memory of each machine, by the settings; the bound on the memory of each process."""

CONNECTIONS = 200
"""Connections at once."""

SPARE_DESCRIPTORS = 80
"""Descriptors that a process has besides those in use."""

SENT = {
    "nothing": b"",
    "half-a-prefix": b"\0\0",
    "half-a-frame": struct.pack(">I", 4000) + b"x" * 3000,
    "frame-announced-large": struct.pack(">I", 64 * MEBIBYTE) + b"x" * 65536,
    "compressed-frame-announced-large": struct.pack(">I", (1 << 31) | (64 * MEBIBYTE)) + b"x" * 999,
    "endless-frames": (struct.pack(">I", 1) + b"\xc0") * 10_000,
}
"""What each connection sends."""

PORTS = {
    "links-of-a-registry": ("registry-1", 0),
    "relay-of-a-gateway": ("gateway-0", 7),
}
"""Process and port, as an offset from its first one."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(
        gateways=2, engines=0, services=1, cut_gateways=(1,), memory_mb=MEMORY_MB
    ) as running:
        yield running


def is_served(fleet: DiscoveredFleet, gateway: int) -> bool:
    return request(fleet, "status", gateway=gateway).status_code == 200


def descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(Path("/proc", str(pid), "fd")))


@pytest.mark.parametrize("sent", SENT)
@pytest.mark.parametrize("port", PORTS)
def test_strangers_at_a_peer_port_use_up_nothing(
    fleet: DiscoveredFleet, port: str, sent: str
) -> None:
    """Guards against connections without a handshake that end a process or its listener."""
    name, offset = PORTS[port]
    fleet.restart(name)
    for gateway in range(fleet.gateways):
        wait_until(lambda: is_served(fleet, gateway), 20, "served before")  # noqa: B023
    box = fleet.boxes[name]
    assert box.popen is not None
    pid = box.popen.pid
    before, failed_before = descriptors(pid), failures(box.log)
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (before + SPARE_DESCRIPTORS, limits[1]))
    try:
        with ExitStack() as sockets:
            for _ in range(CONNECTIONS):
                stranger = sockets.enter_context(socket.socket())
                stranger.setblocking(False)
                stranger.connect_ex((box.ip, fleet.port + offset))
                wait_until(lambda: try_send(stranger, SENT[sent]), 20, "sent")  # noqa: B023
            for gateway in range(fleet.gateways):
                wait_until(lambda: is_served(fleet, gateway), 20, "served beside")  # noqa: B023
            assert box.popen.poll() is None
        wait_until(
            lambda: descriptors(pid) < before + SPARE_DESCRIPTORS // 2, 20, "descriptors closed"
        )
    finally:
        if box.popen.poll() is None:
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    assert box.popen.poll() is None
    assert failures(box.log) == failed_before
    assert peak_bytes(fleet, name) < MEMORY_MB * MEBIBYTE
    fleet.publish_next()
    for gateway in range(fleet.gateways):
        wait_until(lambda: is_served(fleet, gateway), 20, "served after")  # noqa: B023


def try_send(stranger: socket.socket, data: bytes) -> bool:
    """Send data once a connection is open; True also if it was refused or closed before."""
    try:
        stranger.send(data)
    except BlockingIOError:
        return False
    except OSError as error:
        return error.errno is not None
    return True
