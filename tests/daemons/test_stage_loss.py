"""Answers arrive complete although a stage is lost in the middle."""

from __future__ import annotations

import signal
import time

import pytest

from standins.fleet import Fleet, wait_until

from .callers import KEY, Stream, complete, engine_stats

TOKENS = 240
"""Enough tokens to keep a stream running while the test finds its stages on a busy machine."""

SUSPENDED_SECONDS = 2.0
"""How long a stage is suspended; longer than the timeout of a single cancellation."""

DROP_TIMEOUT_SECONDS = 10.0
"""Timeout for stages to drop the request of a caller that disconnected. Engines keep abandoned
requests three times as long."""


def held_sessions(fleet: Fleet) -> dict[str, set[str]]:
    """Return the sessions that each running engine holds."""
    return {
        spec.name: set(engine_stats(fleet, spec.name)["sessions"])
        for spec in fleet.engines
        if fleet.processes[spec.name].popen.poll() is None
    }


def busy_engines(fleet: Fleet, before: dict[str, set[str]] | None = None) -> list[str]:
    """Return the engines that hold sessions which they did not hold before."""
    before = before or {}
    now = held_sessions(fleet)
    return [name for name, sessions in now.items() if sessions - before.get(name, set())]


def start_stream(fleet: Fleet, prompt: str) -> Stream:
    stream = Stream(fleet=fleet, entry="entry-a1", prompt=prompt, count=TOKENS)
    wait_until(lambda: stream.tokens >= 10, 20, "the first tokens")
    return stream


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize("first_layer", ["head", "later"])
def test_stage_lost_mid_answer(healed: Fleet, number: signal.Signals, first_layer: str) -> None:
    before = held_sessions(healed)
    stream = start_stream(healed, f"{number.name} {first_layer}")
    busy = busy_engines(healed, before)
    heads = {spec.name for spec in healed.engines if spec.first == 0}
    victims = [name for name in busy if (name in heads) == (first_layer == "head")]
    healed.signal(victims[0], number)
    lost_at = stream.tokens
    stream.join()
    assert stream.is_complete, (stream.error, stream.tokens)
    assert stream.usage["attempts"] >= 2, (victims, busy, before, lost_at)


def test_two_stages_lost_one_after_the_other(healed: Fleet) -> None:
    stream = start_stream(healed, "two losses")
    for _ in range(2):
        before = stream.tokens
        healed.kill(busy_engines(healed)[-1])
        wait_until(lambda before=before: stream.tokens > before + 10, 20, "tokens after a loss")
    stream.join()
    assert stream.is_complete, (stream.error, stream.tokens)


def test_caller_that_leaves_is_cancelled_on_every_stage(healed: Fleet) -> None:
    body = {"model": "captions", "prompt": "leaving", "max_tokens": 1000, "stream": True}
    url = f"{healed.url('entry-b1')}/v1/completions"
    with healed.client.stream("POST", url, json=body, headers=KEY) as response:
        lines = response.iter_lines()
        assert next(lines).startswith("data: ")
        assert busy_engines(healed)
    wait_until(lambda: not busy_engines(healed), 20, "all stages to drop the request")


@pytest.mark.parametrize("first_layer", ["head", "later"])
def test_stage_that_stood_still_drops_the_request_of_a_caller_that_left(
    healed: Fleet, first_layer: str
) -> None:
    """Guards against a stage that misses the cancellation while suspended, and holds the request
    until engines drop abandoned ones."""
    before = held_sessions(healed)
    body = {"model": "captions", "prompt": f"{first_layer} stands", "max_tokens": 1000}
    url = f"{healed.url('entry-b1')}/v1/completions"
    stream = {**body, "stream": True}
    with healed.client.stream("POST", url, json=stream, headers=KEY) as response:
        lines = response.iter_lines()
        assert next(lines).startswith("data: ")
        heads = {spec.name for spec in healed.engines if spec.first == 0}
        busy = busy_engines(healed, before)
        suspended = next(name for name in busy if (name in heads) == (first_layer == "head"))
        healed.signal(suspended, signal.SIGSTOP)
    time.sleep(SUSPENDED_SECONDS)
    healed.signal(suspended, signal.SIGCONT)
    wait_until(
        lambda: not busy_engines(healed, before), DROP_TIMEOUT_SECONDS, "all stages to drop it"
    )


def test_no_route_is_refused_at_once_as_not_run(healed: Fleet) -> None:
    for spec in healed.engines:
        if spec.end == 32:
            healed.kill(spec.name)
    refused = complete(healed, "entry-a1", "nowhere", 4)
    while refused.status_code == 502:
        # The first requests detect that the engines have exited.
        refused = complete(healed, "entry-a1", "nowhere", 4)
    assert refused.status_code == 503
    assert refused.headers["ledgeladder-execution"] == "not-run"
    assert int(refused.headers["retry-after"]) >= 1


def test_stream_without_route_fails_before_its_deadline(healed: Fleet) -> None:
    stream = start_stream(healed, "nowhere to go")
    for spec in healed.engines:
        if spec.end == 32:
            healed.kill(spec.name)
    stream.join()
    assert stream.error is not None
    # At the deadline the error would be deadline_exceeded.
    assert stream.error["type"] == "upstream_lost"
    assert stream.error["execution"] == "ran"
    assert stream.error["retry_after"]
    assert not stream.done
