"""Finding out which engines of a silent path are dead."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import ConnectError, connect
from ...links import nobody_listens
from ...links.messages import LostReport
from ...routing.forwarding_table import note_ended, note_lost
from ...routing.pace import note_gap, probe_patience

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

PROBE_ROUND_TRIPS: Final = 25.0
"""Round trips to the farthest failure domain that an engine gets at least to accept a connection. A
machine without power or behind a cut says nothing at all; one that works answers within one or two
and the time in which its processor comes to it."""

UNKNOWN_ROUND_TRIP_SECONDS: Final = 0.002
"""Round trip that is taken where the document tells no delays."""

HEDGE_DELAY_SHARE: Final = 0.5
"""Part of that time after which a second connection is tried beside the first: on a link that
loses packets, one lost packet would make an engine look dead."""

PROBE_CEILING_FACTOR: Final = 10.0
"""How many times the least time an engine gets on a box whose connections come up slowly."""

LIVENESS_SECONDS: Final = 0.035
"""How long an engine counts as working after it showed so: less than the shortest pause that is
looked into, so that the pause itself is no proof. An engine in use shows it every few
milliseconds."""

LATE_TIMER_SECONDS: Final = 0.02
"""A time-out that fires later than this says that the own box was held up, and nothing of the
engine: timers of a box that is not held up fire within a few milliseconds."""


async def find_unreachable(
    state: GatewayState,
    engines: Iterable[ForwardedUpstream],
    dead: set[str],
    *,
    liveness_seconds: float = LIVENESS_SECONDS,
) -> bool:
    """Connect to suspected engines side by side, and tell of those that are dead.

    An engine over which another request has just made progress is not suspected.

    Args:
        state: The process's state.
        engines: The engines, those of a path for example.
        dead: Runs of engines that are known to be dead; those found are added.
        liveness_seconds: How long an engine counts as working after it showed so.

    Returns:
        True if any does not accept a connection.
    """
    found: list[ForwardedUpstream] = []

    async def probe(engine: ForwardedUpstream) -> None:
        reason = await _probe(state, engine)
        if reason:
            found.append(engine)
            _log_loss(engine, reason)

    async with anyio.create_task_group() as tasks:
        for engine in engines:
            if anyio.current_time() - engine.proven_at > liveness_seconds:
                tasks.start_soon(probe, engine)
    for engine in found:
        report_lost(state, engine, dead)
    return bool(found)


async def check_exited(state: GatewayState, upstream: ForwardedUpstream, dead: set[str]) -> bool:
    """Find out whether the process of an upstream has ended whose connection broke.

    It is asked even if it has just worked for another request. Only a refused connection counts: a
    probe that is lost, beside a connection that broke for another reason, is what a link that loses
    packets looks like.

    Args:
        state: The process's state.
        upstream: The upstream.
        dead: Runs of upstreams that are known to be dead; it is added if it has ended.

    Returns:
        True if nobody listens at its address.
    """
    address = upstream.registration.address
    seconds = probe_timeout(state, upstream.registration.pool)
    if not await nobody_listens(address, state.settings.box.address, seconds=seconds):
        return False
    note_ended(upstream, anyio.current_time())
    _log_loss(upstream, f"{address}: connection refused")
    report_lost(state, upstream, dead)
    return True


def _log_loss(upstream: ForwardedUpstream, reason: str) -> None:
    logger.warning(
        "engine does not answer",
        extra={"upstream": upstream.registration.instance, "reason": reason},
    )


def report_lost(state: GatewayState, engine: ForwardedUpstream, dead: set[str]) -> None:
    """Take in that an engine is dead.

    It gets nothing more until it is heard, the other requests on it are interrupted, and the
    control boxes are told.

    Args:
        state: The process's state.
        engine: The engine.
        dead: Runs of engines that are known to be dead; this one is added.
    """
    dead.add(engine.registration.instance)
    state.metrics.counters["engine-lost"] += 1
    note_lost(engine, anyio.current_time())
    if state.peers is not None:
        for link in state.peers.links.values():
            link.post(LostReport(instance=engine.registration.instance))


def probe_timeout(state: GatewayState, pool: str) -> float:
    """Return how long an engine of a pool gets to accept a connection, in seconds.

    It follows from how long they took lately, and is at least `PROBE_ROUND_TRIPS`.
    """
    configuration = state.configuration
    held = configuration.pools.get(pool) if configuration is not None else None
    delays = held.engine.delays.values() if held is not None and held.engine is not None else ()
    round_trip = 2.0 * max(delays, default=UNKNOWN_ROUND_TRIP_SECONDS / 2.0)
    floor = PROBE_ROUND_TRIPS * round_trip
    return probe_patience(state.probe_pace, floor=floor, ceiling=floor * PROBE_CEILING_FACTOR)


async def _probe(state: GatewayState, engine: ForwardedUpstream) -> str:
    """Connect to an engine, once more if the own box was held up meanwhile.

    A box that runs slowly would otherwise find every engine dead, break off its streams and have
    the control boxes move layers.

    Returns:
        Why the engine seems dead; empty if it accepted, or if nothing can be said.
    """
    reason = ""
    for _ in range(2):
        timeout = probe_timeout(state, engine.registration.pool)
        started_at = anyio.current_time()
        try:
            took = await _connect_hedged(state, engine, timeout)
        except ConnectError as error:
            reason = str(error)
            if error.is_refusal:
                note_ended(engine, anyio.current_time())
            if not isinstance(error.__cause__, TimeoutError):
                return reason
        else:
            note_gap(state.probe_pace, took)
            engine.proven_at = anyio.current_time()
            return ""
        took = anyio.current_time() - started_at
        if took <= timeout + LATE_TIMER_SECONDS:
            return reason
        # The late time-out is a sign that connections come up slowly from here, too.
        note_gap(state.probe_pace, took)
    state.metrics.counters["probe-held-up"] += 1
    logger.warning(
        "probe says nothing",
        extra={"upstream": engine.registration.instance, "reason": reason},
    )
    return ""


async def _connect_hedged(state: GatewayState, engine: ForwardedUpstream, timeout: float) -> float:
    """Connect, and once more beside it after a part of the time.

    Args:
        state: The process's state.
        engine: The engine.
        timeout: Longest time for both, in seconds.

    Returns:
        How long the connection that came up took, in seconds.

    Raises:
        ConnectError: If neither came up, or if one was refused.
    """
    took: float | None = None
    failure: ConnectError | None = None

    async def try_connect(wait: float, scope: anyio.CancelScope) -> None:
        nonlocal took, failure
        await anyio.sleep(wait)
        started_at = anyio.current_time()
        address, source = engine.registration.address, state.settings.box.address
        try:
            connection = await connect(address, source=source, seconds=timeout - wait)
        except ConnectError as error:
            failure = error
            if not isinstance(error.__cause__, TimeoutError):
                scope.cancel()
            return
        took = anyio.current_time() - started_at
        await connection.close()
        scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(try_connect, 0.0, tasks.cancel_scope)
        tasks.start_soon(try_connect, timeout * HEDGE_DELAY_SHARE, tasks.cancel_scope)
    if took is not None:
        return took
    assert failure is not None
    raise failure
