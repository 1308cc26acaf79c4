"""Forwards requests to plain services: chooses upstreams, retries, and returns the final answer."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final, NamedTuple

import anyio
import msgspec

from ...coordination.crash_book import CRASH_LIMIT
from ...model import Execution, Problem, ProblemError, ResultCode
from ...model.exchange import Dispatch
from ...model.traffic import RequestKind
from ...routing.attempt_counts import AttemptCounts
from ...routing.attempt_race import (
    AttemptRace,
    RunningAttempt,
    begin_attempt,
    end_attempt,
    explain_no_further_attempt,
    record_overdue,
    record_progress,
    take_silent,
)
from ...routing.forwarding_table import (
    accepts_work,
    has_alternative,
    is_at_max_requests,
    is_silent,
    is_usable,
    min_remaining_wait,
    record_event,
    record_failure,
    record_full,
    record_loss,
    record_out_of_reach,
    record_silence,
    record_success,
)
from ...routing.pace import record_gap, stall_timeout
from ...routing.paths import ChosenPath
from ...routing.rate_grants import any_limited
from ...routing.repeat_window import record_first_attempt, release_retry
from ...routing.service_choice import choose_service
from .backpressure import request_grants
from .borrowing import acquire_retry
from .checks import (
    OUT_OF_TIME,
    Permit,
    ends_with_stop,
    explain_stop_refusal,
    may_repeat,
    refusal,
    refuse_in_stop,
)
from .crashes import count_crashes, record_answered, record_crash, record_parts_answered
from .notes import content_fingerprint
from .state import answer_pace, record_duration, retry_budget
from .stream_session import EndedBy
from .upstream_call import (
    MIN_FAILURE_STATUS,
    AnswerLostError,
    BackpressureError,
    NoRoomError,
    NotSentError,
    OpenAnswer,
    is_held,
    open_answer,
    read_body,
    release_answer,
    send_answer,
)
from .waiting import wait_for_upstreams

if TYPE_CHECKING:
    from ...http1 import Exchange, HttpRequest
    from ...routing.forwarding_table import ForwardedUpstream
    from ...routing.repeat_window import Retry
    from .notes import RequestTrace
    from .state import GatewayState

logger = logging.getLogger(__name__)

FIRST_ATTEMPT_SHARE: Final = 0.6
"""Share of the target latency after which the first attempt is overdue and a repeatable request is
sent to another upstream as well, unless the service's answers usually take longer. The rest is for
the second attempt."""

WAIT_SHARE: Final = 0.5
"""Share of the target latency for which a request waits until services accept work again. The rest
is for the answer."""

MAX_REFUSALS: Final = 3
"""Upstreams that may refuse one request before it is refused to the caller."""


class _Attempts(msgspec.Struct, kw_only=True):
    """Attempts of one request so far."""

    instances: set[str] = msgspec.field(default_factory=set)
    """Instances to which sending it succeeded or failed."""

    counts: AttemptCounts = msgspec.field(default_factory=AttemptCounts)
    """Attempts so far, by how they ended."""

    race: AttemptRace = msgspec.field(default_factory=AttemptRace)
    """Attempts that run now."""

    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when an attempt ends."""

    answer: OpenAnswer | None = None
    """Latest complete answer of an upstream that ran it."""

    body: bytes | bytearray = b""
    """Body of that answer."""

    is_final: bool = False
    """Whether that answer is forwarded without waiting for a better one."""

    stop_reason: str = ""
    """Why a planned stop forbids to send it; empty if it does not."""


class _PlannedAttempt(NamedTuple):
    """An attempt that may begin."""

    upstream: ForwardedUpstream
    """Its upstream."""

    retry: Retry | None = None
    """Retry that was taken for it; None for the first attempt."""


class _AttemptEnd(NamedTuple):
    """How one attempt ended without a final answer, for the log."""

    outcome: str
    """What happened; empty if nothing is to be logged."""

    ended_by: EndedBy = EndedBy.UPSTREAM
    """Who ended it."""


async def forward_plain(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    trace: RequestTrace,
) -> None:
    """Forward a request, and send the final answer to the caller.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        exchange: Exchange on which the caller is answered.
        trace: Trace of the request, which is updated.

    Raises:
        ProblemError: If no upstream answered it.
    """
    attempts = _Attempts(counts=trace.counts)
    record_first_attempt(retry_budget(state, permit.pool.name), anyio.current_time())
    try:
        with anyio.CancelScope(deadline=permit.deadline) as scope, ends_with_stop(state, scope):
            await _run_attempts(state, permit, request, attempts, trace)
        if attempts.answer is not None:
            record_answered(state, permit, request, trace)
            record_parts_answered(state, permit)
        await _answer_caller(state, permit, request, exchange, attempts)
    finally:
        if attempts.answer is not None:
            release_answer(state, attempts.answer)


