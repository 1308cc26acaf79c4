"""Checks requests before they are sent to an upstream."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import msgspec
from returns.result import Failure

from ...model import ClientAccount, Pipeline, Problem, ProblemError, ResultCode
from ...routing.admission import DEFAULT_RANK, Ticket, expected_wait, finish, submit
from ...routing.policy import Decision, RequestFacts, evaluate_policy
from ..clock import now
from ..held_body import read_held_body
from .metrics import record_duration
from .stopping import ends_with_stop, refuse_unfinishable

if TYPE_CHECKING:
    from starlette.requests import Request

    from ...http1.crowding import RequestBytes
    from ...routing.upstream_table import UpstreamView
    from .context import EntryContext


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to run a request, with its limits."""

    account: ClientAccount
    """Client account."""

    pipeline: Pipeline
    """Pipeline that runs the request."""

    decision: Decision
    """Decision of the pipeline's policy."""

    rank: int
    """Rank of its priority."""

    arrived_at: float
    """Time of arrival, on the monotonic clock."""

    fingerprint: bytes = b""
    """Fingerprint of the request content."""

    @property
    def deadline(self) -> float:
        """Deadline of the answer, on the monotonic clock."""
        return self.arrived_at + self.pipeline.deadline_seconds

    @property
    def allowed(self) -> Callable[[UpstreamView], bool]:
        """Returns whether the policy allows an upstream."""
        return allowed_upstreams(self.decision)


def refusal(code: ResultCode, detail: str, retry_after: float | None = None) -> ProblemError:
    """Build the error that refuses a request."""
    return ProblemError(Problem(code=code, detail=detail, retry_after=retry_after))


def allowed_upstreams(decision: Decision) -> Callable[[UpstreamView], bool]:
    """Return a predicate for the upstreams that a decision allows."""
    names = None if decision.upstreams is None else frozenset(decision.upstreams)
    domains = None if decision.failure_domains is None else frozenset(decision.failure_domains)

    def allowed(view: UpstreamView) -> bool:
        if names is not None and view.upstream.name not in names:
            return False
        return domains is None or view.upstream.failure_domain in domains

    return allowed


def check_configured(context: EntryContext) -> None:
    """Refuse requests while the box has no configuration in force.

    Raises:
        ProblemError: With code STARTING.
    """
    if not context.synced.is_set():
        raise refusal(ResultCode.STARTING, "the box has no configuration in force yet", 1.0)


def find_account(context: EntryContext, request: Request) -> ClientAccount:
    """Find the client account whose key a request carries.

    Raises:
        ProblemError: With code KEY_MISSING or KEY_UNKNOWN.
    """
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise refusal(ResultCode.KEY_MISSING, "send the key as Authorization: Bearer KEY")
    account = context.accounts_by_key.get(hashlib.sha256(key.encode()).hexdigest())
    if account is None:
        raise refusal(ResultCode.KEY_UNKNOWN, "the key belongs to no client account")
    return account


async def read_body(context: EntryContext, request: Request, held: RequestBytes) -> bytes:
    """Read a request body within the limits on its size, its time and the memory of the process.

    Args:
        context: The entry's state.
        request: The request.
        held: What the account has for it. The caller releases it once the request is answered.

    Raises:
        ProblemError: With code BODY_TOO_LARGE, MEMORY_FULL, MALFORMED_REQUEST if it is incomplete,
            or STOPPING.
    """
    limit = context.settings.entry.body_limit_bytes
    with ends_with_stop(context, may_have_run=False):
        return await read_held_body(request, held, limit_bytes=limit)


