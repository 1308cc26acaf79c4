"""Stall detection for attempts of streams: probes of the engines and abort of stalled attempts.

An attempt whose engines answer probes is aborted only if another one can replace it, or if its path
crosses failure domains.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, TypeVar

import anyio

from ...http1 import AnswerBrokenError
from ...routing.pace import record_false_alarm, stall_timeout
from ...routing.suspected_links import suspect_links
from .upstream_call import (
    AnswerLostError,
    AttemptAbandonedError,
    BackpressureError,
    NotSentError,
    OpenAnswer,
    open_answer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ...http1 import HttpRequest
    from ...model.exchange import Dispatch
    from ...routing.paths import ChosenPath
    from .checks import Permit
    from .state import GatewayState
    from .stream_session import StreamSession

logger = logging.getLogger(__name__)

T = TypeVar("T")


async def open_watched(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    path: ChosenPath,
    dispatch: Dispatch,
) -> OpenAnswer:
    """Send a request and wait for the head of the answer, while checking the path's engines.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        session: The caller's stream.
        path: The path.
        dispatch: Values of the headers for the first engine.

    Returns:
        The answer, with its body unread.

    Raises:
        NotSentError: If nothing was sent.
        BackpressureError: If an engine of the path applied back-pressure.
        AnswerLostError: If the request may have been executed but no head came in time.
    """
    answer: OpenAnswer | None = None
    failure: Exception = AttemptAbandonedError("timed out waiting for the response head")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_head, state, session, path, tasks.cancel_scope)
        try:
            answer = await open_answer(
                state,
                permit,
                request,
                dispatch,
                path.head,
                fresh_connection=not permit.route.repeatable,
                later_engines=path.engines[1:],
                counts=session.attempts,
                trace=session.trace,
            )
        except (NotSentError, BackpressureError, AnswerLostError) as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if answer is None:
        raise failure
    return answer


async def _watch_head(
    state: GatewayState, session: StreamSession, path: ChosenPath, scope: anyio.CancelScope
) -> None:
    """Probe the engines of a path each time that the head of the answer is overdue.

    Cancels the scope if one of them is unreachable, or if the attempt can be replaced once the
    stream's `first_timeout` has passed.
    """
    waited = 0.0
    while True:
        lost_link = _is_on_lost_link(state, session)
        limit = session.timeouts.first_probe if lost_link else session.timeouts.first_timeout
        timeout = max(stall_timeout(state.first_event_pace), session.timeouts.first_probe)
        if waited < limit:
            timeout = min(timeout, limit - waited)
        await anyio.sleep(timeout)
        waited += timeout
        if await _has_unreachable(state, session, path):
            scope.cancel()
            return
        await _query_slowdowns(state, path)
        _suspect_links(state, session, path, waited)
        if waited >= limit and await session.may_abort(path, lost_link=lost_link):
            break
    if not lost_link:
        _exclude_path(session, path)
    scope.cancel()


async def read_watched(
    state: GatewayState,
    session: StreamSession,
    path: ChosenPath,
    read: Callable[[], Awaitable[T]],
) -> T:
    """Read until the stream makes progress, and probe the engines if that is overdue.

    Args:
        state: State of the process.
        session: The caller's stream.
        path: The path.
        read: Reads from the answer until there is progress. It may be cancelled and called again.

    Returns:
        What `read` returns.

    Raises:
        AnswerBrokenError: If the answer ends early.
        AttemptAbandonedError: If an engine is unreachable, or the stream stalls for too long.
    """
    with anyio.move_on_after(_gap_timeout(session)):
        return await read()
    return await _read_overdue(state, session, path, read)


def _gap_timeout(session: StreamSession) -> float:
    """Return how long the next part may take before the engines are probed, in seconds."""
    is_known = session.pace.mean > 0
    timeout = stall_timeout(session.pace) if is_known else session.timeouts.first_probe
    return min(timeout, session.timeouts.gap_timeout)


async def _read_overdue(
    state: GatewayState,
    session: StreamSession,
    path: ChosenPath,
    read: Callable[[], Awaitable[T]],
) -> T:
    """Read what is overdue while the engines are probed.

    Reading continues meanwhile, since most pauses end by themselves before the probes complete.

    Raises:
        AnswerBrokenError: If the answer ends early.
        AttemptAbandonedError: If an engine is unreachable, or the stream stalls for too long.
    """
    results: list[T] = []
    failure: Exception = AttemptAbandonedError("the attempt was abandoned")
    reasons: list[str] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_stall, state, session, path, reasons, tasks.cancel_scope)
        try:
            results.append(await read())
        except (AnswerBrokenError, ValueError) as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if results:
        return results[0]
    raise AttemptAbandonedError(reasons[0]) if reasons else failure


async def _watch_stall(
    state: GatewayState,
    session: StreamSession,
    path: ChosenPath,
    reasons: list[str],
    scope: anyio.CancelScope,
) -> None:
    """Probe the engines of a stalled stream repeatedly, and abort its attempt if necessary.

    Args:
        state: State of the process.
        session: The caller's stream.
        path: The path.
        reasons: Receives the reason for the abort.
        scope: Scope of the read, which is cancelled on abort.
    """
    waited = _gap_timeout(session)
    while True:
        if await _has_unreachable(state, session, path):
            reasons.append("an engine of the path is unreachable")
            break
        if waited >= session.timeouts.slowdown_query:
            await _query_slowdowns(state, path)
        _suspect_links(state, session, path, waited)
        lost_link = _is_on_lost_link(state, session)
        timeouts = session.timeouts
        limit = timeouts.link_avoidance if lost_link else timeouts.gap_timeout
        if waited >= limit and await session.may_abort(path, lost_link=lost_link):
            if not lost_link:
                _exclude_path(session, path)
            reasons.append(f"stalled for {waited:.2f} s")
            break
        state.metrics.counters["false-alarm"] += 1
        record_false_alarm(session.pace)
        timeout = _gap_timeout(session)
        await anyio.sleep(timeout)
        waited += timeout
    scope.cancel()


async def _has_unreachable(state: GatewayState, session: StreamSession, path: ChosenPath) -> bool:
    """Probe the engines of a stalled path, and return whether any is unreachable."""
    # Imported here because few streams stall.
    from .probing import find_unreachable

    return await find_unreachable(state, path.engines, session.dead)


def _is_on_lost_link(state: GatewayState, session: StreamSession) -> bool:
    """Return whether an attempt uses a connection that this box opened before it was cut off.

    Such a connection may still work, or hang without being closed.
    """
    cut_since = state.reach.cut_since
    if cut_since is None or session.trace.relayed_by:
        return False
    return session.attempt_started_at < cut_since


async def _query_slowdowns(state: GatewayState, path: ChosenPath) -> None:
    """Ask the engines of a stalled path whether they are slow."""
    # Imported here because few streams stall.
    from .slowdown_queries import query_slowdowns

    await query_slowdowns(state, path)


def _exclude_path(session: StreamSession, path: ChosenPath) -> None:
    """Exclude all engines of a stalled path, since the one that caused the stall is unknown."""
    session.excluded.update(item.registration.instance for item in path.engines)


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
