"""Adding up what entry boxes report of their requests, here and to the other control boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...coordination.upstream_order import LoadFigures
from ...routing.load_sharing import LOAD_BELIEVED_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .state import RegistryState, ReportedLoad, ReportedShare


def drop_expired_reports(state: RegistryState, now: float) -> None:
    """Forget entry boxes that report to another control box by now, or do not report at all."""
    for number in [item for item, report in state.loads.items() if not _is_recent(report, now)]:
        del state.loads[number]


def count_entries(state: RegistryState) -> int:
    """Return how many entry boxes report to any control box, as far as is known; at least 1."""
    now = anyio.current_time()
    others = sum(item.entries for item in state.shares.values() if _is_recent(item, now))
    return max(1, len(state.loads) + others)


def sum_loads(state: RegistryState, now: float) -> dict[str, LoadFigures]:
    """Add up what entry boxes reported lately, here and to the other control boxes.

    Args:
        state: The process's state.
        now: Monotonic time.

    Returns:
        Load by run of the upstream; upstreams without any are left out.
    """
    shares = [item.loads for item in state.shares.values() if _is_recent(item, now)]
    return _sum_by_instance([local_loads(state, now), *shares])


def local_loads(state: RegistryState, now: float) -> dict[str, LoadFigures]:
    """Add up what the entry boxes that report here said lately."""
    return _sum_by_instance(
        report.loads for report in state.loads.values() if _is_recent(report, now)
    )


def _is_recent(report: ReportedLoad | ReportedShare, now: float) -> bool:
    return now - report.reported_at <= LOAD_BELIEVED_SECONDS


def _sum_by_instance(parts: Iterable[dict[str, LoadFigures]]) -> dict[str, LoadFigures]:
    sums: dict[str, tuple[int, float]] = {}
    for loads in parts:
        for instance, load in loads.items():
            in_flight, kv_reserved = sums.get(instance, (0, 0.0))
            sums[instance] = (in_flight + load.in_flight, kv_reserved + load.kv_reserved)
    return {instance: LoadFigures(*load) for instance, load in sums.items()}
