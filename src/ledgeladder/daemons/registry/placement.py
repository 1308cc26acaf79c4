"""Ordering engines to hold layers, and moving them after losses, while this box leads."""

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
from ...coordination.loss_evidence import is_presumed_lost
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

if TYPE_CHECKING:
    from ...model.registration import Holding, Registration
    from ...model.traffic import UpstreamPool
    from ...routing.group_plan import PlanCache
    from .state import RegistryState

logger = logging.getLogger(__name__)

PLACEMENT_POLL_SECONDS: Final = 0.2
"""How often the leader looks for engines without layers."""

NEW_ENGINE_DEFER_SECONDS: Final = 1.2
"""How long an engine that comes while the system serves waits for its layers. Where engines are
replaced one after the other, the old one announces its end a second after the new one came, and the
new one then takes over its layers."""

MAX_CONCURRENT_ORDERS: Final = 64
"""Orders that are under way at once. Each takes two connections; thousands together would take the
descriptors of the process and let calls time out that wait for its processor."""

REPAIR_INTERVAL_SECONDS: Final = 0.6
"""Time between two looks for gaps: losses come together, and the reports of several entry boxes
come within half a second. A look over 99 engines that finds one takes some milliseconds."""


async def run_placement(state: RegistryState) -> None:
    """Order layers for engines that have none, and move some where layers were lost, for ever.

    A box that does not lead forgets its own orders. A new leader plans from what engines report and
    from the orders that the last one told it.
    """
    discoveries: dict[str, InitialDiscovery] = {}
    heartbeat = state.settings.bounds.heartbeat_ms / 1000.0
    while True:
        await anyio.sleep(PLACEMENT_POLL_SECONDS)
        if not may_order(state) or state.configuration is None:
            step_down(state.ledger, anyio.current_time())
            continue
        resume_reported_orders(state.ledger)
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
    """Tell whether enough engines of a pool have come to plan over them."""
    assert pool.engine is not None
    profile = pool.engine
    serves = any(item.holdings for item in engines)
    # Engines that serve are enough. Adding up all of them in each look is work for the start only.
    is_enough = serves or profile.layers <= sum(max_layers(profile, item.card) for item in engines)
    return discovery.is_complete(
        len(engines), anyio.current_time(), is_serving=serves, can_hold_model=is_enough
    )