async def _run_attempts(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    trace: RequestTrace,
) -> None:
    """Send a request until its answer is final or no further attempt is possible.

    An attempt that is overdue goes on, and another one may be begun beside it.
    """
    race = attempts.race
    async with anyio.create_task_group() as tasks:
        while not attempts.is_final:
            planned: _PlannedAttempt | None = None
            if not race.running:
                planned = await _plan_attempt(state, permit, request, attempts, trace)
                if planned is None:
                    break
            elif race.needs_attempt:
                planned = await _plan_hedge(state, permit, request, attempts, trace)
            if planned is not None:
                attempt = _begin_attempt(state, permit, attempts, planned.upstream, trace)
                tasks.start_soon(
                    _run_planned, state, permit, request, attempts, attempt, planned.retry, trace
                )
            await _wait_for_change(state, permit, attempts)
        tasks.cancel_scope.cancel()


async def _wait_for_change(state: GatewayState, permit: Permit, attempts: _Attempts) -> None:
    """Wait until an attempt has ended or is overdue."""
    with anyio.CancelScope(deadline=attempts.race.next_check):
        await attempts.changed.wait()
    if attempts.changed.is_set():
        attempts.changed = anyio.Event()
    now = anyio.current_time()
    for attempt in take_silent(attempts.race, now, _first_attempt_seconds(state, permit)):
        record_silence(attempt.path.engines, now)
        record_overdue(attempt, f"no answer within {now - attempt.started_at:.2f} s")


async def _plan_attempt(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    trace: RequestTrace,
) -> _PlannedAttempt | None:
    """Choose the upstream of the next attempt while none runs, and take its retry.

    Returns:
        None if no further attempt is possible.
    """
    while (upstream := _next_upstream(state, permit, attempts)) is None:
        if not await _wait_for_capacity(state, permit, request, attempts, trace):
            return None
    attempts.stop_reason = explain_stop_refusal(state, permit, counts=attempts.counts)
    if attempts.stop_reason:
        return None
    if count_crashes(state, permit, request, trace) >= CRASH_LIMIT:
        return None
    if not attempts.counts.sent:
        return _PlannedAttempt(upstream)
    retry = await acquire_retry(state, permit.pool.name, started=False)
    return None if retry is None else _PlannedAttempt(upstream, retry)


async def _plan_hedge(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    trace: RequestTrace,
) -> _PlannedAttempt | None:
    """Choose the upstream of an attempt beside those that are overdue, and take its retry.

    Returns:
        None if none may be begun. Upstreams that are silent as well are not used.
    """
    if not _may_hedge(state, permit, attempts):
        return None
    if count_crashes(state, permit, request, trace) >= CRASH_LIMIT:
        return None
    request_grants(state, permit.pool.name)
    now, running = anyio.current_time(), attempts.race.running
    pool = _pool(state, permit)
    if not state.reach.is_cut:
        # Attempts of a box that is cut off are relayed, whatever its connections were silent about.
        pool = [item for item in pool if not is_silent(item, now)]
    if not all(has_alternative(pool, item.path.head, attempts.instances, now) for item in running):
        return None
    upstream = _choose(state, permit, attempts, pool)
    if upstream is None:
        return None
    retry = await acquire_retry(state, permit.pool.name, started=False)
    if retry is not None and (attempts.is_final or not attempts.race.needs_attempt):
        # An attempt was answered while quota was requested.
        release_retry(retry_budget(state, permit.pool.name), retry)
        return None
    return None if retry is None else _PlannedAttempt(upstream, retry)


def _may_hedge(state: GatewayState, permit: Permit, attempts: _Attempts) -> bool:
    """Return whether a request may be sent again while it may still be answered.

    One that may run once only is not, even if nothing was sent yet: that may happen later.
    """
    return not explain_no_further_attempt(
        attempts.counts,
        may_repeat=_is_repeatable(state, permit),
        max_attempts=permit.route.max_attempts,
        refusals_limit=MAX_REFUSALS,
        unsent=sum(not item.was_sent for item in attempts.race.running),
    )


