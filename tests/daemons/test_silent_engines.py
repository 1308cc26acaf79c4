"""Sound engines that are suspended for a while, over the project's own interface.

A suspended process answers nothing, while its kernel accepts connections and keeps the bytes that
arrive.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable, Iterator

import pytest

from standins.fleet import Fleet, running_fleet, wait_until

from .callers import Stream
from .conftest import configure_and_wait

TOKENS = 200
"""Tokens of a stream, which lasts for several seconds."""

WAITING = 16
"""Streams of one entry that wait for their first token; more than its budget of retries."""

STALL_SECONDS = 0.3
"""Stall timeout of the entries, shorter than each silence."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    options = {"entries_per_domain": (1, 1, 1), "stall_seconds": STALL_SECONDS}
    with running_fleet(proxied=True, **options) as running:
        yield configure_and_wait(running)


def suspend(fleet: Fleet, names: Iterable[str], seconds: float) -> None:
    for name in names:
        fleet.signal(name, signal.SIGSTOP)
    time.sleep(seconds)
    for name in names:
        fleet.signal(name, signal.SIGCONT)


def join(streams: list[Stream]) -> None:
    """Wait for the ends of streams, and check that each has its whole answer."""
    for stream in streams:
        stream.join()
    assert [stream.error for stream in streams if not stream.is_complete] == []


def start_streams(fleet: Fleet, prompt: str) -> list[Stream]:
    streams = [
        Stream(fleet=fleet, entry=entry, prompt=f"{entry} {number} {prompt}", count=TOKENS)
        for entry in fleet.entry_names
        for number in range(2)
    ]
    wait_until(lambda: min(stream.tokens for stream in streams) >= 10, 20, "the first tokens")
    return streams


def test_attempts_go_on_while_all_engines_are_silent(healed: Fleet) -> None:
    """Failure: streams were abandoned and sent again although their engines were only silent."""
    streams = start_streams(healed, "all")
    suspend(healed, [spec.name for spec in healed.engines], 1.5)
    join(streams)
    assert [stream.usage["attempts"] for stream in streams] == [1] * len(streams)


def test_streams_on_a_silent_domain_are_continued_elsewhere(healed: Fleet) -> None:
    """Failure: a hedge that continues the stream leaves tokens out, or repeats some."""
    streams = start_streams(healed, "domain")
    silent = [spec.name for spec in healed.engines if spec.domain == "domain-a"]
    suspend(healed, silent, 3.0)
    join(streams)


@pytest.mark.parametrize("seconds", [1.2, 3.0])
def test_streams_whose_first_token_is_late_are_answered(healed: Fleet, seconds: float) -> None:
    """Failure: streams without a token were ended once the budget of retries was spent."""
    entry = healed.entry_names[0]
    names = [spec.name for spec in healed.engines]
    for name in names:
        healed.signal(name, signal.SIGSTOP)
    streams = [
        Stream(fleet=healed, entry=entry, prompt=f"late {number} {seconds}", count=5)
        for number in range(WAITING)
    ]
    suspend(healed, names, seconds)
    join(streams)


def test_request_that_begins_during_a_silence_is_answered(healed: Fleet) -> None:
    """Failure: requests were refused without a route while all engines were only silent."""
    streams = start_streams(healed, "before")
    names = [spec.name for spec in healed.engines]
    for name in names:
        healed.signal(name, signal.SIGSTOP)
    time.sleep(1.2)
    late = [
        Stream(fleet=healed, entry=entry, prompt=f"begins late {entry}", count=5)
        for entry in healed.entry_names
    ]
    suspend(healed, names, 1.0)
    join([*streams, *late])
