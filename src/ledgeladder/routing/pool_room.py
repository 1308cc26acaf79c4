"""Room that the engines of a pool have for further requests."""

from __future__ import annotations

import math
from itertools import accumulate
from typing import TYPE_CHECKING

import msgspec

from .forwarding_table import is_usable, total_in_flight, total_kv
from .layer_coverage import MAX_REQUEST_CAPACITY, kv_capacity, usual_tokens
from .path_costs import FULL_FRACTION, slot_limit

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..model.traffic import EngineProfile
    from .forwarding_table import ForwardedUpstream


class PoolRoom(msgspec.Struct, frozen=True, kw_only=True):
    """Room of a pool, in requests of the usual size."""

    free: float
    """Requests that the usable engines still take, over all failure domains."""

    capacity: float
    """Requests that its engines take when they are idle, except those that are draining."""

    in_flight: float
    """Requests whose KV cache the engines hold."""


class _EngineRoom(msgspec.Struct, frozen=True, kw_only=True):
    """Room of one engine, in requests of the usual size over all of its layers."""

    engine: ForwardedUpstream
    free: float
    capacity: float


def pool_room(
    profile: EngineProfile, engines: Sequence[ForwardedUpstream], now: float, sharers: float
) -> PoolRoom:
    """Return the room of a pool.

    In each failure domain, the layer with the least room counts. Domains that lack a layer count
    only if no domain holds all of them: then paths cross, and all engines count as one domain.

    Args:
        profile: Performance of the engines.
        engines: Engines of the pool.
        now: Monotonic time.
        sharers: Ratio of all boxes' requests to this box's, as for `total_in_flight`.
    """
    domains: dict[str, list[_EngineRoom]] = {}
    for engine in engines:
        if (room := _engine_room(profile, engine, now, sharers)) is not None:
            domains.setdefault(engine.registration.failure_domain, []).append(room)
    free = capacity = 0.0
    for rooms in domains.values():
        free += _least_layer(profile, ((item, item.free) for item in rooms))
        capacity += _least_layer(profile, ((item, item.capacity) for item in rooms))
    if capacity <= 0.0:
        rooms = [item for known in domains.values() for item in known]
        free = _least_layer(profile, ((item, item.free) for item in rooms))
        capacity = _least_layer(profile, ((item, item.capacity) for item in rooms))
    used = sum(total_kv(engine, now, sharers) for engine in engines)
    return PoolRoom(
        free=free,
        capacity=capacity,
        in_flight=used / (usual_tokens(profile) * max(1, profile.layers)),
    )


def _engine_room(
    profile: EngineProfile, engine: ForwardedUpstream, now: float, sharers: float
) -> _EngineRoom | None:
    """Return the room of an engine; None if it holds no layers, is draining or unknown."""
    registration = engine.registration
    held = sum(item.end - item.first for item in registration.holdings)
    if held <= 0 or engine.draining or registration.card not in profile.cards:
        return None
    cache = kv_capacity(profile, registration.card, held) * FULL_FRACTION
    slots = slot_limit(engine) * FULL_FRACTION
    size = usual_tokens(profile) * held
    capacity = min(cache / size, slots, MAX_REQUEST_CAPACITY)
    if not is_usable(engine, now):
        return _EngineRoom(engine=engine, free=0.0, capacity=capacity)
    free = min(
        (cache - total_kv(engine, now, sharers)) / size if cache < math.inf else math.inf,
        slots - total_in_flight(engine, now, sharers) if slots < math.inf else math.inf,
        MAX_REQUEST_CAPACITY,
    )
    return _EngineRoom(engine=engine, free=max(0.0, free), capacity=capacity)


def _least_layer(profile: EngineProfile, rooms: Iterable[tuple[_EngineRoom, float]]) -> float:
    """Return the minimum over all layers of the requests that their holders take."""
    steps = [0.0] * (profile.layers + 1)
    for room, requests in rooms:
        for item in room.engine.registration.holdings:
            steps[min(item.first, profile.layers)] += requests
            steps[min(item.end, profile.layers)] -= requests
    # Sums of differences may end slightly below zero.
    return max(0.0, min(accumulate(steps[:-1]), default=0.0))
