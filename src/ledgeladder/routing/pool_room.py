"""Room that the engines of a pool have for further requests."""

from __future__ import annotations

import math
from itertools import accumulate
from typing import TYPE_CHECKING, Final

import msgspec

from .forwarding_table import (
    LAST_SEEN_MARGIN_SECONDS,
    is_usable,
    total_in_flight,
    total_kv,
)
from .layer_coverage import MAX_REQUEST_CAPACITY, kv_capacity, usual_tokens
from .path_costs import FULL_FRACTION, slot_limit
from .paths import newest_instances

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..model.registration import Holding
    from ..model.traffic import EngineProfile
    from .forwarding_table import ForwardedUpstream


MIN_ROOM: Final = 1e-6
"""Room below which a layer has none, in requests; more than what rounding leaves in sums."""


class PoolRoom(msgspec.Struct, frozen=True, kw_only=True):
    """Room of a pool, in requests of the usual size."""

    free: float
    """Requests that the usable engines still take, over all failure domains."""

    capacity: float
    """Requests that its engines take when they are idle, except lost and draining ones."""

    in_flight: float
    """Requests whose KV cache the engines hold."""


def pool_room(
    profile: EngineProfile, engines: Sequence[ForwardedUpstream], now: float, sharers: float
) -> PoolRoom:
    """Return the room of a pool.

    In each failure domain, the layer with the least room counts. Domains that lack a layer count
    only if no domain holds all of them: then paths cross, and all engines count as one domain. As
    for paths, only the newest instance at each address counts.

    Args:
        profile: Performance of the engines.
        engines: Engines of the pool.
        now: Monotonic time.
        sharers: Ratio of all boxes' requests to this box's, as for `total_in_flight`.
    """
    layers = max(1, profile.layers)
    usual = usual_tokens(profile)
    caches: dict[tuple[str, int], float] = {}
    domains: dict[str, _LayerSteps] = {}
    used = 0.0
    for engine in newest_instances(engines):
        registration = engine.registration
        holdings = registration.holdings
        held = sum([item.end - item.first for item in holdings])
        kv = total_kv(engine, now, sharers)
        used += kv
        if held <= 0 or registration.card not in profile.cards or _is_leaving(engine):
            continue
        key = (registration.card, held)
        cache = caches.get(key)
        if cache is None:
            cache = caches[key] = kv_capacity(profile, *key) * FULL_FRACTION
        steps = domains.get(registration.failure_domain)
        if steps is None:
            steps = domains[registration.failure_domain] = _LayerSteps(layers)
        slots = slot_limit(engine) * FULL_FRACTION
        capacity = min(cache / (usual * held), slots, MAX_REQUEST_CAPACITY)
        free = 0.0
        if is_usable(engine, now):
            running = total_in_flight(engine, now, sharers) if slots < math.inf else 0.0
            free = min((cache - kv) / (usual * held), slots - running, MAX_REQUEST_CAPACITY)
        steps.add(holdings, max(0.0, free), capacity)
    free, capacity = _sum_domains(list(domains.values()), layers)
    return PoolRoom(free=free, capacity=capacity, in_flight=used / (usual * layers))


def _is_leaving(engine: ForwardedUpstream) -> bool:
    """Return whether an engine is draining or lost, so that its room does not become free."""
    return engine.draining or engine.last_seen_at <= engine.lost_at + LAST_SEEN_MARGIN_SECONDS


class _LayerSteps:
    """Differences between the room of each layer and the one before."""

    def __init__(self, layers: int) -> None:
        self.free = [0.0] * (layers + 1)
        self.capacity = [0.0] * (layers + 1)

    def add(self, holdings: Iterable[Holding], free: float, capacity: float) -> None:
        """Add an engine."""
        last = len(self.free) - 1
        for item in holdings:
            first, end = min(item.first, last), min(item.end, last)
            self.free[first] += free
            self.free[end] -= free
            self.capacity[first] += capacity
            self.capacity[end] -= capacity


def _sum_domains(domains: list[_LayerSteps], layers: int) -> tuple[float, float]:
    """Return free room and capacity over all failure domains."""
    capacity = sum(_least_layer(item.capacity) for item in domains)
    if capacity > 0.0:
        return sum(_least_layer(item.free) for item in domains), capacity
    joined = _LayerSteps(layers)
    for item in domains:
        joined.free = [own + more for own, more in zip(joined.free, item.free, strict=True)]
        joined.capacity = [
            own + more for own, more in zip(joined.capacity, item.capacity, strict=True)
        ]
    return _least_layer(joined.free), _least_layer(joined.capacity)


def _least_layer(steps: list[float]) -> float:
    """Return the least room of a layer, from the differences between layers."""
    least = min(accumulate(steps[:-1]))
    # Sums of differences may end close to zero instead of at zero.
    return least if least > MIN_ROOM else 0.0
