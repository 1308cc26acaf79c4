"""Lending requests to upstreams that name how many they take a second, never more than that.

The pattern: an upstream in need names two requests a second, for all boxes together. An even share
of eight boxes is one request in four seconds, of hundreds one in minutes, and most of these go
unused, as callers are elsewhere. So requests are lent to the boxes that have some. Each voter of
the replicated log lends the same part of the rate, whatever it knows of the others. One that starts
or becomes a voter begins with nothing saved. So all of them together never lend more than the rate,
whatever is cut off, restarts, stands still or changes places: in any span of time they lend the
rate times its length, and besides what they may have saved, one request or `BURST_SECONDS` each.

A box that reaches no voter sends nothing to such an upstream. A fixed part for that case would be
lost at every box that has no callers for it, at all times.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from .rate_limit import RateLimit, bound, mean_gap

BURST_SECONDS: Final = 0.75
"""For how long a voter saves what nobody asks for. A box that asks alone comes back after a second;
what is saved comes on top of the rate when many ask again."""

ASKERS_SECONDS: Final = 2.5
"""How long a box counts as one that asks: over two of the intervals at which boxes do."""


class RateBook(msgspec.Struct, kw_only=True):
    """What one voter lends of the rate of one upstream."""

    limit: RateLimit
    """The limit."""

    saved: float = 0.0
    """Requests that it may lend now. Negative after requests of its own, which it cannot hold
    back."""

    saved_at: float
    """Up to when they were counted, on the monotonic clock."""

    askers: dict[str, float] = msgspec.field(default_factory=dict)
    """When each box last asked, on the monotonic clock."""


def lend(book: RateBook, wanted: int, parts: int, now: float) -> int:
    """Lend requests.

    Args:
        book: What was lent before.
        wanted: Requests that a box asks for.
        parts: Into how many parts the rate is divided; at least the number of voters.
        now: Monotonic time; the caller is a voter then.

    Returns:
        Requests that the box may send.
    """
    _save(book, parts, now)
    if math.isinf(book.saved):
        return wanted
    count = max(0, min(wanted, int(book.saved)))
    book.saved -= count
    return count


def spend(book: RateBook, count: int, parts: int, now: float) -> None:
    """Count requests that this voter sends itself; less is lent for as long."""
    _save(book, parts, now)
    book.saved -= count


def _save(book: RateBook, parts: int, now: float) -> None:
    rate = bound(book.limit, now) / parts
    if math.isinf(rate):
        book.saved = rate
        return
    gained = rate * (now - book.saved_at)
    book.saved = min(book.saved + gained, max(1.0, rate * BURST_SECONDS))
    book.saved_at = now


def note_asker(book: RateBook, box: str, now: float) -> None:
    """Note that a box asks for requests."""
    book.askers[box] = now
    for name in [name for name, at in book.askers.items() if now - at > ASKERS_SECONDS]:
        del book.askers[name]


def mean_wait(book: RateBook, now: float) -> float:
    """Return how long a box that asks waits for a request in the mean, in seconds."""
    return max(1, len(book.askers)) * mean_gap(book.limit, now)
