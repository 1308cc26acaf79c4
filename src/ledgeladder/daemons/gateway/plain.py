"""Forwarding to plain services: choice of the upstream, repeats, and the final answer."""

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
from ...routing.forwarding_table import (
    first_wait,
    has_alternative,
    is_at_most,
    note_failed,
    note_full,
    note_lost,
    note_served,
    takes_work,
)
from ...routing.pace import note_gap, stall_after
from ...routing.rate_grants import any_limited
from ...routing.repeat_window import give_back, note_first
from ...routing.service_choice import choose_service
from .backpressure import request_grants
from .borrowing import acquire_retry
from .checks import Permit, refusal
from .crashes import count_crashes, record_answered, record_crash
from .notes import content_fingerprint
from .probing import check_exited
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
    from ...routing.repeat_window import Repeat
    from .notes import RequestTrace
    from .state import GatewayState

logger = logging.getLogger(__name__)

TRY_SHARE: Final = 0.6
"""Part of the time that callers expect after which a repeatable request is tried elsewhere, if the
service's own answers take no longer: the rest is for the second try."""

WAIT_SHARE: Final = 0.5
"""Part of the time that callers expect for which a request waits until services want work again;
the rest is for the answer."""

REFUSALS_LIMIT: Final = 3
"""Upstreams that may refuse one request before the caller is told to come back."""


class _Tries(msgspec.Struct, kw_only=True):
    """What came of a request so far."""

    tried: set[str] = msgspec.field(default_factory=set)
    """Upstreams that it was sent to or could not be sent to."""

    sent: int = 0
    """Times it was sent, refused ones included."""

    runs: int = 0
    """Times it may have run."""

    refusals: int = 0
    """Upstreams that refused it as not run."""

    repeat: Repeat | None = None
    """Repeat that was spent so that a try could be given up, and is not used yet."""

    answer: OpenAnswer | None = None
    """Newest answer of an upstream that ran it and failed."""

    body: bytes = b""
    """Body of that answer."""


async def forward_plain(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    trace: RequestTrace,
) -> None:
    """Forward a request and give the caller the final answer.

    Args:
        state: The process's state.
        permit: What the request may do.
        request: The request.
        exchange: The answering side.
        trace: Takes what is learnt of the request.

    Raises:
        ProblemError: If no upstream answered it.
    """
    tries = _Tries()
    budget = retry_budget(state, permit.pool.name)
    note_first(budget, anyio.current_time())
    with anyio.move_on_after(max(0.0, permit.deadline - anyio.current_time())):
        while True:
            upstream = _next_upstream(state, permit, tries)
            if upstream is None:
                if await _waited(state, permit, request, tries, trace):
                    continue
                break
            ends = count_crashes(state, permit, request, trace)
            if ends >= CRASH_LIMIT:
                break
            sent_before = tries.sent
            repeat = await _next_repeat(state, permit, tries)
            if sent_before and repeat is None:
                break
            trace.attempts += 1
            trace.path = [upstream.registration.instance]
            if await _try_once(state, permit, request, tries, upstream, trace):
                break
            if repeat is not None and tries.sent == sent_before:
                give_back(budget, repeat)
    if tries.repeat is not None:
        give_back(budget, tries.repeat)
    if tries.answer is not None:
        record_answered(state, permit, request, trace)
    await _finish(state, permit, request, exchange, tries)


async def _next_repeat(state: GatewayState, permit: Permit, tries: _Tries) -> Repeat | None:
    """Return the repeat for the next try; None for the first one, or if there is none."""
    repeat, tries.repeat = tries.repeat, None
    if repeat is not None or not tries.sent:
        return repeat
    return await acquire_retry(state, permit.pool.name)


def _next_upstream(state: GatewayState, permit: Permit, tries: _Tries) -> ForwardedUpstream | None:
    """Choose the upstream for the next try, if there is to be one."""
    repeatable = permit.route.kind is RequestKind.REPEATABLE
    if tries.runs and (not repeatable or tries.runs >= permit.route.max_attempts):
        return None
    if tries.refusals >= REFUSALS_LIMIT:
        return None
    request_grants(state, permit.pool.name)
    return choose_service(
        state.table.pools.get(permit.pool.name, []),
        anyio.current_time(),
        tried=tries.tried,
        failure_domain=state.settings.box.failure_domain,
        sharers=state.entry_count,
        rng=state.rng,
    )


