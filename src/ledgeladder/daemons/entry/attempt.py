"""One attempt of a generation request: following the head, and watching its progress."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import msgspec

from ...routing.pace import Pace, note_false_alarm, note_gap, stall_after
from ...routing.rate_grants import has_grant, take_grants
from ...routing.session import Session, TokenFrame, Verdict, accept_token
from ...routing.upstream_table import note_success
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
from .context import limit_keeper_of
from .metrics import record
from .watching import answers

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ...model import Pipeline
    from ...model.exchange import NamedRate
    from ...routing.upstream_table import UpstreamView
    from .context import EntryContext

logger = logging.getLogger(__name__)

Emit = Callable[[list[str]], Awaitable[None]]
"""Passes texts of accepted tokens on to the caller."""


class Generation(msgspec.Struct, frozen=True, kw_only=True):
    """A generation request after all checks."""

    pipeline: Pipeline
    """Pipeline that it runs on."""

    prompt: str
    """Prompt."""

    max_tokens: int
    """Most tokens of the answer."""

    rank: int
    """Rank of its priority."""

    deadline: float
    """When it must be answered, on the monotonic clock."""

    arrived_at: float
    """When it arrived."""

    allowed: Callable[[UpstreamView], bool]
    """Which upstreams its policy allows."""

    content: bytes = b""
    """Mark of its content."""


class AttemptEnd(StrEnum):
    """How an attempt ended."""

    COMPLETE = "complete"
    """The answer is whole."""

    LOST = "lost"
    """Some stages failed."""

    REFUSED = "refused"
    """A stage refused the work."""


class AttemptOutcome(msgspec.Struct, kw_only=True):
    """How an attempt ended, and on whose account."""

    end: AttemptEnd
    """How it ended."""

    blamed: frozenset[str] = frozenset()
    """Upstreams that failed or refused."""

    leaving: bool = False
    """True if an upstream refused because it is leaving."""

    limited: bool = False
    """True if nothing was sent, since upstreams take no more requests in this second."""

    rest_seconds: float | None = None
    """How long the upstream that refused wants nothing more from this box, if it said so."""

    reached: frozenset[str] = frozenset()
    """Upstreams that lived when the attempt came to them: the head if it took the request, and all
    once there was a token. One that had ended before is no evidence against the request."""


class Attempt(msgspec.Struct, kw_only=True):
    """One attempt while it runs."""

    outcome: AttemptOutcome
    """How it ends; the loss of the head until something else is known."""

    moved_at: float
    """When it last made progress, on the monotonic clock."""

    blocked: bool = False
    """True while the caller does not take what is sent."""

    reached: frozenset[str] = frozenset()
    """Upstreams that lived when the attempt came to them."""


class Progress(msgspec.Struct, kw_only=True):
    """Timing of one request over all its attempts."""

    pace: Pace = msgspec.field(default_factory=Pace)
    """Gaps between tokens."""

    last_token_at: float = 0.0
    """When the newest token was accepted, or the request arrived."""

    recovering: bool = False
    """True from the loss of a stage to the next token."""


async def run_attempt(
    context: EntryContext, request: Generation, session: Session, progress: Progress, emit: Emit
) -> AttemptOutcome:
    """Run the current attempt: follow the head, with a watch on progress beside it."""
    assert session.route is not None
    views = [context.upstreams.views.get(name) for name in session.route.upstreams]
    held = [view for view in views if view is not None]
    head = frozenset({session.route.head.upstream})
    at = now()
    lacking = frozenset(view.upstream.name for view in held if not has_grant(view.limit, at))
    if lacking:
        return AttemptOutcome(end=AttemptEnd.REFUSED, blamed=lacking, limited=True)
    take_grants([view.limit for view in held], at)
    attempt = Attempt(outcome=AttemptOutcome(end=AttemptEnd.LOST, blamed=head), moved_at=now())
    for view in held:
        view.in_flight += 1
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_progress, context, session, progress, attempt, tasks)
            await _follow_head(context, request, session, progress, attempt, emit)
            tasks.cancel_scope.cancel()
    finally:
        for view in held:
            view.in_flight -= 1
    attempt.outcome.reached = attempt.reached
    if attempt.outcome.end is AttemptEnd.COMPLETE:
        for view in held:
            note_success(view)
    return attempt.outcome


async def _follow_head(
    context: EntryContext,
    request: Generation,
    session: Session,
    progress: Progress,
    attempt: Attempt,
    emit: Emit,
) -> None:
    """Judge frames as the head sends them, until the attempt has an outcome."""
    assert session.route is not None
    run = make_run_request(
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

    def take_rate(named: NamedRate | None) -> None:
        record_advertised_rate(limit_keeper_of(context), head, named, sent_at, is_own=True)

    try:
        async with aclosing(run_on_engine(context.client, run, take_rate)) as batches:
            async for frames in batches:
                texts, lost = _take_in(context, session, progress, frames)
                if texts:
                    attempt.reached = session.route.upstreams
                    attempt.blocked = True
                    await emit(texts)
                    attempt.blocked = False
                    attempt.moved_at = now()
                if session.ended:
                    attempt.outcome = AttemptOutcome(end=AttemptEnd.COMPLETE)
                    return
                if lost is not None:
                    attempt.outcome = lost
                    return
    except EngineRefusedError as error:
        attempt.outcome.end = AttemptEnd.REFUSED
        attempt.outcome.leaving = error.body.leaving
        attempt.outcome.rest_seconds = error.rest_seconds
    except EngineLostError as error:
        if not isinstance(error, EngineUnreachableError):
            attempt.reached |= attempt.outcome.blamed
        extra = {"upstream": sorted(attempt.outcome.blamed), "reason": str(error)}
        logger.info("head lost", extra=extra)


async def _watch_progress(
    context: EntryContext,
    session: Session,
    progress: Progress,
    attempt: Attempt,
    tasks: TaskGroup,
) -> None:
    """End the attempt if it makes no progress and some of its stages do not answer.

    One timer a gap and not one a token: the watch looks again when the allowed gap would be over.
    A caller that does not read is no stall.
    """
    while True:
        pace = progress.pace if session.tokens else context.first_pace
        patience = context.settings.entry.stall_seconds or stall_after(pace)
        waited = now() - attempt.moved_at
        if attempt.blocked or waited < patience:
            await anyio.sleep(patience if attempt.blocked else patience - waited)
            continue
        dead = await _find_dead_stages(context, session)
        if dead:
            context.metrics.events["stall-confirmed"] += 1
            attempt.outcome = AttemptOutcome(end=AttemptEnd.LOST, blamed=dead)
            tasks.cancel_scope.cancel()
            return
        context.metrics.events["stall-false-alarm"] += 1
        note_false_alarm(pace)
        attempt.moved_at = now()


def _take_in(
    context: EntryContext, session: Session, progress: Progress, frames: list[EngineFrame]
) -> tuple[list[str], AttemptOutcome | None]:
    texts: list[str] = []
    for frame in frames:
        if isinstance(frame, TokenFrame):
            if accept_token(session, frame) is Verdict.ACCEPTED:
                texts.append(frame.text)
            continue
        if (frame.session, frame.attempt) == (session.session_id, session.attempt):
            end = AttemptEnd.REFUSED if frame.refused else AttemptEnd.LOST
            blamed = frozenset({frame.upstream})
            lost = AttemptOutcome(end=end, blamed=blamed, leaving=frame.leaving)
            _note_tokens(context, session, progress, texts)
            return texts, lost
    _note_tokens(context, session, progress, texts)
    return texts, None


def _note_tokens(
    context: EntryContext, session: Session, progress: Progress, texts: list[str]
) -> None:
    if not texts:
        return
    at = now()
    gap = at - progress.last_token_at
    metrics = context.metrics
    metrics.tokens += len(texts)
    if len(session.tokens) == len(texts):
        record(metrics.first_token, gap)
        note_gap(context.first_pace, gap)
    elif progress.recovering:
        record(metrics.recovery, gap)
    else:
        record(metrics.token_gap, gap / len(texts))
        note_gap(progress.pace, gap)
    progress.recovering = False
    progress.last_token_at = at


async def _find_dead_stages(context: EntryContext, session: Session) -> frozenset[str]:
    """Probe all stages of the route side by side and return those that do not answer."""
    assert session.route is not None
    dead: set[str] = set()

    async def probe(upstream: str, address: str) -> None:
        if not await answers(context, address):
            dead.add(upstream)

    async with anyio.create_task_group() as tasks:
        for stage in session.route.stages:
            tasks.start_soon(probe, stage.upstream, stage.address)
    return frozenset(dead)
