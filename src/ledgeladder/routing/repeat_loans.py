"""Lending repeats to the boxes that need them, out of one reserve that is never overspent.

The pattern: engines of one failure domain are lost together, and the boxes beside them send all
their streams again within two seconds, while the others need no repeat for the next ten. With the
reserve split evenly, streams are broken off at a part of the boxes while most of the reserve is
unspent. So each box keeps a floor of its own, and the rest is lent by the voters of the replicated
log, each of which has the same part of it.

A loan ends by itself, `LOAN_SECONDS` after the borrower asked. The lender counts it for a whole
window beyond that. One that has just started or become a voter lends nothing for as long, since it
does not know what it, or the one whose place it took, lent before. So the sum of what all boxes
spend in a window stays within the reserve, whatever is cut off, restarts or changes places.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

FLOOR_SHARE: Final = 0.25
"""Part of the reserve that is split evenly: what a box may spend without asking. With the share of
its own requests it covers scattered losses, and those of a box that is cut off."""

LOAN_SECONDS: Final = 1.0
"""How long a loan may be spent, from the moment of asking: losses are met within it."""

LOAN_LIMIT: Final = 32
"""Most repeats that are asked for at once: a few times the streams of a box."""


class LoanBook(msgspec.Struct, kw_only=True):
    """What one voter has lent for one pool."""

    lendable: float
    """Most repeats that may be lent within a window and the time of a loan."""

    window: float
    """Length of the window that the reserve is for, in seconds."""

    opened_at: float
    """When the voter started or became one, on its monotonic clock."""

    lent: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    """Loans that count: when each was made, and how many repeats."""

    @property
    def counted_seconds(self) -> float:
        """How long a loan counts: it may be spent at its end, and counts for a window from then."""
        return self.window + LOAN_SECONDS


def lend(book: LoanBook, wanted: int, now: float) -> int:
    """Lend repeats.

    Args:
        book: What was lent before.
        wanted: Repeats that a box asks for.
        now: Monotonic time; the caller is a voter then.

    Returns:
        Repeats that the box may spend; 0 if nothing is left, or if the voter has not been one for
        long enough to know what was lent before.
    """
    since = now - book.counted_seconds
    if book.opened_at > since:
        return 0
    while book.lent and book.lent[0][0] <= since:
        book.lent.popleft()
    left = int(book.lendable - sum(count for _at, count in book.lent))
    count = max(0, min(wanted, left))
    if count:
        book.lent.append((now, count))
    return count