def _next_upstream(
    state: GatewayState, permit: Permit, attempts: _Attempts
) -> ForwardedUpstream | None:
    """Choose the upstream for an attempt while none runs; return None for no further attempt.

    Silent upstreams are a last resort. They may be sound, so their silence counts as no failure,
    but a request that one of them accepts would likely need a retry on another one.
    """
    if explain_no_further_attempt(
        attempts.counts,
        may_repeat=_is_repeatable(state, permit),
        max_attempts=permit.route.max_attempts,
        refusals_limit=MAX_REFUSALS,
    ):
        return None
    request_grants(state, permit.pool.name)
    pool, now = _pool(state, permit), anyio.current_time()
    if any(is_silent(item, now) for item in pool):
        heard = [item for item in pool if is_usable(item, now) and not is_silent(item, now)]
        upstream = _choose(state, permit, attempts, heard)
        if upstream is not None:
            return upstream
    return _choose(state, permit, attempts, pool)


def _choose(
    state: GatewayState,
    permit: Permit,
    attempts: _Attempts,
    candidates: list[ForwardedUpstream],
) -> ForwardedUpstream | None:
    """Choose one of some upstreams that the request was not sent to yet."""
    return choose_service(
        candidates,
        anyio.current_time(),
        tried=attempts.instances,
        failure_domain=state.settings.box.failure_domain,
        sharers=state.entry_count,
        rng=state.rng,
    )


def _pool(state: GatewayState, permit: Permit) -> list[ForwardedUpstream]:
    """Return the upstreams of a request's pool."""
    return state.table.pools.get(permit.pool.name, [])


def _is_repeatable(state: GatewayState, permit: Permit) -> bool:
    """Return whether a request may run more than once; streams of plain services may not."""
    return permit.route.kind is RequestKind.REPEATABLE and may_repeat(state, permit)


async def _wait_for_capacity(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    trace: RequestTrace,
) -> bool:
    """Wait while no upstream accepts work, if time allows; return whether to try again."""
    wait = _seconds_to_capacity(state, permit)
    counts = attempts.counts
    if counts.may_have_run or counts.refused >= MAX_REFUSALS or wait is None:
        return False
    until = request.arrived_at + permit.route.target_latency * WAIT_SHARE
    if not await wait_for_upstreams(state, permit, request, trace, seconds=wait, until=until):
        return False
    attempts.instances.clear()
    return True


def _seconds_to_capacity(state: GatewayState, permit: Permit) -> float | None:
    """Return the expected time until a service of the pool accepts work again, in seconds.

    A saturated service accepts work once it has answered a request.

    Returns:
        None if no service applies back-pressure, or if one accepts work now.
    """
    now = anyio.current_time()
    if _has_saturated(state, permit):
        return answer_pace(state, permit.pool.name).mean
    return min_remaining_wait(_pool(state, permit), now)


def _begin_attempt(
    state: GatewayState,
    permit: Permit,
    attempts: _Attempts,
    upstream: ForwardedUpstream,
    trace: RequestTrace,
) -> RunningAttempt:
    """Add an attempt; only the first that counts is checked for silence."""
    now, instance = anyio.current_time(), upstream.registration.instance
    is_first = attempts.counts.counted == 0 and not attempts.race.running
    attempt = RunningAttempt(
        path=ChosenPath(parts=(), engines=(upstream,), cost=0.0),
        started_at=now,
        check_at=now + _first_attempt_seconds(state, permit) if is_first else math.inf,
    )
    begin_attempt(attempts.race, attempt)
    attempts.instances.add(instance)
    trace.attempts += 1
    trace.path = [instance]
    return attempt


async def _run_planned(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    attempt: RunningAttempt,
    retry: Retry | None,
    trace: RequestTrace,
) -> None:
    """Run an attempt, and return its retry if nothing was sent."""
    try:
        with anyio.CancelScope() as scope:
            attempt.stop = scope.cancel
            await _run_attempt(state, permit, request, attempts, attempt, trace)
    finally:
        end_attempt(attempts.race, attempt)
        attempts.changed.set()
        if retry is not None and not attempt.was_sent:
            release_retry(retry_budget(state, permit.pool.name), retry)


