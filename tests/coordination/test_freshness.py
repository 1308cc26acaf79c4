"""An entry box that is paused between any two steps must not trust an outdated version."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from ledgeladder.coordination.freshness import Freshness, handle_reply, is_fresh, open_query

BOUND = 4.0
"""Maximum age of the knowledge, in seconds."""

ROUNDING = 1e-9
"""Tolerance for sums of floating-point numbers, in seconds."""


def run_schedule(seed: int, handle: Callable[[Freshness, int, int, float, float], None]) -> int:
    """Simulate queries, replies, publications and pauses; returns the number of violations.

    A violation is a version that the box trusts although a newer one was published more than the
    bound ago. Replies come from the leader, or from a box that forwards the leader's reply with its
    age.
    """
    rng = random.Random(seed)
    freshness = Freshness()
    now, newest, own_version = 0.0, 1, 1
    published_at = {1: 0.0}
    queries: list[tuple[float, int]] = []
    violations = 0
    for _ in range(400):
        now += rng.choice((0.01, 0.1, 0.5, rng.uniform(1.0, 12.0)))
        match rng.choice(("ask", "publish", "learn", "answer", "answer")):
            case "ask":
                queries.append((now, open_query(freshness, now)))
            case "publish" if rng.random() < 0.3:
                newest += 1
                published_at[newest] = now
            case "learn":
                own_version = max(own_version, rng.randint(own_version, newest))
            case "answer" if queries:
                sent_at, number = queries.pop(rng.randrange(len(queries)))
                # The reply reflects what some box on the way knew at that time.
                answered_at = rng.uniform(sent_at, now)
                age = rng.choice((0.0, min(answered_at, rng.uniform(0.0, 2.0))))
                known_at = answered_at - age
                version = max(item for item, at in published_at.items() if at <= known_at)
                handle(freshness, number, version, age, now)
        if is_fresh(freshness, own_version, now, BOUND) and own_version < newest:
            overtaken = min(at for version, at in published_at.items() if version > own_version)
            violations += now - overtaken > BOUND + ROUNDING
    return violations


def handle_unchanged(
    freshness: Freshness, number: int, version: int, age: float, now: float
) -> None:
    handle_reply(freshness, number, version, age)


def age_from_arrival(
    freshness: Freshness, number: int, version: int, age: float, now: float
) -> None:
    """Injected fault: the age is counted from the arrival of the reply."""
    if number in freshness.sent_at:
        freshness.sent_at[number] = now
    handle_reply(freshness, number, version, age)


def ignore_age(freshness: Freshness, number: int, version: int, age: float, now: float) -> None:
    """Injected fault: a forwarded reply is handled like one of the leader."""
    handle_reply(freshness, number, version, 0.0)


@pytest.mark.parametrize("seed", range(200))
def test_outdated_version_is_never_trusted(seed: int) -> None:
    assert run_schedule(seed, handle_unchanged) == 0


@pytest.mark.parametrize("fault", [age_from_arrival, ignore_age])
def test_injected_fault_is_detected(
    fault: Callable[[Freshness, int, int, float, float], None],
) -> None:
    assert sum(run_schedule(seed, fault) for seed in range(50)) > 0


def test_replies_without_knowledge_are_ignored() -> None:
    freshness = Freshness()
    handle_reply(freshness, open_query(freshness, 10.0), 3, None)
    assert not is_fresh(freshness, 3, 10.0, BOUND)
    handle_reply(freshness, 99, 3, 0.0)
    assert not is_fresh(freshness, 3, 10.0, BOUND)


def test_older_leader_does_not_lower_the_version() -> None:
    freshness = Freshness()
    first, second = open_query(freshness, 1.0), open_query(freshness, 2.0)
    handle_reply(freshness, first, 7, 0.0)
    handle_reply(freshness, second, 6, 0.0)
    assert freshness.version == 7
    assert freshness.as_of == 1.0


def test_query_without_knowledge_is_answered_later() -> None:
    """Boxes that start before there is a leader must not have to query again."""
    freshness = Freshness()
    number = open_query(freshness, 10.0)
    handle_reply(freshness, number, 3, None)
    assert not is_fresh(freshness, 3, 10.1, BOUND)
    handle_reply(freshness, number, 3, 0.2)
    assert freshness.as_of == pytest.approx(9.8)
    handle_reply(freshness, number, 9, 0.0)
    assert freshness.version == 3
