"""Metrics page of a gateway: demand for pools by priority."""

from __future__ import annotations

import anyio

from ledgeladder.daemons.gateway.demand_gauges import MAX_SERIES, demand_gauges
from ledgeladder.daemons.gateway.metrics import metrics_lines
from ledgeladder.daemons.gateway.room_gauges import room_gauges
from ledgeladder.daemons.gateway.state import RoomView
from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.admission_level import AdmissionLevel
from ledgeladder.routing.fleet_demand import apply_totals, record_asked
from ledgeladder.routing.pool_room import PoolRoom

from .builders import gateway_state


def test_page_shows_demand_by_pool_and_priority_before_any_totals() -> None:
    """A box that is cut off from control boxes shows its own demand, and no age."""

    async def run() -> list[str]:
        state = gateway_state()
        state.contended = frozenset({"p"})
        now = anyio.current_time()
        for pool in ("p", "other"):
            record_asked(state.demand, pool=pool, priority=2, account="acme", tokens=600.0, now=now)
        return metrics_lines(state)

    lines = anyio.run(run)
    names = [item.rpartition(" ")[0] for item in lines if item.startswith("ledgeladder_demand")]
    names.remove("ledgeladder_demand_known")
    labels = '{pool="p",priority="2"}'
    assert names == [
        f"ledgeladder_demand_asked_per_second{labels}",
        f"ledgeladder_demand_admitted_per_second{labels}",
        f"ledgeladder_demand_tokens_per_second{labels}",
        "ledgeladder_demand_series_left_out",
    ]


def test_demand_gauges_are_bounded_and_labels_escaped() -> None:
    """Neither the document nor other boxes make the page grow without bound."""

    async def run() -> dict[str, float]:
        state = gateway_state()
        pools = [f'p"{number}' for number in range(10)]
        state.contended = frozenset(pools)
        classes = {priority: ClassDemand(asked=1.0) for priority in range(MAX_SERIES)}
        state.entry_count = 3
        totals = {pool: PoolDemand(classes=classes) for pool in pools}
        apply_totals(state.demand, totals, entries=3, now=5.0)
        return demand_gauges(state, 5.5)

    gauges = anyio.run(run)
    assert gauges["demand_age_seconds"] == 0.5
    assert gauges["demand_series_left_out"] == 9 * MAX_SERIES
    assert len(gauges) == 3 * MAX_SERIES + 2
    assert gauges['demand_asked_per_second{pool="p\\"0",priority="0"}'] == 1.0


def test_room_gauges_tell_what_admission_last_saw() -> None:
    """Pools that a newer document does not name any more are left out."""

    async def run() -> dict[str, float]:
        state = gateway_state()
        room = PoolRoom(free=2.0, capacity=8.0, in_flight=6.0)
        for pool in ("p", "gone"):
            state.room.views[pool] = RoomView(
                at=10.0, room=room, settled=0.0, load_age=0.0, demand=PoolDemand(), taken=3.0
            )
            state.room.levels[pool, 2] = AdmissionLevel(value=0.25)
            state.room.waiting[pool, 2] = 4
        state.contended = frozenset({"p", "unused"})
        return room_gauges(state, 10.5)

    assert anyio.run(run) == {
        'room_free_requests{pool="p"}': 0.0,
        'room_capacity_requests{pool="p"}': 8.0,
        'room_age_seconds{pool="p"}': 0.5,
        'admission_share{pool="p",priority="2"}': 0.25,
        'admission_waiting{pool="p",priority="2"}': 4.0,
    }


def test_room_gauges_are_bounded() -> None:
    async def run() -> dict[str, float]:
        state = gateway_state()
        state.contended = frozenset(f"p-{number}" for number in range(2 * MAX_SERIES))
        room = PoolRoom(free=2.0, capacity=8.0, in_flight=6.0)
        for pool in state.contended:
            state.room.views[pool] = RoomView(
                at=10.0, room=room, settled=0.0, load_age=0.0, demand=PoolDemand()
            )
            for priority in range(3):
                state.room.levels[pool, priority] = AdmissionLevel()
        gauges = room_gauges(state, 10.5)
        assert not any(state.room.waiting.values())
        return gauges

    assert len(anyio.run(run)) == (3 + 2) * MAX_SERIES
