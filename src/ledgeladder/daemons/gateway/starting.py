"""Letting requests wait at a box that is starting, and letting them go on once it can serve."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from ...routing.route_index import find_route
from ...routing.start_queue import enter, leave, next_to_go, reading_seconds, wait_until
from .checks import LAST_RANK, START_SECONDS, rank_request
from .state import belief_holds

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...model.exchange import CallerFacts
    from ...model.traffic import UpstreamPool
    from .state import GatewayState

LOOK_SECONDS: Final = 0.01
"""How often a box with waiting requests looks whether it can serve: a fiftieth of the time in which
callers expect a first event."""


def is_starting(state: GatewayState, facts: CallerFacts, now: float) -> bool:
    """Tell whether this box cannot serve a request yet and is likely to within a moment.

    That is so for as long as a start usually takes. Those that come while earlier ones still wait
    for their turn wait as well, so that they do not go before them.
    """
    if state.refusing or now >= state.started_at + START_SECONDS:
        return False
    return bool(state.start_waits.queue.waiting) or _rank(state, facts, now) is None


def _rank(state: GatewayState, facts: CallerFacts, now: float) -> int | None:
    """Return the rank of a request, or None while it cannot be served.

    A box that stops or does not know the route can answer at once: it refuses.
    """
    if state.refusing:
        return LAST_RANK
    if state.configuration is None or not belief_holds(state, now):
        return None
    route = find_route(state.index, facts.host, facts.path)
    if route is None:
        return LAST_RANK
    pools = [state.configuration.pools[item.pool] for item in route.pools if item.weight > 0]
    if not all(_is_reachable(state, pool) for pool in pools):
        return None
    return rank_request(state, route, facts)


def _is_reachable(state: GatewayState, pool: UpstreamPool) -> bool:
    """Tell whether enough upstreams of a pool are known.

    That is one of a plain service, and of engines those of one failure domain that hold all layers:
    with fewer, paths would cross between failure domains, and fill links that all requests share.
    """
    known = state.table.pools.get(pool.name, [])
    if pool.engine is None:
        return bool(known)
    held: dict[str, set[int]] = {}
    for engine in known:
        registration = engine.registration
        layers = held.setdefault(registration.failure_domain, set())
        for item in registration.holdings:
            layers.update(range(item.first, item.end))
    return any(len(layers) >= pool.engine.layers for layers in held.values())


async def wait_for_turn(state: GatewayState, request: HttpRequest, facts: CallerFacts) -> float:
    """Let a request wait until the box can serve, its time is short or the start takes too long.

    Whoever calls judges it then, and refuses it if the box still cannot serve. A caller that leaves
    cancels the wait.

    Args:
        state: The process's state.
        request: The request.
        facts: What it says.

    Returns:
        How long it waited, in seconds; 0 if it could not wait.
    """
    now = anyio.current_time()
    waits = state.start_waits
    until = wait_until(
        arrived_at=request.arrived_at,
        patience=facts.patience,
        served_at=state.started_at + START_SECONDS,
    )
    if until <= now:
        return 0.0
    entered = enter(
        waits.queue,
        size=len(request.body),
        prompt_tokens=facts.prompt_tokens,
        is_resumed=facts.resume_after is not None,
        rank=lambda: _rank(state, facts, anyio.current_time()),
    )
    if entered is None:
        state.metrics.counters["start-queue-full"] += 1
        return 0.0
    turn = waits.turns[entered.ticket] = anyio.Event()
    waits.filled.set()
    try:
        with anyio.move_on_after(until - now):
            await turn.wait()
    finally:
        del waits.turns[entered.ticket]
        leave(waits.queue, entered)
    return anyio.current_time() - now


async def run_start_queue(state: GatewayState) -> None:
    """Let waiting requests go on, one after the other, once they can be served, for ever."""
    waits = state.start_waits
    while True:
        if not waits.queue.waiting:
            await waits.filled.wait()
            waits.filled = anyio.Event()
        while waits.queue.waiting:
            await anyio.sleep(_let_next_go(state))


def _let_next_go(state: GatewayState) -> float:
    """Let the next request go on, if any can be served.

    Returns:
        How long the one after it is to wait, in seconds.
    """
    waits = state.start_waits
    request = next_to_go(waits.queue)
    if request is None:
        return LOOK_SECONDS
    leave(waits.queue, request)
    waits.turns[request.ticket].set()
    state.metrics.counters["start-queue-served"] += 1
    if state.configuration is None or state.refusing:
        return 0.0
    profiles = [pool.engine for pool in state.configuration.pools.values() if pool.engine]
    return max((reading_seconds(item, request.prompt_tokens) for item in profiles), default=0.0)
