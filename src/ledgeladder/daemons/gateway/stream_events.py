"""Forwarding of the events of one attempt to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from ...http1 import read_part
from ...platform.exchange import caller_headers
from ...routing.attempt_race import record_progress
from ...routing.event_stream import EventBuffer, StreamEvent, accept_events
from ...routing.forwarding_table import record_event
from ...routing.pace import record_gap
from .crashes import ANSWERED_EVENTS
from .stall_watch import read_watched
from .state import record_duration
from .stream_session import reserve_room
from .upstream_call import AnswerLostError, AttemptAbandonedError

if TYPE_CHECKING:
    from ...http1 import Exchange
    from ...routing.attempt_race import RunningAttempt
    from .state import GatewayState
    from .stream_session import StreamSession
    from .upstream_call import OpenAnswer


async def forward_events(
    state: GatewayState,
    exchange: Exchange,
    session: StreamSession,
    attempt: RunningAttempt,
    answer: OpenAnswer,
) -> None:
    """Forward whole events until the answer ends, skipping those that the caller already has.

    Args:
        state: State of the process.
        exchange: The exchange with the caller.
        session: The caller's stream.
        attempt: The attempt.
        answer: The engine's answer.

    Raises:
        AnswerBrokenError: If the answer ends early.
        AttemptAbandonedError: If the attempt was stopped.
        AnswerLostError: If its events are incomplete.
        ValueError: If an event exceeds the size limit.
    """
    buffer = EventBuffer()

    async def read_events() -> list[StreamEvent] | None:
        """Read until an event is complete; None at the end of the answer."""
        while (part := await read_part(answer.connection)) is not None:
            if events := buffer.feed(part):
                return events
        return None

    while True:
        events = await read_watched(state, session, attempt, read_events)
        # A read that has already completed returns even if the attempt is cancelled. The
        # cancellation would then interrupt the write, and the next attempt would resume after
        # events that were never written.
        _raise_if_stopped(attempt)
        if events is None:
            if not buffer.is_between_events:
                raise AnswerLostError("the stream ended within an event")
            _take_lead(session, attempt, answer)
            await _finish_answer(exchange, session, answer, bytes(buffer.pending))
            return
        accepted, fault = accept_events(session.order, events)
        if accepted:
            was_overdue = bool(attempt.overdue)
            _take_lead(session, attempt, answer)
            _count_events(session, attempt, len(accepted))
            _record_events(state, session, attempt, was_overdue=was_overdue)
            attempt.is_writing = True
            await _emit(exchange, session, answer, b"".join(accepted))
            attempt.is_writing = False
            _raise_if_stopped(attempt)
        if fault:
            raise AnswerLostError(fault)


def _take_lead(session: StreamSession, attempt: RunningAttempt, answer: OpenAnswer) -> None:
    """Let an attempt continue the stream, and stop the others."""
    if attempt.overdue or session.dead or len(session.race.running) > 1:
        session.trace.path = attempt.path.describe()
        session.trace.relayed_by = answer.connection.relayed_by
        session.dead.difference_update(item.registration.instance for item in attempt.path.engines)
    reserve_room(session, attempt)
    record_progress(session.race, attempt)


def _count_events(session: StreamSession, attempt: RunningAttempt, count: int) -> None:
    """Count events of the attempt, and record once that its prompt is being answered."""
    before = attempt.events
    attempt.events += count
    if before < ANSWERED_EVENTS <= attempt.events:
        session.record_prompt_answered()


def _raise_if_stopped(attempt: RunningAttempt) -> None:
    """Check whether the attempt was stopped.

    Raises:
        AttemptAbandonedError: If it was.
    """
    if attempt.stopped is not None:
        raise AttemptAbandonedError(attempt.stopped.value)


def _record_events(
    state: GatewayState, session: StreamSession, attempt: RunningAttempt, *, was_overdue: bool
) -> None:
    """Record the times of new events, and mark the engines of the path as alive.

    The time that an overdue attempt took tells nothing about the usual pace.
    """
    now = anyio.current_time()
    for engine in attempt.path.engines:
        record_event(engine, now)
    attempt.end_prompt()
    gap = now - session.last_progress_at
    if not session.started:
        record_duration(state.metrics.first_event, gap)
        session.trace.first_event = gap
        if not was_overdue:
            record_gap(state.first_event_pace, now - attempt.started_at)
    else:
        record_duration(state.metrics.gap, gap)
        session.trace.longest_gap = max(session.trace.longest_gap, gap)
        if not was_overdue:
            record_gap(session.pace, gap)
    session.last_progress_at = now


async def _emit(
    exchange: Exchange, session: StreamSession, answer: OpenAnswer, data: bytes
) -> None:
    """Write events to the caller, preceded by the response head if it was not sent yet."""
    if session.started:
        await exchange.send(data)
        return
    session.started = True
    headers = caller_headers(answer.head.headers.raw_items())
    await exchange.begin(answer.head.status_code, headers, data)


async def _finish_answer(
    exchange: Exchange, session: StreamSession, answer: OpenAnswer, comments: bytes
) -> None:
    """End the response to the caller; send the head first if there was no event."""
    if comments or not session.started:
        await _emit(exchange, session, answer, comments)
    await exchange.end()
