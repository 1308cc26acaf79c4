"""Forwards requests to plain services: chooses upstreams, retries, and returns the final answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...coordination.crash_book import CRASH_LIMIT
from ...model import Execution, Problem, ProblemError, ResultCode
from ...model.exchange import Dispatch
from ...model.traffic import RequestKind
from ...platform.exchange import caller_headers
from ...routing.attempt_counts import AttemptCounts
from ...routing.forwarding_table import (
    accepts_work,
    has_alternative,
    is_at_max_requests,
    min_remaining_wait,
    record_failure,
    record_full,
    record_loss,
    record_out_of_reach,
    record_success,
)
from ...routing.pace import record_gap, stall_timeout
from ...routing.rate_grants import any_limited
from ...routing.repeat_window import record_first_attempt, release_retry
from ...routing.service_choice import choose_service
from .backpressure import request_grants
from .borrowing import acquire_retry
from .checks import Permit, may_repeat, refusal
from .crashes import count_crashes, record_answered, record_crash, record_parts_answered
from .notes import content_fingerprint
from .state import answer_pace, record_duration, retry_budget
from .upstream_call import (
    MIN_FAILURE_STATUS,
    AnswerLostError,
    BackpressureError,
    NotSentError,
    OpenAnswer,
    open_answer,
    read_body,
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
"""Share of the target latency after which a repeatable request is retried on another upstream,
unless the service's answers usually take longer. The rest is for the second attempt."""

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

    retry: Retry | None = None
    """Retry that was acquired before an attempt was cancelled, and is not used yet."""

    answer: OpenAnswer | None = None
    """Latest complete answer of an upstream that ran it."""

    body: bytes = b""
    """Body of that answer."""


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
    budget = retry_budget(state, permit.pool.name)
    record_first_attempt(budget, anyio.current_time())
    with anyio.move_on_after(max(0.0, permit.deadline - anyio.current_time())):
        while True:
            upstream = _next_upstream(state, permit, attempts)
            if upstream is None:
                if await _wait_for_capacity(state, permit, request, attempts, trace):
                    continue
                break
            crashes = count_crashes(state, permit, request, trace)
            if crashes >= CRASH_LIMIT:
                break
            sent_before = attempts.counts.sent
            retry = await _next_retry(state, permit, attempts)
            if sent_before and retry is None:
                break
            trace.attempts += 1
            trace.path = [upstream.registration.instance]
            if await _run_attempt(state, permit, request, attempts, upstream, trace):
                break
            if retry is not None and attempts.counts.sent == sent_before:
                release_retry(budget, retry)
    if attempts.retry is not None:
        release_retry(budget, attempts.retry)
    if attempts.answer is not None:
        record_answered(state, permit, request, trace)
        record_parts_answered(state, permit)
    await _answer_caller(state, permit, request, exchange, attempts)


async def _next_retry(state: GatewayState, permit: Permit, attempts: _Attempts) -> Retry | None:
    """Return the retry for the next attempt; None for the first attempt, or if no retry is left."""
    retry, attempts.retry = attempts.retry, None
    if retry is not None or not attempts.counts.sent:
        return retry
    return await acquire_retry(state, permit.pool.name, started=False)


def _next_upstream(
    state: GatewayState, permit: Permit, attempts: _Attempts
) -> ForwardedUpstream | None:
    """Choose the upstream for the next attempt; return None for no further attempt."""
    is_repeatable = _is_repeatable(state, permit)
    counts = attempts.counts
    if counts.may_have_run and (not is_repeatable or counts.counted >= permit.route.max_attempts):
        return None
    if counts.refused >= MAX_REFUSALS:
        return None
    request_grants(state, permit.pool.name)
    return choose_service(
        state.table.pools.get(permit.pool.name, []),
        anyio.current_time(),
        tried=attempts.instances,
        failure_domain=state.settings.box.failure_domain,
        sharers=state.entry_count,
        rng=state.rng,
    )


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
    pool = state.table.pools.get(permit.pool.name, [])
    if _has_saturated(state, permit):
        return answer_pace(state, permit.pool.name).mean
    return min_remaining_wait(pool, now)


