"""Opens connections to upstreams, and checks this box's own reach when one cannot be opened."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...http1 import ConnectError, connect
from ...links.messages import RelayOutcome
from ...routing.forwarding_table import forgive_failures
from ...routing.pace import adaptive_probe_timeout
from ...routing.upstream_reach import (
    SAMPLE_SIZE,
    ReachVerdict,
    choose_relay_peers,
    is_proved_since,
    may_report_losses,
    record_cut,
    record_not_opened,
    record_opened,
    record_round,
    record_unknown,
    sample_upstreams,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from ...http1 import UpstreamConnection
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

PROBE_ROUND_TRIPS: Final = 25.0
"""Minimum probe timeout, in round trips to the farthest failure domain. A working engine accepts a
connection within one or two round trips and its scheduling delay; a machine that is down or cut off
does not respond."""

UNKNOWN_ROUND_TRIP_SECONDS: Final = 0.002
"""Round trip that is assumed if the document gives no delays."""

PROBE_CEILING_FACTOR: Final = 10.0
"""Maximum probe timeout, as a multiple of the minimum, if connections are slow to open."""

CHECK_SECONDS: Final = 1.0
"""Maximum time that a failed connection waits for a check. Its own steps are shorter; this bounds
the wait when the process is stalled."""

RECOVERY_INTERVAL_SECONDS: Final = 0.5
"""Interval at which a box that is cut off tries upstreams itself."""


class NoRelayError(ConnectError):
    """No other box relays the connection, which says nothing about the upstream."""


class RelayedConnectError(ConnectError):
    """Another box, which reaches other upstreams, could not open the connection either."""


class ReachCheck(msgspec.Struct, kw_only=True):
    """A check of this box's reach, shared by all connections that fail meanwhile."""

    failed: dict[str, ForwardedUpstream] = msgspec.field(default_factory=dict)
    """Upstreams that could not be reached, by address."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set with the verdict."""

    verdict: ReachVerdict = ReachVerdict.DIRECT
    """Result of the check."""


async def connect_upstream(
    state: GatewayState, upstream: ForwardedUpstream, *, seconds: float, request: str = ""
) -> UpstreamConnection:
    """Open a connection to an upstream: directly, or through another box while this one is cut off.

    Args:
        state: State of the process.
        upstream: The upstream.
        seconds: Timeout for the connection to the upstream.
        request: Id of the caller's attempt; empty for a check of reachability.

    Returns:
        The connection.

    Raises:
        NoRelayError: If this box is cut off and no other one relays.
        RelayedConnectError: If this box is cut off and another one does not reach the upstream.
        ConnectError: If the upstream cannot be reached.
    """
    started_at = anyio.current_time()
    if not state.reach.is_cut:
        try:
            return await connect_directly(state, upstream, seconds)
        except ConnectError:
            if await verify_reach(state, upstream, started_at) is not ReachVerdict.CUT:
                raise
    # Imported here because few boxes are ever cut off.
    from .relay_client import connect_by_relay

    return await connect_by_relay(state, upstream, seconds=seconds, request=request)


async def connect_directly(
    state: GatewayState, upstream: ForwardedUpstream, seconds: float
) -> UpstreamConnection:
    """Open a connection to an upstream from this box, and record the outcome.

    Raises:
        ConnectError: If it cannot be opened.
    """
    started_at = anyio.current_time()
    try:
        connection = await connect(
            upstream.registration.address, source=state.settings.box.address, seconds=seconds
        )
    except ConnectError:
        record_not_opened(state.reach)
        raise
    record_opened(state.reach, started_at, anyio.current_time())
    return connection


def proves_exit(state: GatewayState, failure: ConnectError) -> bool:
    """Return whether a failed connection shows that the upstream's process has exited.

    A box that is cut off may be refused although the process runs; one that relays checked its own
    reach before it answered.
    """
    if not failure.is_refusal:
        return False
    is_relayed = isinstance(failure, RelayedConnectError)
    return is_relayed or may_report_losses(state.reach, anyio.current_time())


def probe_timeout(state: GatewayState, pool: str) -> float:
    """Return how long an engine of a pool may take to accept a connection, in seconds.

    The timeout adapts to recent connection times, and is at least `PROBE_ROUND_TRIPS` round trips.
    """
    configuration = state.configuration
    upstream_pool = configuration.pools.get(pool) if configuration is not None else None
    delays = (
        upstream_pool.engine.delays.values()
        if upstream_pool is not None and upstream_pool.engine is not None
        else ()
    )
    round_trip = 2.0 * max(delays, default=UNKNOWN_ROUND_TRIP_SECONDS / 2.0)
    floor = PROBE_ROUND_TRIPS * round_trip
    return adaptive_probe_timeout(
        state.probe_pace, floor=floor, ceiling=floor * PROBE_CEILING_FACTOR
    )


async def verify_reach(
    state: GatewayState, upstream: ForwardedUpstream, since: float
) -> ReachVerdict:
    """Return whether an upstream that this box did not reach is gone, or this box is cut off.

    Args:
        state: State of the process.
        upstream: The upstream.
        since: When connecting to it began, on the monotonic clock.

    Returns:
        `DIRECT` also if there is no other upstream to try and no other box knows better.
    """
    if state.reach.is_cut:
        return ReachVerdict.CUT
    if is_proved_since(state.reach, since) or not state.settings.cluster.relay_port:
        return ReachVerdict.DIRECT
    if state.reach_check is None:
        state.reach_check = ReachCheck()
    check = state.reach_check
    check.failed[upstream.registration.address] = upstream
    state.reach_wake.set()
    with anyio.move_on_after(CHECK_SECONDS):
        await check.done.wait()
    return check.verdict


