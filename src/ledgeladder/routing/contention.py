"""Determines which pools share their room by priority, and how often requests may be refused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model.traffic import TrafficConfiguration

REFUSALS_LIMIT: Final = 4
"""Refusals by paths after which a request is rejected with a retry delay."""

MIN_REFUSALS_LIMIT: Final = 2
"""Least such limit: a single full engine that this box did not know of rejects no request."""


def contended_pools(configuration: TrafficConfiguration) -> frozenset[str]:
    """Return the pools of engines whose requests differ in priority."""
    return frozenset(pool_priorities(configuration))


def pool_priorities(configuration: TrafficConfiguration) -> dict[str, tuple[int, ...]]:
    """Return the priorities of requests for each contended pool, the most urgent first.

    Only the configuration decides: routes with different priorities send requests to the pool, or a
    client account has a priority that differs from that of such a route. Other pools serve requests
    as they arrive.
    """
    ranks: dict[str, set[int]] = {}
    own = {item.priority for item in configuration.accounts if item.priority is not None}
    for route in configuration.routes:
        for item in route.pools:
            pool = configuration.pools.get(item.pool)
            if item.weight > 0 and pool is not None and pool.engine is not None:
                ranks.setdefault(item.pool, set()).update(own, (route.priority,))
    return {name: tuple(sorted(found)) for name, found in ranks.items() if len(found) > 1}


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
