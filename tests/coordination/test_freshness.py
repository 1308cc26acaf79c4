"""An entry box that is frozen between any two steps never believes what is out of date."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from ledgeladder.coordination.freshness import Freshness, ask, is_fresh, take_answer

BOUND = 4.0
"""Longest age of a belief, in seconds."""

ROUNDING = 1e-9
"""Room for sums of floating-point numbers, in seconds."""


def run_schedule(seed: int, take: Callable[[Freshness, int, int, float, float], None]) -> int:
    """Play questions, answers, publications and freezes; returns how often a belief was wrong.

    A belief is wrong if the box trusts a version although a newer one was published more than the
    bound ago. Answers come from the leader, or from a box that heard the leader some time before
    and says how long ago that was.
    """
    rng = random.Random(seed)
    freshness = Freshness()
    now, newest, held = 0.0, 1, 1
    published_at = {1: 0.0}
    questions: list[tuple[float, int]] = []
    wrong = 0
    for _ in range(400):
        now += rng.choice((0.01, 0.1, 0.5, rng.uniform(1.0, 12.0)))
        match rng.choice(("ask", "publish", "learn", "answer", "answer")):
            case "ask":
                questions.append((now, ask(freshness, now)))
            case "publish" if rng.random() < 0.3:
                newest += 1
                published_at[newest] = now
            case "learn":
                held = max(held, rng.randint(held, newest))
            case "answer" if questions:
                asked_at, number = questions.pop(rng.randrange(len(questions)))
                # The question is answered somewhere on the way, out of what was known before.
                answered_at = rng.uniform(asked_at, now)
                age = rng.choice((0.0, min(answered_at, rng.uniform(0.0, 2.0))))
                known_at = answered_at - age
                version = max(item for item, at in published_at.items() if at <= known_at)
                take(freshness, number, version, age, now)
        if is_fresh(freshness, held, now, BOUND) and held < newest:
            overtaken = min(at for version, at in published_at.items() if version > held)
            wrong += now - overtaken > BOUND + ROUNDING
    return wrong


def as_it_is(freshness: Freshness, number: int, version: int, age: float, now: float) -> None:
    take_answer(freshness, number, version, age)


def from_the_answer(
    freshness: Freshness, number: int, version: int, age: float, now: float
) -> None:
    """A planted fault: the belief counts from the arrival of the answer."""
    if number in freshness.asked_at:
        freshness.asked_at[number] = now
    take_answer(freshness, number, version, age)


def without_age(freshness: Freshness, number: int, version: int, age: float, now: float) -> None:
    """A planted fault: an answer that was passed on counts like one of the leader."""
    take_answer(freshness, number, version, 0.0)


@pytest.mark.parametrize("seed", range(200))
def test_no_stale_belief(seed: int) -> None:
    assert run_schedule(seed, as_it_is) == 0


@pytest.mark.parametrize("fault", [from_the_answer, without_age])
def test_planted_fault_is_caught(
    fault: Callable[[Freshness, int, int, float, float], None],
) -> None:
    assert sum(run_schedule(seed, fault) for seed in range(50)) > 0


def test_answers_without_knowledge_count_for_nothing() -> None:
    freshness = Freshness()
    take_answer(freshness, ask(freshness, 10.0), 3, None)
    assert not is_fresh(freshness, 3, 10.0, BOUND)
    take_answer(freshness, 99, 3, 0.0)
    assert not is_fresh(freshness, 3, 10.0, BOUND)


def test_older_leader_does_not_lower_the_version() -> None:
    freshness = Freshness()
    first, second = ask(freshness, 1.0), ask(freshness, 2.0)
    take_answer(freshness, first, 7, 0.0)
    take_answer(freshness, second, 6, 0.0)
    assert freshness.version == 7
    assert freshness.as_of == 1.0


def test_question_that_found_no_knowledge_is_answered_later() -> None:
    """Boxes that start together ask before there is a leader, and must not wait to ask again."""
    freshness = Freshness()
    number = ask(freshness, 10.0)
    take_answer(freshness, number, 3, None)
    assert not is_fresh(freshness, 3, 10.1, BOUND)
    take_answer(freshness, number, 3, 0.2)
    assert freshness.as_of == pytest.approx(9.8)
    take_answer(freshness, number, 9, 0.0)
    assert freshness.version == 3
