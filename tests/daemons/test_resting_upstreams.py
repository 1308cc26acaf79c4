"""Upstreams that request back-off, over the product's own interface.

Guards against requests being sent to a service or an engine before the end of the back-off that its
refusal names.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import httpx
import pytest

from standins.fleet import Fleet, running_fleet, wait_until

from .callers import complete
from .conftest import configure_and_wait
from .test_crashing_generation import call

ENTRY = "entry-a1"

BACKOFF_SECONDS = 4.0
"""Back-off that upstreams request."""

IN_FLIGHT_SECONDS = 0.5
"""How long before the end of the back-off the test stops sending."""

BACKING_OFF = 1207
"""Result code of a request whose upstreams are all backing off."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with running_fleet(entries_per_domain=(1, 1, 1)) as running:
        yield configure_and_wait(running)


@pytest.fixture(autouse=True)
def reset_upstreams(fleet: Fleet) -> Iterator[None]:
    """Have the upstreams serve again after a test and wait until no back-off is left."""
    yield
    set_backoff(fleet, [*services(fleet), *first_engines(fleet)], enabled=False)
    time.sleep(BACKOFF_SECONDS)


def services(fleet: Fleet) -> list[str]:
    return [name for name in fleet.processes if name.startswith("service-")]


def first_engines(fleet: Fleet) -> list[str]:
    """Return the engines that a generation can be sent to."""
    return [spec.name for spec in fleet.engines if spec.first == 0]


def set_backoff(fleet: Fleet, names: list[str], *, enabled: bool) -> None:
    """Have upstreams refuse and request back-off, or serve again."""
    for name in names:
        if name.startswith("service-"):
            body: dict[str, object] = {"rest": [str(BACKOFF_SECONDS)] if enabled else []}
        else:
            body = {"rest": str(BACKOFF_SECONDS) if enabled else ""}
        fleet.client.post(f"{fleet.url(name)}/standin/control", json=body)


def refused_count(fleet: Fleet, name: str) -> int:
    """Return how many requests an upstream has refused to request back-off."""
    stats = fleet.client.get(f"{fleet.url(name)}/standin/stats").json()
    return int(stats.get("counts", stats).get("refused", 0))


KINDS: dict[str, tuple[Callable[[Fleet], list[str]], Callable[[Fleet], httpx.Response]]] = {
    "generation": (first_engines, lambda fleet: complete(fleet, ENTRY, "again", 2)),
    "repeatable": (services, lambda fleet: call(fleet, ENTRY, "again", repeatable=True)),
    "once": (services, lambda fleet: call(fleet, ENTRY, "again", repeatable=False)),
}
"""Upstreams of each kind of request and the function that sends it."""


def code_of(answer: httpx.Response) -> int:
    return int(answer.headers.get("ledgeladder-code", "0"))


@pytest.mark.parametrize("kind", list(KINDS))
def test_upstreams_get_no_request_during_their_backoff(fleet: Fleet, kind: str) -> None:
    """Some upstreams request back-off, the others serve, and one caller keeps sending."""
    names, send = KINDS[kind]
    wait_until(lambda: send(fleet).status_code == 200, 20, f"{kind} served")
    backing_off = names(fleet)[: len(names(fleet)) // 3]
    before = {name: refused_count(fleet, name) for name in backing_off}
    set_backoff(fleet, backing_off, enabled=True)
    until = time.monotonic() + BACKOFF_SECONDS - IN_FLIGHT_SECONDS
    while time.monotonic() < until:
        assert send(fleet).status_code == 200
    # Requests are sent one at a time, so none is in flight when an answer arrives. An engine that
    # requested back-off in answer to a load check may get none at all.
    assert all(refused_count(fleet, name) - before[name] <= 1 for name in backing_off)


@pytest.mark.parametrize("kind", list(KINDS))
def test_request_is_refused_at_once_while_all_upstreams_back_off(fleet: Fleet, kind: str) -> None:
    names, send = KINDS[kind]
    wait_until(lambda: send(fleet).status_code == 200, 20, f"{kind} served")
    set_backoff(fleet, names(fleet), enabled=True)
    wait_until(lambda: code_of(send(fleet)) == BACKING_OFF, 3, "all backing off")
    set_backoff(fleet, names(fleet), enabled=False)
    answer = send(fleet)
    assert code_of(answer) == BACKING_OFF
    assert answer.status_code == 503
    assert answer.headers["ledgeladder-execution"] == "not-run"
    retry_after = float(answer.headers["retry-after"])
    # This interface rounds up to whole seconds.
    assert 0 < retry_after < BACKOFF_SECONDS + 1
    time.sleep(retry_after)
    assert send(fleet).status_code == 200
