"""What an entry box may send to upstreams that name how many requests a second they take.

The figure is for all boxes together. While it holds, a request goes to such an upstream only if a
control box has lent it.
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
"""How often a box asks for requests at most, for all limited upstreams in one message."""

REQUEST_GROWTH: Final = 2
"""How many times what a box sent since it asked last it asks for, so that what is lent goes to the
boxes that use it."""


class GrantedLimit(msgspec.Struct, kw_only=True):
    """The limit of one run of an upstream, at one entry box."""

    limit: RateLimit
    """What is known of it."""

    grants: deque[float] = msgspec.field(default_factory=deque)
    """Until when each request that was lent may be sent, on the monotonic clock, soonest first."""

    demand: int = 0
    """Requests that the upstream was looked at for since this box last asked."""

    used: int = 0
    """Requests that were sent to it since then."""

    wait_until: float = float("-inf")
    """When the next request is likely to be lent, on the monotonic clock."""

    sent: int = 0
    """Requests of this box since that was last logged."""

    granted: int = 0
    """Requests that were lent to it since then."""


class GrantedLimitTable(msgspec.Struct, kw_only=True):
    """Limits of all upstreams that name one."""

    limits: dict[str, GrantedLimit] = msgspec.field(default_factory=dict)
    """Limits by run of the upstream."""

    requested_at: float = float("-inf")
    """When this box last asked for requests, on the monotonic clock."""


def is_limited(limit: GrantedLimit | None, now: float) -> bool:
    """Tell whether an upstream gets only requests that were lent."""
    return limit is not None and not math.isinf(effective_rate(limit.limit, now))


def any_limited(limits: Iterable[GrantedLimit | None], now: float) -> bool:
    """Tell whether any of some upstreams gets only requests that were lent."""
    return any(is_limited(limit, now) for limit in limits)


def record_demand(limits: Iterable[GrantedLimit | None], now: float) -> bool:
    """Note that a request looks for one of some upstreams, as far as they have limits.

    Returns:
        True if one of them has nothing left that was lent, so that more is to be asked for.
    """
    limited = [limit for limit in limits if limit is not None]
    for limit in limited:
        limit.demand += 1
    return not all(has_grant(limit, now) for limit in limited)


def has_grant(limit: GrantedLimit | None, now: float) -> bool:
    """Tell whether a request may be sent to an upstream as far as its limit goes."""
    if limit is None or not is_limited(limit, now):
        return True
    while limit.grants and limit.grants[0] <= now:
        limit.grants.popleft()
    return bool(limit.grants)


def acquire_grants(limits: Iterable[GrantedLimit | None], now: float) -> bool:
    """Spend a request at each of some upstreams, or at none if one of them has none left."""
    limited = [limit for limit in limits if limit is not None and is_limited(limit, now)]
    if not all(has_grant(limit, now) for limit in limited):
        return False
    for limit in limited:
        limit.grants.popleft()
        limit.used += 1
        limit.sent += 1
    return True


def add_grants(limit: GrantedLimit, count: int, until: float) -> None:
    """Take in requests that were lent, to be sent until a monotonic time."""
    limit.grants.extend([until] * count)
    limit.granted += count


def grants_to_request(limit: GrantedLimit) -> int:
    """Return how many requests to ask for, and begin to count anew."""
    count = min(limit.demand, 1 + REQUEST_GROWTH * limit.used)
    limit.demand = limit.used = 0
    return count


def split_evenly(count: int, index: int, parts: int) -> int:
    """Return how many of some requests one of several lenders is asked for.

    Args:
        count: Requests.
        index: Number of the lender; those with low numbers are asked for the odd ones.
        parts: Number of lenders.

    >>> [split_evenly(4, turn, 3) for turn in range(3)]
    [2, 1, 1]
    """
    return count // parts + (index < count % parts)


def grant_wait(limit: GrantedLimit | None, now: float) -> float:
    """Return how long it takes in the mean until a request may be sent, in seconds."""
    if limit is None or has_grant(limit, now):
        return 0.0
    return max(limit.wait_until - now, mean_interval(limit.limit, now))
