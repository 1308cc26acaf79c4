"""A shared budget of repeats over a sliding window: a box's own part, and what it is lent."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

import msgspec

from .retry_quota import BASE_QUOTA_SHARE

USABLE_SHARE: Final = 0.8
"""Part of the allowed share of repeats that a box uses: requests that never arrived here still
count for the budget, but those of others may be fewer than they seem."""

MIN_ENTRIES: Final = 4
"""Entry boxes that are assumed at least, until control boxes have told how many there are."""


class Retry(NamedTuple):
    """One repeat that was spent."""

    quota_until: float | None
    """Until when it might have been spent, if it was lent; None for one of the box's own part."""


class RetryWindow(msgspec.Struct, kw_only=True):
    """Arrivals at one pool's upstreams that this box caused, in a sliding window."""

    ratio: float
    """Repeats that all boxes together may make for each request."""

    reserve: float
    """Repeats that all boxes together may make besides, in one window."""

    seconds: float
    """Length of the window, in seconds."""

    first_tries: deque[float] = msgspec.field(default_factory=deque)
    """When requests were first sent, on the monotonic clock, oldest first."""

    retries: deque[float] = msgspec.field(default_factory=deque)
    """When they were sent again out of the own part, likewise."""

    quota: deque[float] = msgspec.field(default_factory=deque)
    """Until when each repeat that was lent may be spent, on the monotonic clock, soonest first."""


def record_first_try(window: RetryWindow, now: float) -> None:
    """Note that a request was sent for the first time."""
    window.first_tries.append(now)
    _expire(window, now)


def acquire_local_retry(window: RetryWindow, now: float, entries: int) -> Retry | None:
    """Spend one repeat, out of the own part first.

    Args:
        window: The budget.
        now: Monotonic time.
        entries: Entry boxes among which the floor of the reserve is split.

    Returns:
        The repeat; None if nothing is left, and the request must not be sent again.
    """
    _expire(window, now)
    base = window.reserve * BASE_QUOTA_SHARE / max(entries, MIN_ENTRIES)
    allowed = (window.ratio * len(window.first_tries) + base) * USABLE_SHARE
    if len(window.retries) + 1 <= allowed:
        window.retries.append(now)
        return Retry(quota_until=None)
    return Retry(quota_until=window.quota.popleft()) if window.quota else None


def add_quota(window: RetryWindow, count: int, until: float) -> None:
    """Take in repeats that were lent, to be spent until a monotonic time."""
    window.quota.extend([until] * count)


def release_retry(window: RetryWindow, retry: Retry) -> None:
    """Take back a repeat that could not be sent: only what arrives at upstreams counts.

    After a loss, half of the tries of a box end at engines that refuse connections. Counting them
    would spend half of the budget in the seconds in which it is needed.
    """
    if retry.quota_until is not None:
        window.quota.appendleft(retry.quota_until)
    elif window.retries:
        window.retries.pop()


def _expire(window: RetryWindow, now: float) -> None:
    for times in (window.first_tries, window.retries):
        while times and times[0] <= now - window.seconds:
            times.popleft()
    while window.quota and window.quota[0] <= now:
        window.quota.popleft()
