"""Runs a generation request to completion.

Lost stages are replaced in a new attempt. Beside an attempt whose stages are silent, another one
runs over other engines, and the first that makes progress continues the answer.
"""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure

from ...model import Execution, Problem, ProblemError, ResultCode, Route
from ...routing.attempt_race import begin_attempt as add_to_race
from ...routing.attempt_race import end_attempt as end_in_race
from ...routing.chain import choose_route, eligible_engines, replace_stages
from ...routing.rate_grants import any_limited, record_demand
from ...routing.retry_budget import acquire_retry, record_first_attempt
from ...routing.session import Session, begin_attempt
from ...routing.upstream_table import (
    record_backoff,
    record_failure,
    remaining_wait,
)
from ...upstreams.engine import CancelRequest, cancel_on_engine
from ..clock import now
from .attempt import AttemptOutcome, AttemptResult, run_attempt
from .branches import Branch, Emit, Generation, GenerationRun, Progress, fork_session
from .context import rate_limiter_of, run_in_background
from .crashes import may_retry, record_answered, record_crash
from .watching import find_silent_stages, probe_failure_domain, record_silence

if TYPE_CHECKING:
    from .context import EntryContext

logger = logging.getLogger(__name__)

MAX_RECOVERIES: Final = 8
"""Maximum number of recoveries of one request."""

ROUTE_TIMEOUT_SECONDS: Final = 3.0
"""Timeout for a new route after a stage was lost."""

RECOVERY_PAUSE_SECONDS: Final = 0.05
"""Mean interval at which a new route is tried."""


async def generate(context: EntryContext, request: Generation, emit: Emit) -> Session:
    """Run a request to completion.

    Args:
        context: The entry's state.
        request: The request.
        emit: Forwards texts to the caller.

    Returns:
        The session, with the complete answer.

    Raises:
        ProblemError: If the request failed.
    """
    session = Session(
        session_id=secrets.token_hex(12),
        layers=request.pipeline.layers,
        max_tokens=request.max_tokens,
    )
    progress = Progress(last_token_at=request.arrived_at)
    record_first_attempt(context.budget)
    try:
        with anyio.fail_after(max(0.0, request.deadline - now())):
            return await _run_attempts(context, request, session, progress, emit)
    except TimeoutError as error:
        raise _request_failed(
            progress.session or session, ResultCode.DEADLINE_EXCEEDED, "the deadline passed"
        ) from error
    finally:
        _release_session(context, session)


async def _run_attempts(
    context: EntryContext, request: Generation, session: Session, progress: Progress, emit: Emit
) -> Session:
    """Run all branches of a request.

    Returns:
        The session with the complete answer.

    Raises:
        ProblemError: If all branches failed.
    """
    route = _choose_first_route(context, request)
    async with anyio.create_task_group() as tasks:

        async def begin_hedge(overdue: Branch) -> None:
            planned = await _plan_hedge(context, run, overdue)
            if planned is None:
                return
            hedge = Branch(session=fork_session(run, overdue.session), started_at=now())
            # It counts as running at once, so that no second one is begun.
            add_to_race(run.race, hedge)
            tasks.start_soon(_run_hedge, context, run, hedge, planned)

        run = GenerationRun(request=request, progress=progress, emit=emit, begin_hedge=begin_hedge)
        first = Branch(session=session, started_at=now())
        add_to_race(run.race, first)
        await _run_branch(context, run, first, route)
    if run.answered is not None:
        return run.answered
    assert run.problem is not None
    raise run.problem


async def _run_hedge(
    context: EntryContext, run: GenerationRun, branch: Branch, route: Route
) -> None:
    try:
        await _run_branch(context, run, branch, route)
    finally:
        _release_session(context, branch.session)


async def _run_branch(
    context: EntryContext, run: GenerationRun, branch: Branch, route: Route
) -> None:
    """Run a branch until it has the answer, fails, or is stopped by the progress of another."""
    if branch.stopped is not None:
        end_in_race(run.race, branch)
        return
    with anyio.CancelScope() as scope:
        branch.stop = scope.cancel
        try:
            await _complete_branch(context, run, branch, route)
            run.answered = branch.session
        except ProblemError as error:
            run.problem = error
        finally:
            end_in_race(run.race, branch)
    if branch.stopped is not None:
        _release_session(context, branch.session)


