"""Decides whether another attempt of a stream is begun beside one that is overdue."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...routing.attempt_race import StopReason, stop_attempt
from .stream_attempt import describe_silence
from .stream_paths import (
    RETRIES_SPENT,
    acquire_planned_retry,
    choose_hedge_path,
    drop_planned,
    explain_no_attempt,
    uses_unreachable,
)
from .stream_session import PlannedAttempt, plan_attempt

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...routing.attempt_race import RunningAttempt
    from .checks import Permit
    from .state import GatewayState
    from .stream_session import StreamSession

logger = logging.getLogger(__name__)

NO_OTHER_PATH: Final = "no path over other engines that are not silent"
"""Reason for no attempt beside one that is overdue."""


async def plan_hedge(
    state: GatewayState, permit: Permit, request: HttpRequest, session: StreamSession
) -> PlannedAttempt | None:
    """Choose the path of an attempt beside those that are overdue, and take its retry.

    Args:
        state: State of the process.
        permit: Permit of the request.
        request: The request.
        session: The caller's stream.

    Returns:
        None if none may be begun.
    """
    newest = session.race.running[-1]
    planned: PlannedAttempt | None = None
    reason = explain_no_attempt(state, permit, request, session)
    if not reason:
        path = choose_hedge_path(state, permit, session)
        reason = "" if path is not None else NO_OTHER_PATH
        if path is not None:
            attempt = plan_attempt(session, path)
            retry = await acquire_planned_retry(state, permit, session, attempt)
            reason = "" if retry is not None else RETRIES_SPENT
            planned = PlannedAttempt(attempt, retry) if retry is not None else None
    if planned is not None and (session.complete or not session.race.needs_attempt):
        # An attempt made progress while quota was requested.
        drop_planned(state, permit, session, planned)
        return None
    _log_decision(state, permit, session, newest, planned, reason)
    if planned is None:
        return None
    state.metrics.counters["attempt-replaced"] += 1
    if session.was_hedge_refused and _stop_unreachable(session):
        session.next_attempt = planned
        return None
    return planned


def _stop_unreachable(session: StreamSession) -> bool:
    """Stop the attempts if an engine of each is unreachable; return whether they were.

    Done once an engine has refused an attempt beside them, so that others answer: the next one may
    need the room that they take, and begins once they have ended.
    """
    running = session.race.running
    if not all(uses_unreachable(session, item) for item in running):
        return False
    for item in running:
        stop_attempt(item, StopReason.UNREACHABLE)
    return True


def _log_decision(
    state: GatewayState,
    permit: Permit,
    session: StreamSession,
    attempt: RunningAttempt,
    planned: PlannedAttempt | None,
    reason: str,
) -> None:
    """Log what is done about an overdue attempt; why it is kept only when that has changed."""
    is_repeated = bool(reason) and attempt.kept == reason
    attempt.kept = reason
    if is_repeated:
        return
    now = anyio.current_time()
    logger.warning(
        "attempt overdue",
        extra={
            "request": permit.facts.attempt_id,
            "decision": "kept" if reason else "another attempt begins",
            "reason": reason,
            "overdue": attempt.overdue,
            "path": attempt.path.describe(),
            "next_path": planned.attempt.path.describe() if planned is not None else None,
            "silent_for": round(now - session.last_progress_at, 3),
            "silent_engines": describe_silence(attempt.path, now),
            "began_with": permit.version,
            "version": state.version,
        },
    )
