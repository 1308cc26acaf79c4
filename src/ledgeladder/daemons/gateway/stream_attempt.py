"""One attempt of a stream over one path of engines."""

from __future__ import annotations

import logging
import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from ...http1 import AnswerBrokenError, AnswerInvalidError
from ...model.exchange import Dispatch
from ...routing.attempt_race import StopReason, record_broken, stop_attempt
from ...routing.forwarding_table import (
    FULL_AVOID_SECONDS,
    record_domain_failure,
    record_exit,
    record_failure,
    record_full,
    record_out_of_reach,
    record_success,
)
from ...routing.link_load import record_transfer
from ...routing.paths import ChosenPath, count_prompt
from .checks import OUT_OF_TIME
from .crashes import record_crash
from .notes import content_fingerprint
from .reaching import proves_exit
from .stall_watch import UNREACHABLE, open_watched
from .stream_events import forward_events
from .stream_session import (
    AttemptEnd,
    AttemptResult,
    EndedBy,
    StreamSession,
    release_room,
    report_overdue,
    reserve_room,
)
from .upstream_call import (
    AnswerLostError,
    AttemptAbandonedError,
    BackpressureError,
    NoRoomError,
    NotSentError,
    OpenAnswer,
    read_body,
    release_answer,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...http1 import Exchange, HttpRequest
    from ...routing.attempt_race import RunningAttempt
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .state import GatewayState

logger = logging.getLogger(__name__)


async def run_attempt(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    session: StreamSession,
    attempt: RunningAttempt,
) -> AttemptResult:
    """Send a stream's request over a path once and forward the events.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        exchange: The exchange with the caller.
        session: The caller's stream.
        attempt: The attempt.

    Returns:
        The result of the attempt.
    """
    path = attempt.path
    session.trace.attempts += 1
    session.trace.path = path.describe()
    session.trace.relayed_by = ""
    session.trace.queue_seconds = path.longest_queue
    session.tried.update(part.instance for part in path.parts)
    reserve_room(session, attempt)
    if permit.pool.name in state.contended:
        attempt.end_prompt = count_prompt(path, _tokens_to_read(permit, session))
    _record_hops(state, permit, session, path)
    end: AttemptEnd | None = None
    try:
        with anyio.CancelScope() as scope, _stop_on_exit(session, attempt, scope):
            # Another attempt may have superseded this one before its task ran.
            if attempt.stopped is None:
                end = await _send_and_forward(state, permit, request, exchange, session, attempt)
    finally:
        attempt.end_prompt()
        release_room(session, attempt)
        end = _evaluate_end(state, attempt, end)
        if end.result in (AttemptResult.LOST, AttemptResult.SUPERSEDED):
            reached = _reached_engines(path, attempt.started_at)
            record_crash(
                state,
                permit,
                request,
                session.trace,
                reached,
                attempt.started_at,
                events=attempt.events,
            )
        _record_result(state, permit, request, session, attempt, end)
    return end.result


def _evaluate_end(
    state: GatewayState, attempt: RunningAttempt, end: AttemptEnd | None
) -> AttemptEnd:
    """Return how an attempt ended, considering that this box may have stopped it.

    Args:
        state: State of the process.
        attempt: The attempt.
        end: Its end by itself; None if it was cancelled.
    """
    if attempt.stopped is not None and (end is None or end.ended_by is EndedBy.BOX):
        is_superseded = attempt.stopped is StopReason.SUPERSEDED
        result = AttemptResult.SUPERSEDED if is_superseded else AttemptResult.LOST
        end = AttemptEnd(result, attempt.stopped.value, EndedBy.BOX)
    if end is None and state.out_of_time:
        end = AttemptEnd(AttemptResult.LOST, OUT_OF_TIME, EndedBy.BOX)
    if end is None:
        end = AttemptEnd(AttemptResult.LOST, ended_by=EndedBy.CALLER)
    if end.result in (AttemptResult.LOST, AttemptResult.SUPERSEDED) and not attempt.was_sent:
        return end._replace(result=AttemptResult.NOT_SENT)
    return end


def _tokens_to_read(permit: Permit, session: StreamSession) -> int:
    """Return how many tokens the engines read before the next event.

    A resumed stream is read again, with the part of the answer that the caller has.
    """
    assert permit.pool.engine is not None
    answered = session.order.delivered * max(1, permit.pool.engine.steps_per_pass)
    return permit.facts.prompt_tokens + answered


def _reached_engines(path: ChosenPath, started_at: float) -> list[ForwardedUpstream]:
    """Return the engines that were alive when the attempt reached them.

    The first engine accepted the request. A later one may have exited earlier, unnoticed by this
    box, which is no evidence that the request crashed it. It counts as reached only if it made
    progress after the attempt was sent.
    """
    later = [engine for engine in path.engines[1:] if engine.last_success_at >= started_at]
    return [path.head, *later]


def _record_hops(
    state: GatewayState, permit: Permit, session: StreamSession, path: ChosenPath
) -> None:
    """Record the traffic of an attempt on links between failure domains."""
    assert permit.pool.engine is not None
    profile, tokens = permit.pool.engine, permit.facts.prompt_tokens
    now = anyio.current_time()
    links = record_transfer(state.link_load, profile, path.domains, tokens, now)
    session.trace.inter_domain_hops = len(links)


@contextmanager
def _stop_on_exit(
    session: StreamSession, attempt: RunningAttempt, scope: anyio.CancelScope
) -> Iterator[None]:
    """Stop an attempt within the block if any request finds that an engine of its path has exited.

    An engine that only appears lost may be silent, so that its attempt is overdue instead.
    """

    def handle_loss(engine: ForwardedUpstream) -> None:
        session.dead.add(engine.registration.instance)
        if engine.exited_at >= attempt.started_at:
            stop_attempt(attempt, StopReason.EXITED)
        elif attempt.overdue != UNREACHABLE:
            report_overdue(session, attempt, UNREACHABLE, frees_room=True)

    attempt.stop = scope.cancel
    for engine in attempt.path.engines:
        engine.on_lost.add(handle_loss)
    try:
        yield
    finally:
        for engine in attempt.path.engines:
            engine.on_lost.discard(handle_loss)


def _record_result(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    attempt: RunningAttempt,
    end: AttemptEnd,
) -> None:
    """Count an attempt's result, and log incomplete attempts.

    An attempt that is cancelled because the caller disconnected or the deadline passed is logged as
    lost, or as not sent if that happened earlier, without a detail.
    """
    result, path = end.result, attempt.path
    state.metrics.counters[f"run-{result.value}"] += 1
    if result is AttemptResult.COMPLETE:
        for engine in path.engines:
            record_success(engine)
        return
    is_head_dead = path.head.registration.instance in session.dead
    if result is AttemptResult.REFUSED:
        session.attempts.record_refused()
    elif result is AttemptResult.LOST and is_head_dead and _is_proved_end(attempt, end):
        session.attempts.record_forgiven()
    logger.warning(
        "run ended early",
        extra={
            "request": permit.facts.attempt_id,
            "content": content_fingerprint(session.trace, request, permit).hex(),
            "end": result.value,
            "may_have_run": result in (AttemptResult.LOST, AttemptResult.SUPERSEDED),
            "detail": end.detail,
            "ended_by": end.ended_by.value,
            "path": path.describe(),
            "events": session.order.delivered,
            "dead": sorted(session.dead),
            "silent_for": round(anyio.current_time() - session.last_progress_at, 3),
            "silent_engines": describe_silence(path, anyio.current_time()),
            "began_with": permit.version,
            "version": state.version,
        },
    )


def describe_silence(path: ChosenPath, now: float) -> dict[str, float | None]:
    """Return for each engine of a path how long ago it last gave a sign of life, for logs.

    Returns:
        Seconds by instance; None if there was none.
    """
    ages = {item.registration.instance: now - item.last_success_at for item in path.engines}
    return {name: round(age, 3) if age < math.inf else None for name, age in ages.items()}


def _is_proved_end(attempt: RunningAttempt, end: AttemptEnd) -> bool:
    """Return whether an attempt ended with its upstream, and not because that appeared lost.

    An engine that only appears lost may be suspended, and run the request all the same.
    """
    return end.ended_by is EndedBy.UPSTREAM or attempt.stopped is StopReason.EXITED


async def _send_and_forward(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    exchange: Exchange,
    session: StreamSession,
    attempt: RunningAttempt,
) -> AttemptEnd:
    """Send the request and forward the events; return how the attempt ended."""
    path = attempt.path
    resume_after = session.order.last_id
    dispatch = Dispatch(
        instance=path.head.registration.instance,
        account=permit.account,
        timeout=max(0.0, permit.deadline - anyio.current_time()),
        priority=permit.engine_priority,
        path=path.parts,
        resume_after=resume_after,
    )
    try:
        answer = await open_watched(state, permit, request, session, attempt, dispatch)
    except NotSentError as error:
        _handle_not_sent(state, session, path, error)
        return AttemptEnd(AttemptResult.NOT_SENT, str(error), EndedBy.BOX)
    except BackpressureError as error:
        session.excluded.add(path.head.registration.instance)
        return AttemptEnd(AttemptResult.NOT_SENT, str(error), EndedBy.BOX)
    except AnswerLostError as error:
        if error.is_invalid:
            record_failure(path.head, anyio.current_time())
        await _identify_failed_engines(state, session, attempt)
        return AttemptEnd(AttemptResult.LOST, str(error), _ended_by(error))
    if not answer.succeeded or not answer.facts.signed:
        try:
            return await _handle_error_answer(state, session, attempt, answer)
        finally:
            if answer is not session.failure:
                release_answer(state, answer)
    try:
        await forward_events(state, exchange, session, attempt, answer)
    except (AnswerBrokenError, AnswerLostError, ValueError) as error:
        # ValueError: an event exceeds the size limit.
        if isinstance(error, (AnswerInvalidError, ValueError)):
            record_failure(path.head, anyio.current_time())
        await _identify_failed_engines(state, session, attempt)
        return AttemptEnd(AttemptResult.LOST, str(error), _ended_by(error))
    else:
        return AttemptEnd(AttemptResult.COMPLETE)
    finally:
        # Connections are not pooled for streams: if the engine dies, a refused new connection costs
        # nothing, but a reset pooled connection costs an attempt.
        await answer.connection.close()


def _handle_not_sent(
    state: GatewayState, session: StreamSession, path: ChosenPath, error: NotSentError
) -> None:
    """Record that the first engine of a path could not be reached."""
    session.excluded.add(path.head.registration.instance)
    if error.is_inconclusive:
        record_out_of_reach(path.head, anyio.current_time())
        return
    if error.failure is not None and proves_exit(state, error.failure):
        # Imported here because few connections are refused.
        from .probing import report_lost

        record_exit(path.head, anyio.current_time())
        report_lost(state, path.head, session.dead)
    else:
        record_failure(path.head, anyio.current_time())
    _suspect_domain(state, session, path.head)


def _ended_by(error: Exception) -> EndedBy:
    """Return who ended an attempt that failed with an error."""
    is_own = isinstance(error, (AttemptAbandonedError, NoRoomError))
    return EndedBy.BOX if is_own else EndedBy.UPSTREAM


async def _read_error_body(
    state: GatewayState, session: StreamSession, attempt: RunningAttempt, answer: OpenAnswer
) -> bytes | bytearray:
    """Read the body of an error answer; the attempt is overdue if it takes too long.

    Raises:
        AnswerLostError: If the body ends early or is too long.
    """
    body: bytes | bytearray = b""
    failure: AnswerLostError | None = None

    async def report_late() -> None:
        await anyio.sleep(session.timeouts.first_timeout)
        report_overdue(session, attempt, "error answer without an end")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(report_late)
        try:
            body = await read_body(state, answer)
        except AnswerLostError as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return body


async def _handle_error_answer(
    state: GatewayState, session: StreamSession, attempt: RunningAttempt, answer: OpenAnswer
) -> AttemptEnd:
    """Handle an answer that is not a stream, or that does not carry the id of the request.

    Returns:
        How the attempt ended.
    """
    path = attempt.path
    status = answer.head.status_code
    try:
        body = await _read_error_body(state, session, attempt, answer)
    except AnswerLostError as error:
        if error.is_invalid:
            record_failure(path.head, anyio.current_time())
        await _identify_failed_engines(state, session, attempt)
        return AttemptEnd(AttemptResult.LOST, str(error), _ended_by(error))
    if answer.facts.not_run:
        failed_upstream = answer.facts.failed_upstream
        at_fault = [
            item for item in path.engines if item.registration.address == failed_upstream
        ] or [path.head]
        for engine in at_fault:
            await _evaluate_refusal(
                state, session, path, engine, reports=not answer.facts.wrong_upstream
            )
        detail = f"status {status} at {at_fault[0].registration.instance}"
        return AttemptEnd(AttemptResult.REFUSED, detail)
    if not answer.facts.signed:
        session.excluded.add(path.head.registration.instance)
        return AttemptEnd(AttemptResult.LOST, f"unsigned answer with status {status}")
    record_failure(path.head, anyio.current_time())
    session.excluded.add(path.head.registration.instance)
    if session.failure is not None:
        release_answer(state, session.failure)
    session.failure, session.failure_body = answer, body
    return AttemptEnd(AttemptResult.LOST, f"status {status}")


async def _evaluate_refusal(
    state: GatewayState,
    session: StreamSession,
    path: ChosenPath,
    engine: ForwardedUpstream,
    *,
    reports: bool = True,
) -> None:
    """Record that an attempt was refused because of one engine, as full or as dead.

    The first engine refuses by itself if it is full or draining. It names a later engine if that
    one is full or dead. A dead engine that is recorded as full would receive an attempt from each
    box every `FULL_AVOID_SECONDS` while it is registered; a probe distinguishes the two cases.
    Other boxes are told, unless another instance answered, which says nothing of the engine's room.
    """
    # Imported here because few attempts are refused.
    from .probing import find_unreachable

    session.excluded.add(engine.registration.instance)
    _suspect_domain(state, session, engine)
    if engine is not path.head and await find_unreachable(
        state, [engine], session.dead, liveness_seconds=FULL_AVOID_SECONDS
    ):
        return
    record_full(engine, anyio.current_time())
    if reports:
        # Imported here because engines are rarely full.
        from .full_notices import report_full

        report_full(state, engine)


def _suspect_domain(state: GatewayState, session: StreamSession, engine: ForwardedUpstream) -> None:
    """Record a failure against the engine's failure domain, unless it is this box's own."""
    domain = engine.registration.failure_domain
    if domain != state.settings.box.failure_domain:
        session.failed_domains.add(domain)
        record_domain_failure(state.suspected_domains, engine, anyio.current_time())


async def _identify_failed_engines(
    state: GatewayState, session: StreamSession, attempt: RunningAttempt
) -> None:
    """Probe the engines of a broken attempt, and exclude those that are dead.

    If none is found dead, the first engine is excluded.
    """
    # Imported here because few attempts break off.
    from .probing import LIVENESS_SECONDS, check_exited, find_unreachable

    path = attempt.path
    if attempt.stopped is None:
        record_broken(attempt)
    head = path.head.registration.instance
    # Unlike a stall, a broken connection is a reason to probe an engine that accepted just before.
    found = await find_unreachable(
        state, path.engines, session.dead, liveness_seconds=LIVENESS_SECONDS
    )
    if found or head in session.dead:
        return
    if not await check_exited(state, path.head, session.dead):
        session.excluded.add(head)
