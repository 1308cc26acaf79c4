"""Gauges of the demand for pools whose room is shared by priority."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ...routing.fleet_demand import demand_age, pool_demand
from ..metrics_page import demand_series, escape_label

if TYPE_CHECKING:
    from .state import GatewayState

MAX_SERIES: Final = 64
"""Maximum number of pairs of pool and priority on the page, in the order of their names; further
ones are left out and counted in a gauge. A page is read every few seconds."""


def demand_gauges(state: GatewayState, now: float) -> dict[str, float]:
    """Return gauges by name and labels.

    Pools are those of the document in force whose room is shared. Client accounts are no labels, as
    their number is not bounded here; logs tell them.

    Args:
        state: State of the process.
        now: Monotonic time.
    """
    gauges: dict[str, float] = {}
    age = demand_age(state.demand, now)
    if age is not None:
        gauges["demand_age_seconds"] = age
    found = [
        (f'{{pool="{escape_label(pool)}",priority="{priority}"}}', item)
        for pool in sorted(state.contended)
        for priority, item in sorted(
            pool_demand(state.demand, pool, now, state.entry_count).classes.items()
        )
    ]
    return gauges | demand_series(found, MAX_SERIES)
