"""Assigns layers to engines, and moves engines after losses, while this box leads."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...coordination.engine_orders import (
    is_due,
    reconcile,
    record_sent,
    resume_reported_orders,
    step_down,
)
from ...coordination.gathering import InitialDiscovery
from ...coordination.loss_evidence import awaits_check, is_presumed_lost
from ...coordination.registrations import superseded_instances
from ...model.registration import UpstreamState
from ...routing.group_plan import max_layers
from ...routing.load_time import load_seconds
from ...routing.placed_engine import PlacedEngine
from ...routing.placement import (
    group_engines,
    missing_layers,
    plan_placement,
    split_group,
)
from ...routing.placement_repair import plan_repairs
from .order_sending import format_range, may_order, order_layers
from .state import controls_last_seen
from .upstream_ends import begin_due_checks

if TYPE_CHECKING:
    from ...model.registration import Holding, Registration
    from ...model.traffic import UpstreamPool
    from ...routing.group_plan import PlanCache
    from .state import RegistryState

logger = logging.getLogger(__name__)

PLACEMENT_POLL_SECONDS: Final = 0.2
"""Interval at which the leader checks for engines without layers."""

NEW_ENGINE_DEFER_SECONDS: Final = 1.2
"""How long a new engine waits for its layers while its pool serves. In a rolling replacement, the
old engine starts draining a second after the new one registered, which then takes over its
layers."""

MAX_CONCURRENT_ORDERS: Final = 64
"""Maximum number of concurrent orders. Each takes two connections; thousands at once would exhaust
the file descriptors and the CPU time of the process."""

REPAIR_INTERVAL_SECONDS: Final = 0.6
"""Interval at which moves are planned. Losses are often correlated, and the reports of several
entry boxes arrive within half a second."""


async def run_placement(state: RegistryState) -> None:
    """Order layers for new engines, and move engines to lost layers, until cancelled.

    A box that does not lead drops its own orders. A new leader plans from the holdings that engines
    report and from the orders that the previous leader announced.
    """
    discoveries: dict[str, InitialDiscovery] = {}
    heartbeat = state.settings.bounds.heartbeat_ms / 1000.0
    while True:
        await anyio.sleep(PLACEMENT_POLL_SECONDS)
        if not may_order(state) or state.configuration is None:
            step_down(state.order_ledger, anyio.current_time())
            continue
        resume_reported_orders(state.order_ledger)
        begin_due_checks(state, state.table.known)
        pools = [pool for pool in state.configuration.pools.values() if pool.engine is not None]
        engines = {pool.name: _pool_engines(state, pool) for pool in pools}
        pools = [_with_slots(pool, engines[pool.name]) for pool in pools]
        _confirm_orders(state, [item for members in engines.values() for item in members])
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        async with anyio.create_task_group() as tasks:
            for pool in pools:
                members = engines[pool.name]
                discovery = discoveries.setdefault(pool.name, InitialDiscovery(heartbeat=heartbeat))
                if not _is_discovered(discovery, pool, members):
                    continue
                empty = [item for item in members if not item.holdings]
                orders = await _plan_orders(state, pool, members) if empty else []
                orders = _limit_concurrent_loads(state, pool, members, orders)
                orders = orders or _plan_moves(state, pool, members)
                _record_sent(state, pool, members, orders)
                for engine, holding in orders:
                    tasks.start_soon(_order_with_limit, limiter, state, engine, holding)


def _is_discovered(
    discovery: InitialDiscovery, pool: UpstreamPool, engines: list[Registration]
) -> bool:
    """Return whether enough engines of a pool have registered to plan their layers."""
    assert pool.engine is not None
    profile = pool.engine
    is_serving = any(item.holdings for item in engines)
    # Skips the sum over all engines once the pool serves.
    can_hold_model = is_serving or profile.layers <= sum(
        max_layers(profile, item.card) for item in engines
    )
    return discovery.is_complete(
        len(engines), anyio.current_time(), is_serving=is_serving, can_hold_model=can_hold_model
    )


def _with_slots(pool: UpstreamPool, engines: list[Registration]) -> UpstreamPool:
    """Return the pool with the smallest slot count above 1 that its engines report."""
    assert pool.engine is not None
    slots = min((item.slots for item in engines if item.slots > 1), default=0)
    return msgspec.structs.replace(pool, engine=msgspec.structs.replace(pool.engine, slots=slots))


async def _order_with_limit(
    limiter: anyio.CapacityLimiter, state: RegistryState, engine: Registration, holding: Holding
) -> None:
    async with limiter:
        await order_layers(state, engine, holding)


def _limit_concurrent_loads(
    state: RegistryState,
    pool: UpstreamPool,
    engines: list[Registration],
    orders: list[tuple[Registration, Holding]],
) -> list[tuple[Registration, Holding]]:
    """Return the orders to engines without layers that are sent now.

    The initial plan is ordered as a whole, since nothing is served before all of it is loaded. Once
    half of the engines hold layers, no more loads run concurrently than reach full speed, so the
    most urgent engines are ready soonest. Moves that close a gap are not limited, since a failure
    domain serves only once all of them are loaded.

    Args:
        state: State of the process.
        pool: The pool.
        engines: Its engines.
        orders: Planned orders, the most urgent first.

    Returns:
        The first of these orders, as many as the limit permits.
    """
    assert pool.engine is not None
    serving = sum(bool(item.holdings) for item in engines)
    if serving < len(engines) / 2:
        return orders
    now = anyio.current_time()
    names = {item.instance for item in engines}
    open_loads = sum(
        name in names and not is_due(state.order_ledger, name, now)
        for name in state.order_ledger.sent
    )
    return orders[: max(0, pool.engine.parallel_loads - open_loads)]


def _record_sent(
    state: RegistryState,
    pool: UpstreamPool,
    engines: list[Registration],
    orders: list[tuple[Registration, Holding]],
) -> None:
    """Record orders that are about to be sent, with the predicted time of their loads."""
    profile = pool.engine
    assert profile is not None
    now = anyio.current_time()
    serving = any(item.holdings for item in engines)
    loads = min(len(orders), profile.parallel_loads) if serving else len(orders)
    for engine, holding in orders:
        layers = _layers_to_load(engine, holding)
        seconds = load_seconds(profile, layers, loads)
        record_sent(state.order_ledger, engine.instance, holding, now, seconds)


def _layers_to_load(engine: Registration, holding: Holding) -> int:
    """Return how many layers of a range an engine does not hold yet."""
    held = {layer for item in engine.holdings for layer in range(item.first, item.end)}
    return sum(layer not in held for layer in range(holding.first, holding.end))


def _pool_engines(state: RegistryState, pool: UpstreamPool) -> list[Registration]:
    """Return the engines of a pool; one whose address a newer instance uses counts as draining."""
    superseded = superseded_instances(state.table)
    return [
        (
            msgspec.structs.replace(item.registration, state=UpstreamState.DRAINING)
            if instance in superseded
            else item.registration
        )
        for instance, item in state.table.known.items()
        if item.registration.pool == pool.name and item.registration.card
    ]


def _confirm_orders(state: RegistryState, engines: list[Registration]) -> None:
    reported = {item.instance: item.holdings for item in engines}
    for instance in reconcile(state.order_ledger, reported, anyio.current_time()):
        logger.info("engine loaded its layers", extra={"upstream": instance})


def _to_placed_engines(state: RegistryState, engines: list[Registration]) -> list[PlacedEngine]:
    return [
        PlacedEngine(
            instance=item.instance,
            failure_domain=item.failure_domain,
            card=item.card,
            holding=_effective_holding(state, item),
            is_loaded=item.instance not in state.order_ledger.sent,
        )
        for item in engines
    ]


async def _plan_orders(
    state: RegistryState, pool: UpstreamPool, engines: list[Registration]
) -> list[tuple[Registration, Holding]]:
    """Return the engines without layers that are ordered now, with their layers.

    Includes those whose previous order was not answered or not executed in time.
    """
    chosen = await _plan_new_engines(state, pool, engines)
    now = anyio.current_time()
    by_instance = {item.instance: item for item in engines}
    # In the order of the plan, which has the most urgent layers first.
    planned = chosen | {
        instance: order.holding
        for instance, order in state.order_ledger.sent.items()
        if instance in by_instance
    }
    return [
        (by_instance[instance], holding)
        for instance, holding in planned.items()
        if not by_instance[instance].holdings and is_due(state.order_ledger, instance, now)
    ]


async def _plan_new_engines(
    state: RegistryState, pool: UpstreamPool, engines: list[Registration]
) -> dict[str, Holding]:
    """Choose layers for the engines that have neither layers nor an order.

    Returns early if there are none, since a plan over thousands of engines takes a large part of
    the poll interval. Yields between two parts of a plan, since a leader must send heartbeats.
    """
    assert pool.engine is not None
    ready = [item for item in engines if item.state is UpstreamState.READY]
    deferred = _deferred_new_engines(state, engines)
    new_engines = [item for item in ready if _is_new_engine(state, item)]
    if all(item.instance in deferred for item in new_engines):
        return {}
    placed = _to_placed_engines(state, [item for item in ready if item.instance not in deferred])
    draining = _to_placed_engines(
        state, [item for item in engines if item.state is UpstreamState.DRAINING]
    )
    chosen: dict[str, Holding] = {}
    cache: PlanCache = {}
    for group in group_engines(pool.engine, placed):
        for part in split_group(group):
            chosen |= plan_placement(pool.engine, part, draining, cache)
            await anyio.sleep(0)
    _warn_of_gaps(pool, [*(item.holding for item in placed if item.holding), *chosen.values()])
    return chosen


def _warn_of_gaps(pool: UpstreamPool, holdings: list[Holding]) -> None:
    assert pool.engine is not None
    missing = missing_layers(pool.engine, holdings)
    if missing:
        logger.warning(
            "layers without an engine",
            extra={
                "pool": pool.name,
                "layers": f"{missing[0]}-{missing[-1]}",
                "count": len(missing),
                "short_mb": len(missing) * pool.engine.layer_mb,
            },
        )


def _is_new_engine(state: RegistryState, engine: Registration) -> bool:
    """Return whether an engine has neither layers nor an order."""
    return not engine.holdings and engine.instance not in state.order_ledger.sent


def _deferred_new_engines(state: RegistryState, engines: list[Registration]) -> set[str]:
    """Return the new engines that wait for a draining engine whose layers they can take over.

    An engine waits `NEW_ENGINE_DEFER_SECONDS` while the pool serves, unless an engine with the same
    card in its failure domain is already draining.
    """
    if not any(item.holdings for item in engines):
        return set()
    draining = {
        (item.card, item.failure_domain) for item in engines if item.state is UpstreamState.DRAINING
    }
    now = anyio.current_time()
    return {
        item.instance
        for item in engines
        if _is_new_engine(state, item)
        and (item.card, item.failure_domain) not in draining
        and (known := state.table.known.get(item.instance)) is not None
        and now - known.first_seen_at < NEW_ENGINE_DEFER_SECONDS
    }


def _plan_moves(
    state: RegistryState, pool: UpstreamPool, engines: list[Registration]
) -> list[tuple[Registration, Holding]]:
    """Return the engines that are moved to missing layers, with these layers.

    Includes those whose previous order to move was not answered or not executed in time.
    """
    assert pool.engine is not None
    now = anyio.current_time()
    if now - state.order_ledger.repaired_at < REPAIR_INTERVAL_SECONDS:
        return []
    seen_until = controls_last_seen(state)
    up = {item.instance: item for item in engines if _is_up(state, item, now, seen_until)}
    if any(_awaits_check(state, item, now) for item in engines if item.instance not in up):
        return []
    orders = [
        (up[instance], order.holding)
        for instance, order in state.order_ledger.sent.items()
        if instance in up and is_due(state.order_ledger, instance, now)
    ]
    moves = plan_repairs(pool.engine, _to_placed_engines(state, list(up.values())))
    for spare, holding in moves:
        logger.warning(
            "engine moved",
            extra={
                "moved_in": spare.failure_domain,
                "up": len(up),
                "registered": len(engines),
                "upstream": spare.instance,
                "layers_before": format_range(spare.holding),
                "layers": format_range(holding),
            },
        )
        orders.append((up[spare.instance], holding))
    state.order_ledger.repaired_at = now
    return orders


def _awaits_check(state: RegistryState, engine: Registration, now: float) -> bool:
    known = state.table.known.get(engine.instance)
    return known is not None and awaits_check(
        state.losses, engine.instance, known.last_seen_at, now
    )


def _is_up(
    state: RegistryState, engine: Registration, now: float, seen_until: float | None
) -> bool:
    """Return whether an engine is ready and not presumed lost.

    Missing heartbeats count only while every known control box is reachable.
    """
    known = state.table.known.get(engine.instance)
    if known is None or engine.state is not UpstreamState.READY:
        return False
    heartbeat = state.settings.bounds.heartbeat_ms / 1000.0
    return not is_presumed_lost(
        state.losses,
        engine.instance,
        known.last_seen_at,
        now,
        heartbeat,
        seen_until=seen_until,
    )


def _effective_holding(state: RegistryState, engine: Registration) -> Holding | None:
    """Return the layers of an engine's open order, or else those that it reports."""
    order = state.order_ledger.sent.get(engine.instance)
    if order is not None:
        return order.holding
    return max(engine.holdings, key=lambda item: item.end - item.first, default=None)
