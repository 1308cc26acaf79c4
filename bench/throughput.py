"""Measures saturated throughput of each route choice, as a share of the upper bound.

Run as `python -m bench.throughput [STREAMS] [SECONDS]`.
"""

from __future__ import annotations

import dataclasses
import sys
import time

import anyio
import httpx

from standins.fleet import LAYERS, Fleet, default_engines, running_fleet
from standins.load import LoadResult, quantiles, stream_once

from .bound import throughput_bound

ENGINE_SLOWDOWN = 10.0
"""Multiplier of layer times, which makes the engines and not this machine the bottleneck."""

BATCH_LIMIT = 16
WARM_UP_SECONDS = 4.0


async def saturate(urls: list[str], streams: int, seconds: float) -> tuple[float, LoadResult]:
    """Keep `streams` streams in progress; returns tokens a second after the warm-up."""
    result = LoadResult()
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=streams)
    deadline = time.monotonic() + WARM_UP_SECONDS + seconds
    counted = 0

    async def send_streams(client: httpx.AsyncClient, number: int) -> None:
        request_number = 0
        while time.monotonic() < deadline:
            request_number += 1
            prompt = f"saturated {number} {request_number}"
            url = urls[(number + request_number) % len(urls)]
            await stream_once(client, url, prompt, 24, "nilayam", result)

    async with (
        httpx.AsyncClient(timeout=120, limits=limits, trust_env=False, verify=False) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(streams):
            tasks.start_soon(send_streams, client, number)
        await anyio.sleep(WARM_UP_SECONDS)
        tokens_before = result.tokens
        started = time.monotonic()
        await anyio.sleep(seconds)
        counted = result.tokens - tokens_before
        rate = counted / (time.monotonic() - started)
    return rate, result


def configure(fleet: Fleet) -> list[str]:
    """Configure a fleet, wait until it is ready, and return the URLs of its entries."""
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
        dataclasses.replace(spec, batch_limit=BATCH_LIMIT)
        for spec in default_engines(scale=ENGINE_SLOWDOWN)
    ]
    limit = throughput_bound(engines, LAYERS)
    print(f"bound of the engines: {limit:.0f} tokens a second; {streams} streams kept in progress")
    print(
        "| choice | tokens a second | share of the bound | token gap ms 50/95/99/100 | outcomes |"
    )
    print("| --- | --- | --- | --- | --- |")
    for choice in ("round-robin", "least-loaded", "better-of-two"):
        with running_fleet(engines=engines, route_choice=choice) as fleet:
            rate, result = anyio.run(saturate, configure(fleet), streams, seconds)
        share = rate / limit * 100
        gaps = quantiles(result.token_gap)
        outcomes = dict(result.outcomes)
        print(f"| {choice} | {rate:.0f} | {share:.0f}% | {gaps} | {outcomes} |", flush=True)


if __name__ == "__main__":
    main()