async def _complete_branch(
    context: EntryContext, run: GenerationRun, branch: Branch, route: Route
) -> None:
    """Run attempts of a branch, each without the stages that were lost, until one is complete.

    Raises:
        ProblemError: If the branch failed.
    """
    request, session = run.request, branch.session
    while True:
        attempt = begin_attempt(session, route)
        outcome = await run_attempt(context, run, branch)
        if outcome.result is AttemptResult.COMPLETE:
            record_answered(context, request.fingerprint)
            return
        run.recoveries += 1
        await _record_crashes(context, request, session, outcome)
        if not may_retry(context, request.fingerprint):
            raise _request_failed(session, ResultCode.UPSTREAM_LOST, "its upstreams ended")
        _record_failures(context, outcome)
        if run.recoveries > MAX_RECOVERIES:
            raise _request_failed(session, ResultCode.UPSTREAM_LOST, "too many stages were lost")
        run.may_have_run = run.may_have_run or outcome.result is not AttemptResult.REFUSED
        if not run.may_have_run:
            _refuse_if_backing_off(context, request)
        if not session.tokens and not acquire_retry(context.budget):
            raise _no_retry_left(session, may_have_run=run.may_have_run)
        run.progress.recovering = True
        context.metrics.events[f"attempt-{outcome.result.value}"] += 1
        logger.info(
            "attempt failed; replacing stages",
            extra={
                "request_id": session.session_id,
                "attempt": attempt,
                "blamed": sorted(outcome.blamed),
                "end": outcome.result.value,
            },
        )
        route = await _choose_next_route(context, request, session, outcome)
        _cancel_unused_stages(context, session, keep=route.upstreams)


async def _plan_hedge(context: EntryContext, run: GenerationRun, overdue: Branch) -> Route | None:
    """Choose the route of a branch beside those that are overdue, and take its retry.

    Returns:
        None if none may be begun.
    """
    if not run.race.needs_attempt or run.race.running[-1] is not overdue:
        return None
    request, session = run.request, overdue.session
    reason, route = "", None
    if not may_retry(context, request.fingerprint):
        reason = "its upstreams ended"
    elif run.recoveries >= MAX_RECOVERIES:
        reason = "too many attempts were begun"
    else:
        route = await _choose_answering_route(context, request)
        if not run.race.needs_attempt:
            # A branch made progress while the engines were probed.
            return None
        if route is None:
            reason = "no route over other engines that answer"
        elif not session.tokens and not acquire_retry(context.budget):
            reason, route = "too many retries are in progress", None
    _log_decision(context, run, overdue, reason)
    if route is None:
        return None
    run.recoveries += 1
    run.may_have_run = True
    run.progress.recovering = True
    context.metrics.events["attempt-hedged"] += 1
    return route


async def _choose_answering_route(context: EntryContext, request: Generation) -> Route | None:
    """Choose a route whose engines all answer a probe, so that no work queues up on silent ones."""
    _request_grants(context, request)
    engines = eligible_engines(context.upstreams, request.pipeline, now(), allowed=request.allowed)
    chosen = choose_route(engines, request.pipeline.layers, context.select_engine)
    if isinstance(chosen, Failure):
        return None
    route = chosen.unwrap()
    silent = await find_silent_stages(context, route)
    record_silence(context, silent)
    return None if silent else route


def _log_decision(context: EntryContext, run: GenerationRun, overdue: Branch, reason: str) -> None:
    """Log what is done about an overdue branch; why it is kept only when that has changed."""
    is_repeated = bool(reason) and overdue.kept == reason
    overdue.kept = reason
    if is_repeated:
        return
    logger.info(
        "attempt overdue",
        extra={
            "request_id": overdue.session.session_id,
            "attempt": overdue.session.attempt,
            "decision": "kept" if reason else "another attempt begins beside it",
            "reason": reason,
            "overdue": overdue.overdue,
            "silent_for": round(now() - run.progress.last_token_at, 3),
            "version": context.configuration.version,
        },
    )


async def _record_crashes(
    context: EntryContext, request: Generation, session: Session, outcome: AttemptOutcome
) -> None:
    """Record a crash for each lost stage whose process exited while running the request."""
    if outcome.result is not AttemptResult.LOST or session.route is None:
        return
    async with anyio.create_task_group() as tasks:
        for stage in session.route.stages:
            if stage.upstream in outcome.blamed & outcome.reached:
                tasks.start_soon(
                    record_crash, context, request.fingerprint, stage.upstream, stage.address
                )


def _choose_first_route(context: EntryContext, request: Generation) -> Route:
    """Choose the first route.

    Raises:
        ProblemError: If there is none. Nothing has run.
    """
    _request_grants(context, request)
    engines = eligible_engines(context.upstreams, request.pipeline, now(), allowed=request.allowed)
    chosen = choose_route(engines, request.pipeline.layers, context.select_engine)
    if isinstance(chosen, Failure):
        _refuse_if_backing_off(context, request)
        raise ProblemError(chosen.failure())
    return chosen.unwrap()


def _request_grants(context: EntryContext, request: Generation) -> None:
    """Request missing rate grants for the engines of the pipeline."""
    limits = [
        view.limit
        for view in context.upstreams.views.values()
        if view.upstream.model == request.pipeline.model
    ]
    if record_demand(limits, now()):
        rate_limiter_of(context).wake.set()


