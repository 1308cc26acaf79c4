"""Limits how many refusals by engines a new request may meet before its caller is told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

REFUSALS_LIMIT: Final = 4
"""Refusals by paths after which a request is rejected with a retry delay."""

MIN_REFUSALS_LIMIT: Final = 2
"""Least such limit: a single full engine that this box did not know of rejects no request."""


def rank_of(priorities: Sequence[int], priority: int) -> int:
    """Return how many priorities of a pool are more urgent than a request's.

    >>> rank_of((0, 3, 9), 9)
    2
    """
    return sum(other < priority for other in priorities)


def refusals_limit(rank: int) -> int:
    """Return the limit for new requests of a rank, 0 being the most urgent.

    Each refusal costs a retry that a more urgent request or a begun stream may lack.

    >>> [refusals_limit(rank) for rank in range(4)]
    [4, 3, 2, 2]
    """
    return max(MIN_REFUSALS_LIMIT, REFUSALS_LIMIT - rank)
