"""Open-loop load with seeded arrivals, which do not wait for responses; checks each response."""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from .fleet import LAYERS
from .model_function import reference_answer


@dataclass(frozen=True, kw_only=True)
class Burst:
    """A period in which a client account multiplies its requests."""

    account: str
    """The client account."""

    start: float
    """Time of its start since that of the load, in seconds."""

    seconds: float
    """Length in seconds."""

    factor: float
    """Multiple of the usual rate of the account, at least 1."""


@dataclass(frozen=True, kw_only=True)
class Workload:
    """Parameters of a load."""

    rate: float
    """Arrivals a second outside of bursts."""

    seconds: float
    """Time over which requests arrive."""

    max_tokens: int = 16
    """Tokens per request."""

    account: str = "nilayam"
    """Client account; its key is `key-of-ACCOUNT`."""

    shares: Mapping[str, float] = field(default_factory=dict)
    """Shares of several client accounts in the rate, in place of `account`; their sum is 1."""

    bursts: tuple[Burst, ...] = ()
    """Periods of more requests; those of one account do not overlap."""

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
    account_outcomes: dict[str, Counter[str]] = field(default_factory=dict)
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


def record_outcome(result: LoadResult, account: str, outcome: str) -> None:
    """Count the outcome of a request, also by client account."""
    result.outcomes[outcome] += 1
    result.account_outcomes.setdefault(account, Counter())[outcome] += 1


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
                record_outcome(result, account, f"{error['type']} {error['execution']}")
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
        record_outcome(result, account, f"connection {type(error).__name__}")
        return
    if error_type or not done:
        record_outcome(result, account, f"cut {error_type}")
        return
    result.longest_gap.record_value(int(longest_gap * 1e6) + 1)
    result.duration.record_value(int((time.perf_counter() - started) * 1e6))
    correct = text == reference_answer(prompt, LAYERS, max_tokens)
    record_outcome(result, account, "whole" if correct else "wrong")
    if not correct:
        result.wrong_prompts.append(prompt)


def arrivals(workload: Workload, rng: random.Random) -> Iterator[tuple[float, str]]:
    """Yield times and client accounts of requests, as Poisson processes with bursts.

    Requests arrive at the highest rate and are thinned out. A load of one account without bursts
    draws one number for each request.

    Args:
        workload: The load.
        rng: Random source.
    """
    shares = workload.shares or {workload.account: 1.0}
    most = {
        name: max([1.0, *(item.factor for item in workload.bursts if item.account == name)])
        for name in shares
    }
    weights = [share * most[name] for name, share in shares.items()]
    at = 0.0
    while True:
        at += rng.expovariate(workload.rate * sum(weights))
        if at > workload.seconds:
            return
        account = next(iter(shares)) if len(shares) == 1 else rng.choices([*shares], weights)[0]
        factor = max(
            [1.0]
            + [
                item.factor
                for item in workload.bursts
                if item.account == account and 0 <= at - item.start < item.seconds
            ]
        )
        if factor == most[account] or rng.random() * most[account] < factor:
            yield at, account


async def run_load(urls: list[str], workload: Workload) -> LoadResult:
    """Run a workload against several entries in turn."""
    rng = random.Random(workload.seed)
    result = LoadResult(started_at=time.perf_counter())
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=500)
    client = httpx.AsyncClient(timeout=60, limits=limits, trust_env=False)
    async with client, anyio.create_task_group() as tasks:
        for number, (at, account) in enumerate(arrivals(workload, rng)):
            wait = result.started_at + at - time.perf_counter()
            if wait > 0:
                await anyio.sleep(wait)
            prompt = f"prompt {rng.randrange(workload.prompts)} of {account}"
            url = urls[number % len(urls)]
            tasks.start_soon(stream_once, client, url, prompt, workload.max_tokens, account, result)
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
            *(
                f"  {account}: {dict(found)}"
                for account, found in sorted(result.account_outcomes.items())
                if len(result.account_outcomes) > 1
            ),
            f"tokens a second: {result.tokens_per_second:.0f}",
            f"first token ms (50/95/99/100): {quantiles(result.first_token)}",
            f"token gap ms (50/95/99/100): {quantiles(result.token_gap)}",
            f"longest gap of a stream ms (50/95/99/100): {quantiles(result.longest_gap)}",
        ]
    )
