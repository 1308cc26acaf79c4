"""Runs calls of plain services, including calls that may run at most once."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from returns.result import Failure

from ...coordination.claims import key_time_ms
from ...coordination.commands import (
    ClaimCommand,
    ClaimResult,
    ClaimVerdict,
    CompleteCommand,
    ReleaseCommand,
)
from ...model import Execution, Problem, ProblemError, ResultCode
from ...routing.rate_grants import acquire_grants, any_limited, record_demand
from ...routing.retry_budget import acquire_retry, record_first_attempt
from ...routing.upstream_table import (
    UpstreamView,
    is_usable,
    min_remaining_wait,
    record_backoff,
    record_failure,
    record_success,
)
from ...upstreams.service import ServiceAnswer, ServiceCall, ServiceCallError, call_service
from ..clock import now, wall_clock_ms
from ..limit_keeper import record_advertised_rate
from .checks import Permit, refusal
from .command_client import commit
from .context import rate_limiter_of, run_in_background
from .crashes import may_retry, record_answered, record_crash, refuse_quarantined
from .stopping import refuse_unfinishable

if TYPE_CHECKING:

    from .context import EntryContext

CLAIM_TIMEOUT_SECONDS: Final = 2.5
"""Timeout of a claim, after which the request is refused as not run."""

RECORD_TIMEOUT_SECONDS: Final = 30.0
"""Timeout for recording an outcome. A claim without one expires with an unknown outcome."""

CLAIM_MARGIN_MS: Final = 2000
"""Time after a request's deadline at which its claim counts as abandoned."""

MIN_FAILURE_STATUS: Final = 500
"""Lowest HTTP status that counts as a failure of the service."""


class ClaimedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that may run at most once, and its claim."""

    call: ServiceCall
    """The call."""

    attempt: str
    """Random id of the attempt that holds the claim."""

    account: str
    """Client account."""


async def run_service_call(
    context: EntryContext, permit: Permit, call: ServiceCall, *, repeatable: bool
) -> ServiceAnswer:
    """Run a call on a plain service.

    Args:
        context: The entry's state.
        permit: Permit of the request.
        call: The call.
        repeatable: False if the call may run at most once.

    Returns:
        The service's answer, or the recorded answer of an earlier call with the same key.

    Raises:
        ProblemError: If there is no answer. It states whether the call was run.
    """
    record_first_attempt(context.budget)
    if repeatable:
        refuse_quarantined(context, permit.fingerprint)
        return await _run_repeatable(context, permit, call)
    return await _run_at_most_once(context, permit, call)


def _services(context: EntryContext, permit: Permit) -> list[UpstreamView]:
    """Return the services that a call may be sent to, regardless of their state."""
    views = [context.upstreams.views.get(name) for name in permit.pipeline.services]
    return [view for view in views if view is not None and permit.allowed(view)]


def _seconds_to_capacity(context: EntryContext, permit: Permit) -> float | None:
    """Return the time until a service accepts work, in seconds; None if one accepts work now."""
    return min_remaining_wait(_services(context, permit), now())


def _no_service(context: EntryContext, permit: Permit) -> ProblemError:
    """Build the error for a call for which no service is available."""
    wait = _seconds_to_capacity(context, permit)
    if wait is not None:
        is_limited = any_limited([view.limit for view in _services(context, permit)], now())
        code = ResultCode.UPSTREAMS_LIMITED if is_limited else ResultCode.UPSTREAMS_RESTING
        return refusal(code, "all services of the pipeline", wait)
    return refusal(ResultCode.NO_ROUTE, "no service is reachable", 1.0)


def _choose_service(context: EntryContext, permit: Permit, tried: set[str]) -> UpstreamView | None:
    services = _services(context, permit)
    if record_demand([view.limit for view in services], now()):
        rate_limiter_of(context).wake.set()
    candidates = [
        view for view in services if view.upstream.name not in tried and is_usable(view, now())
    ]
    if not candidates:
        return None
    pair = context.rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda view: view.in_flight)


async def _dispatch(
    context: EntryContext, permit: Permit, view: UpstreamView, call: ServiceCall
) -> ServiceAnswer:
    sent_at = now()
    if not acquire_grants([view.limit], sent_at):
        raise ServiceCallError(Execution.NOT_RUN, "it takes no more requests in this second")
    limiter, name = rate_limiter_of(context), view.upstream.name
    view.in_flight += 1
    try:
        with anyio.fail_after(max(0.0, permit.deadline - now())):
            answer = await call_service(context.client, view.upstream.address, call)
    except TimeoutError as error:
        record_failure(view, now())
        raise ServiceCallError(Execution.UNKNOWN, "the deadline passed") from error
    except ServiceCallError as error:
        record_advertised_rate(
            limiter, name, error.advertised_rate, sent_at, is_own=error.backoff_seconds is not None
        )
        if error.backoff_seconds is None:
            record_failure(view, now())
        else:
            # A requested back-off is no failure.
            record_backoff(view, error.backoff_seconds, now())
        if error.execution is Execution.UNKNOWN:
            upstream = view.upstream
            await record_crash(context, permit.fingerprint, upstream.name, upstream.address)
        raise
    finally:
        view.in_flight -= 1
    record_advertised_rate(limiter, name, answer.advertised_rate, sent_at, is_own=True)
    if answer.backoff_seconds is not None:
        record_backoff(view, answer.backoff_seconds, now())
    record_success(view)
    record_answered(context, permit.fingerprint)
    return answer


async def _run_repeatable(
    context: EntryContext, permit: Permit, call: ServiceCall
) -> ServiceAnswer:
    tried: set[str] = set()
    may_have_run = False
    while True:
        view = _choose_service(context, permit, tried)
        if view is None:
            raise _no_service(context, permit)
        tried.add(view.upstream.name)
        try:
            answer = await _dispatch(context, permit, view, call)
            if answer.status < MIN_FAILURE_STATUS:
                return answer
            may_have_run = True
        except ServiceCallError as error:
            if now() >= permit.deadline:
                raise refusal(ResultCode.DEADLINE_EXCEEDED, str(error), 1.0) from error
            may_have_run = may_have_run or error.execution is not Execution.NOT_RUN
            answer = None
        if not may_have_run and _seconds_to_capacity(context, permit) is not None:
            raise _no_service(context, permit)
        if not may_retry(context, permit.fingerprint):
            raise refusal(ResultCode.UPSTREAM_LOST, "its upstreams ended", 1.0)
        if _choose_service(context, permit, tried) is None or not acquire_retry(context.budget):
            if answer is not None:
                return answer
            raise refusal(ResultCode.UPSTREAM_LOST, "no service answered", 1.0)
        context.metrics.events["service-retry"] += 1


async def _run_at_most_once(
    context: EntryContext, permit: Permit, call: ServiceCall
) -> ServiceAnswer:
    check_key(call.key)
    claimed = ClaimedCall(call=call, attempt=secrets.token_hex(12), account=permit.account.name)
    recorded = await _claim(context, permit, claimed)
    if recorded is not None:
        return recorded
    try:
        # A planned stop may have begun while the call was claimed.
        refuse_unfinishable(context, permit, may_repeat=False)
        answer = await _dispatch_claimed(context, permit, claimed)
    except ProblemError as error:
        if error.problem.known_execution is Execution.NOT_RUN:
            run_in_background(context, _release, context, claimed)
        else:
            run_in_background(context, _complete, context, claimed, None)
        raise
    except BaseException:
        # The caller disconnected or the process is stopping, so the outcome is unknown.
        run_in_background(context, _complete, context, claimed, None)
        raise
    with anyio.move_on_after(CLAIM_TIMEOUT_SECONDS) as scope:
        await _complete(context, claimed, answer)
    if scope.cancelled_caught:
        run_in_background(context, _complete, context, claimed, answer)
    return answer


def check_key(key: str) -> None:
    """Check an idempotency key.

    Raises:
        ProblemError: If it is missing or not a version 7 UUID.
    """
    if not key:
        detail = "send Idempotency-Key: a version 7 UUID"
        raise refusal(ResultCode.IDEMPOTENCY_KEY_MISSING, detail)
    if key_time_ms(key) is None:
        detail = "the Idempotency-Key must be a version 7 UUID (RFC 9562)"
        raise refusal(ResultCode.IDEMPOTENCY_KEY_INVALID, detail)


async def _claim(
    context: EntryContext, permit: Permit, claimed: ClaimedCall
) -> ServiceAnswer | None:
    """Claim a call.

    Returns:
        The recorded answer if the call was run before, or None if the claim is granted.

    Raises:
        ProblemError: If the call must not be dispatched.
    """
    call = claimed.call
    content = b"\0".join((call.method.encode(), call.path.encode(), call.body))
    remaining_ms = int((permit.deadline - now()) * 1000)
    command = ClaimCommand(
        account=claimed.account,
        key=call.key,
        body_digest=hashlib.blake2b(content, digest_size=16).digest(),
        attempt=claimed.attempt,
        deadline_ms=wall_clock_ms() + remaining_ms + CLAIM_MARGIN_MS,
        time_ms=wall_clock_ms(),
    )
    seconds = min(CLAIM_TIMEOUT_SECONDS, max(0.0, permit.deadline - now()))
    outcome = await commit(context.commands, command, seconds=seconds)
    if isinstance(outcome, Failure):
        # The claim may still be committed. Nothing was dispatched, so it is released.
        run_in_background(context, _release, context, claimed)
        problem = outcome.failure()
        raise refusal(problem.code, problem.detail, problem.retry_after)
    result = outcome.unwrap()
    assert isinstance(result, ClaimResult)
    return evaluate_claim(result)


def evaluate_claim(result: ClaimResult) -> ServiceAnswer | None:
    """Evaluate the result of a claim.

    Args:
        result: The result.

    Returns:
        The recorded answer, or None if the claim is granted and the call must be dispatched.

    Raises:
        ProblemError: If it must not be dispatched.
    """
    match result.verdict:
        case ClaimVerdict.GRANTED:
            return None
        case ClaimVerdict.ANSWERED:
            return ServiceAnswer(
                status=result.status, content_type=result.content_type, body=result.body
            )
        case ClaimVerdict.RUNNING:
            wait = result.retry_ms / 1000
            raise refusal(ResultCode.CLAIM_RUNNING, "the first request is in progress", wait)
        case ClaimVerdict.UNKNOWN:
            detail = "the request was started; whether it was run is not known"
            raise refusal(ResultCode.CLAIM_UNKNOWN, detail)
        case ClaimVerdict.MISMATCH:
            detail = "the key was used with another body"
            raise refusal(ResultCode.IDEMPOTENCY_KEY_REUSED, detail)
        case ClaimVerdict.EXPIRED:
            detail = "the key is older than the window in which keys are remembered"
            raise refusal(ResultCode.IDEMPOTENCY_KEY_EXPIRED, detail)
        case ClaimVerdict.FUTURE:
            detail = "the time in the key lies in the future"
            raise refusal(ResultCode.IDEMPOTENCY_KEY_INVALID, detail)
        case ClaimVerdict.FULL:
            raise refusal(ResultCode.CLAIM_TABLE_FULL, "too many claims are held", 60.0)


async def _dispatch_claimed(
    context: EntryContext, permit: Permit, claimed: ClaimedCall
) -> ServiceAnswer:
    """Dispatch a claimed call; retry it on another service only if it was not run.

    Quarantined content is refused only here, under a granted claim. Refusing it as not run before
    that would be wrong if an earlier call with the same key has run.
    """
    tried: set[str] = set()
    while True:
        refuse_quarantined(context, permit.fingerprint)
        view = _choose_service(context, permit, tried)
        if view is None or now() >= permit.deadline:
            raise _no_service(context, permit)
        tried.add(view.upstream.name)
        try:
            return await _dispatch(context, permit, view, claimed.call)
        except ServiceCallError as error:
            if error.execution is not Execution.NOT_RUN:
                problem = Problem(
                    code=ResultCode.UPSTREAM_LOST,
                    detail=f"whether the request was run is not known: {error}",
                    execution=error.execution,
                )
                raise ProblemError(problem) from error


async def _complete(
    context: EntryContext, claimed: ClaimedCall, answer: ServiceAnswer | None
) -> None:
    command = CompleteCommand(
        account=claimed.account,
        key=claimed.call.key,
        attempt=claimed.attempt,
        status=answer.status if answer else 0,
        content_type=answer.content_type if answer else "",
        body=answer.body if answer else b"",
        time_ms=wall_clock_ms(),
    )
    await commit(context.commands, command, seconds=RECORD_TIMEOUT_SECONDS)


async def _release(context: EntryContext, claimed: ClaimedCall) -> None:
    command = ReleaseCommand(
        account=claimed.account,
        key=claimed.call.key,
        attempt=claimed.attempt,
        time_ms=wall_clock_ms(),
    )
    await commit(context.commands, command, seconds=RECORD_TIMEOUT_SECONDS)
