"""Measures concurrent streams through all entries, and the resource usage of each role.

Run as `python -m bench.streams [STREAMS] [TOKENS]`.
"""

from __future__ import annotations

import sys
import time

import anyio

from standins.fleet import running_fleet
from standins.load import describe_result, run_burst

from .processes import mean_usage_by_role, usage_by_name

IDLE_SECONDS = 10.0


def print_usage(title: str, roles: dict[str, tuple[float, float]]) -> None:
    """Print the resource usage of each role."""
    print(title)
    for role in ("entry", "control", "engine", "service"):
        share, memory = roles[role]
        print(f"  {role:8} {share * 100:6.2f}% of a core  {memory:6.1f} MB")


def main() -> None:
    """Run the benchmark."""
    streams = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    tokens = int(sys.argv[2]) if len(sys.argv) > 2 else 64
    with running_fleet() as fleet:
        fleet.wait_leader()
        fleet.configure()
        fleet.wait_ready()
        fleet.wait_upstreams()
        before, started = usage_by_name(fleet), time.monotonic()
        time.sleep(IDLE_SECONDS)
        print_usage(
            "idle:", mean_usage_by_role(before, usage_by_name(fleet), time.monotonic() - started)
        )
        urls = [fleet.url(name) for name in fleet.entry_names]
        before, started = usage_by_name(fleet), time.monotonic()
        result = anyio.run(run_burst, urls, streams, tokens)
        seconds = time.monotonic() - started
        after = usage_by_name(fleet)
        print_usage(
            f"{streams} streams of {tokens} tokens:", mean_usage_by_role(before, after, seconds)
        )
        print(describe_result(result))
        entries = fleet.entry_names
        cpu = sum(after[name].cpu_seconds - before[name].cpu_seconds for name in entries)
        print(f"entry processor time a token: {cpu / result.tokens * 1e6:.0f} microseconds")


if __name__ == "__main__":
    main()
