"""Pools that share their room by priority, and what the priority of a request decides."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model.demand import PoolDemand
    from ..model.traffic import TrafficConfiguration

RANKS_PER_ACCOUNT_PRIORITY: Final = 10
"""Distance between the ranks of two account priorities; route priorities are below it."""

URGENCY_CLASSES: Final = 3
"""Number of urgency classes by demand: the most urgent third, the middle and the rest."""

REFUSALS_LIMIT: Final = 4
"""Refusals by paths after which a request is rejected with a retry delay."""

MIN_REFUSALS_LIMIT: Final = 2
"""Least such limit: a single full engine that this box did not know of rejects no request."""


def request_rank(route_priority: int, account_priority: int | None) -> int:
    """Return the rank of a request in a contended pool; 0 is the most urgent.

    The priority of the client account takes precedence, and that of the route orders the requests
    of accounts with the same priority. Without it, accounts that all have the same priority would
    make the routes equal.

    >>> request_rank(2, 1), request_rank(0, 1), request_rank(2, 0), request_rank(1, None)
    (12, 10, 2, 11)
    """
    first = route_priority if account_priority is None else account_priority
    return first * RANKS_PER_ACCOUNT_PRIORITY + min(route_priority, RANKS_PER_ACCOUNT_PRIORITY - 1)


def pool_ranks(configuration: TrafficConfiguration) -> dict[str, tuple[int, ...]]:
    """Return the ranks of the requests of each contended pool, the most urgent first.

    A pool of engines is contended if routes with different priorities send requests to it. Only the
    configuration decides. Other pools serve requests as they arrive; priorities of accounts alone
    are left to their engines.
    """
    accounts = {item.priority for item in configuration.accounts} or {None}
    priorities: dict[str, set[int]] = {}
    ranks: dict[str, set[int]] = {}
    for route in configuration.routes:
        own = {None} if route.public else accounts
        for item in route.pools:
            pool = configuration.pools.get(item.pool)
            if item.weight > 0 and pool is not None and pool.engine is not None:
                priorities.setdefault(item.pool, set()).add(route.priority)
                ranks.setdefault(item.pool, set()).update(
                    request_rank(route.priority, priority) for priority in own
                )
    return {
        name: tuple(sorted(ranks[name])) for name, found in priorities.items() if len(found) > 1
    }


def rank_of(priorities: Sequence[int], priority: int) -> int:
    """Return how many priorities of a pool are more urgent than a request's.

    >>> rank_of((0, 3, 9), 9)
    2
    """
    return sum(other < priority for other in priorities)


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
    """Return the limit for new requests of an urgency class, 0 being the most urgent.

    Each refusal costs a retry that a more urgent request or a begun stream may lack.

    >>> [refusals_limit(rank) for rank in range(4)]
    [4, 3, 2, 2]
    """
    return max(MIN_REFUSALS_LIMIT, REFUSALS_LIMIT - rank)
