"""A request that ends every upstream that runs it, over the product's own interface."""

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
from .conftest import started

ATTEMPTS = 8
"""Times that the caller comes again, to all entry boxes in turn."""

LATE_ENDS = 3
"""Ends that may come before every box knows."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """A fleet without a proxy, which would accept connections to processes that have ended."""
    with running_fleet(entries_per_domain=(1, 1, 1)) as running:
        yield started(running)


def generate(fleet: Fleet, entry: str, prompt: str) -> httpx.Response:
    return complete(fleet, entry, prompt, 4)


def call(fleet: Fleet, entry: str, what: str, *, repeatable: bool, key: str = "") -> httpx.Response:
    headers = KEY | {"ledgeladder-repeatable": "yes" if repeatable else "no"}
    if not repeatable:
        headers["idempotency-key"] = key or fresh_key()
    url = f"{fleet.url(entry)}/v1/services/previews/work"
    return fleet.client.post(url, json={"what": what}, headers=headers, timeout=30)


def fresh_key() -> str:
    """Return version 7 of a UUID, as callers draw one for each attempt."""
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
"""How each kind of request is sent, and what ends its upstreams."""


def ended(fleet: Fleet) -> list[str]:
    """Return the engines and services whose process has ended."""
    names = [spec.name for spec in fleet.engines]
    names += [name for name in fleet.processes if name.startswith("service-")]
    return [name for name in names if fleet.processes[name].popen.poll() is not None]


@pytest.mark.parametrize("kind", list(KINDS))
def test_content_that_ends_upstreams_ends_few_of_them(fleet: Fleet, kind: str) -> None:
    send, word = KINDS[kind]

    def is_served(entry: str) -> bool:
        return send(fleet, entry, "harmless").status_code == 200

    ends = 0
    for number in range(ATTEMPTS):
        for entry in fleet.entry_names:
            wait_until(lambda: is_served(entry), 30, f"{kind} served")  # noqa: B023
        answer = send(fleet, fleet.entry_names[number % len(fleet.entry_names)], word)
        assert answer.status_code >= 500
        for name in ended(fleet):
            ends += 1
            fleet.launch(name)
    assert CRASH_LIMIT <= ends <= CRASH_LIMIT + LATE_ENDS
    for entry in fleet.entry_names:
        refused = send(fleet, entry, word)
        assert refused.status_code == 503
        assert refused.headers["ledgeladder-code"] == "1206"
        assert refused.headers["ledgeladder-execution"] == "not-run"


def test_call_that_ran_is_never_said_not_to_have_run(fleet: Fleet) -> None:
    """Its content is sent nowhere by now, but this very call was sent to a service before."""
    word = service.CRASH_WORD + "  "
    entry = fleet.entry_names[0]
    sent: list[str] = []

    def is_served() -> bool:
        return call(fleet, entry, "harmless", repeatable=True).status_code == 200

    for _ in range(4 * CRASH_LIMIT):
        wait_until(is_served, 30, "services")
        key = fresh_key()
        answer = call(fleet, entry, word, repeatable=False, key=key)
        for name in ended(fleet):
            fleet.launch(name)
        if answer.status_code == 503:
            break
        assert answer.status_code == 502
        sent.append(key)
    assert answer.headers["ledgeladder-code"] == "1206"
    assert len(sent) >= CRASH_LIMIT
    for key in sent:
        again = call(fleet, entry, word, repeatable=False, key=key)
        assert again.status_code == 409
        assert again.headers["ledgeladder-execution"] == "unknown"


def test_engines_that_had_ended_put_no_content_aside(fleet: Fleet) -> None:
    """The pattern: an innocent request finds one dead engine after the other, and comes again."""
    entry = fleet.entry_names[0]

    def is_served() -> bool:
        return generate(fleet, entry, "innocent").status_code == 200

    wait_until(is_served, 30, "generation served")
    for _ in range(2 * CRASH_LIMIT):
        for spec in fleet.engines:
            fleet.kill(spec.name)
        refused = generate(fleet, entry, "innocent")
        assert refused.headers.get("ledgeladder-code") != "1206"
        for name in ended(fleet):
            fleet.launch(name)
    wait_until(is_served, 30, "generation served again")
