"""Determines which pools share their room by priority."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.traffic import TrafficConfiguration


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