def _refuse_if_backing_off(context: EntryContext, request: Generation) -> None:
    """Refuse a request that did not run if only back-offs or rate limits leave it without a route.

    Other missing layers are waited for, because lost stages are replaced quickly.

    Raises:
        ProblemError: If the request is refused, with the time until there is a route.
    """
    seconds = _seconds_to_route(context, request)
    if seconds is None:
        return
    is_limited = any_limited([view.limit for view in context.upstreams.views.values()], now())
    code = ResultCode.UPSTREAMS_LIMITED if is_limited else ResultCode.UPSTREAMS_RESTING
    detail = "the engines that want work now leave layers out"
    raise ProblemError(Problem(code=code, detail=detail, retry_after=seconds))


def _seconds_to_route(context: EntryContext, request: Generation) -> float | None:
    """Return the time until enough back-offs and rate limits end for a route, in seconds.

    Returns:
        None if there is a route now, or if there is none even after all of them end.
    """
    at = now()
    for wait in sorted(
        {0.0} | {remaining_wait(view, at) for view in context.upstreams.views.values()}
    ):
        engines = eligible_engines(
            context.upstreams, request.pipeline, at, allowed=request.allowed, available_within=wait
        )
        if not isinstance(
            choose_route(engines, request.pipeline.layers, context.select_engine), Failure
        ):
            return wait or None
    return None


async def _choose_next_route(
    context: EntryContext, request: Generation, session: Session, outcome: AttemptOutcome
) -> Route:
    """Replace the blamed stages, or choose a new route. Wait if there is none yet.

    Raises:
        ProblemError: If there is none within the timeout, without waiting for the deadline.
    """
    give_up_at = now() + ROUTE_TIMEOUT_SECONDS
    while True:
        _request_grants(context, request)
        engines = eligible_engines(
            context.upstreams, request.pipeline, now(), allowed=request.allowed
        )
        assert session.route is not None
        replaced = replace_stages(session.route, outcome.blamed, engines, context.select_engine)
        if replaced is not None:
            return replaced
        chosen = choose_route(engines, request.pipeline.layers, context.select_engine)
        if not isinstance(chosen, Failure):
            return chosen.unwrap()
        if now() >= give_up_at:
            raise _request_failed(session, ResultCode.UPSTREAM_LOST, chosen.failure().detail)
        await anyio.sleep(RECOVERY_PAUSE_SECONDS * context.rng.uniform(0.5, 1.5))


def _record_failures(context: EntryContext, outcome: AttemptOutcome) -> None:
    for name in outcome.blamed:
        view = context.upstreams.views.get(name)
        if view is None:
            continue
        if outcome.rate_limited:
            continue
        if outcome.draining:
            view.reported_draining = True
            continue
        if outcome.backoff_seconds is not None:
            # It is not suspected as well, because suspected engines are probed.
            record_backoff(view, outcome.backoff_seconds, now())
            continue
        record_failure(view, now())
        if outcome.result is AttemptResult.LOST:
            domain = view.upstream.failure_domain
            run_in_background(context, probe_failure_domain, context, domain)


def _no_retry_left(session: Session, *, may_have_run: bool) -> ProblemError:
    """Build the error for a request without a retry: refused if no upstream may have run it."""
    if not may_have_run:
        detail = "every upstream tried refused before starting"
        problem = Problem(code=ResultCode.UPSTREAM_REFUSED, detail=detail, retry_after=1.0)
        return ProblemError(problem)
    return _request_failed(session, ResultCode.UPSTREAM_LOST, "too many retries are in progress")


def _request_failed(session: Session, code: ResultCode, detail: str) -> ProblemError:
    execution = Execution.RAN if session.tokens else Execution.UNKNOWN
    return ProblemError(Problem(code=code, detail=detail, execution=execution, retry_after=1.0))


def _release_session(context: EntryContext, session: Session) -> None:
    """Cancel a session on all its stages unless it is complete; no effect if repeated."""
    _cancel_unused_stages(context, session, keep=frozenset())
    session.route = None
    for verdict, count in session.dropped.items():
        context.metrics.events[f"dropped-{verdict.value}"] += count
    session.dropped.clear()


def _cancel_unused_stages(context: EntryContext, session: Session, *, keep: frozenset[str]) -> None:
    """Cancel the request on stages of the previous route that are no longer used."""
    if session.route is None or (session.ended and not keep):
        return
    cancel = CancelRequest(session=session.session_id, attempt=session.attempt)
    for stage in session.route.stages:
        if stage.upstream not in keep:
            run_in_background(context, cancel_on_engine, context.client, stage.address, cancel)
