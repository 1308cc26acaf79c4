"""Admits new streams to pools whose room is shared by priority."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...model import ResultCode
from ...routing.admission_level import AdmissionLevel, can_rise_to, decide
from ...routing.admission_view import AdmissionView, SettledRoom, update_settled
from ...routing.fleet_demand import demand_age, pool_demand, record_admitted, record_asked
from ...routing.layer_coverage import usual_tokens
from ...routing.load_sharing import LOAD_VALID_SECONDS
from ...routing.pool_room import pool_room
from ...routing.room_wait import is_place_expected, room_wait_deadline
from ...routing.wait_queue import enqueue
from .checks import refusal
from .retry_after import retry_after_full
from .state import RoomView
from .stream_paths import count_sharers
from .waiting import POLL_SECONDS, wait_for_admission

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...model import ProblemError
    from ...model.traffic import EngineProfile
    from ...routing.admission_level import AdmissionDecision
    from .checks import Permit
    from .state import GatewayState
    from .stream_session import StreamSession

MIN_VIEW_SECONDS: Final = 0.1
"""Minimum time for which a view of a pool is used; a part of the interval of load reports."""

VIEW_SECONDS_PER_ENGINE: Final = 0.0005
"""Time per engine for which a view is used, which limits computing it to about a hundredth of a
core. Load reports of a fleet with that many engines come less often than that."""

ADMISSION_OFF: Final = "off"
"""Value of `gateway.admission` that admits all requests."""

logger = logging.getLogger(__name__)


async def admit_stream(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    expected: int,
) -> None:
    """Admit a stream at once or after a short wait, or refuse it.

    Streams that are resumed, and those for pools that do not share their room by priority, are
    admitted without a decision.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        session: The caller's stream.
        expected: Expected number of answer tokens.

    Raises:
        ProblemError: If it is refused. No upstream has run it.
    """
    pool, profile = permit.pool.name, permit.pool.engine
    if pool not in state.contended or permit.facts.resume_after is not None or profile is None:
        return
    now = anyio.current_time()
    tokens = permit.facts.prompt_tokens + expected
    record_asked(
        state.demand,
        pool=pool,
        priority=permit.priority,
        account=permit.account,
        tokens=float(tokens),
        now=now,
    )
    if state.settings.gateway.admission == ADMISSION_OFF:
        record_admitted(state.demand, pool=pool, priority=permit.priority, now=now)
        return
    draw = state.rng.random()
    decision = _decide(state, permit, profile, draw)
    waited = 0.0
    if not decision.admitted:
        is_admitted = await _wait_for_room(state, permit, request, decision, draw)
        waited = anyio.current_time() - now
        session.trace.wait_seconds += waited
        if not is_admitted:
            raise _refuse(state, permit, decision, waited)
        _log(permit, decision, decided="waited", waited=waited)
    kind = "admitted" if decision.admitted else "waited"
    state.metrics.counters[f"admission-{kind}-p{permit.priority}"] += 1
    record_admitted(state.demand, pool=pool, priority=permit.priority, now=anyio.current_time())
    _current_view(state, permit, profile).taken += tokens / usual_tokens(profile)


def _current_view(state: GatewayState, permit: Permit, profile: EngineProfile) -> RoomView:
    """Return the view of a pool, which is computed anew when it has expired."""
    pool, now = permit.pool.name, anyio.current_time()
    view = state.room.views.get(pool)
    engines = state.table.pools.get(pool, [])
    valid_seconds = max(MIN_VIEW_SECONDS, len(engines) * VIEW_SECONDS_PER_ENGINE)
    if view is not None and now - view.at < valid_seconds:
        return view
    reported_at = max((item.peer_load_at for item in engines), default=-math.inf)
    room = pool_room(profile, engines, now, count_sharers(state, pool))
    settled = state.room.settled.setdefault(pool, SettledRoom())
    view = RoomView(
        at=now,
        room=room,
        settled=update_settled(settled, room, state.stream_pace.mean, now),
        load_age=min(now - reported_at, LOAD_VALID_SECONDS) if state.entry_count > 1 else 0.0,
        demand=pool_demand(state.demand, pool, now, state.entry_count),
    )
    state.room.views[pool] = view
    return view


def _decide(
    state: GatewayState, permit: Permit, profile: EngineProfile, draw: float
) -> AdmissionDecision:
    """Decide on a request with the current view of its pool."""
    now = anyio.current_time()
    known = _current_view(state, permit, profile)
    age = demand_age(state.demand, now)
    room = msgspec.structs.replace(known.room, free=max(0.0, known.room.free - known.taken))
    view = AdmissionView(
        room=room,
        demand=known.demand,
        demand_age=math.inf if age is None else age,
        horizon=known.load_age + now - known.at + permit.route.target_latency,
        settled=known.settled,
        stream_seconds=state.stream_pace.mean,
        usual_tokens=usual_tokens(profile),
    )
    level = state.room.levels.setdefault((permit.pool.name, permit.priority), AdmissionLevel())
    return decide(view, level, priority=permit.priority, account=permit.account, draw=draw, now=now)


async def _wait_for_room(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    decision: AdmissionDecision,
    draw: float,
) -> bool:
    """Let a request wait for room; return False if it gets none or must not wait.

    A box that stops has little time left to serve requests: it lets none wait, and those that wait
    already go ahead.
    """
    profile = permit.pool.engine
    assert profile is not None
    now = anyio.current_time()
    queue, key = state.room.queue, (permit.pool.name, permit.priority)
    until = room_wait_deadline(
        arrived_at=request.arrived_at,
        deadline=permit.deadline,
        stream_seconds=state.stream_pace.mean,
    )
    if state.stopping or until <= now or not can_rise_to(decision, draw, until - now):
        return False
    if not is_place_expected(
        _current_view(state, permit, profile).demand,
        priority=permit.priority,
        seconds=until - now,
        ahead=_count_ahead(state, permit),
        entries=state.entry_count,
    ):
        return False
    waiting_request = enqueue(
        queue.queue,
        size=len(request.body),
        release_interval=lambda: POLL_SECONDS,
        is_resumed=False,
        rank=lambda: (
            permit.priority
            if state.stopping or _decide(state, permit, profile, draw).admitted
            else None
        ),
        deadline=permit.deadline,
    )
    if waiting_request is None:
        return False
    state.room.waiting[key] += 1
    try:
        return await wait_for_admission(queue, waiting_request, until - now)
    finally:
        state.room.waiting[key] -= 1


def _count_ahead(state: GatewayState, permit: Permit) -> int:
    """Return how many requests wait for the same pool and are as urgent or more."""
    return sum(
        count
        for (pool, priority), count in state.room.waiting.items()
        if pool == permit.pool.name and priority <= permit.priority
    )


def _refuse(
    state: GatewayState, permit: Permit, decision: AdmissionDecision, waited: float
) -> ProblemError:
    """Count and log a refusal, and return it."""
    state.metrics.counters[f"admission-refused-p{permit.priority}"] += 1
    retry_after = retry_after_full(state, permit)
    _log(permit, decision, decided="refused", waited=waited, retry_after=retry_after)
    detail = f"no room at {permit.pool.name} for priority {permit.priority}: {decision.reason}"
    return refusal(ResultCode.OUT_OF_ROOM, detail, retry_after)


def _log(
    permit: Permit,
    decision: AdmissionDecision,
    *,
    decided: str,
    waited: float,
    retry_after: float | None = None,
) -> None:
    """Write the log line of a decision that is not a plain admission."""
    age = decision.demand_age
    logger.info(
        "admission",
        extra={
            "request": permit.facts.attempt_id,
            "pool": permit.pool.name,
            "priority": permit.priority,
            "account": permit.account,
            "decision": decided,
            "reason": decision.reason.value,
            "free": round(decision.free, 1),
            "reserved": round(decision.reserved, 1),
            # JSON has no infinity, which the age is until totals arrive.
            "demand_age": round(age, 2) if age < math.inf else None,
            "class_share": round(decision.class_share, 3),
            "account_share": round(decision.account_share, 3),
            "waited": round(waited, 3),
            "retry_after": None if retry_after is None else round(retry_after, 2),
        },
    )
