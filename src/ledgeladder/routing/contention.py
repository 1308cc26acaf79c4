"""Determines which pools share their room by priority, and the order of their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..model.traffic import TrafficConfiguration

RANKS_PER_ACCOUNT_PRIORITY: Final = 10
"""Distance between the ranks of two account priorities; route priorities are below it."""


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

    A pool of engines is contended if its requests differ in rank, which only the configuration
    decides. Other pools serve requests as they arrive.
    """
    accounts = {item.priority for item in configuration.accounts} or {None}
    ranks: dict[str, set[int]] = {}
    for route in configuration.routes:
        own = {None} if route.public else accounts
        found = {request_rank(route.priority, priority) for priority in own}
        for item in route.pools:
            pool = configuration.pools.get(item.pool)
            if item.weight > 0 and pool is not None and pool.engine is not None:
                ranks.setdefault(item.pool, set()).update(found)
    return {name: tuple(sorted(found)) for name, found in ranks.items() if len(found) > 1}


def contended_pools(configuration: TrafficConfiguration) -> frozenset[str]:
    """Return the pools of engines whose requests differ in rank."""
    return frozenset(pool_ranks(configuration))
