"""Repeats that are lent by demand: never more than the reserve in all, and enough where losses are.

The load: four engines of one failure domain crash at the same moment, under the streams of 20 of 63
boxes. Within two seconds these send up to 13 streams each again, 98 in all; then the same happens
in another failure domain. The reserve is 310 repeats in any 10 seconds.
"""

from __future__ import annotations

import random

import pytest

from ledgeladder.routing.repeat_loans import FLOOR_SHARE, LOAN_SECONDS, LoanBook, lend
from ledgeladder.routing.repeat_window import (
    SHARE_USED,
    RepeatWindow,
    give_back,
    take_loan,
    take_repeat,
)

RESERVE = 310.0
WINDOW = 10.0
BOXES = 63
VOTERS = 5


def book(opened_at: float = -100.0) -> LoanBook:
    lendable = RESERVE * (1.0 - FLOOR_SHARE) * SHARE_USED / VOTERS
    return LoanBook(lendable=lendable, window=WINDOW, opened_at=opened_at)


def windows(ratio: float = 0.0) -> list[RepeatWindow]:
    return [RepeatWindow(ratio=ratio, reserve=RESERVE, seconds=WINDOW) for _ in range(BOXES)]


def spend(box: RepeatWindow, books: list[LoanBook], now: float) -> bool:
    """Spend a repeat as a box does: its own part, then a loan of whoever lends."""
    if take_repeat(box, now, BOXES):
        return True
    for lender in books:
        count = lend(lender, 1, now)
        if count:
            take_loan(box, count, now + LOAN_SECONDS)
            return take_repeat(box, now, BOXES) is not None
    return False


def test_streams_of_one_failure_domain_are_sent_again_whole() -> None:
    rng = random.Random(3)
    boxes, books = windows(ratio=0.2), [book() for _ in range(VOTERS)]
    for box in boxes:
        box.firsts.extend([0.0] * 13)
    needs = [min(13, 2 + rng.randrange(7)) for _ in range(20)]
    assert sum(needs) >= 80
    sent = [
        sum(spend(box, books, 15.0 - 14.0 + step * 0.1) for step in range(need))
        for box, need in zip(boxes, needs, strict=False)
    ]
    assert sent == needs
    even = windows(ratio=0.2)
    for box in even:
        box.firsts.extend([0.0] * 13)
    own = [
        sum(take_repeat(box, 1.0, BOXES) is not None for _ in range(need))
        for box, need in zip(even, needs, strict=False)
    ]
    assert sum(own) < sum(needs)


@pytest.mark.parametrize("seed", range(25))
def test_no_window_ever_holds_more_than_the_reserve(seed: int) -> None:
    """Boxes and voters restart, voters change places, links are cut, and answers come late."""
    rng = random.Random(seed)
    boxes, books = windows(), [book(0.0) for _ in range(VOTERS)]
    spent: list[float] = []
    restarted = 0
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(60.0)
        hot = rng.randrange(20) if rng.random() < 0.8 else rng.randrange(BOXES)
        reachable = rng.sample(books, rng.randrange(VOTERS + 1))
        if spend(boxes[hot], reachable, now):
            spent.append(now)
        if rng.random() < 0.002:
            books[rng.randrange(VOTERS)] = book(now)
        if rng.random() < 0.0005:
            # A box that restarts forgets its own part only; a loan is lost with it.
            restarted += 1
            boxes[rng.randrange(BOXES)] = windows()[0]
    forgotten = restarted * (RESERVE * FLOOR_SHARE / BOXES + 1)
    for start in spent:
        assert sum(start <= at < start + WINDOW for at in spent) <= RESERVE + forgotten


def test_whoever_has_just_become_a_voter_lends_nothing_for_a_window() -> None:
    lender = book(opened_at=5.0)
    assert lend(lender, 1, 5.0 + WINDOW + LOAN_SECONDS - 0.1) == 0
    assert lend(lender, 1, 5.0 + WINDOW + LOAN_SECONDS + 0.1) == 1


def test_loans_end_and_are_lent_again_after_a_window() -> None:
    lender = book()
    total = int(lender.lendable)
    assert lend(lender, 1000, 0.0) == total
    assert lend(lender, 1, WINDOW) == 0
    assert lend(lender, 1000, WINDOW + LOAN_SECONDS) == total
    box = RepeatWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    take_loan(box, 2, 1.0)
    assert take_repeat(box, 0.5, BOXES) is not None
    assert take_repeat(box, 1.0, BOXES) is None


def test_lent_repeat_that_was_not_sent_is_spent_later() -> None:
    box = RepeatWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    take_loan(box, 1, 1.0)
    repeat = take_repeat(box, 0.1, BOXES)
    assert repeat is not None
    assert repeat.lent_until == 1.0
    give_back(box, repeat)
    assert take_repeat(box, 0.2, BOXES) == repeat
    assert take_repeat(box, 0.3, BOXES) is None