def _with_slots(pool: UpstreamPool, engines: list[Registration]) -> UpstreamPool:
    """Return a pool whose profile says how many requests its engines run at once, if they told."""
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

    The first plan is ordered at once: nothing is served before all of it is loaded. Once half of
    the engines hold layers, no more loads are open than run at full speed: a few engines that are
    back soon are worth more than many that load slowly. Moves that close a gap are not held back,
    since a failure domain serves only once all of them are loaded.

    Args:
        state: The process's state.
        pool: The pool.
        engines: Its engines.
        orders: Orders that are wanted, the most urgent first.

    Returns:
        The first of them, as many as may be open.
    """
    assert pool.engine is not None
    serving = sum(bool(item.holdings) for item in engines)
    if serving < len(engines) / 2:
        return orders
    now = anyio.current_time()
    names = {item.instance for item in engines}
    open_loads = sum(
        name in names and not is_due(state.ledger, name, now) for name in state.ledger.sent
    )
    return orders[: max(0, pool.engine.loads_at_once - open_loads)]


def _record_sent(
    state: RegistryState,
    pool: UpstreamPool,
    engines: list[Registration],
    orders: list[tuple[Registration, Holding]],
) -> None:
    """Note orders that are about to be sent, with the time that their loads should take."""
    profile = pool.engine
    assert profile is not None
    now = anyio.current_time()
    serving = any(item.holdings for item in engines)
    loads = min(len(orders), profile.loads_at_once) if serving else len(orders)
    for engine, holding in orders:
        layers = _layers_to_load(engine, holding)
        seconds = load_seconds(profile, layers, loads)
        record_sent(state.ledger, engine.instance, holding, now, seconds)


def _layers_to_load(engine: Registration, holding: Holding) -> int:
    """Return how many layers of a range an engine does not hold yet."""
    held = {layer for item in engine.holdings for layer in range(item.first, item.end)}
    return sum(layer not in held for layer in range(holding.first, holding.end))


def _pool_engines(state: RegistryState, pool: UpstreamPool) -> list[Registration]:
    """Return the engines of a pool; one whose address a newer run has taken counts as leaving."""
    old = superseded_instances(state.table)
    return [
        (
            msgspec.structs.replace(item.registration, state=UpstreamState.LEAVING)
            if instance in old
            else item.registration
        )
        for instance, item in state.table.known.items()
        if item.registration.pool == pool.name and item.registration.card
    ]


def _confirm_orders(state: RegistryState, engines: list[Registration]) -> None:
    reported = {item.instance: item.holdings for item in engines}
    for instance in reconcile(state.ledger, reported, anyio.current_time()):
        logger.info("engine holds its layers", extra={"upstream": instance})


def _to_placed_engines(state: RegistryState, engines: list[Registration]) -> list[PlacedEngine]:
    return [
        PlacedEngine(
            instance=item.instance,
            failure_domain=item.failure_domain,
            card=item.card,
            holding=_effective_holding(state, item),
            is_loaded=item.instance not in state.ledger.sent,
        )
        for item in engines
    ]


async def _plan_orders(
    state: RegistryState, pool: UpstreamPool, engines: list[Registration]
) -> list[tuple[Registration, Holding]]:
    """Return the engines without layers that are to be ordered now, with their layers.

    Also those whose order was not answered, or not carried out in time.
    """
    chosen = await _plan_new_engines(state, pool, engines)
    now = anyio.current_time()
    by_instance = {item.instance: item for item in engines}
    # In the order of the plan, so that what is needed most is loaded first.
    wanted = chosen | {
        instance: order.holding
        for instance, order in state.ledger.sent.items()
        if instance in by_instance
    }
    return [
        (by_instance[instance], holding)
        for instance, holding in wanted.items()
        if not by_instance[instance].holdings and is_due(state.ledger, instance, now)
    ]


async def _plan_new_engines(
    state: RegistryState, pool: UpstreamPool, engines: list[Registration]
) -> dict[str, Holding]:
    """Choose layers for the engines that have none and were ordered none.

    Nothing is worked out while there are none: a look over 3,000 engines takes a third of the time
    between two looks. Other tasks run between two parts of a plan: a leader must send heartbeats.
    """
    assert pool.engine is not None
    ready = [item for item in engines if item.state is UpstreamState.READY]
    waiting = _deferred_new_engines(state, engines)
    new_engines = [item for item in ready if _is_new_engine(state, item)]
    if all(item.instance in waiting for item in new_engines):
        return {}
    placed = _to_placed_engines(state, [item for item in ready if item.instance not in waiting])
    leaving = _to_placed_engines(
        state, [item for item in engines if item.state is UpstreamState.LEAVING]
    )
    chosen: dict[str, Holding] = {}
    shapes: PlanCache = {}
    for group in group_engines(pool.engine, placed):
        for part in split_group(group):
            chosen |= plan_placement(pool.engine, part, leaving, shapes)
            await anyio.sleep(0)
    _warn_of_gaps(pool, [*(item.holding for item in placed if item.holding), *chosen.values()])
    return chosen


def _warn_of_gaps(pool: UpstreamPool, holdings: list[Holding]) -> None:
    assert pool.engine is not None
    lacking = missing_layers(pool.engine, holdings)
    if lacking:
        logger.warning(
            "layers without an engine",
            extra={
                "pool": pool.name,
                "layers": f"{lacking[0]}-{lacking[-1]}",
                "count": len(lacking),
                "short_mb": len(lacking) * pool.engine.layer_mb,
            },
        )


def _is_new_engine(state: RegistryState, engine: Registration) -> bool:
    """Tell whether an engine holds no layers and was ordered none."""
    return not engine.holdings and engine.instance not in state.ledger.sent


def _deferred_new_engines(state: RegistryState, engines: list[Registration]) -> set[str]:
    """Return the engines that have just come and wait for the end of another to be told.

    One waits for a moment while the pool serves, unless an engine of its kind in its failure domain
    has already said that it leaves.
    """
    if not any(item.holdings for item in engines):
        return set()
    leaving = {
        (item.card, item.failure_domain) for item in engines if item.state is UpstreamState.LEAVING
    }
    now = anyio.current_time()
    return {
        item.instance
        for item in engines
        if _is_new_engine(state, item)
        and (item.card, item.failure_domain) not in leaving
        and (known := state.table.known.get(item.instance)) is not None
        and now - known.first_seen_at < NEW_ENGINE_DEFER_SECONDS
    }


def _plan_moves(
    state: RegistryState, pool: UpstreamPool, engines: list[Registration]
) -> list[tuple[Registration, Holding]]:
    """Return the engines that are to be moved to layers that are lacking, with these layers.

    Also those that were ordered to move, and neither answered nor reported the layers in time.
    """
    assert pool.engine is not None
    now = anyio.current_time()
    if now - state.ledger.repaired_at < REPAIR_INTERVAL_SECONDS:
        return []
    until = controls_last_seen(state)
    up = {item.instance: item for item in engines if _is_up(state, item, now, until)}
    orders = [
        (up[instance], order.holding)
        for instance, order in state.ledger.sent.items()
        if instance in up and is_due(state.ledger, instance, now)
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
    state.ledger.repaired_at = now
    return orders


def _is_up(state: RegistryState, engine: Registration, now: float, until: float | None) -> bool:
    """Tell whether an engine is ready and does not seem lost.

    Its silence counts only while this box hears every control box that it knows of.
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
        seen_until=until,
    )


def _effective_holding(state: RegistryState, engine: Registration) -> Holding | None:
    """Return the layers that an engine was ordered to hold, or else those that it reports."""
    order = state.ledger.sent.get(engine.instance)
    if order is not None:
        return order.holding
    return max(engine.holdings, key=lambda item: item.end - item.first, default=None)