async def _run_attempt(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    attempt: RunningAttempt,
    trace: RequestTrace,
) -> None:
    """Send a request to one upstream, and evaluate its answer."""
    upstream, started_at = attempt.path.head, attempt.started_at
    heard_at = started_at
    refused = False
    end = _AttemptEnd("")
    answer: OpenAnswer | None = None
    upstream.in_flight += 1
    try:
        answer = await _open(state, permit, request, attempts, attempt, trace)
        heard_at = anyio.current_time()
        body = await read_body(state, answer)
        record_gap(answer_pace(state, permit.pool.name), anyio.current_time() - started_at)
        refused = answer.facts.not_run
        end = _evaluate(state, attempts, attempt, answer, body, trace)
    except NotSentError as error:
        end = _AttemptEnd(f"not sent: {error}", EndedBy.BOX)
        if error.is_inconclusive:
            record_out_of_reach(upstream, anyio.current_time())
        else:
            record_loss(upstream, anyio.current_time())
    except BackpressureError as error:
        end = _AttemptEnd(f"withheld: {error}", EndedBy.BOX)
    except NoRoomError as error:
        end = _AttemptEnd(f"lost: {error}", EndedBy.BOX)
        state.metrics.counters["answer-no-room"] += 1
    except AnswerLostError as error:
        end = _AttemptEnd(f"lost: {error}")
        record_failure(upstream, anyio.current_time())
        # Imported here because few answers are lost.
        from .probing import check_exited

        if await check_exited(state, upstream, set()):
            record_crash(state, permit, request, trace, [upstream], started_at)
    except anyio.get_cancelled_exc_class():
        end = _evaluate_cancellation(state, permit, attempt)
        raise
    finally:
        upstream.in_flight -= 1
        if answer is not None and answer is not attempts.answer:
            release_answer(state, answer)
        if end.outcome:
            state.metrics.counters["try-failed"] += 1
            logger.warning(
                "attempt failed",
                extra={
                    "request": permit.facts.attempt_id,
                    "content": content_fingerprint(trace, request, permit).hex(),
                    "upstream": upstream.registration.instance,
                    "outcome": end.outcome,
                    "ended_by": end.ended_by.value,
                    "tries": attempts.counts.sent,
                    "may_have_run": attempt.was_sent and not refused,
                    "silent_for": round(anyio.current_time() - heard_at, 3),
                    "began_with": permit.version,
                    "version": state.version,
                },
            )


def _evaluate_cancellation(
    state: GatewayState, permit: Permit, attempt: RunningAttempt
) -> _AttemptEnd:
    """Return how an attempt ended that was cancelled; silence is no failure of its upstream."""
    if attempt.stopped is not None:
        return _AttemptEnd(attempt.stopped.value, EndedBy.BOX)
    now = anyio.current_time()
    if now < permit.deadline:
        if state.out_of_time:
            return _AttemptEnd(OUT_OF_TIME, EndedBy.BOX)
        return _AttemptEnd("", EndedBy.CALLER)
    return _AttemptEnd(f"no answer within {now - attempt.started_at:.2f} s", EndedBy.CALLER)


async def _open(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    attempt: RunningAttempt,
    trace: RequestTrace,
) -> OpenAnswer:
    """Send a request to an upstream and wait for the head of its answer.

    Raises:
        NotSentError: If nothing was sent.
        BackpressureError: If the upstream no longer accepts it.
        AnswerLostError: If the request may have run and no complete answer arrived.
    """
    upstream = attempt.path.head

    def record_sent() -> None:
        attempt.was_sent = True
        attempts.counts.record_sent()

    dispatch = Dispatch(
        instance=upstream.registration.instance,
        account=permit.account,
        timeout=permit.deadline - anyio.current_time(),
        priority=permit.priority,
    )
    is_repeatable, was_unheard = permit.route.kind is RequestKind.REPEATABLE, _is_unheard(upstream)
    answer = await open_answer(
        state,
        permit,
        request,
        dispatch,
        upstream,
        fresh_connection=not is_repeatable or was_unheard,
        record_sent=record_sent,
        trace=trace,
    )
    try:
        await _record_heard(state, upstream, answer, was_unheard=was_unheard)
    except BaseException:
        await answer.connection.close()
        raise
    return answer


def _is_unheard(upstream: ForwardedUpstream) -> bool:
    """Return whether an upstream has answered nothing since an attempt was overdue.

    Its idle connections may have stalled permanently while new ones work.
    """
    return upstream.silent_at > upstream.last_event_at