def make_permit(
    context: EntryContext,
    account: ClientAccount,
    pipeline_name: str,
    max_tokens: int,
    fingerprint: bytes,
) -> Permit:
    """Check a request against its pipeline and policy.

    Args:
        context: The entry's state.
        account: Client account.
        pipeline_name: Name of the pipeline that the caller requested.
        max_tokens: Maximum number of tokens requested; 0 for a plain service.
        fingerprint: Fingerprint of the request content.

    Returns:
        The permit.

    Raises:
        ProblemError: If the request may not be run.
    """
    configuration = context.configuration
    pipeline = configuration.pipelines.get(pipeline_name)
    if pipeline is None:
        raise refusal(ResultCode.UNKNOWN_PIPELINE, f"there is no pipeline {pipeline_name[:63]}")
    if account.pipelines and pipeline.name not in account.pipelines:
        raise refusal(ResultCode.PIPELINE_FORBIDDEN, f"{account.name} may not use {pipeline.name}")
    if max_tokens > pipeline.max_tokens:
        detail = f"max_tokens {max_tokens} exceeds {pipeline.max_tokens}"
        raise refusal(ResultCode.MALFORMED_REQUEST, detail)
    decision = _evaluate_policy(context, account, pipeline, max_tokens)
    if not decision.allow:
        raise refusal(ResultCode.POLICY_DENIED, decision.reason or "denied by the policy")
    priority = configuration.priorities.get(decision.priority or account.priority or "")
    return Permit(
        account=account,
        pipeline=pipeline,
        decision=decision,
        rank=priority.rank if priority else DEFAULT_RANK,
        arrived_at=now(),
        fingerprint=fingerprint,
    )


def _evaluate_policy(
    context: EntryContext, account: ClientAccount, pipeline: Pipeline, max_tokens: int
) -> Decision:
    """Evaluate the pipeline's policy; return the default decision if it fails."""
    policy = context.policies.get(pipeline.policy or "")
    if policy is None:
        return Decision()
    facts = RequestFacts(
        pipeline=pipeline.name,
        account=account.name,
        priority=account.priority or "",
        max_tokens=max_tokens,
        failure_domain=context.settings.box.failure_domain,
    )
    outcome = evaluate_policy(policy, facts)
    if isinstance(outcome, Failure):
        context.metrics.codes[ResultCode.POLICY_INVALID.name] += 1
        return Decision()
    return outcome.unwrap()


@asynccontextmanager
async def admitted(
    context: EntryContext, permit: Permit, *, may_repeat: bool
) -> AsyncIterator[None]:
    """Hold a slot among the requests in progress; wait in the queue if there is none.

    Args:
        context: The entry's state.
        permit: The request's permit.
        may_repeat: Whether the request may run more than once.

    Raises:
        ProblemError: If the request is refused, immediately or once its deadline is too close, or
            if a planned stop ends it.
    """
    refuse_unfinishable(context, permit, may_repeat=may_repeat)
    ticket = Ticket(account=permit.account.name, rank=permit.rank, deadline=permit.deadline)
    problem = submit(context.admission, permit.account, ticket, now())
    if problem is not None:
        raise ProblemError(problem)
    try:
        if not ticket.admitted:
            with ends_with_stop(context, may_have_run=False):
                await _wait_in_queue(context, ticket)
            refuse_unfinishable(context, permit, may_repeat=may_repeat)
        record_duration(context.metrics.queue, now() - ticket.arrived_at)
        with ends_with_stop(context, may_have_run=True):
            yield
    finally:
        for released in finish(context.admission, ticket, now()):
            event = context.tickets.get(released)
            if event is not None:
                event.set()


async def _wait_in_queue(context: EntryContext, ticket: Ticket) -> None:
    event = context.tickets[ticket] = anyio.Event()
    timeout = ticket.deadline - now() - context.admission.mean_seconds
    try:
        with anyio.move_on_after(max(0.0, timeout)):
            await event.wait()
    finally:
        del context.tickets[ticket]
    if not ticket.admitted:
        wait = expected_wait(context.admission, ticket.rank)
        raise refusal(ResultCode.DEADLINE_UNREACHABLE, "the queue moved too slowly", wait)