async def run_reach_checks(state: GatewayState) -> None:
    """Run the checks that failed connections request, and end a cut; runs until cancelled."""
    while True:
        with anyio.move_on_after(RECOVERY_INTERVAL_SECONDS if state.reach.is_cut else None):
            await state.reach_wake.wait()
        state.reach_wake = anyio.Event()
        check, state.reach_check = state.reach_check, None
        if check is not None:
            try:
                check.verdict = await _check(state, check.failed)
            finally:
                check.done.set()
        elif state.reach.is_cut:
            await _try_directly(state)


async def _check(state: GatewayState, failed: dict[str, ForwardedUpstream]) -> ReachVerdict:
    """Connect to other upstreams, and ask other boxes if none accepts."""
    if state.reach.is_cut:
        return ReachVerdict.CUT
    reaches = await reaches_others(state, failed)
    if reaches:
        return ReachVerdict.DIRECT
    outcomes = await _ask_peers(state, list(failed.values()))
    now = anyio.current_time()
    if RelayOutcome.OPEN in outcomes:
        await _begin_cut(state, now)
        return ReachVerdict.CUT
    confirmed = RelayOutcome.REFUSED in outcomes or RelayOutcome.UNREACHABLE in outcomes
    if confirmed or reaches is None:
        return ReachVerdict.DIRECT
    record_unknown(state.reach, now)
    logger.warning(
        "reach of this box is unknown",
        extra={"failed": len(failed), "asked": len(outcomes)},
    )
    return ReachVerdict.UNKNOWN


async def reaches_others(state: GatewayState, failed: Collection[str]) -> bool | None:
    """Return whether this box reaches any of a few upstreams.

    Args:
        state: State of the process.
        failed: Addresses that it does not reach.

    Returns:
        None if it knows no others to try.
    """
    sample = _sample(state, failed)
    if not sample:
        return None
    return await _count_accepting(state, sample, enough=1) > 0


def _sample(state: GatewayState, failed: Collection[str]) -> list[ForwardedUpstream]:
    domain = state.settings.box.failure_domain
    return sample_upstreams(state.table.upstreams.values(), failed, domain, state.rng)


async def _count_accepting(
    state: GatewayState, sample: list[ForwardedUpstream], *, enough: int
) -> int:
    """Connect to upstreams concurrently, and return how many accept before `enough` did."""
    accepted = 0

    async def try_one(upstream: ForwardedUpstream, scope: anyio.CancelScope) -> None:
        nonlocal accepted
        try:
            seconds = probe_timeout(state, upstream.registration.pool)
            connection = await connect_directly(state, upstream, seconds)
        except ConnectError:
            return
        accepted += 1
        await connection.close()
        if accepted >= enough:
            scope.cancel()

    async with anyio.create_task_group() as tasks:
        for item in sample:
            tasks.start_soon(try_one, item, tasks.cancel_scope)
    return accepted


async def _ask_peers(
    state: GatewayState, upstreams: list[ForwardedUpstream]
) -> list[RelayOutcome | None]:
    """Ask some boxes concurrently whether they reach upstreams that this box does not reach."""
    # Imported here because few boxes are ever cut off.
    from .relay_client import ask_relay

    now = anyio.current_time()
    peers = choose_relay_peers(state.relay_peers, SAMPLE_SIZE, now, state.rng)
    outcomes: list[RelayOutcome | None] = []

    async def ask(peer: str, upstream: ForwardedUpstream) -> None:
        seconds = probe_timeout(state, upstream.registration.pool)
        outcome, connection = await ask_relay(state, peer, upstream, seconds=seconds)
        if connection is not None:
            await connection.close()
        outcomes.append(outcome)

    async with anyio.create_task_group() as tasks:
        for number, peer in enumerate(peers):
            tasks.start_soon(ask, peer, upstreams[number % len(upstreams)])
    return outcomes


async def _begin_cut(state: GatewayState, now: float) -> None:
    """Send connections through other boxes, and drop what was believed of upstreams meanwhile."""
    since = state.reach.last_opened_at
    if not record_cut(state.reach, now):
        return
    forgiven = forgive_failures(state.table, now)
    state.suspected_domains.failures.clear()
    logger.warning(
        "box reaches no upstream, its connections are relayed",
        extra={
            "last_opened": round(now - since, 3) if since > float("-inf") else None,
            "forgiven": forgiven,
            "peers": len(state.relay_peers.known),
        },
    )
    # Idle connections may hang although nothing has closed them.
    await state.connections.close_all()


async def _try_directly(state: GatewayState) -> None:
    """Try some upstreams from this box while it is cut off, and end the cut if all accept."""
    since = state.reach.cut_since
    sample = _sample(state, ())
    accepted = await _count_accepting(state, sample, enough=len(sample))
    if record_round(state.reach, accepted=accepted, sampled=len(sample)) and since is not None:
        logger.info(
            "box reaches upstreams again",
            extra={
                "seconds": round(anyio.current_time() - since, 3),
                "relayed": state.reach.relayed,
            },
        )
