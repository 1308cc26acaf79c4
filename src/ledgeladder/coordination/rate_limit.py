"""Rate limits that upstreams advertise, in requests per second over all boxes together.

A limit is in force while the upstream's answers advertise it. Boxes that exchange limits converge,
since the more recent observation replaces the older one.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

MAX_RATE: Final = 1e6
"""Requests per second at and above which an advertised limit is treated as no limit."""

LIMIT_TTL_SECONDS: Final = 10.0
"""How long a limit stays in force after an answer last advertised it. Only answers show that a
limit was withdrawn, and an upstream that gets no requests sends none."""

RECOVERY_MIN_RATE: Final = 1.0
"""Minimum rate at which the recovery starts after a limit was withdrawn, in requests per second."""

RECOVERY_DOUBLING_SECONDS: Final = 0.5
"""Time in which the rate doubles during recovery. An upstream that is still overloaded advertises a
limit again sooner than that."""

RECOVERY_SECONDS: Final = 4.0
"""Duration of the recovery, after which there is no limit."""

GRANT_TTL_SECONDS: Final = 1.0
"""How long a granted request may be sent, counted from when the grant was requested. Boxes request
once a second, and a grant that one of them does not use is unavailable to the others until then."""

LEADER_CONTACT_SECONDS: Final = 1.0
"""Maximum age of the leader's last message for a voter to grant requests. A partitioned voter thus
stops granting before it is replaced."""


class RateLimit(msgspec.Struct, kw_only=True):
    """What is known of the rate limit of one instance of an upstream."""

    rate: float
    """Requests per second that it advertised last."""

    advertised_at: float
    """When an answer last advertised a limit, on the monotonic clock."""

    withdrawn_at: float = float("-inf")
    """When an answer last showed that the limit was withdrawn, on the monotonic clock."""

    @property
    def is_advertised(self) -> bool:
        """True while the newest answer advertises the limit."""
        return self.advertised_at >= self.withdrawn_at


def record_rate(limit: RateLimit, rate: float, now: float) -> bool:
    """Record that an answer advertises a rate.

    Returns:
        True if the rate changed, or if none was advertised before.
    """
    changed = not limit.is_advertised or limit.rate != rate
    limit.rate, limit.advertised_at = rate, now
    return changed


def record_no_rate(limit: RateLimit, sent_at: float, now: float) -> bool:
    """Record that an answer advertises no rate.

    An answer may arrive after a newer one that advertises a rate.

    Args:
        limit: The limit.
        sent_at: When the request was sent, on the monotonic clock. Only the answer to a request
            that was sent after the last advertisement shows that the limit was withdrawn.
        now: Monotonic time.

    Returns:
        True if this withdraws the limit.
    """
    if not limit.is_advertised or sent_at <= limit.advertised_at:
        return False
    limit.withdrawn_at = now
    return True


def effective_rate(limit: RateLimit, now: float) -> float:
    """Return the requests per second that all boxes together may send; infinite if unlimited.

    After a limit was withdrawn the rate doubles at fixed intervals, so the upstream does not get
    the whole load back at once.

    Args:
        limit: The limit.
        now: Monotonic time.
    """
    if limit.is_advertised and now - limit.advertised_at < LIMIT_TTL_SECONDS:
        return limit.rate
    recovering_for = now - _withdrawn_at(limit)
    if recovering_for >= RECOVERY_SECONDS:
        return math.inf
    return max(limit.rate, RECOVERY_MIN_RATE) * 2.0 ** (recovering_for / RECOVERY_DOUBLING_SECONDS)


def mean_interval(limit: RateLimit, now: float) -> float:
    """Return the mean time until all boxes together may send one more request, in seconds.

    Args:
        limit: The limit.
        now: Monotonic time.
    """
    rate = effective_rate(limit, now)
    if math.isinf(rate):
        return 0.0
    expires_in = max(0.0, _withdrawn_at(limit) - now) + 1.0 / RECOVERY_MIN_RATE
    return min(1.0 / rate, expires_in) if rate > 0 else expires_in


def _withdrawn_at(limit: RateLimit) -> float:
    return limit.advertised_at + LIMIT_TTL_SECONDS if limit.is_advertised else limit.withdrawn_at


def is_expired(limit: RateLimit, now: float) -> bool:
    """Return whether a limit no longer has any effect and may be dropped."""
    return math.isinf(effective_rate(limit, now))


class ReportedLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A limit as reported to another box, with ages in place of times on the local clock."""

    rate: float
    """Requests per second."""

    advertised_age: float
    """Seconds since an answer last advertised the limit."""

    withdrawn_age: float | None
    """Seconds since an answer showed that the limit was withdrawn; None if none did."""


def to_reported(limit: RateLimit, now: float) -> ReportedLimit:
    """Return a limit in the form in which it is reported to another box."""
    withdrawn_age = None if math.isinf(limit.withdrawn_at) else now - limit.withdrawn_at
    return ReportedLimit(
        rate=limit.rate, advertised_age=now - limit.advertised_at, withdrawn_age=withdrawn_age
    )


def from_reported(reported: ReportedLimit, now: float) -> RateLimit:
    """Return a limit that another box reported, with times on the local clock."""
    withdrawn_at = -math.inf if reported.withdrawn_age is None else now - reported.withdrawn_age
    return RateLimit(
        rate=reported.rate, advertised_at=now - reported.advertised_age, withdrawn_at=withdrawn_at
    )


def merge_reported(limit: RateLimit, reported: ReportedLimit, now: float) -> bool:
    """Replace a limit by what another box reported, if that is newer.

    Returns:
        True if the rate changed, or whether a rate is advertised.
    """
    other = from_reported(reported, now)
    if max(other.advertised_at, other.withdrawn_at) <= max(limit.advertised_at, limit.withdrawn_at):
        return False
    before = (limit.is_advertised, limit.rate)
    limit.rate, limit.advertised_at, limit.withdrawn_at = (
        other.rate,
        other.advertised_at,
        other.withdrawn_at,
    )
    return before != (limit.is_advertised, limit.rate)
