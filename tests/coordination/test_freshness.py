"""An entry box that is frozen between any two steps never believes what is out of date."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from ledgeladder.coordination.freshness import Freshness, ask, is_fresh, take_answer

BOUND = 4.0


def run_schedule(seed: int, take: Callable[[Freshness, int, int, float, float], None]) -> int:
    """Play questions, answers, publications and freezes; returns how often a belief was wrong.

    A belief is wrong if the box trusts a version although a newer one was published more than the
    bound ago.
    """
    rng = random.Random(seed)
    freshness = Freshness()
    now, newest, held = 0.0, 1, 1
    published_at = {1: 0.0}
    answers: list[tuple[float, int, int, float]] = []
    wrong = 0
    for _ in range(400):
        now += rng.choice((0.01, 0.1, 0.5, rng.uniform(1.0, 12.0)))
        match rng.choice(("ask", "publish", "learn", "answer", "answer")):
            case "ask":
                number = ask(freshness, now)
                # The leader reads its version somewhere on the way.
                read_at = now + rng.uniform(0.0, 0.01)
                answers.append((read_at, number, newest, 0.0))
            case "publish" if rng.random() < 0.3:
                newest += 1
                published_at[newest] = now
            case "learn":
                held = max(held, rng.randint(held, newest))
            case "answer" if answers:
                _, number, version, age = answers.pop(rng.randrange(len(answers)))
                take(freshness, number, version, age, now)
        if is_fresh(freshness, held, now, BOUND) and held < newest:
            overtaken = min(at for version, at in published_at.items() if version > held)
            wrong += now - overtaken > BOUND + 0.011
    return wrong


def right(freshness: Freshness, number: int, version: int, age: float, now: float) -> None:
    take_answer(freshness, number, version, age)


def from_the_answer(
    freshness: Freshness, number: int, version: int, age: float, now: float
) -> None:
    """A planted fault: the belief counts from the arrival of the answer."""
    if number in freshness.asked_at:
        freshness.asked_at[number] = now
    take_answer(freshness, number, version, age)


@pytest.mark.parametrize("seed", range(200))
def test_no_stale_belief(seed: int) -> None:
    assert run_schedule(seed, right) == 0


def test_planted_fault_is_caught() -> None:
    assert sum(run_schedule(seed, from_the_answer) for seed in range(50)) > 0


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
