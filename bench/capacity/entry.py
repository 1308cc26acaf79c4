"""Processor time and memory of an entry box, measured on processes."""

from __future__ import annotations

import time

import anyio

from standins.fleet import DOMAINS, EngineSpec, Fleet, running_fleet
from standins.load import run_burst

from ..processes import usage_by_name
from .fit import Slope

STREAMS = 40
IDLE_SECONDS = 8.0


def wait_serving(fleet: Fleet) -> None:
    """Configure a fleet and wait until it serves requests."""
    fleet.wait_leader()
    applied = fleet.configure()
    assert applied.returncode == 0, applied.stderr
    fleet.wait_ready()
    fleet.wait_upstreams()


def engines(pairs: int, layer_seconds: float = 0.0003) -> list[EngineSpec]:
    """Return pairs of engines in the first failure domain; each engine holds half of the layers."""
    return [
        EngineSpec(
            name=f"fast-{number}-{half}",
            domain=DOMAINS[0],
            first=16 * half,
            end=16 * half + 16,
            layer_seconds=layer_seconds,
        )
        for number in range(pairs)
        for half in range(2)
    ]


def measure_requests() -> tuple[Slope, Slope]:
    """Measure processor time against tokens per request, and memory against streams."""
    cpu: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    options = {"entries_per_domain": (1,), "engines": engines(3), "services": 0}
    with running_fleet(**options) as fleet:
        wait_serving(fleet)
        url = fleet.url("entry-a1")
        anyio.run(run_burst, [url], STREAMS, 8)
        for tokens in (8, 16, 32, 64, 128):
            before = usage_by_name(fleet)["entry-a1"].cpu_seconds
            anyio.run(run_burst, [url], STREAMS, tokens)
            used = usage_by_name(fleet)["entry-a1"].cpu_seconds - before
            cpu.append((tokens, used / STREAMS * 1e6))
    for streams in (25, 50, 100, 200, 350):
        with running_fleet(**options) as fleet:
            wait_serving(fleet)
            anyio.run(run_burst, [fleet.url("entry-a1")], streams, 24)
            memory.append((streams, usage_by_name(fleet)["entry-a1"].memory_mb))
    return (
        Slope(
            name="entry-request",
            what="entry, microseconds of processor time a request",
            against="tokens a request",
            points=cpu,
            target=260,
        ),
        Slope(
            name="entry-memory",
            what="entry, MB resident after a burst",
            against="streams at once",
            points=memory,
            target=500,
        ),
    )


def measure_idle_entry() -> Slope:
    """Measure the processor share of an idle entry against the engines that it watches."""
    points: list[tuple[float, float]] = []
    for pairs in (1, 4, 8, 12):
        options = {"entries_per_domain": (1,), "engines": engines(pairs), "services": 0}
        with running_fleet(**options) as fleet:
            wait_serving(fleet)
            before, started = usage_by_name(fleet), time.monotonic()
            time.sleep(IDLE_SECONDS)
            used = usage_by_name(fleet)["entry-a1"].cpu_seconds - before["entry-a1"].cpu_seconds
            points.append((pairs * 2, used / (time.monotonic() - started) * 100))
    return Slope(
        name="entry-at-rest",
        what="entry at rest, % of a core",
        against="engines watched by the box",
        points=points,
        target=3,
    )