async def _waited(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    tries: _Tries,
    trace: RequestTrace,
) -> bool:
    """Wait if upstreams want no work for a while that the request has; True if it is tried anew."""
    wait = _first_wait(state, permit)
    if tries.runs or tries.refusals >= REFUSALS_LIMIT or wait is None:
        return False
    until = request.arrived_at + permit.route.target_latency * WAIT_SHARE
    if not await wait_for_upstreams(state, permit, request, trace, seconds=wait, until=until):
        return False
    tries.tried.clear()
    return True


def _first_wait(state: GatewayState, permit: Permit) -> float | None:
    """Return when the first service of the pool wants work again, in seconds.

    That of one that holds as much as it may is when it has answered a request.

    Returns:
        None if none keeps from work by its own wish, or one of them wants some.
    """
    now = anyio.current_time()
    pool = state.table.pools.get(permit.pool.name, [])
    if _are_at_most(state, permit):
        return answer_pace(state, permit.pool.name).mean
    return first_wait(pool, now)


async def _try_once(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    tries: _Tries,
    upstream: ForwardedUpstream,
    trace: RequestTrace,
) -> bool:
    """Send a request to one upstream; returns True if its answer is final.

    The first try of a repeatable request gets a part of the time only, so that another one fits in.
    """
    instance = upstream.registration.instance
    tries.tried.add(instance)
    repeatable = permit.route.kind is RequestKind.REPEATABLE
    now = anyio.current_time()
    seconds = permit.deadline - now
    pool = state.table.pools.get(permit.pool.name, [])
    may_move = repeatable and tries.runs == 0 and permit.route.max_attempts > 1
    if may_move and has_alternative(pool, upstream, tries.tried, now):
        seconds = min(seconds, _try_seconds(state, permit))
    dispatch = Dispatch(
        instance=instance,
        account=permit.account,
        patience=permit.deadline - now,
        priority=permit.priority,
    )
    tries.sent += 1
    tries.runs += 1
    upstream.in_flight += 1
    outcome = "answered"
    try:
        answer, body = await _ask(state, permit, request, dispatch, upstream, tries, seconds)
        note_gap(answer_pace(state, permit.pool.name), anyio.current_time() - now)
        if answer.facts.not_run:
            outcome = f"refused with status {answer.head.status_code}"
        return _judge(tries, upstream, answer, body)
    except NotSentError as error:
        outcome = f"not sent: {error}"
        tries.sent -= 1
        tries.runs -= 1
        note_lost(upstream, anyio.current_time())
        return False
    except BackpressureError as error:
        outcome = f"withheld: {error}"
        tries.sent -= 1
        tries.runs -= 1
        return False
    except AnswerLostError as error:
        outcome = f"lost: {error}"
        note_failed(upstream, anyio.current_time())
        if await check_exited(state, upstream, set()):
            record_crash(state, permit, request, trace, [upstream], now)
        return False
    except TimeoutError:
        outcome = f"no answer within {seconds:.2f} s"
        note_failed(upstream, anyio.current_time())
        # Connections may fall silent for good while new ones work, and the idle ones with them.
        await state.connections.close_idle(upstream.registration.address)
        return False
    finally:
        upstream.in_flight -= 1
        if outcome != "answered":
            state.metrics.counters["try-failed"] += 1
            logger.warning(
                "try failed",
                extra={
                    "request": permit.facts.attempt_id,
                    "content": content_fingerprint(trace, request, permit).hex(),
                    "upstream": instance,
                    "outcome": outcome,
                    "tries": tries.sent,
                },
            )


async def _ask(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    dispatch: Dispatch,
    upstream: ForwardedUpstream,
    tries: _Tries,
    seconds: float,
) -> tuple[OpenAnswer, bytes]:
    """Send a request to an upstream and read its whole answer.

    Raises:
        NotSentError: If nothing was sent.
        BackpressureError: If the upstream wants it no more.
        AnswerLostError: If the request may have run and no whole answer came.
        TimeoutError: If none came within some seconds, and the request may be sent again.
    """
    answer: tuple[OpenAnswer, bytes] | None = None
    failure: Exception = TimeoutError()
    fresh = permit.route.kind is not RequestKind.REPEATABLE
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_give_up, state, permit, tries, seconds, tasks.cancel_scope)
        try:
            opened = await open_answer(
                state, permit, request, dispatch, upstream, fresh_connection=fresh
            )
            answer = opened, await read_body(state, opened)
        except (NotSentError, BackpressureError, AnswerLostError) as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if answer is None:
        raise failure
    return answer


