"""Checks a request's route, client account and deadline against one version of the document.

Once a planned stop has begun, it also checks whether the stop leaves time for an answer.
"""

from __future__ import annotations

import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...model import Problem, ProblemError, ResultCode
from ...routing.attempt_counts import AttemptCounts
from ...routing.contention import rank_of, request_rank
from ...routing.route_index import choose_pool, find_route
from .state import check_freshness

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...http1 import HttpRequest
    from ...model.exchange import CallerFacts
    from ...model.traffic import AccountKeys, RouteRule, UpstreamPool
    from .state import GatewayState

STALE_RETRY_AFTER_SECONDS: Final = 0.5
"""Retry delay named by a box without a recently confirmed document: time to ask a control box."""

STARTUP_SECONDS: Final = 1.2
"""Maximum time from process start to a confirmed document when all boxes start at once: twice
`registry.election_seconds`, the longest election timeout of control boxes. The shortest of several
random timeouts is lower, which leaves time for connecting and synchronizing."""

MIN_START_RETRY_AFTER_SECONDS: Final = 0.3
"""Minimum retry delay named by a starting box, even if its startup is overdue."""

STOPPING_RETRY_AFTER_SECONDS: Final = 0.05
"""Retry delay named by a stopping box: enough to avoid a tight loop, as another box can serve."""

LAST_RANK: Final = sys.maxsize
"""Rank of a request that is refused in any case, and need not be answered before others."""

OUT_OF_TIME: Final = "the planned stop ran out of time"
"""Why a request ended that was in progress when a planned stop ended."""

ANSWER_MARGIN_SECONDS: Final = 0.05
"""Subtracted from a caller's timeout for the transmission of the final answer."""


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """A request that passed all checks."""

    facts: CallerFacts
    """Facts that the caller states."""

    route: RouteRule
    """Route of the request."""

    pool: UpstreamPool
    """Pool that was chosen by the route's weights."""

    account: str | None
    """Client account of its key; None on routes without keys."""

    priority: int
    """Priority of the request; 0 is the most urgent. In a contended pool, its rank."""

    deadline: float
    """Monotonic time by which the final answer is due: the route's timeout, or the caller's timeout
    less `ANSWER_MARGIN_SECONDS` if that is shorter, after the request's arrival."""

    version: int
    """Version of the document against which it was checked."""

    engine_priority: int | None = None
    """Priority that its upstream is told; None to leave it to the upstream."""


def refusal(code: ResultCode, detail: str, retry_after: float | None = None) -> ProblemError:
    """Build the error that refuses a request."""
    return ProblemError(Problem(code=code, detail=detail, retry_after=retry_after))


def permit_request(state: GatewayState, request: HttpRequest, facts: CallerFacts) -> Permit:
    """Check a request against the document in force.

    A box without a recently confirmed document refuses what depends on the newest one: a key may
    have been revoked, and a missing route may have been added. Public routes continue to be served
    once any document was confirmed.

    Args:
        state: State of the process.
        request: The request.
        facts: Facts that its caller states.

    Returns:
        The permit of the request.

    Raises:
        ProblemError: If it is refused. No upstream has run it.
    """
    configuration = state.configuration
    if state.refusing:
        raise refuse_in_stop("the box stops")
    if configuration is None:
        raise _starting(state, "no document yet")
    is_fresh = check_freshness(state, anyio.current_time())
    if not state.confirmed:
        raise _starting(state, "document not confirmed")
    route = find_route(state.index, facts.host, facts.path)
    if route is None:
        if not is_fresh:
            raise _stale(state)
        raise refusal(ResultCode.NOT_FOUND, f"no route for {facts.host}{facts.path}")
    account: AccountKeys | None = None
    if state.index.needs_keys and not route.public:
        if not is_fresh:
            raise _stale(state)
        account = state.index.accounts.get(facts.key or "")
        if account is None:
            code = ResultCode.KEY_UNKNOWN if facts.key else ResultCode.KEY_MISSING
            raise refusal(code, f"document {configuration.version}")
    pool = configuration.pools[choose_pool(route, state.rng)]
    seconds = route.timeout
    if facts.timeout is not None:
        seconds = min(seconds, facts.timeout - ANSWER_MARGIN_SECONDS)
    priority, engine_priority = _priorities(state, route, account, pool.name)
    permit = Permit(
        facts=facts,
        route=route,
        pool=pool,
        account=None if account is None else account.name,
        priority=priority,
        deadline=request.arrived_at + seconds,
        version=configuration.version,
        engine_priority=engine_priority,
    )
    reason = explain_stop_refusal(state, permit, counts=AttemptCounts())
    if reason:
        raise refuse_in_stop(reason)
    return permit


