"""Orders to engines, with and without fence checks, while leaders are paused and resumed."""

from __future__ import annotations

import dataclasses
import signal
import time
from collections.abc import Iterator
from functools import partial

import pytest

from standins.fleet import Fleet, default_engines, running_fleet, wait_until

from .callers import Stream, engine_stats
from .conftest import configure_and_wait


@pytest.fixture(scope="module")
def mixed() -> Iterator[Fleet]:
    """Run a fleet in which half of the engines do not check fences."""
    engines = [
        dataclasses.replace(spec, ignore_fences=spec.name.startswith("slow"))
        for spec in default_engines()
    ]
    with running_fleet(entries_per_domain=(2, 2, 2), engines=engines) as running:
        yield configure_and_wait(running)


def versions(fleet: Fleet) -> set[str]:
    return {engine_stats(fleet, spec.name)["version"] for spec in fleet.engines}


def test_version_rollout_interrupts_no_stream(mixed: Fleet) -> None:
    assert mixed.configure("v1").returncode == 0
    streams = [
        Stream(fleet=mixed, entry=entry, prompt=f"load {entry} {number}", count=60)
        for entry in mixed.entry_names
        for number in range(2)
    ]
    wait_until(lambda: versions(mixed) == {"v1"}, 60, "v1 on all engines")
    for stream in streams:
        stream.join()
        assert stream.is_complete, stream.error


def pause_leader_with_a_pending_order(fleet: Fleet) -> str:
    """Pause the leader while one of its orders is pending, and return its name."""

    def pending() -> bool:
        status = fleet.status(fleet.wait_leader())
        return status is not None and bool(status["orders_pending"])

    wait_until(pending, 20, "a pending order")
    leader = fleet.wait_leader()
    fleet.signal(leader, signal.SIGSTOP)
    return leader


def test_frozen_leader_overtakes_nobody(mixed: Fleet) -> None:
    for round_number in range(3):
        old, new = f"w{round_number}", f"x{round_number}"
        assert mixed.configure(old).returncode == 0
        leader = pause_leader_with_a_pending_order(mixed)
        try:
            others = [name for name in mixed.control_names if name != leader]
            wait_until(partial(one_leads, mixed, others), 20, "another leader")
            assert mixed.configure(new).returncode == 0
            wait_until(partial(all_have, mixed, new), 60, f"{new} on all engines")
        finally:
            mixed.signal(leader, signal.SIGCONT)
        time.sleep(2.0)
        assert versions(mixed) == {new}
    for spec in mixed.engines:
        fences = [(term, index) for term, index, _ in engine_stats(mixed, spec.name)["orders"]]
        assert fences == sorted(fences), f"{spec.name}: {fences}"


def one_leads(fleet: Fleet, names: list[str]) -> bool:
    return any((fleet.status(name) or {}).get("role") == "leader" for name in names)


def all_have(fleet: Fleet, version: str) -> bool:
    return versions(fleet) == {version}
