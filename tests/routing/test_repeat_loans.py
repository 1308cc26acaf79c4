"""Retry quota: the reserve is never overspent, and boxes near a loss get enough retries.

Modeled on the simultaneous loss of several engines of one failure domain under many streams.
"""

from __future__ import annotations

import random

import pytest

from ledgeladder.routing.repeat_loans import (
    BASE_QUOTA_SHARE,
    QUOTA_SECONDS,
    QuotaLedger,
    grant_quota,
)
from ledgeladder.routing.repeat_window import (
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


def ledger(opened_at: float = -100.0) -> QuotaLedger:
    grantable = RESERVE * (1.0 - BASE_QUOTA_SHARE) * USABLE_SHARE / VOTERS
    return QuotaLedger(grantable=grantable, window=WINDOW, opened_at=opened_at)


def windows(ratio: float = 0.0) -> list[RetryWindow]:
    return [RetryWindow(ratio=ratio, reserve=RESERVE, seconds=WINDOW) for _ in range(BOXES)]


def use_retry(box: RetryWindow, ledgers: list[QuotaLedger], now: float) -> bool:
    """Use a retry as a box does: from its own share, then from any voter's grant."""
    if acquire_local_retry(box, now, BOXES):
        return True
    for voter in ledgers:
        count = grant_quota(voter, 1, now)
        if count:
            add_quota(box, count, now + QUOTA_SECONDS)
            return acquire_local_retry(box, now, BOXES) is not None
    return False


def test_all_streams_of_a_lost_failure_domain_are_retried() -> None:
    rng = random.Random(3)
    boxes, ledgers = windows(ratio=0.2), [ledger() for _ in range(VOTERS)]
    for box in boxes:
        box.first_attempts.extend([0.0] * 13)
    needs = [min(13, 2 + rng.randrange(7)) for _ in range(20)]
    assert sum(needs) >= 80
    sent = [
        sum(use_retry(box, ledgers, 15.0 - 14.0 + step * 0.1) for step in range(need))
        for box, need in zip(boxes, needs, strict=False)
    ]
    assert sent == needs
    even = windows(ratio=0.2)
    for box in even:
        box.first_attempts.extend([0.0] * 13)
    own = [
        sum(acquire_local_retry(box, 1.0, BOXES) is not None for _ in range(need))
        for box, need in zip(even, needs, strict=False)
    ]
    assert sum(own) < sum(needs)


@pytest.mark.parametrize("seed", range(25))
def test_no_window_ever_holds_more_than_the_reserve(seed: int) -> None:
    """Boxes and voters restart, voters are replaced, and links are cut."""
    rng = random.Random(seed)
    boxes, ledgers = windows(), [ledger(0.0) for _ in range(VOTERS)]
    spent: list[float] = []
    restarts = 0
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(60.0)
        hot = rng.randrange(20) if rng.random() < 0.8 else rng.randrange(BOXES)
        reachable = rng.sample(ledgers, rng.randrange(VOTERS + 1))
        if use_retry(boxes[hot], reachable, now):
            spent.append(now)
        if rng.random() < 0.002:
            ledgers[rng.randrange(VOTERS)] = ledger(now)
        if rng.random() < 0.0005:
            # A box that restarts forgets the use of its own share; its granted quota is lost.
            restarts += 1
            boxes[rng.randrange(BOXES)] = windows()[0]
    forgotten_retries = restarts * (RESERVE * BASE_QUOTA_SHARE / BOXES + 1)
    for start in spent:
        assert sum(start <= at < start + WINDOW for at in spent) <= RESERVE + forgotten_retries


def test_new_voter_grants_nothing_for_a_window() -> None:
    voter = ledger(opened_at=5.0)
    assert grant_quota(voter, 1, 5.0 + WINDOW + QUOTA_SECONDS - 0.1) == 0
    assert grant_quota(voter, 1, 5.0 + WINDOW + QUOTA_SECONDS + 0.1) == 1


def test_granted_quota_expires_and_is_granted_again_after_a_window() -> None:
    voter = ledger()
    total = int(voter.grantable)
    assert grant_quota(voter, 1000, 0.0) == total
    assert grant_quota(voter, 1, WINDOW) == 0
    assert grant_quota(voter, 1000, WINDOW + QUOTA_SECONDS) == total
    box = RetryWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    add_quota(box, 2, 1.0)
    assert acquire_local_retry(box, 0.5, BOXES) is not None
    assert acquire_local_retry(box, 1.0, BOXES) is None


def test_released_quota_can_be_used_later() -> None:
    box = RetryWindow(ratio=0.0, reserve=0.0, seconds=WINDOW)
    add_quota(box, 1, 1.0)
    retry = acquire_local_retry(box, 0.1, BOXES)
    assert retry is not None
    assert retry.quota_until == 1.0
    release_retry(box, retry)
    assert acquire_local_retry(box, 0.2, BOXES) == retry
    assert acquire_local_retry(box, 0.3, BOXES) is None
