"""The requests a second that an upstream takes from all boxes together, as it names them itself.

It holds for as long as the upstream's answers say so. Whoever believes an older word than another
box takes over the newer one, so that boxes which exchange what they know agree.
"""

from __future__ import annotations

from typing import Final

import msgspec

MOST_RATE: Final = 1e6
"""Requests a second from which on a limit is none: hundreds of times what all boxes send."""


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
