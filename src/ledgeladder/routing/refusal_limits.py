"""Limits how many refusals by engines a new request may meet before its caller is told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model.demand import PoolDemand

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


URGENCY_CLASSES: Final = 3
"""Number of urgency classes by demand: the most urgent third, the middle and the rest."""


def urgency_class(priorities: Sequence[int], demand: PoolDemand, priority: int) -> int:
    """Return the urgency class of a request among those for its pool, 0 being the most urgent.

    It follows from the part of the demand that is more urgent: a pool may have many priorities of
    which a few account for nearly all requests. Without demand, it is the place of the priority.

    Args:
        priorities: Priorities of the pool, the most urgent first.
        demand: Demand for the pool.
        priority: Priority of the request.
    """
    total = sum(item.asked for item in demand.classes.values())
    if total <= 0.0:
        return rank_of(priorities, priority)
    ahead = sum(item.asked for rank, item in demand.classes.items() if rank < priority)
    return min(URGENCY_CLASSES - 1, int(ahead / total * URGENCY_CLASSES))


def refusals_limit(rank: int) -> int:
    """Return the limit for new requests of a rank, 0 being the most urgent.

    Each refusal costs a retry that a more urgent request or a begun stream may lack.

    >>> [refusals_limit(rank) for rank in range(4)]
    [4, 3, 2, 2]
    """
    return max(MIN_REFUSALS_LIMIT, REFUSALS_LIMIT - rank)
