"""Stall detection for attempts of streams: probes of the engines, and reports of overdue attempts.

Silence ends no attempt: its engines may be sound. Another attempt may be begun beside it.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, TypeVar

import anyio

from ...http1 import AnswerBrokenError
from ...routing.forwarding_table import record_silence
from ...routing.pace import record_false_alarm, stall_timeout
from ...routing.suspected_links import suspect_links
from .stream_session import report_overdue
from .upstream_call import (
    AnswerLostError,
    BackpressureError,
    NotSentError,
    OpenAnswer,
    open_answer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ...http1 import HttpRequest
    from ...model.exchange import Dispatch
    from ...routing.attempt_race import RunningAttempt
    from ...routing.paths import ChosenPath
    from .checks import Permit
    from .state import GatewayState
    from .stream_session import StreamSession

logger = logging.getLogger(__name__)

UNREACHABLE: Final = "an engine of the path is unreachable"
"""Reason for an overdue attempt."""

T = TypeVar("T")


async def open_watched(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    attempt: RunningAttempt,
    dispatch: Dispatch,
) -> OpenAnswer:
    """Send a request and wait for the head of the answer, while checking the path's engines.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        session: The caller's stream.
        attempt: The attempt.
        dispatch: Values of the headers for the first engine.

    Returns:
        The answer, with its body unread.

    Raises:
        NotSentError: If nothing was sent.
        BackpressureError: If an engine of the path applied back-pressure.
        AnswerLostError: If the request may have been executed but its connection broke.
    """
    answer: OpenAnswer | None = None
    failure: Exception = AnswerLostError("no response head")

    def record_sent() -> None:
        attempt.was_sent = True
        attempt.is_relayed = bool(session.trace.relayed_by)
        session.attempts.record_sent()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_head, state, session, attempt)
        try:
            answer = await open_answer(
                state,
                permit,
                request,
                dispatch,
                attempt.path.head,
                fresh_connection=not permit.route.repeatable,
                later_engines=attempt.path.engines[1:],
                record_sent=record_sent,
                trace=session.trace,
            )
        except (NotSentError, BackpressureError, AnswerLostError) as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if answer is None:
        raise failure
    return answer


async def _watch_head(state: GatewayState, session: StreamSession, attempt: RunningAttempt) -> None:
    """Probe the engines of a path each time that the head of the answer is overdue.

    Reports the attempt as overdue if one of them is unreachable, or once the stream's
    `first_timeout` has passed. Runs until cancelled.
    """
    waited = 0.0
    while True:
        lost_link = _is_on_lost_link(state, attempt)
        limit = session.timeouts.first_probe if lost_link else session.timeouts.first_timeout
        timeout = max(stall_timeout(state.first_event_pace), session.timeouts.first_probe)
        timeout = min(timeout, limit - waited if waited < limit else limit)
        await anyio.sleep(timeout)
        waited += timeout
        if await _has_unreachable(state, session, attempt.path):
            report_overdue(session, attempt, UNREACHABLE, frees_room=True)
            continue
        await _query_slowdowns(state, attempt.path)
        _suspect_links(state, session, attempt.path, waited)
        if waited >= limit:
            _report_silence(session, attempt, f"no head for {waited:.2f} s", frees_room=lost_link)


async def read_watched(
    state: GatewayState,
    session: StreamSession,
    attempt: RunningAttempt,
    read: Callable[[], Awaitable[T]],
) -> T:
    """Read until the stream makes progress, and probe the engines if that is overdue.

    Reading continues meanwhile, since most pauses end by themselves.

    Args:
        state: State of the process.
        session: The caller's stream.
        attempt: The attempt.
        read: Reads from the answer until there is progress. It may be cancelled and called again.

    Returns:
        What `read` returns.

    Raises:
        AnswerBrokenError: If the answer ends early.
        ValueError: If an event exceeds the size limit.
    """
    with anyio.move_on_after(_gap_timeout(session)):
        return await read()
    results: list[T] = []
    failure: Exception | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_stall, state, session, attempt)
        try:
            results.append(await read())
        except (AnswerBrokenError, ValueError) as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return results[0]


def _gap_timeout(session: StreamSession) -> float:
    """Return how long the next part may take before the engines are probed, in seconds."""
    is_known = session.pace.mean > 0
    timeout = stall_timeout(session.pace) if is_known else session.timeouts.first_probe
    return min(timeout, session.timeouts.gap_timeout)


async def _watch_stall(
    state: GatewayState, session: StreamSession, attempt: RunningAttempt
) -> None:
    """Probe the engines of a stalled stream repeatedly, and report its attempt as overdue.

    Runs until cancelled.
    """
    waited = _gap_timeout(session)
    while True:
        timeouts = session.timeouts
        lost_link = _is_on_lost_link(state, attempt)
        limit = timeouts.link_avoidance if lost_link else timeouts.gap_timeout
        if await _has_unreachable(state, session, attempt.path):
            report_overdue(session, attempt, UNREACHABLE, frees_room=True)
        else:
            if waited >= timeouts.slowdown_query:
                await _query_slowdowns(state, attempt.path)
            _suspect_links(state, session, attempt.path, waited)
            if waited >= limit:
                _report_silence(
                    session, attempt, f"stalled for {waited:.2f} s", frees_room=lost_link
                )
            state.metrics.counters["false-alarm"] += 1
            record_false_alarm(session.pace)
        timeout = _gap_timeout(session)
        if waited < limit:
            timeout = min(timeout, limit - waited)
        await anyio.sleep(timeout)
        waited += timeout


def _report_silence(
    session: StreamSession, attempt: RunningAttempt, reason: str, *, frees_room: bool
) -> None:
    """Report an attempt as overdue although its engines accept probes."""
    record_silence(attempt.path.engines, anyio.current_time())
    report_overdue(session, attempt, reason, frees_room=frees_room)


async def _has_unreachable(state: GatewayState, session: StreamSession, path: ChosenPath) -> bool:
    """Probe the engines of a stalled path, and return whether any is unreachable."""
    # Imported here because few streams stall.
    from .probing import find_unreachable

    return await find_unreachable(state, path.engines, session.dead)


def _is_on_lost_link(state: GatewayState, attempt: RunningAttempt) -> bool:
    """Return whether an attempt uses a connection that this box opened before it was cut off.

    Such a connection may still work, or hang without being closed.
    """
    cut_since = state.reach.cut_since
    return cut_since is not None and not attempt.is_relayed and attempt.started_at < cut_since


async def _query_slowdowns(state: GatewayState, path: ChosenPath) -> None:
    """Ask the engines of a stalled path whether they are slow."""
    # Imported here because few streams stall.
    from .slowdown_queries import query_slowdowns

    await query_slowdowns(state, path)


def _suspect_links(
    state: GatewayState, session: StreamSession, path: ChosenPath, waited: float
) -> None:
    """Avoid the links of a path that stays stalled although all of its engines are reachable."""
    if waited < session.timeouts.link_avoidance:
        return
    known = set(state.suspected_links.until)
    links = suspect_links(state.suspected_links, path.domains, anyio.current_time())
    if not known.issuperset(links):
        logger.warning(
            "links between failure domains avoided", extra={"links": links, "silent_for": waited}
        )
