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

ASK_SECONDS: Final = 1.0
"""How often a box asks for requests at most, for all limited upstreams in one message."""

ASK_GROWTH: Final = 2
"""How many times what a box sent since it asked last it asks for, so that what is lent goes to the
boxes that use it."""


class HeldLimit(msgspec.Struct, kw_only=True):
    """The limit of one run of an upstream, at one entry box."""

    limit: RateLimit
    """What is known of it."""

    grants: deque[float] = msgspec.field(default_factory=deque)
    """Until when each request that was lent may be sent, on the monotonic clock, soonest first."""

    wanted: int = 0
    """Requests that the upstream was looked at for since this box last asked."""

    used: int = 0
    """Requests that were sent to it since then."""

    wait_until: float = float("-inf")
    """When the next request is likely to be lent, on the monotonic clock."""

    sent: int = 0
    """Requests of this box since that was last logged."""

    lent: int = 0
    """Requests that were lent to it since then."""


class LimitTable(msgspec.Struct, kw_only=True):
    """Limits of all upstreams that name one."""

    limits: dict[str, HeldLimit] = msgspec.field(default_factory=dict)
    """Limits by run of the upstream."""

    asked_at: float = float("-inf")
    """When this box last asked for requests, on the monotonic clock."""


def is_limited(held: HeldLimit | None, now: float) -> bool:
    """Tell whether an upstream gets only requests that were lent."""
    return held is not None and not math.isinf(effective_rate(held.limit, now))


def any_limited(all_held: Iterable[HeldLimit | None], now: float) -> bool:
    """Tell whether any of some upstreams gets only requests that were lent."""
    return any(is_limited(held, now) for held in all_held)


def note_wanted(all_held: Iterable[HeldLimit | None], now: float) -> bool:
    """Note that a request looks for one of some upstreams, as far as they have limits.

    Returns:
        True if one of them has nothing left that was lent, so that more is to be asked for.
    """
    limited = [held for held in all_held if held is not None]
    for held in limited:
        held.wanted += 1
    return not all(has_grant(held, now) for held in limited)


def has_grant(held: HeldLimit | None, now: float) -> bool:
    """Tell whether a request may be sent to an upstream as far as its limit goes."""
    if held is None or not is_limited(held, now):
        return True
    while held.grants and held.grants[0] <= now:
        held.grants.popleft()
    return bool(held.grants)


def take_grants(all_held: Iterable[HeldLimit | None], now: float) -> bool:
    """Spend a request at each of some upstreams, or at none if one of them has none left."""
    limited = [held for held in all_held if held is not None and is_limited(held, now)]
    if not all(has_grant(held, now) for held in limited):
        return False
    for held in limited:
        held.grants.popleft()
        held.used += 1
        held.sent += 1
    return True


def add_grants(held: HeldLimit, count: int, until: float) -> None:
    """Take in requests that were lent, to be sent until a monotonic time."""
    held.grants.extend([until] * count)
    held.lent += count


def grants_to_ask(held: HeldLimit) -> int:
    """Return how many requests to ask for, and begin to count anew."""
    count = min(held.wanted, 1 + ASK_GROWTH * held.used)
    held.wanted = held.used = 0
    return count


def share_of(count: int, turn: int, lenders: int) -> int:
    """Return how many of some requests one of several lenders is asked for.

    Args:
        count: Requests.
        turn: Number of the lender; those with low numbers are asked for the odd ones.
        lenders: Number of lenders.

    >>> [share_of(4, turn, 3) for turn in range(3)]
    [2, 1, 1]
    """
    return count // lenders + (turn < count % lenders)


def grant_wait(held: HeldLimit | None, now: float) -> float:
    """Return how long it takes in the mean until a request may be sent, in seconds."""
    if held is None or has_grant(held, now):
        return 0.0
    return max(held.wait_until - now, mean_interval(held.limit, now))
