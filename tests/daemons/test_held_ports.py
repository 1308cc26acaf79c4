"""Ports that another socket holds while a process starts."""

from __future__ import annotations

import contextlib
import socket
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest

from ledgeladder.links import split_address
from standins.discovered_fleet import DiscoveredFleet, wait_until
from standins.fleet import Fleet

from .callers import accepts
from .test_gateway import request
from .test_reset_connections import failures

TRIES = 10
"""Failures to listen that are waited for: more than a limit of restarts would allow."""


@contextlib.contextmanager
def held_port(address: tuple[str, int]) -> Iterator[None]:
    """Hold a port by a connection, as an outgoing connection of any process may."""
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(address)
        holder.listen(1)
        yield


def assert_lives_through_tries(popen: subprocess.Popen[bytes], log: Path, before: int) -> None:
    """Wait until a process has failed to listen often enough, and check that it lives."""
    wait_until(
        lambda: popen.poll() is not None or failures(log) >= before + TRIES, 60, "tried again"
    )
    assert popen.poll() is None


@pytest.mark.parametrize(
    ("name", "offset", "serves"),
    [
        ("registry-1", 0, True),
        ("registry-1", 1, True),
        ("registry-1", 2, True),
        ("gateway-1", 1, True),
        ("gateway-1", 3, False),
        ("gateway-1", 4, True),
        ("gateway-1", 7, True),
    ],
)
def test_held_port_keeps_one_listener_away_and_ends_no_process(
    discovered: DiscoveredFleet, name: str, offset: int, serves: bool
) -> None:
    """Guards against a port that is taken at the start, which spent all restarts of the process."""
    box = discovered.boxes[name]
    address = (box.ip, discovered.port + offset)

    discovered.kill(name)
    before = failures(box.log)
    with held_port(address):
        discovered.restart(name)
        assert box.popen is not None
        assert_lives_through_tries(box.popen, box.log, before)
        if name == "gateway-1" and serves:
            wait_until(
                lambda: request(discovered, "status", gateway=1).status_code == 200, 20, "ok"
            )
        if not serves:
            assert not discovered.ready(1)
    wait_until(lambda: accepts(address), 20, "listening")
    wait_until(lambda: discovered.ready(1), 20, "ready")
    assert request(discovered, "status", gateway=1).status_code == 200


@pytest.mark.parametrize(
    ("name", "interface"),
    [("control-1", "/link"), ("control-1", "/operator"), ("entry-a1", "/link"), ("entry-a1", "")],
)
def test_held_port_ends_no_process_of_listed_boxes(
    listed: Fleet, name: str, interface: str
) -> None:
    """Guards against a port that is taken at the start, which spent all restarts of the process."""
    process = listed.processes[name]
    address = split_address(listed.addresses[name + interface])
    listed.wait_ready()
    listed.kill(name)
    before = failures(process.log)
    with held_port(address):
        listed.launch(name)
        assert process.popen is not None
        assert_lives_through_tries(process.popen, process.log, before)
    wait_until(lambda: accepts(address), 20, "listening")
    listed.wait_ready(20)