async def _record_heard(
    state: GatewayState, upstream: ForwardedUpstream, answer: OpenAnswer, *, was_unheard: bool
) -> None:
    """Record an answer as a sign of life of its upstream.

    If nothing was heard when its connection was opened, and no older connection has answered since,
    idle ones have likely stalled and are closed.
    """
    if answer.facts.wrong_upstream:
        return
    may_have_stalled = was_unheard and _is_unheard(upstream)
    record_event(upstream, anyio.current_time())
    if may_have_stalled:
        await state.connections.close_idle(upstream.registration.address)


def _first_attempt_seconds(state: GatewayState, permit: Permit) -> float:
    """Return after how long the first attempt is overdue, in seconds.

    It is based on the mean and deviation of the service's answer times, but not shorter than a
    share of the route's target latency.
    """
    pace = answer_pace(state, permit.pool.name)
    usual = stall_timeout(pace) if pace.mean > 0 else 0.0
    return max(permit.route.target_latency * FIRST_ATTEMPT_SHARE, usual)


def _evaluate(
    state: GatewayState,
    attempts: _Attempts,
    attempt: RunningAttempt,
    answer: OpenAnswer,
    body: bytes | bytearray,
    trace: RequestTrace,
) -> _AttemptEnd:
    """Evaluate a complete answer, which is final unless it is a failure.

    Raises:
        AnswerLostError: If the upstream did not sign it.
    """
    upstream, now = attempt.path.head, anyio.current_time()
    status = answer.head.status_code
    if answer.facts.not_run:
        attempts.counts.record_refused()
        if answer.facts.wrong_upstream:
            record_failure(upstream, now)
        else:
            record_full(upstream, now)
        return _AttemptEnd(f"refused with status {status}")
    if not answer.facts.signed:
        # An unsigned answer may come from another process.
        raise AnswerLostError(f"unsigned answer with status {status}")
    if attempt.stopped is not None:
        return _AttemptEnd(attempt.stopped.value, EndedBy.BOX)
    if attempts.answer is not None:
        release_answer(state, attempts.answer)
    attempts.answer, attempts.body = answer, body
    trace.path = [upstream.registration.instance]
    trace.relayed_by = answer.connection.relayed_by
    if status < MIN_FAILURE_STATUS:
        record_success(upstream)
        attempts.is_final = record_progress(attempts.race, attempt)
    return _AttemptEnd("")


def _has_saturated(state: GatewayState, permit: Permit) -> bool:
    """Return whether any service of the pool is excluded because it is saturated."""
    now = anyio.current_time()
    return any(
        accepts_work(item, now) and is_at_max_requests(item, now, state.entry_count)
        for item in _pool(state, permit)
    )


async def _answer_caller(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    attempts: _Attempts,
) -> None:
    """Send the latest complete answer to the caller, even a failed one, or refuse the request.

    Raises:
        ProblemError: If no upstream gave a complete answer.
    """
    if attempts.answer is not None and is_held(state, attempts.answer):
        record_duration(state.metrics.answer, anyio.current_time() - request.arrived_at)
        await send_answer(exchange, permit, attempts.answer, attempts.body)
        return
    if not attempts.counts.may_have_run:
        if attempts.stop_reason or state.out_of_time:
            raise refuse_in_stop(attempts.stop_reason or OUT_OF_TIME)
        pool, now = _pool(state, permit), anyio.current_time()
        wait = min_remaining_wait(pool, now)
        if wait is not None:
            is_limited = any_limited([item.limit for item in pool], now)
            code = ResultCode.UPSTREAMS_LIMITED if is_limited else ResultCode.UPSTREAMS_RESTING
            raise refusal(code, f"all of {permit.pool.name}", wait)
        if _has_saturated(state, permit):
            raise refusal(ResultCode.QUEUE_FULL, f"as much on {permit.pool.name} as it takes")
        refused = attempts.counts.refused
        if refused:
            raise refusal(ResultCode.UPSTREAM_REFUSED, f"{refused} upstreams refused")
        raise refusal(ResultCode.NO_ROUTE, f"no upstream of {permit.pool.name}", 0.5)
    is_late = anyio.current_time() >= permit.deadline
    code = ResultCode.DEADLINE_EXCEEDED if is_late else ResultCode.UPSTREAM_LOST
    detail = f"sent {attempts.counts.sent} times without a whole answer"
    if state.out_of_time and not is_late:
        detail = f"{OUT_OF_TIME}; {detail}"
    raise ProblemError(Problem(code=code, detail=detail, execution=Execution.UNKNOWN))
