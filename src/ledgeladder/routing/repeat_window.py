"""Limits retries over a sliding window to a box's own share and the quota granted to it.

Where room is short, full engines refuse new requests, and each refusal costs a retry. Part of the
own share is therefore kept for streams that have begun, as far as there are any.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

import msgspec

from .repeat_loans import BASE_QUOTA_SHARE, KEPT_SHARE

USABLE_SHARE: Final = 0.8
"""Part of its allowance that a box uses. The rest is a safety margin, as other boxes may have
received fewer requests than assumed."""

MIN_ENTRIES: Final = 4
"""Minimum number of entry boxes assumed, since their real number is unknown at the start."""


class Retry(NamedTuple):
    """One retry taken from the budget."""

    quota_until: float | None
    """When the granted quota expires, on the monotonic clock; None for the box's own share."""

    started: bool = True
    """Whether it is for a stream that has begun."""

    taken_at: float | None = None
    """When it was taken from the box's own share, on the monotonic clock; None for quota."""


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

    new_retries: deque[float] = msgspec.field(default_factory=deque)
    """Those of them that were for new requests."""

    quota: deque[float] = msgspec.field(default_factory=deque)
    """Expiry of each retry granted for begun streams, on the monotonic clock, soonest first."""

    new_quota: deque[float] = msgspec.field(default_factory=deque)
    """Expiry of each retry granted for new requests; begun streams may use them too."""


def record_first_attempt(window: RetryWindow, now: float) -> None:
    """Record the first attempt of a request."""
    window.first_attempts.append(now)
    _expire(window, now)


def acquire_local_retry(
    window: RetryWindow, now: float, entries: int, *, started: bool = True, begun: int = 0
) -> Retry | None:
    """Take one retry from the box's own share, or else from its granted quota.

    Args:
        window: The budget.
        now: Monotonic time.
        entries: Number of entry boxes that share the base quota.
        started: Whether the retry is for a stream that has begun.
        begun: Number of begun streams that this box runs; retries are kept for at most as many.

    Returns:
        The retry; None if none is left, in which case the request must not be retried.
    """
    _expire(window, now)
    base = window.reserve * BASE_QUOTA_SHARE / max(entries, MIN_ENTRIES)
    allowed = (window.ratio * len(window.first_attempts) + base) * USABLE_SHARE
    kept = min(allowed * KEPT_SHARE, float(begun))
    if len(window.retries) + 1 <= allowed and (
        started or len(window.new_retries) + 1 <= allowed - kept
    ):
        window.retries.append(now)
        if not started:
            window.new_retries.append(now)
        return Retry(quota_until=None, started=started, taken_at=now)
    if started and window.quota:
        return Retry(quota_until=window.quota.popleft())
    if window.new_quota:
        # Marked as granted for new requests also if a begun stream uses it, so that a release
        # returns it to where it came from.
        return Retry(quota_until=window.new_quota.popleft(), started=False)
    return None


def add_quota(window: RetryWindow, count: int, until: float, *, started: bool = True) -> None:
    """Add retries, granted for begun streams or for new requests, that expire at a time."""
    (window.quota if started else window.new_quota).extend([until] * count)


def release_retry(window: RetryWindow, retry: Retry) -> None:
    """Return a retry that never reached an upstream.

    After a loss, many attempts end in refused connections. Counting them would use up the budget
    when it is needed most. One that has left the window counts no more, and returns nothing.
    """
    if retry.quota_until is not None:
        (window.quota if retry.started else window.new_quota).appendleft(retry.quota_until)
        return
    if retry.taken_at is None or retry.taken_at not in window.retries:
        return
    window.retries.remove(retry.taken_at)
    if not retry.started:
        window.new_retries.remove(retry.taken_at)


def _expire(window: RetryWindow, now: float) -> None:
    for times in (window.first_attempts, window.retries, window.new_retries):
        while times and times[0] <= now - window.seconds:
            times.popleft()
    for quota in (window.quota, window.new_quota):
        while quota and quota[0] <= now:
            quota.popleft()
