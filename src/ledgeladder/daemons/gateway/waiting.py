"""Queues requests that cannot be served yet, and admits them once they can.

Requests wait while the box is starting, and while no upstream that could run them accepts work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from ...routing.forwarding_table import (
    accepts_work,
    covers_layers,
    has_whole_domain,
    is_at_max_requests,
    is_usable,
)
from ...routing.pace import record_gap
from ...routing.route_index import find_route
from ...routing.wait_queue import (
    enqueue,
    next_request,
    prefill_seconds,
    remove_request,
    wait_deadline,
)
from .backpressure import request_grants
from .checks import LAST_RANK, STARTUP_SECONDS, rank_request
from .state import answer_pace, check_freshness

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...model.exchange import CallerFacts
    from ...model.traffic import UpstreamPool
    from ...routing.wait_queue import WaitingRequest
    from .checks import Permit
    from .notes import RequestTrace
    from .state import AdmissionQueue, GatewayState

POLL_SECONDS: Final = 0.01
"""Interval at which a box with waiting requests checks whether it can serve one; short compared
with the time to a first event."""

MIN_WAIT_SECONDS: Final = 0.05
"""Minimum time before a request searches for an upstream again, because a path search costs some
milliseconds of processor time."""


def is_starting(state: GatewayState, facts: CallerFacts, now: float) -> bool:
    """Return whether this box cannot serve a request yet but is likely to soon.

    That is possible only during the usual startup time. Requests that arrive while others still
    wait for admission also wait, so as not to overtake them.
    """
    if state.refusing or now >= state.started_at + STARTUP_SECONDS:
        return False
    return bool(state.start_queue.queue.waiting) or _admission_rank(state, facts, now) is None


def _admission_rank(state: GatewayState, facts: CallerFacts, now: float) -> int | None:
    """Return the rank of a request, or None while it cannot be served.

    A box that is stopping or does not know the route refuses the request, which needs no wait.
    """
    if state.refusing:
        return LAST_RANK
    if state.configuration is None or not check_freshness(state, now):
        return None
    route = find_route(state.index, facts.host, facts.path)
    if route is None:
        return LAST_RANK
    pools = [state.configuration.pools[item.pool] for item in route.pools if item.weight > 0]
    if not all(_has_enough_upstreams(state, pool) for pool in pools):
        return None
    return rank_request(state, route, facts)


def _has_enough_upstreams(state: GatewayState, pool: UpstreamPool) -> bool:
    """Return whether enough upstreams of a pool are known.

    A plain service needs one upstream. Engines must cover all layers within one failure domain;
    otherwise paths would need inter-domain hops and load the links that all requests share.
    """
    known = state.table.pools.get(pool.name, [])
    if pool.engine is None:
        return bool(known)
    return has_whole_domain(known, pool.engine.layers)


async def wait_for_start(state: GatewayState, request: HttpRequest, facts: CallerFacts) -> float:
    """Let a request wait until the box has started or the request's waiting time is used up.

    The request is checked afterwards, and refused if the box still cannot serve it. A caller that
    disconnects cancels the wait.

    Args:
        state: State of the process.
        request: The request.
        facts: Facts that its caller states.

    Returns:
        Time that it waited, in seconds; 0 if it could not wait.
    """
    now = anyio.current_time()
    admission = state.start_queue
    until = wait_deadline(
        arrived_at=request.arrived_at,
        timeout=facts.timeout,
        served_at=state.started_at + STARTUP_SECONDS,
    )
    if until <= now:
        return 0.0
    waiting_request = enqueue(
        admission.queue,
        size=len(request.body),
        release_interval=lambda: _prefill_seconds(state, facts),
        is_resumed=facts.resume_after is not None,
        rank=lambda: _admission_rank(state, facts, anyio.current_time()),
    )
    if waiting_request is None:
        state.metrics.counters["start-queue-full"] += 1
        return 0.0
    if await wait_for_admission(admission, waiting_request, until - now):
        state.metrics.counters["start-queue-served"] += 1
    return anyio.current_time() - now


def _prefill_seconds(state: GatewayState, facts: CallerFacts) -> float:
    """Return how long the slowest engines take to prefill the prompt, in seconds."""
    if state.configuration is None or state.refusing:
        return 0.0
    profiles = [pool.engine for pool in state.configuration.pools.values() if pool.engine]
    return max((prefill_seconds(item, facts.prompt_tokens) for item in profiles), default=0.0)


async def wait_for_upstreams(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    trace: RequestTrace,
    *,
    seconds: float,
    until: float,
) -> bool:
    """Let a request wait until upstreams of its pool accept work again.

    A request does not wait if it could not be served in time, either because the upstreams back off
    for too long or because too many requests wait before it.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        trace: Trace of the request, to which the waiting time is added.
        seconds: Expected time until upstreams accept work, in seconds.
        until: Monotonic time until which it may wait.

    Returns:
        True if the request is admitted and an upstream may be chosen; False if it must be refused.
    """
    now, admission = anyio.current_time(), state.upstream_queue
    if now + seconds + len(admission.queue.waiting) * admission.admission_pace.mean > until:
        return False
    check_from = now + min(seconds, MIN_WAIT_SECONDS)

    def rank() -> int | None:
        at = anyio.current_time()
        return (
            permit.priority if at >= check_from and _has_capacity(state, permit.pool, at) else None
        )

    waiting_request = enqueue(
        admission.queue,
        size=len(request.body),
        release_interval=lambda: _admission_delay(state, permit),
        is_resumed=permit.facts.resume_after is not None,
        rank=rank,
    )
    if waiting_request is None:
        state.metrics.counters["upstream-queue-full"] += 1
        return False
    is_admitted = await wait_for_admission(admission, waiting_request, until - now)
    if is_admitted:
        trace.wait_seconds += anyio.current_time() - now
    state.metrics.counters["upstream-queue-served" if is_admitted else "upstream-queue-late"] += 1
    return is_admitted


def _has_capacity(state: GatewayState, pool: UpstreamPool, now: float) -> bool:
    """Return whether upstreams of a pool accept work: any service, or an engine for each layer.

    The result is cached briefly, because all requests that wait for a pool check at the same time.
    """
    checks = state.upstream_queue.capacity_checks
    at, has_capacity = checks.get(pool.name, (float("-inf"), False))
    if now - at < POLL_SECONDS / 2:
        return has_capacity
    known = state.table.pools.get(pool.name, [])
    if pool.engine is None:
        has_capacity = any(
            accepts_work(item, now) and not is_at_max_requests(item, now, state.entry_count)
            for item in known
        )
    else:
        has_capacity = covers_layers(
            (item for item in known if is_usable(item, now)), pool.engine.layers
        )
    if not has_capacity:
        # Waiting requests need rate grants too.
        request_grants(state, pool.name)
    checks[pool.name] = (now, has_capacity)
    return has_capacity


def _admission_delay(state: GatewayState, permit: Permit) -> float:
    """Return the delay before the next admission, in seconds.

    Limits the load on upstreams after a back-off: engines get one prompt at a time, and services
    what they can complete, shared among all entry boxes.
    """
    pool = permit.pool
    if pool.engine is not None:
        return prefill_seconds(pool.engine, permit.facts.prompt_tokens)
    now = anyio.current_time()
    accepting = [item for item in state.table.pools.get(pool.name, []) if accepts_work(item, now)]
    slots = sum(item.registration.slots for item in accepting)
    return answer_pace(state, pool.name).mean * state.entry_count / max(1, slots)


async def wait_for_admission(
    admission: AdmissionQueue, waiting_request: WaitingRequest, seconds: float
) -> bool:
    """Wait until a request is admitted; return False if the wait times out first."""
    admitted = admission.admissions[waiting_request.ticket] = anyio.Event()
    if len(admission.queue.waiting) == 1:
        admission.waiting_since = anyio.current_time()
    admission.has_waiting.set()
    try:
        with anyio.move_on_after(seconds):
            await admitted.wait()
    finally:
        del admission.admissions[waiting_request.ticket]
        remove_request(admission.queue, waiting_request)
    return admitted.is_set()


async def run_queue(admission: AdmissionQueue) -> None:
    """Admit waiting requests one after the other once they can be served; runs until cancelled."""
    while True:
        if not admission.queue.waiting:
            await admission.has_waiting.wait()
            admission.has_waiting = anyio.Event()
        while admission.queue.waiting:
            await anyio.sleep(_admit_next(admission))


def _admit_next(admission: AdmissionQueue) -> float:
    """Admit the next request, if any can be served.

    Returns:
        Delay before the next call, in seconds.
    """
    request = next_request(admission.queue)
    if request is None:
        return POLL_SECONDS
    remove_request(admission.queue, request)
    admission.admissions[request.ticket].set()
    now = anyio.current_time()
    if admission.queue.waiting or admission.last_admitted_at > admission.waiting_since:
        record_gap(
            admission.admission_pace, now - max(admission.last_admitted_at, admission.waiting_since)
        )
    admission.last_admitted_at = now
    return request.release_interval()
