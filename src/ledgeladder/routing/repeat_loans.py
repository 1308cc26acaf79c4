"""Grants retry quota from a reserve that all boxes share and never overspend.

When a failure domain is lost, only the boxes near it need many retries, and an even split of the
reserve would leave most of it unused. Each box has a base quota, and the voters of the replicated
log grant the rest on demand, each from an equal part.

A grant expires `QUOTA_SECONDS` after it was requested, and the voter counts it for a whole window
beyond that. A voter that has just started or become one does not know earlier grants, so it grants
nothing until they no longer count. The retries of all boxes in a window therefore stay within the
reserve through partitions, restarts and changes of voters.

Part of each voter's quota is kept for streams that have begun, because new requests that full
engines refuse would use up all of it. The kept part halves while no begun stream needs a retry.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

BASE_QUOTA_SHARE: Final = 0.25
"""Part of the reserve that is split evenly among the boxes and needs no grant.

It covers scattered losses, and those of a box without a link to a voter.
"""

QUOTA_SECONDS: Final = 1.0
"""How long granted quota may be used, counted from the request for it."""

KEPT_SHARE: Final = 0.5
"""Part of an allowance that is kept for streams that have begun: an even split, since in a burst
with losses neither refused requests nor interrupted streams may take all."""

MAX_QUOTA_REQUEST: Final = 32
"""Maximum number of retries in one request for quota."""


class QuotaLedger(msgspec.Struct, kw_only=True):
    """Retry quota that one voter has granted for one pool."""

    grantable: float
    """Maximum number of retries granted within `accounting_seconds`."""

    window: float
    """Length of the window that the reserve covers, in seconds."""

    opened_at: float
    """When this voter started or became one, on its monotonic clock."""

    grants: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    """Grants that still count, oldest first: time and number of retries."""

    new_grants: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    """Those of them that were for new requests."""

    started_at: float = float("-inf")
    """When a retry was last requested for a begun stream, on the monotonic clock."""

    @property
    def accounting_seconds(self) -> float:
        """How long a grant counts: its lifetime plus one window, as it may be used at its end."""
        return self.window + QUOTA_SECONDS


def kept_quota(ledger: QuotaLedger, now: float) -> float:
    """Return the number of retries that new requests must leave for begun streams.

    It halves with each accounting time in which no begun stream needed a retry. A voter that has
    just started assumes that some did.
    """
    quiet = max(0.0, now - max(ledger.started_at, ledger.opened_at))
    return ledger.grantable * KEPT_SHARE * 0.5 ** (quiet // ledger.accounting_seconds)


def grant_quota(ledger: QuotaLedger, requested: int, now: float, *, started: bool = True) -> int:
    """Grant retry quota to a box.

    Args:
        ledger: Earlier grants.
        requested: Number of retries that the box requests.
        now: Monotonic time, at which the caller must be a voter.
        started: Whether the retries are for streams that have begun.

    Returns:
        Number of retries granted; 0 if the quota is used up, or if the voter has not been one for
        long enough to know all earlier grants.
    """
    if started:
        ledger.started_at = now
    since = now - ledger.accounting_seconds
    if ledger.opened_at > since:
        return 0
    left = int(ledger.grantable - _granted(ledger.grants, since))
    if not started:
        usable = ledger.grantable - kept_quota(ledger, now)
        left = min(left, int(usable - _granted(ledger.new_grants, since)))
    count = max(0, min(requested, left))
    if count:
        ledger.grants.append((now, count))
        if not started:
            ledger.new_grants.append((now, count))
    return count


def _granted(grants: deque[tuple[float, int]], since: float) -> int:
    """Return the number of retries granted since a time, and forget earlier grants."""
    while grants and grants[0][0] <= since:
        grants.popleft()
    return sum(count for _at, count in grants)