def refuse_in_stop(reason: str) -> ProblemError:
    """Build the refusal of a request that a planned stop may not finish, and that has not run."""
    return refusal(ResultCode.STOPPING, reason, STOPPING_RETRY_AFTER_SECONDS)


def explain_stop_refusal(state: GatewayState, permit: Permit, *, counts: AttemptCounts) -> str:
    """Return why a planned stop forbids to send a request now; empty if it does not.

    One that may have run is not refused any more, and goes on until the stop ends.

    Args:
        state: State of the process.
        permit: Permit of the request.
        counts: Its attempts so far.
    """
    if state.stop_window is None or counts.may_have_run:
        return ""
    # Imported here because only a box that stops needs it.
    from .stopping import explain_refusal

    return explain_refusal(state, permit)


@contextmanager
def ends_with_stop(state: GatewayState, scope: anyio.CancelScope) -> Iterator[None]:
    """Let a planned stop that ends cancel a scope while the block runs."""
    state.stop_scopes.add(scope)
    if state.out_of_time:
        scope.cancel()
    try:
        yield
    finally:
        state.stop_scopes.discard(scope)


def may_repeat(state: GatewayState, permit: Permit) -> bool:
    """Return whether a request may be sent again although an upstream may have run it.

    The route that accepted it must allow that, and so must the one in force, if there still is one.
    """
    if not permit.route.repeatable:
        return False
    current = find_route(state.index, permit.facts.host, permit.facts.path)
    return current is None or current.repeatable


def _priorities(
    state: GatewayState, route: RouteRule, account: AccountKeys | None, pool: str
) -> tuple[int, int]:
    """Return the priority of a request at this box and the one that its upstream is told.

    In a contended pool these are its rank and the position of that rank, since upstreams accept
    few priorities.
    """
    ranks = state.index.ranks.get(pool)
    if ranks is None:
        priority = _priority(route, account)
        return priority, priority
    rank = request_rank(route.priority, None if account is None else account.priority)
    return rank, rank_of(ranks, rank)


def _priority(route: RouteRule, account: AccountKeys | None) -> int:
    """Return the priority of a request: that of its account, or else that of its route."""
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def rank_request(state: GatewayState, route: RouteRule, facts: CallerFacts) -> int:
    """Return the priority of a request before its permit is issued; 0 is the most urgent."""
    return _priority(route, state.index.accounts.get(facts.key or ""))


def _starting(state: GatewayState, detail: str) -> ProblemError:
    """Build a refusal that names the expected end of startup: callers retry only once or twice."""
    seconds_left = STARTUP_SECONDS - (anyio.current_time() - state.started_at)
    return refusal(ResultCode.STARTING, detail, max(seconds_left, MIN_START_RETRY_AFTER_SECONDS))


def _stale(state: GatewayState) -> ProblemError:
    age = anyio.current_time() - state.freshness.as_of
    detail = f"document {state.version} was last confirmed {age:.1f} s ago"
    return refusal(ResultCode.BELIEF_STALE, detail, STALE_RETRY_AFTER_SECONDS)
