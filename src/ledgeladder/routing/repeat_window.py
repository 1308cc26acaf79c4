"""Limits retries over a sliding window to a box's own share and the quota granted to it."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

import msgspec

from .repeat_loans import BASE_QUOTA_SHARE

USABLE_SHARE: Final = 0.8
"""Part of its allowance that a box uses; the rest is a safety margin."""

MIN_ENTRIES: Final = 4
"""Minimum number of entry boxes assumed, since their real number is unknown at the start."""


class Retry(NamedTuple):
    """One retry taken from the budget."""

    quota_until: float | None
    """When the granted quota expires, on the monotonic clock; None for the box's own share."""


class RetryWindow(msgspec.Struct, kw_only=True):
    """Requests and retries that this box sent to one pool's upstreams in a sliding window."""

    ratio: float
    """Retries allowed per request."""

    reserve: float
    """Further retries that all boxes together may make in one window."""

    seconds: float
    """Length of the window, in seconds."""

    first_attempts: deque[float] = msgspec.field(default_factory=deque)
    """Times of first attempts, on the monotonic clock, oldest first."""

    retries: deque[float] = msgspec.field(default_factory=deque)
    """Times of retries from the box's own share, on the monotonic clock, oldest first."""

    quota: deque[float] = msgspec.field(default_factory=deque)
    """Expiry of each granted retry, on the monotonic clock, soonest first."""


def record_first_attempt(window: RetryWindow, now: float) -> None:
    """Record the first attempt of a request."""
    window.first_attempts.append(now)
    _expire(window, now)


def acquire_local_retry(window: RetryWindow, now: float, entries: int) -> Retry | None:
    """Take one retry from the box's own share, or else from its granted quota.

    Args:
        window: The budget.
        now: Monotonic time.
        entries: Number of entry boxes that share the base quota.

    Returns:
        The retry; None if none is left, in which case the request must not be retried.
    """
    _expire(window, now)
    base = window.reserve * BASE_QUOTA_SHARE / max(entries, MIN_ENTRIES)
    allowed = (window.ratio * len(window.first_attempts) + base) * USABLE_SHARE
    if len(window.retries) + 1 <= allowed:
        window.retries.append(now)
        return Retry(quota_until=None)
    return Retry(quota_until=window.quota.popleft()) if window.quota else None


def add_quota(window: RetryWindow, count: int, until: float) -> None:
    """Add granted retries that expire at a monotonic time."""
    window.quota.extend([until] * count)


def release_retry(window: RetryWindow, retry: Retry) -> None:
    """Return a retry that never reached an upstream.

    After a loss, many attempts end in refused connections. Counting them would use up the budget
    when it is needed most.
    """
    if retry.quota_until is not None:
        window.quota.appendleft(retry.quota_until)
    elif window.retries:
        window.retries.pop()


def _expire(window: RetryWindow, now: float) -> None:
    for times in (window.first_attempts, window.retries):
        while times and times[0] <= now - window.seconds:
            times.popleft()
    while window.quota and window.quota[0] <= now:
        window.quota.popleft()
