"""Orders to engines, with and without fences, while leaders are frozen and thawed."""

from __future__ import annotations

import dataclasses
import signal
import time
from collections.abc import Iterator

import pytest

from standins.fleet import Fleet, default_engines, running_fleet, wait_until

from .callers import Stream, engine_stats
from .conftest import started


@pytest.fixture(scope="module")
def mixed() -> Iterator[Fleet]:
    """Half of the engines do not check fences."""
    engines = [
        dataclasses.replace(spec, ignore_fences=spec.name.startswith("slow"))
        for spec in default_engines()
    ]
    with running_fleet(entries_per_domain=(2, 2, 2), engines=engines) as running:
        yield started(running)


def versions(fleet: Fleet) -> set[str]:
    return {engine_stats(fleet, spec.name)["version"] for spec in fleet.engines}


def test_new_version_everywhere_without_a_cut_answer(mixed: Fleet) -> None:
    assert mixed.configure("v1").returncode == 0
    streams = [
        Stream(fleet=mixed, entry=entry, prompt=f"load {entry} {number}", count=60)
        for entry in mixed.entry_names
        for number in range(2)
    ]
    wait_until(lambda: versions(mixed) == {"v1"}, 60, "v1 on all engines")
    for stream in streams:
        stream.join()
        assert stream.whole, stream.error


def test_frozen_leader_overtakes_nobody(mixed: Fleet) -> None:
    for round_number in range(2):
        old, new = f"w{round_number}", f"x{round_number}"
        assert mixed.configure(old).returncode == 0
        leader = mixed.wait_leader()
        mixed.signal(leader, signal.SIGSTOP)
        try:
            others = [name for name in mixed.control_names if name != leader]
            wait_until(
                lambda others=others: any(
                    (mixed.status(name) or {}).get("role") == "leader" for name in others
                ),
                20,
                "another leader",
            )
            assert mixed.configure(new).returncode == 0
            wait_until(lambda new=new: new in versions(mixed), 30, "the first new version")
        finally:
            mixed.signal(leader, signal.SIGCONT)
        wait_until(lambda new=new: versions(mixed) == {new}, 60, f"{new} on all engines")
    time.sleep(1.0)
    for spec in mixed.engines:
        fences = [(term, index) for term, index, _ in engine_stats(mixed, spec.name)["orders"]]
        assert fences == sorted(fences), f"{spec.name}: {fences}"
