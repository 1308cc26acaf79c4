"""Grants of requests to boxes, within the rate that an upstream advertises for all of them.

Dividing a low rate evenly over many boxes would leave most of it unused, since only some of them
have callers. Requests are therefore granted to the boxes that request them.

Each voter of the replicated log grants an equal part of the rate from a token bucket of its own,
without coordination with the others. A voter starts with an empty bucket. In any interval all
voters together thus grant at most the rate times its length, plus what their buckets hold: one
request or `BURST_SECONDS` of their part each. This holds across partitions, restarts, pauses and
changes of voters.

A box that reaches no voter sends nothing to such an upstream. Reserving a fixed part for that case
would waste it on every box without callers.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from .rate_limit import RateLimit, effective_rate, mean_interval

BURST_SECONDS: Final = 0.75
"""Capacity of a bucket, in seconds of the voter's part of the rate. A box asks again after a
second; the capacity is sent in excess of the rate when many boxes ask at once."""

REQUESTER_TTL_SECONDS: Final = 2.5
"""How long a box counts as a requester: more than two of its request intervals."""


class RateLedger(msgspec.Struct, kw_only=True):
    """Token bucket of one voter for the rate of one upstream."""

    limit: RateLimit
    """The limit."""

    tokens: float = 0.0
    """Requests that may be granted now. Negative after requests of the voter's own, which it sends
    without a grant."""

    refilled_at: float
    """When tokens were last added, on the monotonic clock."""

    requesters: dict[str, float] = msgspec.field(default_factory=dict)
    """When each box last requested grants, on the monotonic clock."""


def grant_requests(ledger: RateLedger, wanted: int, parts: int, now: float) -> int:
    """Grant requests to a box.

    Args:
        ledger: The bucket.
        wanted: Number of requests for which the box needs grants.
        parts: Number of parts into which the rate is divided; at least the number of voters.
        now: Monotonic time, at which the caller is a voter.

    Returns:
        Requests that the box may send.
    """
    _refill(ledger, parts, now)
    if math.isinf(ledger.tokens):
        return wanted
    count = max(0, min(wanted, int(ledger.tokens)))
    ledger.tokens -= count
    return count


def charge_own_requests(ledger: RateLedger, count: int, parts: int, now: float) -> None:
    """Charge requests that this voter sends itself, which reduces later grants."""
    _refill(ledger, parts, now)
    ledger.tokens -= count


def _refill(ledger: RateLedger, parts: int, now: float) -> None:
    rate = effective_rate(ledger.limit, now) / parts
    if math.isinf(rate):
        ledger.tokens = rate
        return
    gained = rate * (now - ledger.refilled_at)
    ledger.tokens = min(ledger.tokens + gained, max(1.0, rate * BURST_SECONDS))
    ledger.refilled_at = now


def record_requester(ledger: RateLedger, box: str, now: float) -> None:
    """Record that a box requests grants, and drop boxes that no longer do."""
    ledger.requesters[box] = now
    for name in [
        name for name, at in ledger.requesters.items() if now - at > REQUESTER_TTL_SECONDS
    ]:
        del ledger.requesters[name]


def mean_wait(ledger: RateLedger, now: float) -> float:
    """Return the mean time that a requesting box waits for a grant, in seconds."""
    return max(1, len(ledger.requesters)) * mean_interval(ledger.limit, now)
