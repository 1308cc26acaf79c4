"""Choice of the next attempt of a stream: whether it may be sent again, and over which path."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...coordination.crash_book import CRASH_LIMIT
from ...routing.attempt_race import explain_no_further_attempt
from ...routing.contention import REFUSALS_LIMIT, refusals_limit
from ...routing.forwarding_table import is_silent, is_suspected
from ...routing.link_load import NEW_REQUEST_LIMIT, RESUMED_STREAM_LIMIT, link_utilization
from ...routing.path_costs import OVERCOMMIT_FRACTION, PathRequest
from ...routing.paths import (
    ChosenPath,
    NoPathReason,
    choose_path,
    explain_no_path,
)
from ...routing.repeat_window import release_retry
from ...routing.suspected_links import link_penalties
from .backpressure import request_grants
from .borrowing import acquire_retry
from .checks import explain_stop_refusal, may_repeat
from .crashes import count_crashes
from .state import retry_budget
from .stream_session import release_room

if TYPE_CHECKING:
    from ...http1 import HttpRequest
    from ...model.traffic import EngineProfile
    from ...routing.attempt_race import RunningAttempt
    from ...routing.forwarding_table import ForwardedUpstream
    from ...routing.repeat_window import Retry
    from .checks import Permit
    from .state import GatewayState
    from .stream_session import PlannedAttempt, StreamSession

EXPECTED_ANSWER_SHARE: Final = 0.5
"""Expected answer length, as a share of the requested maximum, if the engine profile has none."""


RETRIES_SPENT: Final = "budget of repeats is spent"
"""Reason for no further attempt."""


def explain_no_attempt(
    state: GatewayState, permit: Permit, request: HttpRequest, session: StreamSession
) -> str:
    """Return why another attempt is not allowed; empty if it is.

    The first one always is, unless a planned stop leaves no time for it.
    """
    session.stop_reason = explain_stop_refusal(state, permit, counts=session.attempts)
    if session.stop_reason:
        return session.stop_reason
    running = session.race.running
    reason = explain_no_further_attempt(
        session.attempts,
        may_repeat=may_repeat(state, permit),
        max_attempts=permit.route.max_attempts,
        refusals_limit=_refusals_limit(state, permit, session),
        unsent=sum(not item.was_sent for item in running),
    )
    if reason:
        return reason
    crashes = count_crashes(state, permit, request, session.trace)
    return f"{crashes} upstreams ended under it" if crashes >= CRASH_LIMIT else ""


async def acquire_planned_retry(
    state: GatewayState, permit: Permit, session: StreamSession, attempt: RunningAttempt
) -> Retry | None:
    """Take the retry of a planned attempt; without one, the attempt holds room no more."""
    retry: Retry | None = None
    try:
        retry = await acquire_retry(state, permit.pool.name, started=session.has_begun)
    finally:
        if retry is None:
            release_room(session, attempt)
    return retry


def drop_planned(
    state: GatewayState, permit: Permit, session: StreamSession, planned: PlannedAttempt
) -> None:
    """Return the room and the retry of an attempt that does not begin."""
    release_room(session, planned.attempt)
    if planned.retry is not None:
        release_retry(retry_budget(state, permit.pool.name), planned.retry)


def _refusals_limit(state: GatewayState, permit: Permit, session: StreamSession) -> int:
    """Return after how many refusals to give up: earlier for new requests that are less urgent."""
    if (
        session.attempts.refused == 0
        or session.has_begun
        or permit.pool.name not in state.contended
    ):
        return REFUSALS_LIMIT
    # Imported here because only refused requests need it.
    from .retry_after import urgency_of

    return refusals_limit(urgency_of(state, permit))


def expected_answer_tokens(permit: Permit, profile: EngineProfile) -> int:
    """Return the expected number of answer tokens; at least 1."""
    max_tokens = permit.facts.answer_tokens
    typical = int(profile.mean_answer_tokens) or int(max_tokens * EXPECTED_ANSWER_SHARE)
    return max(1, min(max_tokens, typical) if max_tokens else typical)


def choose_attempt_path(
    state: GatewayState,
    permit: Permit,
    profile: EngineProfile,
    session: StreamSession,
    expected: int,
) -> ChosenPath | None:
    """Choose the path of the next attempt, relaxing the constraints until one is found.

    In contended pools a path between failure domains comes last: it is slow, and holds the room of
    several domains for as long. New requests take none while a domain that holds all layers is only
    full; they are refused with a time to return. Those that an engine may have run cannot be.

    Args:
        state: State of the process.
        permit: Permit of the request.
        profile: Performance data of the pool's engines.
        session: The caller's stream.
        expected: Expected number of answer tokens.

    Returns:
        The path, or None if the eligible engines do not cover all layers.
    """
    request_grants(state, permit.pool.name)
    request = _path_request(state, permit, session, expected)
    if permit.pool.name not in state.contended:
        return _choose_with_fallbacks(state, permit, profile, session, request)
    inside = msgspec.structs.replace(request, may_cross=False)
    path = _choose_with_fallbacks(state, permit, profile, session, inside)
    if path is None and (session.has_begun or session.attempts.may_have_run):
        path = _choose_with_fallbacks(state, permit, profile, session, request)
    return path


def _choose_with_fallbacks(
    state: GatewayState,
    permit: Permit,
    profile: EngineProfile,
    session: StreamSession,
    request: PathRequest,
) -> ChosenPath | None:
    """Choose a path with the given parameters.

    The first search leaves out suspected failure domains and the engines that failed this request.
    The next ones admit the suspected domains, then engines that failed but are not dead. The last
    one leaves out failed engines again and admits engines above their usual load limit.
    """
    engines = state.table.pools.get(permit.pool.name, [])
    now = anyio.current_time()
    excluded = session.excluded | session.dead
    preferred = [item for item in engines if not _is_avoided(state, session, item, now)]
    path = choose_path(profile, preferred, request, now, excluded=excluded, rng=state.rng)
    if path is None:
        path = choose_path(profile, engines, request, now, excluded=excluded, rng=state.rng)
    if path is None and excluded != session.dead:
        path = choose_path(profile, engines, request, now, excluded=session.dead, rng=state.rng)
    if path is None:
        request = msgspec.structs.replace(request, full_fraction=OVERCOMMIT_FRACTION)
        path = choose_path(profile, engines, request, now, excluded=excluded, rng=state.rng)
    return path


def uses_unreachable(session: StreamSession, attempt: RunningAttempt) -> bool:
    """Return whether an engine of an attempt was found unreachable."""
    return any(item.registration.instance in session.dead for item in attempt.path.engines)


def choose_hedge_path(
    state: GatewayState, permit: Permit, session: StreamSession
) -> ChosenPath | None:
    """Choose the path of an attempt beside those that are overdue.

    If an engine of theirs is unreachable, the others may serve the new attempt as well; likewise
    all of them if this box was cut off, since the new attempt is relayed. Otherwise any engine may
    be the silent one, and neither those engines are used nor others that are silent. A path between
    failure domains is then used only if no domain holds all layers.

    Args:
        state: State of the process.
        permit: Permit of the request.
        session: The caller's stream.

    Returns:
        The path, or None if there is no other one.
    """
    profile = permit.pool.engine
    assert profile is not None
    expected = expected_answer_tokens(permit, profile)
    in_use = {
        engine.registration.instance
        for item in session.race.running
        for engine in item.path.engines
    }
    if state.reach.is_cut or not in_use.isdisjoint(session.dead):
        return choose_attempt_path(state, permit, profile, session, expected)
    now = anyio.current_time()
    request = _path_request(state, permit, session, expected)
    request = msgspec.structs.replace(request, may_cross=False)
    excluded = session.excluded | session.dead | in_use
    engines = state.table.pools.get(permit.pool.name, [])
    usable = [
        item
        for item in engines
        if not (_is_avoided(state, session, item, now) or is_silent(item, now))
    ]
    return choose_path(profile, usable, request, now, excluded=excluded, rng=state.rng)


def _path_request(
    state: GatewayState, permit: Permit, session: StreamSession, expected: int
) -> PathRequest:
    """Return the parameters of the search for a path.

    Load is extrapolated from this box to others: the entry boxes of one failure domain are assumed
    to use the same engines, and all entry boxes the same links.
    """
    now = anyio.current_time()
    return PathRequest(
        prompt_tokens=permit.facts.prompt_tokens,
        answer_tokens=expected,
        failure_domain=state.settings.box.failure_domain,
        link_penalties=link_penalties(state.suspected_links, now),
        link_utilization=link_utilization(state.link_load, state.entry_count, now),
        previous_instances=session.tried,
        stalled_after=session.timeouts.gap_probe if session.dead else math.inf,
        link_limit=RESUMED_STREAM_LIMIT if session.started else NEW_REQUEST_LIMIT,
        target_latency=permit.route.target_latency,
        sharers=count_sharers(state, permit.pool.name),
    )


def explain_missing_path(
    state: GatewayState,
    permit: Permit,
    profile: EngineProfile,
    session: StreamSession,
    expected: int,
) -> NoPathReason:
    """Return why `choose_attempt_path` found no path, for logs and the response."""
    return explain_no_path(
        profile,
        state.table.pools.get(permit.pool.name, []),
        _path_request(state, permit, session, expected),
        anyio.current_time(),
        excluded=session.excluded | session.dead,
    )


def _is_avoided(
    state: GatewayState, session: StreamSession, engine: ForwardedUpstream, now: float
) -> bool:
    """Return whether an engine is in another failure domain that is suspected to be cut off."""
    domain = engine.registration.failure_domain
    if domain == state.settings.box.failure_domain:
        return False
    return domain in session.failed_domains or is_suspected(state.suspected_domains, domain, now)


def count_sharers(state: GatewayState, pool: str) -> float:
    """Return the estimated ratio of all boxes' requests on an engine of a pool to this box's.

    The entry boxes of one failure domain are assumed to use the same engines.
    """
    engines = state.table.pools.get(pool, [])
    domains = max(1, len({item.registration.failure_domain for item in engines}))
    return max(1.0, state.entry_count / domains)
