"""Tracks the requests that an entry box may send to rate-limited upstreams.

An upstream's limit applies to all boxes together. While it is in force, each request to the
upstream needs a grant from a control box.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final

import msgspec

from ..coordination.rate_limit import RateLimit, effective_rate, mean_interval

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUEST_INTERVAL_SECONDS: Final = 1.0
"""Minimum time between two requests for grants; one message covers all limited upstreams."""

REQUEST_GROWTH: Final = 2
"""Factor between the grants used since the last request and those requested next."""


class GrantedLimit(msgspec.Struct, kw_only=True):
    """The rate limit of one instance of an upstream, and the grants that this box has for it."""

    limit: RateLimit
    """The limit itself."""

    grants: deque[float] = msgspec.field(default_factory=deque)
    """Expiry of each unused grant, on the monotonic clock, soonest first."""

    demand: int = 0
    """Requests that considered this upstream since grants were last requested."""

    used: int = 0
    """Grants used since then."""

    wait_until: float = float("-inf")
    """When the next grant is expected, on the monotonic clock."""

    sent: int = 0
    """Requests sent by this box since the last log line."""

    granted: int = 0
    """Grants received by this box since then."""


class GrantedLimitTable(msgspec.Struct, kw_only=True):
    """Limits of all rate-limited upstreams."""

    limits: dict[str, GrantedLimit] = msgspec.field(default_factory=dict)
    """Limits by instance of the upstream."""

    requested_at: float = float("-inf")
    """When this box last requested grants, on the monotonic clock."""


def is_limited(limit: GrantedLimit | None, now: float) -> bool:
    """Return whether requests to an upstream need grants."""
    return limit is not None and not math.isinf(effective_rate(limit.limit, now))


def any_limited(limits: Iterable[GrantedLimit | None], now: float) -> bool:
    """Return whether requests to any of some upstreams need grants."""
    return any(is_limited(limit, now) for limit in limits)


def record_demand(limits: Iterable[GrantedLimit | None], now: float) -> bool:
    """Record that a request considers some upstreams.

    Returns:
        True if one of them lacks a grant, so that grants must be requested.
    """
    limited = [limit for limit in limits if limit is not None]
    for limit in limited:
        limit.demand += 1
    return not all(has_grant(limit, now) for limit in limited)


def has_grant(limit: GrantedLimit | None, now: float) -> bool:
    """Return whether the rate limit of an upstream permits a request now."""
    if limit is None or not is_limited(limit, now):
        return True
    while limit.grants and limit.grants[0] <= now:
        limit.grants.popleft()
    return bool(limit.grants)


def acquire_grants(limits: Iterable[GrantedLimit | None], now: float) -> bool:
    """Use one grant of each of some upstreams, or of none if one of them has no grant left."""
    limited = [limit for limit in limits if limit is not None and is_limited(limit, now)]
    if not all(has_grant(limit, now) for limit in limited):
        return False
    for limit in limited:
        limit.grants.popleft()
        limit.used += 1
        limit.sent += 1
    return True


def add_grants(limit: GrantedLimit, count: int, until: float) -> None:
    """Add grants that expire at a monotonic time."""
    limit.grants.extend([until] * count)
    limit.granted += count


def grants_to_request(limit: GrantedLimit) -> int:
    """Return how many grants to request, and reset the counters."""
    count = min(limit.demand, 1 + REQUEST_GROWTH * limit.used)
    limit.demand = limit.used = 0
    return count


def split_evenly(count: int, index: int, parts: int) -> int:
    """Return one part of a count that is split as evenly as possible.

    Args:
        count: Total to split.
        index: Index of the part; the remainder goes to the lowest indexes.
        parts: Number of parts.

    >>> [split_evenly(4, turn, 3) for turn in range(3)]
    [2, 1, 1]
    """
    return count // parts + (index < count % parts)


def grant_wait(limit: GrantedLimit | None, now: float) -> float:
    """Return the expected time until a request may be sent, in seconds."""
    if limit is None or has_grant(limit, now):
        return 0.0
    return max(limit.wait_until - now, mean_interval(limit.limit, now))
