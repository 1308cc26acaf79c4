"""Throughput at saturation as a share of the bound, beside the baselines, on the same fleet.

`python -m bench.throughput [STREAMS] [SECONDS]`
"""

from __future__ import annotations

import dataclasses
import sys
import time

import anyio
import httpx

from standins.fleet import LAYERS, Fleet, default_engines, running_fleet
from standins.load import LoadResult, quantiles, stream_once

from .bound import bound

SLOWNESS = 10.0
"""Engines are slowed down until they, and not this machine, are the limit."""

BATCH = 16
WARM_SECONDS = 4.0


async def saturate(urls: list[str], streams: int, seconds: float) -> tuple[float, LoadResult]:
    """Keep a number of streams in progress; returns tokens a second after warming up."""
    result = LoadResult()
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=streams)
    until = time.monotonic() + WARM_SECONDS + seconds
    counted = 0

    async def keep(client: httpx.AsyncClient, number: int) -> None:
        turn = 0
        while time.monotonic() < until:
            turn += 1
            prompt = f"saturated {number} {turn}"
            url = urls[(number + turn) % len(urls)]
            await stream_once(client, url, prompt, 24, "nilayam", result)

    async with (
        httpx.AsyncClient(timeout=120, limits=limits, trust_env=False, verify=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(streams):
            tasks.start_soon(keep, client, number)
        await anyio.sleep(WARM_SECONDS)
        before = result.tokens
        began = time.monotonic()
        await anyio.sleep(seconds)
        counted = result.tokens - before
        rate = counted / (time.monotonic() - began)
    return rate, result


def prepared(fleet: Fleet) -> list[str]:
    """Configure a fleet and return the entries' addresses."""
    fleet.wait_leader()
    fleet.configure()
    fleet.wait_ready()
    fleet.wait_upstreams()
    return [fleet.url(name) for name in fleet.entry_names]


def main() -> None:
    """Run the benchmark."""
    streams = int(sys.argv[1]) if len(sys.argv) > 1 else 220
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 12.0
    engines = [
        dataclasses.replace(spec, batch_limit=BATCH) for spec in default_engines(scale=SLOWNESS)
    ]
    limit = bound(engines, LAYERS)
    print(f"bound of the engines: {limit:.0f} tokens a second; {streams} streams kept in progress")
    print(
        "| choice | tokens a second | share of the bound | token gap ms 50/95/99/100 | outcomes |"
    )
    print("| --- | --- | --- | --- | --- |")
    for choice in ("round-robin", "least-loaded", "better-of-two"):
        with running_fleet(engines=engines, route_choice=choice) as fleet:
            rate, result = anyio.run(saturate, prepared(fleet), streams, seconds)
        share = rate / limit * 100
        gaps = quantiles(result.token_gap)
        outcomes = dict(result.outcomes)
        print(f"| {choice} | {rate:.0f} | {share:.0f}% | {gaps} | {outcomes} |", flush=True)


if __name__ == "__main__":
    main()
