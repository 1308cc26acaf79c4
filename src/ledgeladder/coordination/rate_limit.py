"""The requests a second that an upstream takes from all boxes together, as it names them itself.

It holds for as long as the upstream's answers say so. Whoever believes an older word than another
box takes over the newer one, so that boxes which exchange what they know agree.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

MOST_RATE: Final = 1e6
"""Requests a second from which on a limit is none: hundreds of times what all boxes send."""

BELIEVED_SECONDS: Final = 10.0
"""How long a limit counts after an answer last named it. Only answers tell that it has ended. An
upstream that takes none gives none, nor does an engine that no path begins with any more."""

RETURN_RATE: Final = 1.0
"""Least requests a second from which on the bound rises once a limit has ended."""

DOUBLING_SECONDS: Final = 0.5
"""Time in which the bound doubles then. Answers that name a limit again come sooner."""

RETURN_SECONDS: Final = 4.0
"""How long the bound rises before there is none."""

GRANT_SECONDS: Final = 1.0
"""How long a request that was lent may be sent, from the moment of asking. Boxes ask once a second,
and what one of them does not use is lost to the others for as long."""

SURE_SECONDS: Final = 1.0
"""Age of the last word of the leader up to which a voter lends. One that is cut off stops long
before another one takes its place."""


class RateLimit(msgspec.Struct, kw_only=True):
    """What is known of the limit of one run of an upstream."""

    rate: float
    """Requests a second that it named last."""

    named_at: float
    """When an answer last named it, on the monotonic clock."""

    ended_at: float = float("-inf")
    """When an answer last named none, likewise."""

    @property
    def is_named(self) -> bool:
        """True while the newest answer names it."""
        return self.named_at >= self.ended_at


def name_rate(limit: RateLimit, rate: float, now: float) -> bool:
    """Take in that an answer names a rate.

    Returns:
        True if that is another one than before, or none was named before.
    """
    changed = not limit.is_named or limit.rate != rate
    limit.rate, limit.named_at = rate, now
    return changed


def end_rate(limit: RateLimit, sent_at: float, now: float) -> bool:
    """Take in that an answer names no rate.

    An answer that was written before the newest one that names a rate may come after it.

    Args:
        limit: The limit.
        sent_at: When the request was sent, on the monotonic clock. Only an answer to a request that
            was sent after a rate was named shows that none is named any more.
        now: Monotonic time.

    Returns:
        True if the limit has ended by that.
    """
    if not limit.is_named or sent_at <= limit.named_at:
        return False
    limit.ended_at = now
    return True


def bound(limit: RateLimit, now: float) -> float:
    """Return how many requests a second all boxes together may send; infinite for any number.

    Once a limit has ended the bound doubles again and again, so that an upstream which was in need
    does not get everything back in the moment in which all boxes hear of it.

    Args:
        limit: The limit.
        now: Monotonic time.
    """
    if limit.is_named and now - limit.named_at < BELIEVED_SECONDS:
        return limit.rate
    returns_for = now - _ended_at(limit)
    if returns_for >= RETURN_SECONDS:
        return math.inf
    return max(limit.rate, RETURN_RATE) * 2.0 ** (returns_for / DOUBLING_SECONDS)


def mean_gap(limit: RateLimit, now: float) -> float:
    """Return how long it takes in the mean until all boxes together may send one more, in seconds.

    Args:
        limit: The limit.
        now: Monotonic time.
    """
    rate = bound(limit, now)
    if math.isinf(rate):
        return 0.0
    forgotten_in = max(0.0, _ended_at(limit) - now) + 1.0 / RETURN_RATE
    return min(1.0 / rate, forgotten_in) if rate > 0 else forgotten_in


def _ended_at(limit: RateLimit) -> float:
    return limit.named_at + BELIEVED_SECONDS if limit.is_named else limit.ended_at


def is_over(limit: RateLimit, now: float) -> bool:
    """Tell whether a limit bounds nothing any more, so that it may be forgotten."""
    return math.isinf(bound(limit, now))


class ToldLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A limit as one box tells another, whose clock is another one."""

    rate: float
    """Requests a second."""

    named_age: float
    """How many seconds ago an answer last named it."""

    ended_age: float | None
    """How many seconds ago an answer named none; None if none did."""


def tell(limit: RateLimit, now: float) -> ToldLimit:
    """Return a limit as another box is told of it."""
    ended_age = None if math.isinf(limit.ended_at) else now - limit.ended_at
    return ToldLimit(rate=limit.rate, named_age=now - limit.named_at, ended_age=ended_age)


def from_told(told: ToldLimit, now: float) -> RateLimit:
    """Return a limit that another box tells, on the own clock."""
    ended_at = -math.inf if told.ended_age is None else now - told.ended_age
    return RateLimit(rate=told.rate, named_at=now - told.named_age, ended_at=ended_at)


def take_told(limit: RateLimit, told: ToldLimit, now: float) -> bool:
    """Take over what another box knows if that is newer.

    Returns:
        True if it names another rate, or none where one was named, or the other way round.
    """
    other = from_told(told, now)
    if max(other.named_at, other.ended_at) <= max(limit.named_at, limit.ended_at):
        return False
    before = (limit.is_named, limit.rate)
    limit.rate, limit.named_at, limit.ended_at = other.rate, other.named_at, other.ended_at
    return before != (limit.is_named, limit.rate)
