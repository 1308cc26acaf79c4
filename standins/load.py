"""Open-loop load with seeded arrivals, which do not wait for responses; checks each response."""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from .fleet import LAYERS
from .model_function import reference_answer


@dataclass(frozen=True, kw_only=True)
class Workload:
    """Parameters of a load."""

    rate: float
    """Arrivals a second."""

    seconds: float
    """Time over which requests arrive."""

    max_tokens: int = 16
    """Tokens per request."""

    account: str = "nilayam"
    """Client account; its key is `key-of-ACCOUNT`."""

    prompts: int = 50
    """Number of different prompts."""

    seed: int = 1
    """Random seed of arrivals and prompts."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, 600_000_000, 3)


@dataclass(kw_only=True)
class LoadResult:
    """Outcomes and latencies of a load; histograms are in microseconds."""

    first_token: HdrHistogram = field(default_factory=_histogram)
    token_gap: HdrHistogram = field(default_factory=_histogram)
    longest_gap: HdrHistogram = field(default_factory=_histogram)
    duration: HdrHistogram = field(default_factory=_histogram)
    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    wrong_prompts: list[str] = field(default_factory=list)
    started_at: float = 0.0
    ended_at: float = 0.0

    @property
    def tokens_per_second(self) -> float:
        """Mean token rate over the whole run."""
        return self.tokens / max(1e-9, self.ended_at - self.started_at)


def quantiles(histogram: HdrHistogram) -> str:
    """Return the 50th, 95th and 99th percentile and the maximum, in milliseconds."""
    values = [histogram.get_value_at_percentile(q) / 1000 for q in (50, 95, 99, 100)]
    return " / ".join(f"{value:.1f}" for value in values)


async def stream_once(
    client: httpx.AsyncClient,
    url: str,
    prompt: str,
    max_tokens: int,
    account: str,
    result: LoadResult,
) -> None:
    """Send one streaming request and check its response."""
    started = last_token_at = time.perf_counter()
    text, longest_gap, done, error_type = "", 0.0, False, ""
    body = {"model": "captions", "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    headers = {"authorization": f"Bearer key-of-{account}"}
    try:
        async with client.stream(
            "POST", f"{url}/v1/completions", json=body, headers=headers
        ) as response:
            if response.status_code != 200:
                await response.aread()
                error = response.json()["error"]
                result.outcomes[f"{error['type']} {error['execution']}"] += 1
                return
            async for line in response.aiter_lines():
                if not line.startswith("data: "):
                    continue
                if line == "data: [DONE]":
                    done = True
                    break
                event: dict[str, Any] = json.loads(line[6:])
                if "error" in event:
                    error_type = event["error"]["type"]
                    continue
                chunk = event["choices"][0]["text"]
                if not chunk:
                    continue
                now = time.perf_counter()
                count = chunk.count(" ")
                if not text:
                    result.first_token.record_value(int((now - started) * 1e6))
                else:
                    result.token_gap.record_value(int((now - last_token_at) * 1e6 / count))
                    longest_gap = max(longest_gap, now - last_token_at)
                last_token_at = now
                text += chunk
                result.tokens += count
    except httpx.HTTPError as error:
        result.outcomes[f"connection {type(error).__name__}"] += 1
        return
    if error_type or not done:
        result.outcomes[f"cut {error_type}"] += 1
        return
    result.longest_gap.record_value(int(longest_gap * 1e6) + 1)
    result.duration.record_value(int((time.perf_counter() - started) * 1e6))
    correct = text == reference_answer(prompt, LAYERS, max_tokens)
    result.outcomes["whole" if correct else "wrong"] += 1
    if not correct:
        result.wrong_prompts.append(prompt)


async def run_load(urls: list[str], workload: Workload) -> LoadResult:
    """Run a workload against several entries in turn."""
    rng = random.Random(workload.seed)
    result = LoadResult(started_at=time.perf_counter())
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=500)
    client = httpx.AsyncClient(timeout=60, limits=limits, trust_env=False)
    async with client, anyio.create_task_group() as tasks:
        at = 0.0
        number = 0
        while True:
            at += rng.expovariate(workload.rate)
            if at > workload.seconds:
                break
            wait = result.started_at + at - time.perf_counter()
            if wait > 0:
                await anyio.sleep(wait)
            prompt = f"prompt {rng.randrange(workload.prompts)} of {workload.account}"
            url = urls[number % len(urls)]
            number += 1
            tasks.start_soon(
                stream_once, client, url, prompt, workload.max_tokens, workload.account, result
            )
    result.ended_at = time.perf_counter()
    return result


async def run_burst(urls: list[str], count: int, max_tokens: int) -> LoadResult:
    """Start `count` streams at once, each with its own prompt."""
    result = LoadResult(started_at=time.perf_counter())
    limits = httpx.Limits(max_connections=None)
    client = httpx.AsyncClient(timeout=60, limits=limits, trust_env=False)
    async with client, anyio.create_task_group() as tasks:
        for number in range(count):
            url = urls[number % len(urls)]
            prompt = f"stream {number}"
            tasks.start_soon(stream_once, client, url, prompt, max_tokens, "nilayam", result)
    result.ended_at = time.perf_counter()
    return result


def describe_result(result: LoadResult) -> str:
    """Return a printable summary of a run."""
    return "\n".join(
        [
            f"outcomes: {dict(result.outcomes)}",
            f"tokens a second: {result.tokens_per_second:.0f}",
            f"first token ms (50/95/99/100): {quantiles(result.first_token)}",
            f"token gap ms (50/95/99/100): {quantiles(result.token_gap)}",
            f"longest gap of a stream ms (50/95/99/100): {quantiles(result.longest_gap)}",
        ]
    )
