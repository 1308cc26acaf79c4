"""Lending repeats to the boxes that need them, out of one reserve that is never overspent.

The pattern: engines of one failure domain are lost together, and the boxes beside them send all
their streams again within two seconds, while the others need no repeat for the next ten. With the
reserve split evenly, streams are broken off at a part of the boxes while most of the reserve is
unspent. So each box keeps a floor of its own, and the rest is lent by the voters of the replicated
log, each of which has the same part of it.

A loan ends by itself, `QUOTA_SECONDS` after the borrower asked. The lender counts it for a whole
window beyond that. One that has just started or become a voter lends nothing for as long, since it
does not know what it, or the one whose place it took, lent before. So the sum of what all boxes
spend in a window stays within the reserve, whatever is cut off, restarts or changes places.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

BASE_QUOTA_SHARE: Final = 0.25
"""Part of the reserve that is split evenly: what a box may spend without asking. With the share of
its own requests it covers scattered losses, and those of a box that is cut off."""

QUOTA_SECONDS: Final = 1.0
"""How long a loan may be spent, from the moment of asking: losses are met within it."""

MAX_QUOTA_REQUEST: Final = 32
"""Most repeats that are asked for at once: a few times the streams of a box."""


class QuotaLedger(msgspec.Struct, kw_only=True):
    """What one voter has lent for one pool."""

    grantable: float
    """Most repeats that may be lent within a window and the time of a loan."""

    window: float
    """Length of the window that the reserve is for, in seconds."""

    opened_at: float
    """When the voter started or became one, on its monotonic clock."""

    grants: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    """Loans that count: when each was made, and how many repeats."""

    @property
    def accounting_seconds(self) -> float:
        """How long a loan counts: it may be spent at its end, and counts for a window from then."""
        return self.window + QUOTA_SECONDS


def grant_quota(ledger: QuotaLedger, requested: int, now: float) -> int:
    """Lend repeats.

    Args:
        ledger: What was lent before.
        requested: Repeats that a box asks for.
        now: Monotonic time; the caller is a voter then.

    Returns:
        Repeats that the box may spend; 0 if nothing is left, or if the voter has not been one for
        long enough to know what was lent before.
    """
    since = now - ledger.accounting_seconds
    if ledger.opened_at > since:
        return 0
    while ledger.grants and ledger.grants[0][0] <= since:
        ledger.grants.popleft()
    left = int(ledger.grantable - sum(count for _at, count in ledger.grants))
    count = max(0, min(requested, left))
    if count:
        ledger.grants.append((now, count))
    return count
