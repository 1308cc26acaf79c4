"""Sums the load that entry boxes report to this and to other control boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...coordination.upstream_order import LoadFigures
from ...routing.load_sharing import LOAD_VALID_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .state import RegistryState, ReportedLoad, ReportedShare


def drop_expired_reports(state: RegistryState, now: float) -> None:
    """Drop expired reports of entry boxes, which may report to another control box by now."""
    for link_id in [item for item, report in state.loads.items() if not _is_recent(report, now)]:
        del state.loads[link_id]


def count_entries(state: RegistryState) -> int:
    """Return how many entry boxes are known to report to any control box; at least 1."""
    now = anyio.current_time()
    others = sum(item.entries for item in state.shares.values() if _is_recent(item, now))
    return max(1, len(state.loads) + others)


def sum_loads(state: RegistryState, now: float) -> dict[str, LoadFigures]:
    """Sum the recent load reports of the entry boxes of all control boxes.

    Args:
        state: State of the process.
        now: Monotonic time.

    Returns:
        Load by instance id of the upstream; upstreams without load are left out.
    """
    shares = [item.loads for item in state.shares.values() if _is_recent(item, now)]
    return _sum_by_instance([local_loads(state, now), *shares])


def local_loads(state: RegistryState, now: float) -> dict[str, LoadFigures]:
    """Sum the recent load reports of the entry boxes that report to this box."""
    return _sum_by_instance(
        report.loads for report in state.loads.values() if _is_recent(report, now)
    )


def _is_recent(report: ReportedLoad | ReportedShare, now: float) -> bool:
    return now - report.reported_at <= LOAD_VALID_SECONDS


def _sum_by_instance(parts: Iterable[dict[str, LoadFigures]]) -> dict[str, LoadFigures]:
    sums: dict[str, tuple[int, float]] = {}
    for loads in parts:
        for instance, load in loads.items():
            in_flight, kv_reserved = sums.get(instance, (0, 0.0))
            sums[instance] = (in_flight + load.in_flight, kv_reserved + load.kv_reserved)
    return {instance: LoadFigures(*load) for instance, load in sums.items()}
