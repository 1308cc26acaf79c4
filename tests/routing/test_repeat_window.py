"""The retry budget counts only retries that reach an upstream."""

from __future__ import annotations

from ledgeladder.routing.repeat_loans import BASE_QUOTA_SHARE
from ledgeladder.routing.repeat_window import (
    USABLE_SHARE,
    Retry,
    RetryWindow,
    acquire_local_retry,
    record_first_attempt,
    release_retry,
)

BOXES = 10
BASE_QUOTA = 5.0 * BASE_QUOTA_SHARE
"""Each box's base quota from a reserve of 50."""


def window() -> RetryWindow:
    return RetryWindow(ratio=0.2, reserve=50.0, seconds=10.0)


def count_retries(budget: RetryWindow, now: float) -> int:
    count = 0
    while acquire_local_retry(budget, now, BOXES):
        count += 1
    return count


def test_box_uses_its_base_quota_and_the_share_of_its_requests() -> None:
    budget = window()
    for _ in range(20):
        record_first_attempt(budget, 0.0)
    assert count_retries(budget, 1.0) == int((20 * 0.2 + BASE_QUOTA) * USABLE_SHARE)
    assert count_retries(budget, 9.0) == 0
    assert count_retries(budget, 11.1) == int(BASE_QUOTA * USABLE_SHARE)


def test_retries_that_reach_no_upstream_do_not_count() -> None:
    """After a loss, many tries end in refused connections."""
    budget = window()
    for _ in range(30):
        retry = acquire_local_retry(budget, 1.0, BOXES)
        assert retry is not None
        release_retry(budget, retry)
    assert count_retries(budget, 1.0) == int(BASE_QUOTA * USABLE_SHARE)


def test_releasing_an_unused_retry_adds_nothing() -> None:
    budget = window()
    release_retry(budget, Retry(quota_until=None))
    assert count_retries(budget, 1.0) == int(BASE_QUOTA * USABLE_SHARE)