async def _give_up(
    state: GatewayState,
    permit: Permit,
    tries: _Tries,
    seconds: float,
    scope: anyio.CancelScope,
) -> None:
    """Give a try up after some seconds, if the request may be sent again or its time is over.

    Without a repeat the answer that is late is the only one that can come.
    """
    await anyio.sleep(seconds)
    left = permit.deadline - anyio.current_time()
    if left > 0:
        tries.repeat = await acquire_retry(state, permit.pool.name)
        if tries.repeat is None:
            await anyio.sleep(left)
    scope.cancel()


def _try_seconds(state: GatewayState, permit: Permit) -> float:
    """Return how long the first of two tries may take, in seconds.

    Answers of a service that take several times their mean are held up; before any was seen, the
    route's own target is all that is known.
    """
    pace = answer_pace(state, permit.pool.name)
    usual = stall_after(pace) if pace.mean > 0 else 0.0
    return max(permit.route.target_latency * TRY_SHARE, usual)


def _judge(tries: _Tries, upstream: ForwardedUpstream, answer: OpenAnswer, body: bytes) -> bool:
    """Take in a whole answer; returns True if it is final.

    Raises:
        AnswerLostError: If the upstream did not sign it.
    """
    now = anyio.current_time()
    status = answer.head.status_code
    if answer.facts.not_run:
        tries.runs -= 1
        tries.refusals += 1
        if answer.facts.wrong_upstream:
            note_failed(upstream, now)
        else:
            note_full(upstream, now)
        return False
    if not answer.facts.signed:
        # An answer that its upstream did not sign may belong to anybody.
        raise AnswerLostError(f"unsigned answer with status {status}")
    tries.answer, tries.body = answer, body
    if status >= MIN_FAILURE_STATUS:
        return False
    note_served(upstream)
    return True


def _are_at_most(state: GatewayState, permit: Permit) -> bool:
    """Tell whether any service of the pool is left out since it holds as much as it may."""
    now = anyio.current_time()
    pool = state.table.pools.get(permit.pool.name, [])
    return any(takes_work(item, now) and is_at_most(item, now, state.entry_count) for item in pool)


async def _finish(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    tries: _Tries,
) -> None:
    """Pass the newest whole answer on, a failed one too, or refuse.

    Raises:
        ProblemError: If no upstream gave a whole answer.
    """
    if tries.answer is not None:
        head = tries.answer.head
        record_duration(state.metrics.answer, anyio.current_time() - request.arrived_at)
        headers = caller_headers(head.headers.raw_items())
        await exchange.answer(head.status_code, headers, tries.body)
        return
    if tries.runs == 0:
        pool, now = state.table.pools.get(permit.pool.name, []), anyio.current_time()
        wait = first_wait(pool, now)
        if wait is not None:
            is_limited = any_limited([item.limit for item in pool], now)
            code = ResultCode.UPSTREAMS_LIMITED if is_limited else ResultCode.UPSTREAMS_RESTING
            raise refusal(code, f"all of {permit.pool.name}", wait)
        if _are_at_most(state, permit):
            raise refusal(ResultCode.QUEUE_FULL, f"as much on {permit.pool.name} as it takes")
        if tries.refusals:
            raise refusal(ResultCode.UPSTREAM_REFUSED, f"{tries.refusals} upstreams refused")
        raise refusal(ResultCode.NO_ROUTE, f"no upstream of {permit.pool.name}", 0.5)
    late = anyio.current_time() >= permit.deadline
    code = ResultCode.DEADLINE_EXCEEDED if late else ResultCode.UPSTREAM_LOST
    detail = f"sent {tries.sent} times without a whole answer"
    raise ProblemError(Problem(code=code, detail=detail, execution=Execution.UNKNOWN))
