"""Watching a run of a stream: what is done when nothing comes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...http1 import AnswerBrokenError, read_part
from ...routing.link_doubts import doubt_links
from ...routing.pace import note_false_alarm, stall_after
from .asking import ask_slowdowns
from .probing import find_lost
from .upstream_call import (
    AnswerLostError,
    NotSentError,
    OpenAnswer,
    WithheldError,
    open_answer,
)

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...model.exchange import Dispatch
    from ...routing.paths import ChosenPath
    from .checks import Permit
    from .state import GatewayState
    from .stream_session import StreamSession

logger = logging.getLogger(__name__)


async def open_watched(
    state: GatewayState,
    permit: Permit,
    request: HttpRequest,
    session: StreamSession,
    path: ChosenPath,
    dispatch: Dispatch,
) -> OpenAnswer:
    """Send a request and wait for the head of the answer, with a watch on the path's engines.

    Args:
        state: The process's state.
        permit: What the request may do.
        request: The request.
        session: The caller's stream.
        path: The path.
        dispatch: What the first engine is told of the run.

    Returns:
        The answer, with its body unread.

    Raises:
        NotSentError: If nothing was sent.
        WithheldError: If an engine of the path wants it no more.
        AnswerLostError: If the request may have run and no head came, or came too late.
    """
    answer: OpenAnswer | None = None
    failure: Exception = AnswerLostError("no answer in time")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_first, state, session, path, tasks.cancel_scope)
        try:
            answer = await open_answer(
                state,
                permit,
                request,
                dispatch,
                path.head,
                fresh_connection=not permit.route.repeatable,
                later=path.engines[1:],
            )
        except (NotSentError, WithheldError, AnswerLostError) as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if answer is None:
        raise failure
    return answer


async def _watch_first(
    state: GatewayState, session: StreamSession, path: ChosenPath, scope: anyio.CancelScope
) -> None:
    """Probe the engines of a path each time that the head of the answer is overdue.

    The wait is ended when one of them is dead, or after the stream's `first_limit`.
    """
    limit = session.patience.first_limit
    waited = 0.0
    while waited < limit:
        patience = max(stall_after(state.first_pace), session.patience.first_look)
        patience = min(patience, limit - waited)
        await anyio.sleep(patience)
        waited += patience
        if await find_lost(state, path.engines, session.dead):
            scope.cancel()
            return
        await ask_slowdowns(state, path)
        _suspect_links(state, session, path, waited)
    _exclude_all(session, path)
    scope.cancel()


async def read_watched(
    state: GatewayState, session: StreamSession, path: ChosenPath, answer: OpenAnswer
) -> bytes | None:
    """Read the next part; a pause beyond the stream's own pace has the engines probed.

    Args:
        state: The process's state.
        session: The caller's stream.
        path: The path.
        answer: The engine's answer.

    Returns:
        The part, or None once the answer is complete.

    Raises:
        AnswerBrokenError: If the answer ends early.
        AnswerLostError: If an engine is dead, or none is and the silence lasts too long.
    """
    with anyio.move_on_after(_gap_patience(session)):
        return await read_part(answer.connection)
    return await _read_overdue(state, session, path, answer)


def _gap_patience(session: StreamSession) -> float:
    """Return how long the next part may take before the engines are looked at, in seconds."""
    is_known = session.pace.mean > 0
    patience = stall_after(session.pace) if is_known else session.patience.first_look
    return min(patience, session.patience.gap_limit)


async def _read_overdue(
    state: GatewayState, session: StreamSession, path: ChosenPath, answer: OpenAnswer
) -> bytes | None:
    """Read a part that is overdue while the engines are looked at.

    What comes meanwhile is passed on at once: most pauses end by themselves, and the probes and
    questions to engines take 0.1 s.

    Raises:
        AnswerBrokenError: If the answer ends early.
        AnswerLostError: If an engine is dead, or none is and the silence lasts too long.
    """
    part: bytes | None = None
    failure: Exception | None = AnswerLostError("the path was given up")
    losses: list[str] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_gap, state, session, path, losses, tasks.cancel_scope)
        try:
            part = await read_part(answer.connection)
            failure = None
        except AnswerBrokenError as error:
            # Raised below: a task group would wrap it.
            failure = error
        tasks.cancel_scope.cancel()
    if failure is None:
        return part
    raise AnswerLostError(losses[0]) if losses else failure


async def _watch_gap(
    state: GatewayState,
    session: StreamSession,
    path: ChosenPath,
    losses: list[str],
    scope: anyio.CancelScope,
) -> None:
    """Look at the engines of a stream that pauses; cancel its reading if it is to be given up.

    Args:
        state: The process's state.
        session: The caller's stream.
        path: The path.
        losses: Takes why it is given up.
        scope: What to cancel then.
    """
    waited = _gap_patience(session)
    while True:
        if await find_lost(state, path.engines, session.dead):
            losses.append("an engine of the path does not answer")
            break
        if waited >= session.patience.ask:
            await ask_slowdowns(state, path)
        _suspect_links(state, session, path, waited)
        if waited >= session.patience.gap_limit:
            _exclude_all(session, path)
            losses.append(f"silent for {waited:.2f} s")
            break
        state.metrics.counters["false-alarm"] += 1
        note_false_alarm(session.pace)
        patience = _gap_patience(session)
        await anyio.sleep(patience)
        waited += patience
    scope.cancel()


def _exclude_all(session: StreamSession, path: ChosenPath) -> None:
    """Exclude all engines of a path that was silent for too long: nothing tells which it was."""
    session.excluded.update(item.registration.instance for item in path.engines)


def _suspect_links(
    state: GatewayState, session: StreamSession, path: ChosenPath, waited: float
) -> None:
    """Avoid the links of a path that has stood still for long although all its engines answer."""
    if waited < session.patience.link:
        return
    known = set(state.suspected_links.until)
    links = doubt_links(state.suspected_links, path.domains, anyio.current_time())
    if not known.issuperset(links):
        logger.warning(
            "links between failure domains avoided", extra={"links": links, "silent_for": waited}
        )
