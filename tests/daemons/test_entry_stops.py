"""Requests that a planned stop of one entry may not finish, over real processes.

Guards against requests that a stopping entry sends to an upstream and then ends without an answer.
"""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from standins.fleet import Fleet, running_fleet, wait_until
from standins.keys import new_key

from .callers import Stream, complete, executions, send_at_most_once
from .conftest import configure_and_wait, is_serving

ENTRY = "entry-a1"
"""Entry that is stopped."""

LONG_SECONDS = 8.0
"""Duration of a call that outlasts the stop, but not its deadline of 10 s."""

LONG_TOKENS = 1000
"""Tokens of a generation that outlasts the stop."""


@pytest.fixture(scope="module")
def short_stops() -> Iterator[Fleet]:
    with running_fleet(entries_per_domain=(1, 1, 0), stop_limit_seconds=2.0) as running:
        yield configure_and_wait(running)


@pytest.fixture(autouse=True)
def stopped_entry(short_stops: Fleet) -> Iterator[None]:
    """Start the entry that a test stopped."""
    yield
    short_stops.processes[ENTRY].popen.wait(30)  # type: ignore[union-attr]
    short_stops.launch(ENTRY)
    wait_until(lambda: short_stops.is_ready(ENTRY) and is_serving(short_stops, ENTRY), 20, "ready")


def in_progress(fleet: Fleet) -> int:
    """Return how many requests the entry has not answered yet."""
    return int(fleet.client.get(f"{fleet.url(ENTRY)}/metrics").json()["in_progress"])


def outcome_of(fleet: Fleet, key: str) -> str:
    """Send a long call that may run once only, and return its status or what happened instead."""
    try:
        answer = send_at_most_once(fleet, ENTRY, key, seconds=LONG_SECONDS)
    except httpx.ConnectError:
        return "not connected"
    except httpx.HTTPError as error:
        return type(error).__name__
    return str(answer.status_code)


def test_call_that_outlasts_a_planned_stop_is_answered(short_stops: Fleet) -> None:
    """Failure: calls in progress at the end of an entry's planned stop got no answer."""
    keys = [new_key() for _ in range(3)]
    with ThreadPoolExecutor(max_workers=8) as threads:
        running = [threads.submit(outcome_of, short_stops, key) for key in keys]
        wait_until(lambda: in_progress(short_stops) >= len(keys), 10, "calls in progress")
        short_stops.signal(ENTRY, signal.SIGTERM)
    assert {item.result() for item in running} <= {"502", "503"}
    refused = [key for key, item in zip(keys, running, strict=True) if item.result() == "503"]
    assert not [key for key in refused if executions(short_stops, key)]


def test_call_that_may_outlast_a_planned_stop_is_refused(short_stops: Fleet) -> None:
    """Failure: an entry took calls that may run once only after the stop signal, although their
    deadline was past the end of its stop."""
    keys = [new_key() for _ in range(3)]
    short_stops.signal(ENTRY, signal.SIGTERM)
    wait_until(lambda: not short_stops.is_ready(ENTRY), 5, "not ready")
    with ThreadPoolExecutor(max_workers=8) as threads:
        outcomes = list(threads.map(lambda key: outcome_of(short_stops, key), keys))
    # An entry that no longer listens takes none.
    assert set(outcomes) <= {"503", "not connected"}
    assert not [key for key in keys if executions(short_stops, key)]


def test_generation_that_outlasts_a_planned_stop_is_answered(short_stops: Fleet) -> None:
    """Failure: generations in progress at the end of an entry's planned stop got no answer; a
    stream ended without its final event."""
    stream = Stream(fleet=short_stops, entry=ENTRY, prompt="long stream", count=LONG_TOKENS)
    outcomes: list[str] = []

    def generate() -> None:
        try:
            answer = complete(short_stops, ENTRY, "long answer", LONG_TOKENS)
            outcomes.append(str(answer.status_code))
        except httpx.HTTPError as error:
            outcomes.append(type(error).__name__)

    thread = threading.Thread(target=generate, daemon=True)
    thread.start()
    wait_until(lambda: stream.tokens > 0 and in_progress(short_stops) >= 2, 10, "in progress")
    short_stops.signal(ENTRY, signal.SIGTERM)
    thread.join(30)
    stream.join()
    assert outcomes == ["502"]
    assert stream.error is not None
    assert stream.error["type"] == "upstream_lost"
    assert not stream.done
