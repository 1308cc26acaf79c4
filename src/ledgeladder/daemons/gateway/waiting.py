"""Letting requests wait until they can be served, and letting them go on.

That is at a box that is starting, and while all upstreams that could run a request want no work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from ...routing.forwarding_table import covers_layers, is_at_most, is_usable, takes_work
from ...routing.pace import note_gap
from ...routing.route_index import find_route
from ...routing.wait_queue import enter, leave, next_to_go, reading_seconds, wait_until
from .backpressure import request_grants
from .checks import LAST_RANK, START_SECONDS, rank_request
from .state import answer_pace, check_freshness

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...model.exchange import CallerFacts
    from ...model.traffic import UpstreamPool
    from ...routing.forwarding_table import ForwardedUpstream
    from ...routing.wait_queue import WaitingRequest
    from .checks import Permit
    from .notes import RequestTrace
    from .state import AdmissionQueue, GatewayState

LOOK_SECONDS: Final = 0.01
"""How often a box with waiting requests looks whether it can serve: a fiftieth of the time in which
callers expect a first event."""

LOOK_AGAIN_SECONDS: Final = 0.05
"""How long a request waits at least before it looks for an upstream again: a search for a path
takes some milliseconds."""


def is_starting(state: GatewayState, facts: CallerFacts, now: float) -> bool:
    """Tell whether this box cannot serve a request yet and is likely to within a moment.

    That is so for as long as a start usually takes. Those that come while earlier ones still wait
    for their turn wait as well, so that they do not go before them.
    """
    if state.refusing or now >= state.started_at + START_SECONDS:
        return False
    return bool(state.start_queue.queue.waiting) or _rank(state, facts, now) is None


def _rank(state: GatewayState, facts: CallerFacts, now: float) -> int | None:
    """Return the rank of a request, or None while it cannot be served.

    A box that stops or does not know the route can answer at once: it refuses.
    """
    if state.refusing:
        return LAST_RANK
    if state.configuration is None or not check_freshness(state, now):
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
    domains: dict[str, list[ForwardedUpstream]] = {}
    for engine in known:
        domains.setdefault(engine.registration.failure_domain, []).append(engine)
    return any(covers_layers(engines, pool.engine.layers) for engines in domains.values())


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
    waits = state.start_queue
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
        pace=lambda: _reading_pace(state, facts),
        is_resumed=facts.resume_after is not None,
        rank=lambda: _rank(state, facts, anyio.current_time()),
    )
    if entered is None:
        state.metrics.counters["start-queue-full"] += 1
        return 0.0
    if await _wait_for_turn(waits, entered, until - now):
        state.metrics.counters["start-queue-served"] += 1
    return anyio.current_time() - now


def _reading_pace(state: GatewayState, facts: CallerFacts) -> float:
    """Return how long the slowest engines take to read a request's prompt, in seconds."""
    if state.configuration is None or state.refusing:
        return 0.0
    profiles = [pool.engine for pool in state.configuration.pools.values() if pool.engine]
    return max((reading_seconds(item, facts.prompt_tokens) for item in profiles), default=0.0)


async def wait_for_upstreams(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    trace: RequestTrace,
    *,
    seconds: float,
    until: float,
) -> bool:
    """Let a request wait until upstreams of its pool want work again.

    Who could not be served any more then is not kept waiting, nor who comes after so many others
    that its turn would come too late.

    Args:
        state: The process's state.
        permit: What the request may do.
        request: The request.
        trace: Takes how long it waited for its turn.
        seconds: When that is likely to be, from now on.
        until: Until when it may wait, on the monotonic clock.

    Returns:
        True if its turn has come; whoever calls chooses an upstream then. False if it is to be
        refused.
    """
    now, waits = anyio.current_time(), state.upstream_queue
    if now + seconds + len(waits.queue.waiting) * waits.admission_pace.mean > until:
        return False
    look_at = now + min(seconds, LOOK_AGAIN_SECONDS)

    def rank() -> int | None:
        at = anyio.current_time()
        return (
            permit.priority if at >= look_at and _takes_requests(state, permit.pool, at) else None
        )

    entered = enter(
        waits.queue,
        size=len(request.body),
        pace=lambda: _upstream_pace(state, permit),
        is_resumed=permit.facts.resume_after is not None,
        rank=rank,
    )
    if entered is None:
        state.metrics.counters["upstream-queue-full"] += 1
        return False
    has_turn = await _wait_for_turn(waits, entered, until - now)
    if has_turn:
        trace.wait_seconds += anyio.current_time() - now
    state.metrics.counters["upstream-queue-served" if has_turn else "upstream-queue-late"] += 1
    return has_turn


def _takes_requests(state: GatewayState, pool: UpstreamPool, now: float) -> bool:
    """Tell whether upstreams of a pool want work: any service, or an engine for each layer.

    All that wait for a pool look at the same time, so that what was found is kept for a moment.
    """
    looked = state.upstream_queue.capacity_checks
    at, found = looked.get(pool.name, (float("-inf"), False))
    if now - at < LOOK_SECONDS / 2:
        return found
    known = state.table.pools.get(pool.name, [])
    if pool.engine is None:
        found = any(
            takes_work(item, now) and not is_at_most(item, now, state.entry_count) for item in known
        )
    else:
        found = covers_layers((item for item in known if is_usable(item, now)), pool.engine.layers)
    if not found:
        # Also who waits needs requests that are lent.
        request_grants(state, pool.name)
    looked[pool.name] = (now, found)
    return found


def _upstream_pace(state: GatewayState, permit: Permit) -> float:
    """Return how long the next request is to wait after one that went on, in seconds.

    What rested gets little at first: engines a prompt at a time, services what they work off, of
    all boxes together.
    """
    pool = permit.pool
    if pool.engine is not None:
        return reading_seconds(pool.engine, permit.facts.prompt_tokens)
    now = anyio.current_time()
    wanting = [item for item in state.table.pools.get(pool.name, []) if takes_work(item, now)]
    slots = sum(item.registration.slots for item in wanting)
    return answer_pace(state, pool.name).mean * state.entry_count / max(1, slots)


async def _wait_for_turn(waits: AdmissionQueue, entered: WaitingRequest, seconds: float) -> bool:
    """Wait until a request may go on; False if the time is over first."""
    turn = waits.admissions[entered.ticket] = anyio.Event()
    if len(waits.queue.waiting) == 1:
        waits.waiting_since = anyio.current_time()
    waits.has_waiting.set()
    try:
        with anyio.move_on_after(seconds):
            await turn.wait()
    finally:
        del waits.admissions[entered.ticket]
        leave(waits.queue, entered)
    return turn.is_set()


async def run_queue(waits: AdmissionQueue) -> None:
    """Let waiting requests go on, one after the other, once they can be served, for ever."""
    while True:
        if not waits.queue.waiting:
            await waits.has_waiting.wait()
            waits.has_waiting = anyio.Event()
        while waits.queue.waiting:
            await anyio.sleep(_let_next_go(waits))


def _let_next_go(waits: AdmissionQueue) -> float:
    """Let the next request go on, if any can be served.

    Returns:
        How long the one after it is to wait, in seconds.
    """
    request = next_to_go(waits.queue)
    if request is None:
        return LOOK_SECONDS
    leave(waits.queue, request)
    waits.admissions[request.ticket].set()
    now = anyio.current_time()
    if waits.queue.waiting or waits.last_admitted_at > waits.waiting_since:
        note_gap(waits.admission_pace, now - max(waits.last_admitted_at, waits.waiting_since))
    waits.last_admitted_at = now
    return request.pace()
