"""A request that crashes every upstream that runs it is quarantined, over the HTTP API."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterator

import httpx
import pytest

from ledgeladder.coordination.crash_book import CRASH_LIMIT
from standins import engine, service
from standins.fleet import Fleet, running_fleet, wait_until

from .callers import KEY, complete
from .conftest import configure_and_wait

ATTEMPTS = 8
"""Number of requests of the caller, to all entry boxes in turn."""

MAX_LATE_CRASHES = 3
"""Crashes that may happen before every box applies the quarantine."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """A fleet without a proxy, which would accept connections to processes that have exited."""
    with running_fleet(entries_per_domain=(1, 1, 1)) as running:
        yield configure_and_wait(running)


def generate(fleet: Fleet, entry: str, prompt: str) -> httpx.Response:
    return complete(fleet, entry, prompt, 4)


def call(fleet: Fleet, entry: str, what: str, *, repeatable: bool, key: str = "") -> httpx.Response:
    headers = KEY | {"ledgeladder-repeatable": "yes" if repeatable else "no"}
    if not repeatable:
        headers["idempotency-key"] = key or fresh_key()
    url = f"{fleet.url(entry)}/v1/services/previews/work"
    return fleet.client.post(url, json={"what": what}, headers=headers, timeout=30)


def fresh_key() -> str:
    """Return a version 7 UUID, as callers generate one for each attempt."""
    value = (time.time_ns() // 1_000_000) << 80 | 0x7 << 76 | uuid.uuid4().int & ((1 << 76) - 1)
    value = value & ~(0xC << 60) | 0x8 << 60
    return str(uuid.UUID(int=value))


Send = Callable[[Fleet, str, str], httpx.Response]

KINDS: dict[str, tuple[Send, str]] = {
    "generation": (generate, engine.CRASH_WORD),
    "repeatable": (
        lambda fleet, entry, what: call(fleet, entry, what, repeatable=True),
        service.CRASH_WORD,
    ),
    "once": (
        lambda fleet, entry, what: call(fleet, entry, what, repeatable=False),
        service.CRASH_WORD + " ",
    ),
}
"""How each kind of request is sent, and which content crashes its upstreams."""


def exited_upstreams(fleet: Fleet) -> list[str]:
    """Return the engines and services whose process has exited."""
    names = [spec.name for spec in fleet.engines]
    names += [name for name in fleet.processes if name.startswith("service-")]
    return [name for name in names if fleet.processes[name].popen.poll() is not None]


@pytest.mark.parametrize("kind", list(KINDS))
def test_crashing_content_crashes_few_upstreams(fleet: Fleet, kind: str) -> None:
    send, crash_content = KINDS[kind]

    def is_served(entry: str) -> bool:
        return send(fleet, entry, "harmless").status_code == 200

    crashes = 0
    for number in range(ATTEMPTS):
        for entry in fleet.entry_names:
            wait_until(lambda: is_served(entry), 30, f"{kind} served")  # noqa: B023
        answer = send(fleet, fleet.entry_names[number % len(fleet.entry_names)], crash_content)
        assert answer.status_code >= 500
        for name in exited_upstreams(fleet):
            crashes += 1
            fleet.launch(name)
    assert CRASH_LIMIT <= crashes <= CRASH_LIMIT + MAX_LATE_CRASHES
    for entry in fleet.entry_names:
        refused = send(fleet, entry, crash_content)
        assert refused.status_code == 503
        assert refused.headers["ledgeladder-code"] == "1206"
        assert refused.headers["ledgeladder-execution"] == "not-run"


def test_call_that_ran_is_never_reported_as_not_run(fleet: Fleet) -> None:
    """A quarantined call must not be reported as not run if it was sent to a service before."""
    crash_content = service.CRASH_WORD + "  "
    entry = fleet.entry_names[0]
    sent: list[str] = []

    def is_served() -> bool:
        return call(fleet, entry, "harmless", repeatable=True).status_code == 200

    for _ in range(4 * CRASH_LIMIT):
        wait_until(is_served, 30, "services")
        key = fresh_key()
        answer = call(fleet, entry, crash_content, repeatable=False, key=key)
        for name in exited_upstreams(fleet):
            fleet.launch(name)
        if answer.status_code == 503:
            break
        assert answer.status_code == 502
        sent.append(key)
    assert answer.headers["ledgeladder-code"] == "1206"
    assert len(sent) >= CRASH_LIMIT
    for key in sent:
        again = call(fleet, entry, crash_content, repeatable=False, key=key)
        assert again.status_code == 409
        assert again.headers["ledgeladder-execution"] == "unknown"


def test_engines_that_had_exited_quarantine_no_content(fleet: Fleet) -> None:
    """A harmless request that is retried on engines that had exited must not be quarantined."""
    entry = fleet.entry_names[0]

    def is_served() -> bool:
        return generate(fleet, entry, "innocent").status_code == 200

    wait_until(is_served, 30, "generation served")
    for _ in range(2 * CRASH_LIMIT):
        for spec in fleet.engines:
            fleet.kill(spec.name)
        refused = generate(fleet, entry, "innocent")
        assert refused.headers.get("ledgeladder-code") != "1206"
        for name in exited_upstreams(fleet):
            fleet.launch(name)
    wait_until(is_served, 30, "generation served again")
