"""Running one generation request to its end, over as many attempts as it takes."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure

from ...model import Execution, Problem, ProblemError, ResultCode, Route
from ...routing.chain import choose_route, eligible_engines, replace_stages
from ...routing.rate_grants import any_limited, note_wanted
from ...routing.retry_budget import note_first_try, take_retry
from ...routing.session import Session, begin_attempt
from ...routing.upstream_table import (
    note_failure,
    note_rest,
    view_wait,
)
from ...upstreams.engine import CancelRequest, cancel_on_engine
from ..clock import now
from .attempt import AttemptEnd, AttemptOutcome, Emit, Generation, Progress, run_attempt
from .context import in_background, limit_keeper_of
from .crashes import may_be_sent, note_answered, note_lost_run
from .watching import probe_failure_domain

if TYPE_CHECKING:
    from .context import EntryContext

logger = logging.getLogger(__name__)

RECOVERY_LIMIT: Final = 8
"""Most times that stages of one request are replaced."""

ROUTE_PATIENCE_SECONDS: Final = 3.0
"""How long a request that lost a stage waits for a route before it is given up."""

RECOVERY_PAUSE_SECONDS: Final = 0.05
"""Mean pause before another try when no stage can be replaced yet."""


async def generate(context: EntryContext, request: Generation, emit: Emit) -> Session:
    """Run a request to its end.

    Args:
        context: The entry's state.
        request: The request.
        emit: Passes texts on to the caller.

    Returns:
        The session, with the whole answer.

    Raises:
        ProblemError: If the request was given up on.
    """
    session = Session(
        session_id=secrets.token_hex(12),
        layers=request.pipeline.layers,
        max_tokens=request.max_tokens,
    )
    progress = Progress(last_token_at=request.arrived_at)
    note_first_try(context.budget)
    try:
        with anyio.fail_after(max(0.0, request.deadline - now())):
            await _run_attempts(context, request, session, progress, emit)
    except TimeoutError as error:
        raise _given_up(session, ResultCode.DEADLINE_EXCEEDED, "the deadline passed") from error
    finally:
        _cancel_leftovers(context, session, keep=frozenset())
        for verdict, count in session.dropped.items():
            context.metrics.events[f"dropped-{verdict.value}"] += count
    return session


async def _run_attempts(
    context: EntryContext, request: Generation, session: Session, progress: Progress, emit: Emit
) -> None:
    route = _first_route(context, request)
    recoveries = 0
    may_have_run = False
    while True:
        attempt = begin_attempt(session, route)
        outcome = await run_attempt(context, request, session, progress, emit)
        if outcome.end is AttemptEnd.COMPLETE:
            note_answered(context, request.content)
            return
        recoveries += 1
        await _note_ends(context, request, session, outcome)
        if not may_be_sent(context, request.content):
            raise _given_up(session, ResultCode.UPSTREAM_LOST, "its upstreams ended")
        _blame(context, outcome)
        if recoveries > RECOVERY_LIMIT:
            raise _given_up(session, ResultCode.UPSTREAM_LOST, "too many stages were lost")
        may_have_run = may_have_run or outcome.end is not AttemptEnd.REFUSED
        if not may_have_run:
            _refuse_if_unwanted(context, request)
        if not session.tokens and not take_retry(context.budget):
            raise _spent(session, outcome)
        progress.recovering = True
        context.metrics.events[f"attempt-{outcome.end.value}"] += 1
        logger.info(
            "stages replaced",
            extra={
                "request_id": session.session_id,
                "attempt": attempt,
                "blamed": sorted(outcome.blamed),
                "end": outcome.end.value,
            },
        )
        route = await _next_route(context, request, session, outcome)
        _cancel_leftovers(context, session, keep=route.upstreams)


async def _note_ends(
    context: EntryContext, request: Generation, session: Session, outcome: AttemptOutcome
) -> None:
    """Note which of the stages that were lost have ended under a request."""
    if outcome.end is not AttemptEnd.LOST or session.route is None:
        return
    async with anyio.create_task_group() as tasks:
        for stage in session.route.stages:
            if stage.upstream in outcome.blamed & outcome.reached:
                tasks.start_soon(
                    note_lost_run, context, request.content, stage.upstream, stage.address
                )


def _first_route(context: EntryContext, request: Generation) -> Route:
    """Choose the first route.

    Raises:
        ProblemError: If there is none; nothing has run.
    """
    _want_grants(context, request)
    engines = eligible_engines(context.upstreams, request.pipeline, now(), allowed=request.allowed)
    chosen = choose_route(engines, request.pipeline.layers, context.pick)
    if isinstance(chosen, Failure):
        _refuse_if_unwanted(context, request)
        raise ProblemError(chosen.failure())
    return chosen.unwrap()


def _want_grants(context: EntryContext, request: Generation) -> None:
    """Ask for what limited engines of the pipeline lack."""
    limits = [
        view.limit
        for view in context.upstreams.views.values()
        if view.upstream.model == request.pipeline.model
    ]
    if note_wanted(limits, now()):
        limit_keeper_of(context).wake.set()


def _refuse_if_unwanted(context: EntryContext, request: Generation) -> None:
    """Refuse a request that did not run if only rest or limits of engines keep it from a route.

    Other gaps are waited for, since a lost stage is replaced within moments.

    Raises:
        ProblemError: If so, with the time until there is a route.
    """
    seconds = _wait_before_route(context, request)
    if seconds is None:
        return
    is_limited = any_limited([view.limit for view in context.upstreams.views.values()], now())
    code = ResultCode.UPSTREAMS_LIMITED if is_limited else ResultCode.UPSTREAMS_RESTING
    detail = "the engines that want work now leave layers out"
    raise ProblemError(Problem(code=code, detail=detail, retry_after=seconds))


def _wait_before_route(context: EntryContext, request: Generation) -> float | None:
    """Return when there is a route since engines want work again, in seconds.

    Returns:
        None if there is one now, or if rest and limits are not what it lacks.
    """
    at = now()
    for wait in sorted({0.0} | {view_wait(view, at) for view in context.upstreams.views.values()}):
        engines = eligible_engines(
            context.upstreams, request.pipeline, at, allowed=request.allowed, available_within=wait
        )
        if not isinstance(choose_route(engines, request.pipeline.layers, context.pick), Failure):
            return wait or None
    return None


async def _next_route(
    context: EntryContext, request: Generation, session: Session, outcome: AttemptOutcome
) -> Route:
    """Replace the blamed stages, or choose a whole new route, waiting a little until one is there.

    Raises:
        ProblemError: If there is none within the patience; the caller is told at once then.
    """
    patient_until = now() + ROUTE_PATIENCE_SECONDS
    while True:
        _want_grants(context, request)
        engines = eligible_engines(
            context.upstreams, request.pipeline, now(), allowed=request.allowed
        )
        assert session.route is not None
        replaced = replace_stages(session.route, outcome.blamed, engines, context.pick)
        if replaced is not None:
            return replaced
        chosen = choose_route(engines, request.pipeline.layers, context.pick)
        if not isinstance(chosen, Failure):
            return chosen.unwrap()
        if now() >= patient_until:
            raise _given_up(session, ResultCode.UPSTREAM_LOST, chosen.failure().detail)
        await anyio.sleep(RECOVERY_PAUSE_SECONDS * context.rng.uniform(0.5, 1.5))


def _blame(context: EntryContext, outcome: AttemptOutcome) -> None:
    for name in outcome.blamed:
        view = context.upstreams.views.get(name)
        if view is None:
            continue
        if outcome.limited:
            continue
        if outcome.leaving:
            view.said_leaving = True
            continue
        if outcome.rest_seconds is not None:
            # No suspicion besides: that would have it probed until it answers.
            note_rest(view, outcome.rest_seconds, now())
            continue
        note_failure(view, now())
        if outcome.end is AttemptEnd.LOST:
            domain = view.upstream.failure_domain
            in_background(context, probe_failure_domain, context, domain)


def _spent(session: Session, outcome: AttemptOutcome) -> ProblemError:
    if outcome.end is AttemptEnd.REFUSED:
        detail = "every upstream tried refused before starting"
        problem = Problem(code=ResultCode.UPSTREAM_REFUSED, detail=detail, retry_after=1.0)
        return ProblemError(problem)
    return _given_up(session, ResultCode.UPSTREAM_LOST, "too many retries are in progress")


def _given_up(session: Session, code: ResultCode, detail: str) -> ProblemError:
    execution = Execution.RAN if session.tokens else Execution.UNKNOWN
    return ProblemError(Problem(code=code, detail=detail, execution=execution, retry_after=1.0))


def _cancel_leftovers(context: EntryContext, session: Session, *, keep: frozenset[str]) -> None:
    """Tell the stages of the last route that are not used any more to drop the request."""
    if session.route is None or (session.ended and not keep):
        return
    cancel = CancelRequest(session=session.session_id, attempt=session.attempt)
    for stage in session.route.stages:
        if stage.upstream not in keep:
            in_background(context, cancel_on_engine, context.client, stage.address, cancel)
