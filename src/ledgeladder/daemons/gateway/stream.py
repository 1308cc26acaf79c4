"""Forwarding of streams over paths of engines, with failover when an engine is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...model import Execution, Problem, ProblemError, ResultCode
from ...routing.attempt_race import begin_attempt, end_attempt
from ...routing.event_stream import EventOrder
from ...routing.pace import record_gap
from ...routing.repeat_window import record_first_attempt, release_retry
from ...routing.stream_patience import stream_timeouts
from .checks import OUT_OF_TIME, Permit, ends_with_stop, refusal, refuse_in_stop
from .crashes import ANSWERED_EVENTS, record_answered, record_parts_answered
from .reaching import probe_timeout
from .state import retry_budget
from .stream_attempt import run_attempt
from .stream_paths import (
    RETRIES_SPENT,
    acquire_planned_retry,
    choose_attempt_path,
    drop_planned,
    expected_answer_tokens,
    explain_missing_path,
    explain_no_attempt,
)
from .stream_session import (
    AttemptResult,
    PlannedAttempt,
    StreamSession,
    plan_attempt,
    track_stream,
)
from .upstream_call import is_held, release_answer, send_answer
from .waiting import wait_for_upstreams

if TYPE_CHECKING:
    from ...http1 import Exchange, HttpRequest
    from .notes import RequestTrace
    from .state import GatewayState


async def forward_stream(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    trace: RequestTrace,
) -> None:
    """Forward a stream until it completes or no further attempt is possible.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        exchange: The exchange with the caller.
        trace: Collects data on the request for its log line.

    Raises:
        ProblemError: If it fails before the response head was sent to the caller.
    """
    profile = permit.pool.engine
    assert profile is not None
    expected = expected_answer_tokens(permit, profile)
    session = StreamSession(
        order=EventOrder(last_id=permit.facts.resume_after),
        timeouts=stream_timeouts(
            target_latency=permit.route.target_latency,
            gap_target=permit.route.gap_target,
            probe_seconds=probe_timeout(state, permit.pool.name),
            first_seconds=state.first_event_pace.mean,
        ),
        tokens=permit.facts.prompt_tokens + expected,
        last_progress_at=request.arrived_at,
        trace=trace,
        record_prompt_answered=lambda: record_parts_answered(state, permit),
        resumed=permit.facts.resume_after is not None,
    )
    trace.counts = session.attempts
    if permit.pool.name in state.contended:
        # Imported here because only contended pools need it.
        from .admission import admit_stream

        await admit_stream(state, permit, request, session, expected)
    try:
        with track_stream(state, permit.pool.name, session, request.arrived_at):
            try:
                timed_out = await _run_attempts(state, permit, request, exchange, session, expected)
            finally:
                if session.next_attempt is not None:
                    drop_planned(state, permit, session, session.next_attempt)
        if not session.complete:
            await _finish(state, permit, exchange, session, timed_out=timed_out)
    finally:
        if session.failure is not None:
            release_answer(state, session.failure)


async def _run_attempts(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    session: StreamSession,
    expected: int,
) -> bool:
    """Send the request until it completes or no further attempt is possible.

    An attempt that is overdue goes on, and another one may be begun beside it.

    Returns:
        Whether its deadline passed.
    """
    trace = session.trace
    record_first_attempt(retry_budget(state, permit.pool.name), anyio.current_time())
    seconds = max(0.0, permit.deadline - anyio.current_time())
    with anyio.move_on_after(seconds) as scope, ends_with_stop(state, scope):
        async with anyio.create_task_group() as tasks:
            while not session.complete:
                is_running = bool(session.race.running)
                if is_running:
                    planned = await _plan_beside(state, permit, request, session)
                else:
                    planned = await _plan_attempt(state, permit, request, session, expected)
                if planned is not None:
                    planned.attempt.started_at = anyio.current_time()
                    begin_attempt(session.race, planned.attempt)
                    tasks.start_soon(
                        _run_planned, state, permit, request, exchange, session, planned
                    )
                elif not is_running:
                    break
                await session.changed.wait()
                session.changed = anyio.Event()
            # Attempts that another one superseded have been stopped, and end by themselves.
    if scope.cancelled_caught and state.out_of_time:
        trace.give_up_reason = OUT_OF_TIME
        return False
    return scope.cancelled_caught


async def _plan_beside(
    state: GatewayState, permit: Permit, request: HttpRequest, session: StreamSession
) -> PlannedAttempt | None:
    """Plan an attempt beside those that run, if all of them are overdue."""
    if not session.race.needs_attempt:
        return None
    # Imported here because few attempts are overdue.
    from .stream_hedging import plan_hedge

    return await plan_hedge(state, permit, request, session)


async def _plan_attempt(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    expected: int,
) -> PlannedAttempt | None:
    """Choose the path of the next attempt while none runs, and take its retry.

    Returns:
        None if no further attempt is possible.
    """
    planned, session.next_attempt = session.next_attempt, None
    if planned is not None:
        return planned
    profile, trace = permit.pool.engine, session.trace
    assert profile is not None
    while not (reason := explain_no_attempt(state, permit, request, session)):
        path = choose_attempt_path(state, permit, profile, session, expected)
        if path is None:
            session.missing = explain_missing_path(state, permit, profile, session, expected)
            if await _wait_for_engines(state, permit, request, session, trace):
                continue
            reason = str(session.missing)
            break
        attempt = plan_attempt(session, path)
        if not session.attempts.sent:
            return PlannedAttempt(attempt)
        retry = await acquire_planned_retry(state, permit, session, attempt)
        if retry is not None:
            return PlannedAttempt(attempt, retry)
        reason = RETRIES_SPENT
        break
    trace.give_up_reason = reason
    return None


async def _run_planned(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    session: StreamSession,
    planned: PlannedAttempt,
) -> None:
    """Run an attempt, and record whether it completed the stream."""
    attempt = planned.attempt
    try:
        result = await run_attempt(state, permit, request, exchange, session, attempt)
    finally:
        end_attempt(session.race, attempt)
        if planned.retry is not None and not attempt.was_sent:
            release_retry(retry_budget(state, permit.pool.name), planned.retry)
        session.changed.set()
    session.was_hedge_refused = result is AttemptResult.REFUSED and bool(session.race.running)
    if result is AttemptResult.COMPLETE:
        record_answered(state, permit, request, session.trace)
        if attempt.events < ANSWERED_EVENTS:
            record_parts_answered(state, permit)
        record_gap(state.stream_pace, anyio.current_time() - request.arrived_at)
        session.complete = True


async def _wait_for_engines(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    trace: RequestTrace,
) -> bool:
    """Wait for engines that are backing off or rate-limited; return True if one may be available.

    Requests that cannot be served within the latency target do not wait: queueing them would delay
    newer requests beyond the target as well.
    """
    wait = session.missing.wait_seconds if session.missing is not None else None
    if wait is None:
        return False
    timeouts = session.timeouts
    until = session.last_progress_at + (
        timeouts.gap_probe if session.started else timeouts.first_probe
    )
    return await wait_for_upstreams(state, permit, request, trace, seconds=wait, until=until)


async def _finish(
    state: GatewayState,
    permit: Permit,
    exchange: Exchange,
    session: StreamSession,
    *,
    timed_out: bool,
) -> None:
    """Send the final response if the caller has no response head yet.

    Raises:
        ProblemError: If there is no error response of an engine to forward. It states that the
            request was not executed only if every attempt was refused or could not be sent.
    """
    if session.started:
        # Closing the connection signals a truncated response to the caller.
        return
    if session.failure is not None and is_held(state, session.failure):
        await send_answer(exchange, permit, session.failure, session.failure_body)
        return
    attempts = session.attempts
    if not attempts.may_have_run:
        if session.stop_reason or state.out_of_time:
            raise refuse_in_stop(session.stop_reason or OUT_OF_TIME)
        # Imported here because only refused requests need it.
        from .retry_after import retry_after_full, retry_after_no_path

        missing = session.missing
        if missing is not None and missing.wait_seconds is not None:
            is_limited = missing.is_rate_limited
            code = ResultCode.UPSTREAMS_LIMITED if is_limited else ResultCode.UPSTREAMS_RESTING
            raise refusal(code, session.trace.give_up_reason, missing.wait_seconds)
        if attempts.refused:
            detail = f"{attempts.refused} paths refused; {session.trace.give_up_reason}"
            raise refusal(ResultCode.UPSTREAM_REFUSED, detail, retry_after_full(state, permit))
        detail = f"no path over {permit.pool.name}; {session.trace.give_up_reason}"
        raise refusal(
            ResultCode.NO_ROUTE, detail, retry_after_no_path(state, permit, session.missing)
        )
    code = ResultCode.DEADLINE_EXCEEDED if timed_out else ResultCode.UPSTREAM_LOST
    detail = f"sent {attempts.sent} times without a first event"
    if state.out_of_time:
        detail = f"{OUT_OF_TIME}; {detail}"
    raise ProblemError(Problem(code=code, detail=detail, execution=Execution.UNKNOWN))
