"""Urgency of a request among those for its pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...routing.fleet_demand import pool_demand
from ...routing.refusal_limits import urgency_class

if TYPE_CHECKING:
    from .checks import Permit
    from .state import GatewayState


def urgency_of(state: GatewayState, permit: Permit) -> int:
    """Return the urgency class of a request for a contended pool, 0 being the most urgent."""
    pool = permit.pool.name
    demand = pool_demand(state.demand, pool, anyio.current_time(), state.entry_count)
    return urgency_class(state.index.ranks.get(pool, ()), demand, permit.priority)
