"""Gauges of the demand for pools whose room is shared by priority."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ...routing.fleet_demand import demand_age, pool_demand
from ..metrics_page import escape_label

if TYPE_CHECKING:
    from ...model.demand import ClassDemand
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
        (pool, priority, item)
        for pool in sorted(state.contended)
        for priority, item in sorted(_classes(state, pool, now).items())
    ]
    for pool, priority, item in found[:MAX_SERIES]:
        labels = f'{{pool="{escape_label(pool)}",priority="{priority}"}}'
        gauges[f"demand_asked_per_second{labels}"] = item.asked
        gauges[f"demand_admitted_per_second{labels}"] = item.admitted
        gauges[f"demand_tokens_per_second{labels}"] = item.tokens
    gauges["demand_series_left_out"] = float(max(0, len(found) - MAX_SERIES))
    return gauges


def _classes(state: GatewayState, pool: str, now: float) -> dict[int, ClassDemand]:
    return pool_demand(state.demand, pool, now, state.entry_count).classes
