"""Connections that are reset before a process has begun to serve them, at every port."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from ledgeladder.links import split_address
from standins.discovered_fleet import DiscoveredFleet, wait_until
from standins.fleet import Fleet
from standins.resets import HEAD, reset_connections

from .test_gateway import request

ROUNDS = 60
"""Times at which connections are reset; more than restarts within any one second."""

PAUSE_SECONDS = 0.02
"""Between two rounds, so that the process runs in between."""


def reset_in_series(address: tuple[str, int]) -> None:
    """Reset a few connections at a time, again and again, and accept that some are refused."""
    for _ in range(ROUNDS):
        reset_connections(address, 5)
        reset_connections(address, 2, HEAD)
        time.sleep(PAUSE_SECONDS)


def failures(log: Path) -> int:
    """Return how often children of a process have failed, by its log."""
    return log.read_text().count('"child failed"')


@pytest.mark.parametrize(
    ("name", "offset"),
    [("registry-1", offset) for offset in (0, 1, 2)]
    + [("gateway-1", offset) for offset in (1, 3, 4, 7)],
)
def test_reset_connections_end_neither_process_nor_listener(
    discovered: DiscoveredFleet, name: str, offset: int
) -> None:
    """Guards against an error of one connection that ends the listener of all, and the process."""
    box = discovered.boxes[name]
    discovered.restart(name)
    wait_until(lambda: discovered.ready(1), 20, "ready")
    assert box.popen is not None
    before = failures(box.log)
    reset_in_series((box.ip, discovered.port + offset))
    assert box.popen.poll() is None
    assert failures(box.log) == before
    wait_until(lambda: request(discovered, "status", gateway=1).status_code == 200, 20, "served")


def test_connections_that_are_reset_while_a_box_is_suspended_keep_its_links(
    discovered: DiscoveredFleet,
) -> None:
    """Guards against the loss of all links of a control box that wakes to reset connections."""
    box = discovered.boxes["registry-2"]
    before = failures(box.log)
    lost = [line for line in discovered.log("gateway-0") if line["message"] == "dependency lost"]
    discovered.signal("registry-2", signal.SIGSTOP)
    reset_connections((box.ip, discovered.port), 40)
    discovered.signal("registry-2", signal.SIGCONT)
    discovered.publish_next()
    wait_until(lambda: request(discovered, "status").status_code == 200, 20, "served")
    assert failures(box.log) == before
    after = [line for line in discovered.log("gateway-0") if line["message"] == "dependency lost"]
    assert after == lost


@pytest.mark.parametrize(
    ("name", "interface"),
    [("control-1", "/link"), ("control-1", "/operator"), ("entry-a1", "/link"), ("entry-a1", "")],
)
def test_reset_connections_end_no_process_of_listed_boxes(
    listed: Fleet, name: str, interface: str
) -> None:
    """Guards against an error of one connection that ends the listener of all, and the process."""
    process = listed.processes[name]
    if process.popen is None or process.popen.poll() is not None:
        listed.launch(name)
    listed.wait_leader()
    listed.wait_ready()
    assert process.popen is not None
    before = failures(process.log)
    reset_in_series(split_address(listed.addresses[name + interface]))
    assert process.popen.poll() is None
    assert failures(process.log) == before
    listed.wait_ready()
