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


def contended_pools(configuration: TrafficConfiguration) -> frozenset[str]:
    """Return the pools of engines to which routes with different priorities send requests."""
    return frozenset(pool_ranks(configuration))
