"""Runs one attempt of a generation request: streams from its head and monitors its progress."""

from __future__ import annotations

import logging
import math
from contextlib import aclosing
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import anyio
import anyio.lowlevel
import msgspec

from ...routing.attempt_race import record_overdue, record_progress
from ...routing.pace import record_false_alarm, record_gap, stall_timeout
from ...routing.rate_grants import acquire_grants, has_grant
from ...routing.session import TokenFrame, Verdict, accept_token
from ...routing.upstream_table import record_success
from ...upstreams.engine import (
    EngineFrame,
    EngineLostError,
    EngineRefusedError,
    EngineUnreachableError,
    make_run_request,
    run_on_engine,
)
from ..clock import now
from ..limit_keeper import record_advertised_rate
from .context import rate_limiter_of
from .metrics import record_duration
from .watching import find_silent_stages, is_suspected, record_silence

if TYPE_CHECKING:
    from ...model.exchange import AdvertisedRate
    from ...routing.session import Session
    from .branches import Branch, GenerationRun, Progress
    from .context import EntryContext

logger = logging.getLogger(__name__)

HEDGE_INTERVAL_SECONDS: Final = 0.05
"""Mean interval at which another branch is considered beside an overdue one."""


class AttemptResult(StrEnum):
    """Result of an attempt."""

    COMPLETE = "complete"
    """The answer is complete."""

    LOST = "lost"
    """Some stages failed."""

    REFUSED = "refused"
    """A stage is alive and refused the request."""


class AttemptOutcome(msgspec.Struct, kw_only=True):
    """How an attempt ended, and which upstreams caused it."""

    result: AttemptResult
    """The result."""

    blamed: frozenset[str] = frozenset()
    """Upstreams that failed or refused."""

    draining: bool = False
    """True if an upstream refused because it is draining."""

    rate_limited: bool = False
    """True if nothing was sent because the rate limit of an upstream is used up for now."""

    backoff_seconds: float | None = None
    """Back-off that the upstream requested with its refusal, in seconds."""

    reached: frozenset[str] = frozenset()
    """Upstreams that were alive when the attempt reached them: the head once it accepted the
    request, and all stages after the first token. An upstream that exited earlier is no evidence
    that the request crashed it."""


class Attempt(msgspec.Struct, kw_only=True):
    """State of a running attempt."""

    outcome: AttemptOutcome
    """Its outcome; loss of the head until another one is known."""

    last_progress_at: float
    """Time of its latest progress, on the monotonic clock."""

    patient_until: float = math.inf
    """Time after a silence from which it is overdue although all stages answer, on the monotonic
    clock; infinite if none was silent since its latest token."""

    reached: frozenset[str] = frozenset()
    """Upstreams that were alive when the attempt reached them."""


async def run_attempt(context: EntryContext, run: GenerationRun, branch: Branch) -> AttemptOutcome:
    """Run the current attempt of a branch: stream from the head, and monitor its progress."""
    session = branch.session
    assert session.route is not None
    views = [context.upstreams.views.get(name) for name in session.route.upstreams]
    known = [view for view in views if view is not None]
    head = frozenset({session.route.head.upstream})
    at = now()
    without_grant = frozenset(view.upstream.name for view in known if not has_grant(view.limit, at))
    if without_grant:
        return AttemptOutcome(result=AttemptResult.REFUSED, blamed=without_grant, rate_limited=True)
    acquire_grants([view.limit for view in known], at)
    attempt = Attempt(
        outcome=AttemptOutcome(result=AttemptResult.LOST, blamed=head), last_progress_at=now()
    )
    for view in known:
        view.in_flight += 1
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_progress, context, run, branch, attempt)
            await _stream_from_head(context, run, branch, attempt)
            tasks.cancel_scope.cancel()
    finally:
        branch.overdue = ""
        for view in known:
            view.in_flight -= 1
    attempt.outcome.reached = attempt.reached
    if attempt.outcome.result is AttemptResult.COMPLETE:
        for view in known:
            record_success(view)
    return attempt.outcome


