"""What a request may do: route, client account, time, all judged by one version of the document."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...model import Problem, ProblemError, ResultCode
from ...routing.route_index import choose_pool, find_route
from .state import check_freshness

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...model.exchange import CallerFacts
    from ...model.traffic import AccountKeys, RouteRule, UpstreamPool
    from .state import GatewayState

STALE_RETRY_SECONDS: Final = 0.5
"""When to come back to a box that lost touch with the control boxes: one question to them."""

START_SECONDS: Final = 1.2
"""Time from the start of a process to a confirmed document when all boxes start at once: the
longest election time-out of control boxes, twice the 0.6 s of `registry.election_seconds`. The
least of the random time-outs of several boxes is shorter, which leaves room for links and syncs."""

START_RETRY_FLOOR_SECONDS: Final = 0.3
"""Shortest time that a starting box names, also when it should be up already."""

STOPPING_RETRY_SECONDS: Final = 0.05
"""When to come back to another box: at once, but not in a tight loop."""

LAST_RANK: Final = sys.maxsize
"""Rank of a request that is refused in any case: it may be so after all others."""

ANSWER_MARGIN_SECONDS: Final = 0.05
"""Taken off a caller's patience, so that the final answer reaches it in time."""


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """A request after all checks."""

    facts: CallerFacts
    """What the request says."""

    route: RouteRule
    """Its route."""

    pool: UpstreamPool
    """Pool that was drawn for it."""

    account: str | None
    """Client account that its key belongs to."""

    priority: int
    """Its rank."""

    deadline: float
    """When it must have its final answer, on the monotonic clock: the route's time, or the caller's
    patience less `ANSWER_MARGIN_SECONDS` if that is shorter."""

    version: int
    """Version of the document that it was judged by."""


def refusal(code: ResultCode, detail: str, retry_after: float | None = None) -> ProblemError:
    """Build the error that refuses a request."""
    return ProblemError(Problem(code=code, detail=detail, retry_after=retry_after))


def permit_request(state: GatewayState, request: HttpRequest, facts: CallerFacts) -> Permit:
    """Check a request against the document in force.

    A box that cannot be sure to hold the newest document refuses what depends on it: a key may
    have been taken away, and a missing route may have been added. Routes that need no key are
    served on, once any document was confirmed.

    Args:
        state: The process's state.
        request: The request.
        facts: What it says.

    Returns:
        What it may do.

    Raises:
        ProblemError: If it is refused; it has not run.
    """
    configuration = state.configuration
    if state.refusing:
        raise refusal(ResultCode.STOPPING, "the box stops", STOPPING_RETRY_SECONDS)
    if configuration is None:
        raise _starting(state, "no document yet")
    is_sure = check_freshness(state, anyio.current_time())
    if not state.confirmed:
        raise _starting(state, "document not confirmed")
    route = find_route(state.index, facts.host, facts.path)
    if route is None:
        if not is_sure:
            raise _stale(state)
        raise refusal(ResultCode.NOT_FOUND, f"no route for {facts.host}{facts.path}")
    account: AccountKeys | None = None
    if state.index.needs_keys and not route.public:
        if not is_sure:
            raise _stale(state)
        account = state.index.accounts.get(facts.key or "")
        if account is None:
            code = ResultCode.KEY_UNKNOWN if facts.key else ResultCode.KEY_MISSING
            raise refusal(code, f"document {configuration.version}")
    pool = configuration.pools[choose_pool(route, state.rng)]
    seconds = route.timeout
    if facts.patience is not None:
        seconds = min(seconds, facts.patience - ANSWER_MARGIN_SECONDS)
    return Permit(
        facts=facts,
        route=route,
        pool=pool,
        account=None if account is None else account.name,
        priority=_priority(route, account),
        deadline=request.arrived_at + seconds,
        version=configuration.version,
    )


def _priority(route: RouteRule, account: AccountKeys | None) -> int:
    """Return the rank of a request: its account's own, or else its route's."""
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def rank_request(state: GatewayState, route: RouteRule, facts: CallerFacts) -> int:
    """Return the rank of a request that was not permitted yet; 0 is the most urgent."""
    return _priority(route, state.index.accounts.get(facts.key or ""))


def _starting(state: GatewayState, detail: str) -> ProblemError:
    """Refuse until the box is likely to be up, not in between: callers come back once or twice."""
    left = START_SECONDS - (anyio.current_time() - state.started_at)
    return refusal(ResultCode.STARTING, detail, max(left, START_RETRY_FLOOR_SECONDS))


def _stale(state: GatewayState) -> ProblemError:
    age = anyio.current_time() - state.freshness.as_of
    detail = f"document {state.version} was last confirmed {age:.1f} s ago"
    return refusal(ResultCode.BELIEF_STALE, detail, STALE_RETRY_SECONDS)
