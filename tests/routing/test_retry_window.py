"""The budget of repeats counts what arrives at upstreams, and nothing else."""

from __future__ import annotations

from ledgeladder.routing.retry_quota import BASE_QUOTA_SHARE
from ledgeladder.routing.retry_window import (
    USABLE_SHARE,
    Retry,
    RetryWindow,
    acquire_local_retry,
    record_first_try,
    release_retry,
)

BOXES = 10
FLOOR = 5.0 * BASE_QUOTA_SHARE
"""What each box has of a reserve of 50; the rest is lent."""


def window() -> RetryWindow:
    return RetryWindow(ratio=0.2, reserve=50.0, seconds=10.0)


def taken(budget: RetryWindow, now: float) -> int:
    count = 0
    while acquire_local_retry(budget, now, BOXES):
        count += 1
    return count


def test_a_box_spends_its_part_of_the_reserve_and_its_requests_share() -> None:
    budget = window()
    for _ in range(20):
        record_first_try(budget, 0.0)
    assert taken(budget, 1.0) == int((20 * 0.2 + FLOOR) * USABLE_SHARE)
    assert taken(budget, 9.0) == 0
    assert taken(budget, 11.1) == int(FLOOR * USABLE_SHARE)


def test_tries_that_arrive_nowhere_leave_the_budget_for_those_that_do() -> None:
    """The load after a loss: engines that are gone refuse connections, and others take the work."""
    budget = window()
    for _ in range(30):
        repeat = acquire_local_retry(budget, 1.0, BOXES)
        assert repeat is not None
        release_retry(budget, repeat)
    assert taken(budget, 1.0) == int(FLOOR * USABLE_SHARE)


def test_nothing_is_given_back_that_was_not_taken() -> None:
    budget = window()
    release_retry(budget, Retry(quota_until=None))
    assert taken(budget, 1.0) == int(FLOOR * USABLE_SHARE)
