"""Runs one attempt of a generation request: streams from its head and monitors its progress."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from enum import StrEnum
from typing import TYPE_CHECKING

import anyio
import msgspec

from ...routing.pace import Pace, record_false_alarm, record_gap, stall_timeout
from ...routing.rate_grants import acquire_grants, has_grant
from ...routing.session import Session, TokenFrame, Verdict, accept_token
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
from .watching import responds_to_probe

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ...model import Pipeline
    from ...model.exchange import AdvertisedRate
    from ...routing.upstream_table import UpstreamView
    from .context import EntryContext

logger = logging.getLogger(__name__)

Emit = Callable[[list[str]], Awaitable[None]]
"""Forwards texts of accepted tokens to the caller."""


class Generation(msgspec.Struct, frozen=True, kw_only=True):
    """A generation request that passed all checks."""

    pipeline: Pipeline
    """Pipeline that runs it."""

    prompt: str
    """Prompt."""

    max_tokens: int
    """Maximum number of tokens of the answer."""

    rank: int
    """Rank of its priority."""

    deadline: float
    """Deadline of the answer, on the monotonic clock."""

    arrived_at: float
    """Time of arrival, on the monotonic clock."""

    allowed: Callable[[UpstreamView], bool]
    """Returns whether its policy allows an upstream."""

    fingerprint: bytes = b""
    """Fingerprint of its content."""


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

    blocked: bool = False
    """True while a write to the caller is in progress."""

    reached: frozenset[str] = frozenset()
    """Upstreams that were alive when the attempt reached them."""


class Progress(msgspec.Struct, kw_only=True):
    """Timing of a request over all its attempts."""

    pace: Pace = msgspec.field(default_factory=Pace)
    """Gaps between tokens."""

    last_token_at: float = 0.0
    """Time at which the latest token was accepted, or at which the request arrived."""

    recovering: bool = False
    """True from the loss of a stage until the next token."""


async def run_attempt(
    context: EntryContext, request: Generation, session: Session, progress: Progress, emit: Emit
) -> AttemptOutcome:
    """Run the current attempt: stream from the head, and monitor progress concurrently."""
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
            tasks.start_soon(_watch_progress, context, session, progress, attempt, tasks)
            await _stream_from_head(context, request, session, progress, attempt, emit)
            tasks.cancel_scope.cancel()
    finally:
        for view in known:
            view.in_flight -= 1
    attempt.outcome.reached = attempt.reached
    if attempt.outcome.result is AttemptResult.COMPLETE:
        for view in known:
            record_success(view)
    return attempt.outcome


async def _stream_from_head(
    context: EntryContext,
    request: Generation,
    session: Session,
    progress: Progress,
    attempt: Attempt,
    emit: Emit,
) -> None:
    """Handle frames from the head until the attempt has an outcome."""
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

    def record_rate(advertised: AdvertisedRate | None) -> None:
        record_advertised_rate(rate_limiter_of(context), head, advertised, sent_at, is_own=True)

    try:
        async with aclosing(run_on_engine(context.client, run, record_rate)) as batches:
            async for frames in batches:
                texts, lost = _handle_frames(context, session, progress, frames)
                if texts:
                    attempt.reached = session.route.upstreams
                    attempt.blocked = True
                    await emit(texts)
                    attempt.blocked = False
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
    context: EntryContext,
    session: Session,
    progress: Progress,
    attempt: Attempt,
    tasks: TaskGroup,
) -> None:
    """Cancel the attempt if it stalls and some of its stages do not answer a probe.

    A caller that does not read does not count as a stall. The timer is not reset for each token:
    after a timeout, the time of the latest progress decides whether to wait again.
    """
    while True:
        pace = progress.pace if session.tokens else context.first_pace
        timeout = context.settings.entry.stall_seconds or stall_timeout(pace)
        inactive_seconds = now() - attempt.last_progress_at
        if attempt.blocked or inactive_seconds < timeout:
            await anyio.sleep(timeout if attempt.blocked else timeout - inactive_seconds)
            continue
        unreachable = await _find_unreachable_stages(context, session)
        if unreachable:
            context.metrics.events["stall-confirmed"] += 1
            attempt.outcome = AttemptOutcome(result=AttemptResult.LOST, blamed=unreachable)
            tasks.cancel_scope.cancel()
            return
        context.metrics.events["stall-false-alarm"] += 1
        record_false_alarm(pace)
        attempt.last_progress_at = now()


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


async def _find_unreachable_stages(context: EntryContext, session: Session) -> frozenset[str]:
    """Probe all stages of the route concurrently and return those that do not answer."""
    assert session.route is not None
    unreachable: set[str] = set()

    async def probe(upstream: str, address: str) -> None:
        if not await responds_to_probe(context, address):
            unreachable.add(upstream)

    async with anyio.create_task_group() as tasks:
        for stage in session.route.stages:
            tasks.start_soon(probe, stage.upstream, stage.address)
    return frozenset(unreachable)