async def _stream_from_head(
    context: EntryContext, run: GenerationRun, branch: Branch, attempt: Attempt
) -> None:
    """Handle frames from the head until the attempt has an outcome."""
    session, request = branch.session, run.request
    assert session.route is not None
    message = make_run_request(
        session=session.session_id,
        attempt=session.attempt,
        model=request.pipeline.model,
        prompt=request.prompt,
        tokens=session.tokens,
        max_tokens=request.max_tokens,
        rank=request.rank,
        route=session.route,
    )
    head, sent_at = session.route.head.upstream, now()

    def record_rate(advertised: AdvertisedRate | None) -> None:
        record_advertised_rate(rate_limiter_of(context), head, advertised, sent_at, is_own=True)

    try:
        async with aclosing(run_on_engine(context.client, message, record_rate)) as batches:
            async for frames in batches:
                if branch.stopped is not None:
                    # Its scope is cancelled, which these frames were ahead of.
                    await anyio.lowlevel.checkpoint()
                texts, lost = _handle_frames(context, session, run.progress, frames)
                if texts:
                    record_progress(run.race, branch)
                    attempt.reached = session.route.upstreams
                    attempt.patient_until = math.inf
                    branch.is_writing = True
                    await run.emit(texts)
                    branch.is_writing = False
                    attempt.last_progress_at = now()
                if session.ended:
                    attempt.outcome = AttemptOutcome(result=AttemptResult.COMPLETE)
                    return
                if lost is not None:
                    attempt.outcome = lost
                    return
    except EngineRefusedError as error:
        attempt.outcome.result = AttemptResult.REFUSED
        attempt.outcome.draining = error.body.leaving
        attempt.outcome.backoff_seconds = error.backoff_seconds
    except EngineLostError as error:
        if not isinstance(error, EngineUnreachableError):
            attempt.reached |= attempt.outcome.blamed
        extra = {"upstream": sorted(attempt.outcome.blamed), "reason": str(error)}
        logger.info("connection to the head of the route lost", extra=extra)


async def _watch_progress(
    context: EntryContext, run: GenerationRun, branch: Branch, attempt: Attempt
) -> None:
    """Take the attempt for overdue if it stalls and some of its stages do not answer a probe.

    A caller that does not read does not count as a stall. The timer is not reset for each token:
    after a timeout, the time of the latest progress decides whether to wait again.
    """
    session = branch.session
    assert session.route is not None
    while True:
        pace = run.progress.pace if session.tokens else context.first_pace
        timeout = context.settings.entry.stall_seconds or stall_timeout(pace)
        inactive_seconds = now() - attempt.last_progress_at
        if branch.is_writing or inactive_seconds < timeout:
            await anyio.sleep(timeout if branch.is_writing else timeout - inactive_seconds)
            continue
        stalled_at = attempt.last_progress_at
        silent = await find_silent_stages(context, session.route)
        if branch.is_writing or attempt.last_progress_at != stalled_at:
            continue
        if silent or now() >= attempt.patient_until:
            await _wait_overdue(context, run, branch, attempt, silent)
            continue
        context.metrics.events["stall-false-alarm"] += 1
        record_false_alarm(pace)
        attempt.last_progress_at = now()


async def _wait_overdue(
    context: EntryContext,
    run: GenerationRun,
    branch: Branch,
    attempt: Attempt,
    silent: frozenset[str],
) -> None:
    """Consider another branch until the attempt makes progress or its stages answer again.

    The attempt itself goes on, because silent engines may be sound. Once they answer again, it has
    as much time as the silence lasted, in which TCP repeats what was lost. After that its
    connections may be broken although its engines work.
    """
    reason = f"silent: {', '.join(sorted(silent))}" if silent else "no progress after a silence"
    record_overdue(branch, reason)
    overdue_at = now()
    if silent:
        context.metrics.events["stall-confirmed"] += 1
        record_silence(context, silent)
    while branch.overdue:
        if silent and not any(is_suspected(context, name) for name in silent):
            branch.overdue = ""
            attempt.last_progress_at = now()
            attempt.patient_until = now() + (now() - overdue_at)
            return
        await run.begin_hedge(branch)
        await anyio.sleep(HEDGE_INTERVAL_SECONDS * context.rng.uniform(0.5, 1.5))


def _handle_frames(
    context: EntryContext, session: Session, progress: Progress, frames: list[EngineFrame]
) -> tuple[list[str], AttemptOutcome | None]:
    texts: list[str] = []
    for frame in frames:
        if isinstance(frame, TokenFrame):
            if accept_token(session, frame) is Verdict.ACCEPTED:
                texts.append(frame.text)
            continue
        if (frame.session, frame.attempt) == (session.session_id, session.attempt):
            result = AttemptResult.REFUSED if frame.refused else AttemptResult.LOST
            blamed = frozenset({frame.upstream})
            lost = AttemptOutcome(result=result, blamed=blamed, draining=frame.leaving)
            _record_tokens(context, session, progress, texts)
            return texts, lost
    _record_tokens(context, session, progress, texts)
    return texts, None


def _record_tokens(
    context: EntryContext, session: Session, progress: Progress, texts: list[str]
) -> None:
    if not texts:
        return
    at = now()
    gap = at - progress.last_token_at
    metrics = context.metrics
    metrics.tokens += len(texts)
    if len(session.tokens) == len(texts):
        record_duration(metrics.first_token, gap)
        record_gap(context.first_pace, gap)
    elif progress.recovering:
        record_duration(metrics.recovery, gap)
    else:
        record_duration(metrics.token_gap, gap / len(texts))
        record_gap(progress.pace, gap)
    progress.recovering = False
    progress.last_token_at = at
    progress.session = session