async def _run_attempt(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    attempts: _Attempts,
    upstream: ForwardedUpstream,
    trace: RequestTrace,
) -> bool:
    """Send a request to one upstream; return True if its answer is final.

    The first attempt of a repeatable request gets only a share of the time, to leave room for a
    retry.
    """
    instance = upstream.registration.instance
    attempts.instances.add(instance)
    is_repeatable = _is_repeatable(state, permit)
    now = anyio.current_time()
    seconds = permit.deadline - now
    pool = state.table.pools.get(permit.pool.name, [])
    may_retry = is_repeatable and attempts.counts.counted == 0 and permit.route.max_attempts > 1
    if may_retry and has_alternative(pool, upstream, attempts.instances, now):
        seconds = min(seconds, _first_attempt_seconds(state, permit))
    dispatch = Dispatch(
        instance=instance,
        account=permit.account,
        timeout=permit.deadline - now,
        priority=permit.priority,
    )
    counts = attempts.counts
    sent_before, refused_before = counts.sent, counts.refused
    upstream.in_flight += 1
    outcome = "answered"
    try:
        answer, body = await _send(
            state, permit, request, dispatch, upstream, attempts, seconds, trace
        )
        record_gap(answer_pace(state, permit.pool.name), anyio.current_time() - now)
        if answer.facts.not_run:
            outcome = f"refused with status {answer.head.status_code}"
        return _evaluate(attempts, upstream, answer, body)
    except NotSentError as error:
        outcome = f"not sent: {error}"
        if error.is_inconclusive:
            record_out_of_reach(upstream, anyio.current_time())
        else:
            record_loss(upstream, anyio.current_time())
        return False
    except BackpressureError as error:
        outcome = f"withheld: {error}"
        return False
    except AnswerLostError as error:
        outcome = f"lost: {error}"
        record_failure(upstream, anyio.current_time())
        # Imported here because few answers are lost.
        from .probing import check_exited

        if await check_exited(state, upstream, set()):
            record_crash(state, permit, request, trace, [upstream], now)
        return False
    except TimeoutError:
        outcome = f"no answer within {seconds:.2f} s"
        record_failure(upstream, anyio.current_time())
        # Existing connections may have stalled permanently while new ones work, so idle ones are
        # closed.
        await state.connections.close_idle(upstream.registration.address)
        return False
    finally:
        upstream.in_flight -= 1
        if outcome != "answered":
            was_refused = counts.refused > refused_before
            state.metrics.counters["try-failed"] += 1
            logger.warning(
                "attempt failed",
                extra={
                    "request": permit.facts.attempt_id,
                    "content": content_fingerprint(trace, request, permit).hex(),
                    "upstream": instance,
                    "outcome": outcome,
                    "tries": counts.sent,
                    "may_have_run": counts.sent > sent_before and not was_refused,
                },
            )


async def _send(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    dispatch: Dispatch,
    upstream: ForwardedUpstream,
    attempts: _Attempts,
    seconds: float,
    trace: RequestTrace,
) -> tuple[OpenAnswer, bytes]:
    """Send a request to an upstream and read its complete answer.

    Raises:
        NotSentError: If nothing was sent.
        BackpressureError: If the upstream no longer accepts it.
        AnswerLostError: If the request may have run and no complete answer arrived.
        TimeoutError: If no answer arrived in time.
    """
    answer: tuple[OpenAnswer, bytes] | None = None
    failure: Exception = TimeoutError()
    fresh = permit.route.kind is not RequestKind.REPEATABLE
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_late_attempt, state, permit, attempts, seconds, tasks.cancel_scope)
        try:
            opened = await open_answer(
                state,
                permit,
                request,
                dispatch,
                upstream,
                fresh_connection=fresh,
                record_sent=attempts.counts.record_sent,
                trace=trace,
            )
            answer = opened, await read_body(state, opened)
        except (NotSentError, BackpressureError, AnswerLostError) as error:
            # Raised below, because the task group would wrap it in an exception group.
            failure = error
        tasks.cancel_scope.cancel()
    if answer is None:
        raise failure
    return answer


async def _cancel_late_attempt(
    state: GatewayState,
    permit: Permit,
    attempts: _Attempts,
    seconds: float,
    scope: anyio.CancelScope,
) -> None:
    """Cancel an attempt after a timeout if a retry is available, or else at the deadline.

    Without a retry, only the late answer of this attempt can still be returned.
    """
    await anyio.sleep(seconds)
    left = permit.deadline - anyio.current_time()
    if left > 0:
        attempts.retry = await acquire_retry(state, permit.pool.name, started=False)
        if attempts.retry is None:
            await anyio.sleep(left)
    scope.cancel()


def _first_attempt_seconds(state: GatewayState, permit: Permit) -> float:
    """Return the timeout of the first of two attempts, in seconds.

    It is based on the mean and deviation of the service's answer times, but not shorter than a
    share of the route's target latency.
    """
    pace = answer_pace(state, permit.pool.name)
    usual = stall_timeout(pace) if pace.mean > 0 else 0.0
    return max(permit.route.target_latency * FIRST_ATTEMPT_SHARE, usual)


def _evaluate(
    attempts: _Attempts, upstream: ForwardedUpstream, answer: OpenAnswer, body: bytes
) -> bool:
    """Evaluate a complete answer; return True if it is final.

    Raises:
        AnswerLostError: If the upstream did not sign it.
    """
    now = anyio.current_time()
    status = answer.head.status_code
    if answer.facts.not_run:
        attempts.counts.record_refused()
        if answer.facts.wrong_upstream:
            record_failure(upstream, now)
        else:
            record_full(upstream, now)
        return False
    if not answer.facts.signed:
        # An unsigned answer may come from another process.
        raise AnswerLostError(f"unsigned answer with status {status}")
    attempts.answer, attempts.body = answer, body
    if status >= MIN_FAILURE_STATUS:
        return False
    record_success(upstream)
    return True


def _has_saturated(state: GatewayState, permit: Permit) -> bool:
    """Return whether any service of the pool is excluded because it is saturated."""
    now = anyio.current_time()
    pool = state.table.pools.get(permit.pool.name, [])
    return any(
        accepts_work(item, now) and is_at_max_requests(item, now, state.entry_count)
        for item in pool
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
    if attempts.answer is not None:
        head = attempts.answer.head
        record_duration(state.metrics.answer, anyio.current_time() - request.arrived_at)
        headers = caller_headers(head.headers.raw_items())
        await exchange.answer(head.status_code, headers, attempts.body)
        return
    if not attempts.counts.may_have_run:
        pool, now = state.table.pools.get(permit.pool.name, []), anyio.current_time()
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
    raise ProblemError(Problem(code=code, detail=detail, execution=Execution.UNKNOWN))
