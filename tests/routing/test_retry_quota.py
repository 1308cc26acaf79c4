"""Repeats that are lent by demand: never more than the reserve in all, and enough where losses are.

The load: four engines of one failure domain crash at the same moment, under the streams of 20 of 63
boxes. Within two seconds these send up to 13 streams each again, 98 in all; then the same happens
in another failure domain. The reserve is 310 repeats in any 10 seconds.
"""

from __future__ import annotations

import random

import pytest

from ledgeladder.routing.retry_quota import (
    BASE_QUOTA_SHARE,
    QUOTA_SECONDS,
    QuotaLedger,
    grant_quota,
)
from ledgeladder.routing.retry_window import (
    USABLE_SHARE,
    RetryWindow,
    acquire_local_retry,
    add_quota,
    release_retry,
)

RESERVE = 310.0
WINDOW = 10.0
BOXES = 63
VOTERS = 5


def book(opened_at: float = -100.0) -> QuotaLedger:
    lendable = RESERVE * (1.0 - BASE_QUOTA_SHARE) * USABLE_SHARE / VOTERS
    return QuotaLedger(grantable=lendable, window=WINDOW, opened_at=opened_at)


def windows(ratio: float = 0.0) -> list[RetryWindow]:
    return [RetryWindow(ratio=ratio, reserve=RESERVE, seconds=WINDOW) for _ in range(BOXES)]


def spend(box: RetryWindow, books: list[QuotaLedger], now: float) -> bool:
    """Spend a repeat as a box does: its own part, then a loan of whoever lends."""
    if acquire_local_retry(box, now, BOXES):
        return True
    for lender in books:
        count = grant_quota(lender, 1, now)
        if count:
            add_quota(box, count, now + QUOTA_SECONDS)
            return acquire_local_retry(box, now, BOXES) is not None
    return False


def test_streams_of_one_failure_domain_are_sent_again_whole() -> None:
    rng = random.Random(3)
    boxes, books = windows(ratio=0.2), [book() for _ in range(VOTERS)]
    for box in boxes:
        box.first_tries.extend([0.0] * 13)
    needs = [min(13, 2 + rng.randrange(7)) for _ in range(20)]
    assert sum(needs) >= 80
    sent = [
        sum(spend(box, books, 15.0 - 14.0 + step * 0.1) for step in range(need))
        for box, need in zip(boxes, needs, strict=False)
    ]
    assert sent == needs
    even = windows(ratio=0.2)
    for box in even:
        box.first_tries.extend([0.0] * 13)
    own = [
        sum(acquire_local_retry(box, 1.0, BOXES) is not None for _ in range(need))
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
    forgotten = restarted * (RESERVE * BASE_QUOTA_SHARE / BOXES + 1)
    for start in spent:
        assert sum(start <= at < start + WINDOW for at in spent) <= RESERVE + forgotten


def test_whoever_has_just_become_a_voter_lends_nothing_for_a_window() -> None:
    lender = book(opened_at=5.0)
    assert grant_quota(lender, 1, 5.0 + WINDOW + QUOTA_SECONDS - 0.1) == 0
    assert grant_quota(lender, 1, 5.0 + WINDOW + QUOTA_SECONDS + 0.1) == 1


def test_loans_end_and_are_lent_again_after_a_window() -> None:
    lender = book()
    total = int(lender.grantable)
    assert grant_quota(lender, 1000, 0.0) == total
    assert grant_quota(lender, 1, WINDOW) == 0
    assert grant_quota(lender, 1000, WINDOW + QUOTA_SECONDS) == total
    box = RetryWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    add_quota(box, 2, 1.0)
    assert acquire_local_retry(box, 0.5, BOXES) is not None
    assert acquire_local_retry(box, 1.0, BOXES) is None


def test_lent_repeat_that_was_not_sent_is_spent_later() -> None:
    box = RetryWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    add_quota(box, 1, 1.0)
    repeat = acquire_local_retry(box, 0.1, BOXES)
    assert repeat is not None
    assert repeat.quota_until == 1.0
    release_retry(box, repeat)
    assert acquire_local_retry(box, 0.2, BOXES) == repeat
    assert acquire_local_retry(box, 0.3, BOXES) is None
