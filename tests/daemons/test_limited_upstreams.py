"""Upstreams that advertise a rate limit, over the product's own interface.

The requests that an upstream receives from all entries together must not exceed the rate.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from functools import partial

import httpx
import pytest

from standins.fleet import Fleet, running_fleet, wait_until

from .callers import complete
from .conftest import configure_and_wait
from .test_crashing_generation import call
from .test_resting_upstreams import code_of, first_engines, services

RATE = 0.5
"""Advertised rate, in requests a second."""

SETTLE_SECONDS = 3.0
"""How long boxes have to learn the limit."""

INTERVAL_SECONDS = 4.0
"""Length of the interval in which requests are counted."""

MAX_REQUESTS = 1.5 * RATE * INTERVAL_SECONDS + 5
"""Maximum number of requests in that interval."""

LIMITED = 1208
"""Result code of a request that is refused because of rate limits."""

ENTRIES = ("entry-a1", "entry-b1", "entry-c1")


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with running_fleet(entries_per_domain=(1, 1, 1)) as running:
        yield configure_and_wait(running)


@pytest.fixture(autouse=True)
def unlimited(fleet: Fleet) -> Iterator[None]:
    """Remove all limits after the test, and wait until the entries have learned it."""
    yield
    advertise_limit(fleet, [*services(fleet), *first_engines(fleet)], "")
    for _names, send in KINDS.values():
        wait_until(partial(all_served, fleet, send), 30, "served")


def all_served(fleet: Fleet, send: Send) -> bool:
    """Return whether several consecutive requests are served at each entry."""
    return all(send(fleet, entry).status_code == 200 for _ in range(8) for entry in ENTRIES)


def advertise_limit(fleet: Fleet, names: list[str], limit: str) -> None:
    """Make upstreams advertise a limit in their responses, or none."""
    for name in names:
        advertised = ([limit] if limit else []) if name.startswith("service-") else limit
        fleet.client.post(f"{fleet.url(name)}/standin/control", json={"limit": advertised})


def started_requests(fleet: Fleet, name: str) -> int:
    """Return how many requests an upstream has started as the first of its path."""
    stats = fleet.client.get(f"{fleet.url(name)}/standin/stats").json()
    return int(stats.get("counts", stats).get("runs", 0))


Send = Callable[[Fleet, str], httpx.Response]

KINDS: dict[str, tuple[Callable[[Fleet], list[str]], Send]] = {
    "generation": (first_engines, lambda fleet, entry: complete(fleet, entry, "again", 2)),
    "repeatable": (services, lambda fleet, entry: call(fleet, entry, "again", repeatable=True)),
    "once": (services, lambda fleet, entry: call(fleet, entry, "again", repeatable=False)),
}
"""Upstreams and send function by kind of request."""


def send_to_all_entries(fleet: Fleet, send: Send, seconds: float) -> list[int]:
    """Send requests through all entries concurrently, and return the response statuses."""
    until = time.monotonic() + seconds
    statuses: list[int] = []

    def keep_sending(entry: str) -> None:
        while time.monotonic() < until:
            statuses.append(send(fleet, entry).status_code)
            time.sleep(0.02)

    threads = [threading.Thread(target=keep_sending, args=(entry,)) for entry in ENTRIES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


@pytest.mark.parametrize("kind", list(KINDS))
def test_limit_is_kept_by_all_entries_together(fleet: Fleet, kind: str) -> None:
    """Callers at all entries share the limit of one upstream; requests over it go to others."""
    names, send = KINDS[kind]
    limited = names(fleet)[0]
    advertise_limit(fleet, [limited], str(RATE))
    send_to_all_entries(fleet, send, SETTLE_SECONDS)
    before = started_requests(fleet, limited)
    statuses = send_to_all_entries(fleet, send, INTERVAL_SECONDS)
    assert started_requests(fleet, limited) - before <= MAX_REQUESTS
    assert set(statuses) == {200}


@pytest.mark.parametrize("kind", list(KINDS))
def test_request_is_refused_at_once_while_all_upstreams_are_at_their_limit(
    fleet: Fleet, kind: str
) -> None:
    names, send = KINDS[kind]
    limited = names(fleet)
    advertise_limit(fleet, limited, "0.1")
    answers: list[httpx.Response] = []

    def is_refused() -> bool:
        answers.append(send(fleet, ENTRIES[0]))
        return code_of(answers[-1]) == LIMITED

    wait_until(is_refused, 10, "refused for the limits")
    assert answers[-1].status_code == 503
    assert answers[-1].headers["ledgeladder-execution"] == "not-run"
    assert float(answers[-1].headers["retry-after"]) > 0
