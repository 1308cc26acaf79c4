"""Departures of upstreams around the loss of control boxes, with real processes."""

from __future__ import annotations

import contextlib
import signal
import time
from collections.abc import Iterator

import anyio
import httpx
import pytest

from ledgeladder.links import Link, LinkIdentity
from ledgeladder.links.endpoint import open_link
from ledgeladder.links.messages import PeerRole, RegistrationUpdate
from ledgeladder.model.registration import UpstreamState
from standins.discovered_fleet import DiscoveredFleet, running_discovered_fleet, wait_until

UPSTREAMS = 10
LINK_EXPIRY_SECONDS = 4.0
"""Time after which links to a suspended box have been closed."""


@pytest.fixture
def fleet() -> Iterator[DiscoveredFleet]:
    """Three control boxes that know `UPSTREAMS` upstreams without heartbeats of their own."""
    with running_discovered_fleet(gateways=0, engines=0, services=0) as running:
        for number in range(UPSTREAMS):
            acknowledge(running, 0, number, "ready")
        for box in range(3):
            wait_until(lambda: len(states(running, box)) == UPSTREAMS, 20, "known")  # noqa: B023
        yield running


def report(fleet: DiscoveredFleet, box: int, number: int, state: str, sequence: int = 1) -> bool:
    """Send a heartbeat or the exit of an upstream, and return whether it was acknowledged."""
    url = f"http://{fleet.control_addresses[box]}/api/replicas/i-{number}"
    body = {
        "service": "services",
        "address": f"127.0.0.1:{number + 1}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": sequence,
    }
    with contextlib.suppress(httpx.HTTPError):
        if state == "exited":
            return fleet.client.delete(url).status_code == 200
        return fleet.client.put(url, json=body).status_code == 200
    return False


def acknowledge(
    fleet: DiscoveredFleet, box: int, number: int, state: str, sequence: int = 1
) -> None:
    """Report until one box has acknowledged it, which takes longer if processes are held up."""
    wait_until(lambda: report(fleet, box, number, state, sequence), 20, f"{state} acknowledged")


def states(fleet: DiscoveredFleet, box: int) -> dict[str, UpstreamState]:
    """Return the states of upstreams that a control box tells an entry box that connects.

    It is empty while the box does not listen yet.
    """
    told: dict[str, UpstreamState] = {}
    identity = LinkIdentity(
        cluster="ledgeladder",
        role=PeerRole.ENTRY,
        box="127.0.0.1",
        failure_domain="zone-a",
        instance="test",
        secret="loopback-secret-0123456789",
    )

    async def read(link: Link) -> None:
        message = await link.receive()
        assert isinstance(message, RegistrationUpdate)
        told.update(
            (item.registration.instance, item.registration.state) for item in message.reported
        )

    async def connect() -> None:
        await open_link(f"{fleet.ip(1, box)}:{fleet.port}", identity, read)

    with contextlib.suppress(OSError):
        anyio.run(connect)
    return told


def departed(fleet: DiscoveredFleet, box: int) -> int:
    return sum(state is not UpstreamState.READY for state in states(fleet, box).values())


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("state", ["draining", "exited"])
def test_acknowledged_departures_outlast_the_box_that_took_them(
    fleet: DiscoveredFleet, state: str, end: signal.Signals
) -> None:
    """Failure: of two departures within milliseconds the second was lost with the box."""
    for number in range(UPSTREAMS):
        acknowledge(fleet, 0, number, state, 2)
    fleet.signal("registry-0", end)
    for box in (1, 2):
        wait_until(lambda: departed(fleet, box) == UPSTREAMS, 5, "departed")  # noqa: B023


def test_departure_that_no_other_box_can_hold_is_not_acknowledged(fleet: DiscoveredFleet) -> None:
    """Failure: a box that reaches no other acknowledged what was lost with it."""
    for box in (1, 2):
        fleet.signal(f"registry-{box}", signal.SIGSTOP)
    assert not report(fleet, 0, 0, "draining", 2)
    assert not report(fleet, 0, 1, "exited")
    # Neither once its links have expired; heartbeats wait for nobody.
    time.sleep(LINK_EXPIRY_SECONDS)
    assert not report(fleet, 0, 1, "exited")
    acknowledge(fleet, 0, 2, "ready", 2)
    fleet.signal("registry-1", signal.SIGCONT)
    acknowledge(fleet, 1, 1, "exited")


def test_departure_reaches_a_box_that_was_suspended_meanwhile(fleet: DiscoveredFleet) -> None:
    """Failure: a box whose link came back was told of known upstreams only, not of exits."""
    fleet.signal("registry-2", signal.SIGSTOP)
    acknowledge(fleet, 0, 0, "exited")
    acknowledge(fleet, 0, 1, "draining", 2)
    time.sleep(LINK_EXPIRY_SECONDS)
    fleet.kill("registry-0")
    fleet.signal("registry-2", signal.SIGCONT)
    wait_until(lambda: departed(fleet, 2) == 2, 10, "departed")
    assert states(fleet, 2)["i-0"] is UpstreamState.EXITED


def test_restarted_box_does_not_register_an_exited_upstream_again(fleet: DiscoveredFleet) -> None:
    """Failure: a delayed heartbeat at a box that had forgotten the exit."""
    acknowledge(fleet, 0, 0, "exited")
    fleet.kill("registry-2")
    fleet.restart("registry-2")
    acknowledge(fleet, 2, 0, "ready", 9)
    wait_until(lambda: states(fleet, 2).get("i-0") is UpstreamState.EXITED, 10, "the exit to win")


def test_ready_heartbeat_after_draining_is_told_to_nobody(fleet: DiscoveredFleet) -> None:
    """Failure: a changed heartbeat of an upstream that drains was sent on as ready."""
    acknowledge(fleet, 0, 0, "draining", 2)
    url = f"http://{fleet.control_addresses[0]}/api/replicas/i-0"
    body = {
        "service": "services",
        "address": "127.0.0.1:1",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "sequence": 3,
    }
    assert fleet.client.put(url, json=body).status_code == 200
    time.sleep(0.3)
    assert [states(fleet, box)["i-0"] for box in range(3)] == [UpstreamState.DRAINING] * 3
