"""The retry budget counts only retries that reach an upstream."""

from __future__ import annotations

import random

import pytest

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


def count_new_retries(budget: RetryWindow, now: float, begun: int) -> int:
    count = 0
    while acquire_local_retry(budget, now, BOXES, started=False, begun=begun):
        count += 1
    return count


def busy_window() -> RetryWindow:
    """Return a budget with an own share of 17 retries."""
    budget = window()
    for _ in range(100):
        record_first_attempt(budget, 0.0)
    return budget


def test_refused_new_requests_leave_retries_for_begun_streams() -> None:
    """A burst that full engines refuse, and then an engine is lost under ten streams."""
    budget = busy_window()
    share = int((100 * 0.2 + BASE_QUOTA) * USABLE_SHARE)
    assert count_new_retries(budget, 1.0, begun=10) == share // 2
    assert count_retries(budget, 1.1) == share - share // 2


def test_no_more_retries_are_kept_than_streams_have_begun() -> None:
    share = int((100 * 0.2 + BASE_QUOTA) * USABLE_SHARE)
    assert count_new_retries(busy_window(), 1.0, begun=0) == share
    assert count_new_retries(busy_window(), 1.0, begun=3) == share - 3


def test_begun_streams_may_use_the_whole_share() -> None:
    budget = busy_window()
    share = int((100 * 0.2 + BASE_QUOTA) * USABLE_SHARE)
    assert count_retries(budget, 1.0) == share
    assert count_new_retries(budget, 1.0, begun=0) == 0


def test_released_retry_of_a_new_request_can_be_used_by_one_again() -> None:
    budget = busy_window()
    for _ in range(50):
        retry = acquire_local_retry(budget, 1.0, BOXES, started=False, begun=10)
        assert retry is not None
        release_retry(budget, retry)
    assert not budget.retries
    assert not budget.new_retries


@pytest.mark.parametrize("started", [True, False])
def test_retry_released_after_its_window_returns_none_of_a_later_one(started: bool) -> None:
    """A stream reserves a retry for a replacement, goes on after all, and outlasts the window."""
    budget = window()
    reserved = acquire_local_retry(budget, 0.0, BOXES, started=started)
    assert reserved is not None
    later = 10.0 + 1.0
    assert acquire_local_retry(budget, later, BOXES, started=started) is not None
    release_retry(budget, reserved)
    assert count_retries(budget, later) == int(BASE_QUOTA * USABLE_SHARE) - 1


@pytest.mark.parametrize("seed", range(25))
def test_releases_never_raise_the_retries_of_a_window(seed: int) -> None:
    """Retries of both purposes that are released soon, late, or never."""
    rng = random.Random(seed)
    budget = RetryWindow(ratio=0.2, reserve=400.0, seconds=10.0)
    allowed = 400.0 * BASE_QUOTA_SHARE / BOXES * USABLE_SHARE
    held: list[tuple[float, Retry]] = []
    used: list[float] = []
    now = 0.0
    while now < 120.0:
        now += rng.expovariate(5.0)
        started = rng.random() < 0.5
        retry = acquire_local_retry(budget, now, BOXES, started=started, begun=rng.randrange(4))
        if retry is not None:
            held.append((now, retry))
        if held and rng.random() < 0.5:
            at, retry = held.pop(rng.randrange(len(held)))
            if rng.random() < 0.5:
                release_retry(budget, retry)
            else:
                used.append(at)
        assert len(budget.new_retries) <= len(budget.retries)
        since = [at for at in used if at > now - budget.seconds]
        since += [at for at, _retry in held if at > now - budget.seconds]
        assert len(since) <= allowed
