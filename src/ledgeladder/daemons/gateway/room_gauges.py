"""Gauges of the room of pools that is shared by priority, as admission last saw it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..metrics_page import escape_label
from .demand_gauges import MAX_SERIES

if TYPE_CHECKING:
    from .state import GatewayState


def room_gauges(state: GatewayState, now: float) -> dict[str, float]:
    """Return gauges by name and labels, for pools of the document in force.

    A pool has none before its first request. Views are computed when a request needs them, so
    their age tells how far the others can be trusted.

    Args:
        state: State of the process.
        now: Monotonic time.
    """
    gauges: dict[str, float] = {}
    pools = sorted(state.contended & state.room.views.keys())[:MAX_SERIES]
    for pool in pools:
        view = state.room.views[pool]
        labels = f'{{pool="{escape_label(pool)}"}}'
        gauges[f"room_free_requests{labels}"] = max(0.0, view.room.free - view.taken)
        gauges[f"room_capacity_requests{labels}"] = view.room.capacity
        gauges[f"room_age_seconds{labels}"] = max(0.0, now - view.at)
    levels = sorted(key for key in state.room.levels if key[0] in pools)
    for pool, priority in levels[:MAX_SERIES]:
        labels = f'{{pool="{escape_label(pool)}",priority="{priority}"}}'
        gauges[f"admission_share{labels}"] = state.room.levels[pool, priority].value
        gauges[f"admission_waiting{labels}"] = float(state.room.waiting[pool, priority])
    return gauges
