"""What decisions on admission are based on: room and demand within the horizon."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from ..model.demand import ClassDemand, PoolDemand
    from .pool_room import PoolRoom

MAX_EXCESS_SHARE: Final = 0.25
"""Maximum part of what ends that makes up for work beyond the capacity instead of being admitted;
the rest leaves room for urgent requests meanwhile."""

MIN_HORIZON_SECONDS: Final = 0.1
"""Minimum horizon, about the time for which a view of the room is used."""


class SettledRoom(msgspec.Struct, kw_only=True):
    """Busy room of a pool, averaged over the usual duration of a stream.

    Streams that have just started do not end yet. While a fleet fills up, the busy room alone would
    count too many as ending.
    """

    value: float = 0.0
    """Average, in requests of the usual size."""

    at: float = float("-inf")
    """When it was computed, on the monotonic clock."""


class AdmissionView(msgspec.Struct, frozen=True, kw_only=True):
    """What a decision is based on."""

    room: PoolRoom
    """Room of the pool."""

    demand: PoolDemand
    """Demand for the pool at all entry boxes."""

    demand_age: float
    """Age of the demand, in seconds."""

    horizon: float
    """Time until an admission shows in the room, in seconds: age of the view plus target
    latency."""

    settled: float
    """Busy room that counts for what ends, see `SettledRoom`, in requests of the usual size."""

    stream_seconds: float
    """Usual duration of a stream, in seconds; 0 if unknown."""

    usual_tokens: float
    """Tokens of a request of the usual size."""


def reserved_room(view: AdmissionView, priority: int) -> float:
    """Return the room that requests more urgent than a priority ask for within the horizon."""
    classes = view.demand.classes
    return sum(wanted_room(view, item) for rank, item in classes.items() if rank < priority)


def update_settled(
    settled: SettledRoom, room: PoolRoom, stream_seconds: float, now: float
) -> float:
    """Update the average of a pool's busy room and return it, at most the busy room.

    Args:
        settled: The average. The first update sets it to the busy room.
        room: Room of the pool.
        stream_seconds: Usual duration of a stream, in seconds; 0 if unknown.
        now: Monotonic time.
    """
    busy = max(0.0, room.capacity - room.free)
    passed = max(0.0, now - settled.at)
    weight = 1.0 if stream_seconds <= 0.0 else -math.expm1(-passed / stream_seconds)
    settled.value = min(busy, settled.value + (busy - settled.value) * weight)
    settled.at = now
    return settled.value


def expected_room(view: AdmissionView) -> float:
    """Return the room that is free within the horizon, with that of streams that end in it.

    While the room is used up, as much is admitted as ends, also on a view that lags. What is free
    is filled within a horizon; what runs beyond the capacity is made up for more slowly, within the
    duration of a stream and by `MAX_EXCESS_SHARE` of what ends. Together these do not swing.
    """
    room = view.room
    horizon = horizon_seconds(view)
    part = horizon / max(horizon, view.stream_seconds)
    excess = max(0.0, room.in_flight - room.capacity) if room.free < 1.0 else 0.0
    excess = min(excess, view.settled * MAX_EXCESS_SHARE)
    return room.free + (view.settled - excess) * part


def horizon_seconds(view: AdmissionView) -> float:
    """Return the horizon, at least `MIN_HORIZON_SECONDS`."""
    return max(MIN_HORIZON_SECONDS, view.horizon)


def wanted_room(view: AdmissionView, demand: ClassDemand) -> float:
    """Return what a priority asks for within the horizon, in requests of the usual size."""
    rate = demand.asked
    if demand.tokens > 0.0:
        rate = demand.tokens / max(1.0, view.usual_tokens)
    return rate * horizon_seconds(view)
