"""Probes that find out which engines of a stalled path are dead."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import ConnectError, connect
from ...links import is_port_closed
from ...links.messages import LossReport
from ...routing.forwarding_table import record_exit, record_loss
from ...routing.pace import adaptive_probe_timeout, record_gap
from ...routing.upstream_reach import record_not_opened, record_opened

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

PROBE_ROUND_TRIPS: Final = 25.0
"""Minimum probe timeout, in round trips to the farthest failure domain. A working engine accepts a
connection within one or two round trips and its scheduling delay; a machine that is down or cut off
does not respond."""

UNKNOWN_ROUND_TRIP_SECONDS: Final = 0.002
"""Round trip that is assumed if the document gives no delays."""

HEDGE_DELAY_SHARE: Final = 0.5
"""Share of the probe timeout after which a second connection is opened in parallel, because a
single lost packet would otherwise make an engine appear dead."""

PROBE_CEILING_FACTOR: Final = 10.0
"""Maximum probe timeout, as a multiple of the minimum, if connections are slow to open."""

LIVENESS_SECONDS: Final = 0.035
"""How long an engine counts as alive after its last progress. Shorter than the shortest stall
timeout, since an engine that made no progress during the stall must be probed."""

LATE_TIMER_SECONDS: Final = 0.02
"""Lateness of a timer above which this process was stalled itself, and the timeout is no evidence
against the engine. Timers of a process that is not stalled fire within a few milliseconds."""


async def find_unreachable(
    state: GatewayState,
    engines: Iterable[ForwardedUpstream],
    dead: set[str],
    *,
    liveness_seconds: float = LIVENESS_SECONDS,
) -> bool:
    """Probe engines concurrently, and report those that do not accept a connection.

    An engine that made progress for another request within `liveness_seconds` is not probed.

    Args:
        state: State of the process.
        engines: The engines, for example those of a path.
        dead: Instances of engines that are known to be dead; those found are added.
        liveness_seconds: How long an engine counts as alive after its last progress.

    Returns:
        True if any engine was found unreachable.
    """
    found: list[ForwardedUpstream] = []

    async def probe(engine: ForwardedUpstream) -> None:
        reason = await _probe(state, engine)
        if reason:
            found.append(engine)
            _log_loss(engine, reason)

    async with anyio.create_task_group() as tasks:
        for engine in engines:
            if anyio.current_time() - engine.last_success_at > liveness_seconds:
                tasks.start_soon(probe, engine)
    for engine in found:
        report_lost(state, engine, dead)
    return bool(found)


async def check_exited(state: GatewayState, upstream: ForwardedUpstream, dead: set[str]) -> bool:
    """Check whether the process of an upstream has exited after a connection to it broke.

    The upstream is probed even if it has just made progress for another request. Only a refused
    connection is evidence: a link that loses packets also breaks connections and loses probes.

    Args:
        state: State of the process.
        upstream: The upstream.
        dead: Instances of upstreams that are known to be dead; this one is added if it has exited.

    Returns:
        True if no process listens at its address.
    """
    address = upstream.registration.address
    seconds = probe_timeout(state, upstream.registration.pool)
    if not await is_port_closed(address, state.settings.box.address, seconds=seconds):
        return False
    record_exit(upstream, anyio.current_time())
    _log_loss(upstream, f"{address}: connection refused")
    report_lost(state, upstream, dead)
    return True


def _log_loss(upstream: ForwardedUpstream, reason: str) -> None:
    logger.warning(
        "engine does not answer",
        extra={"upstream": upstream.registration.instance, "reason": reason},
    )


def report_lost(state: GatewayState, engine: ForwardedUpstream, dead: set[str]) -> None:
    """Record that an engine is dead, and report it to the control boxes.

    It receives no new work until a later heartbeat is known; other requests on it are interrupted.

    Args:
        state: State of the process.
        engine: The engine.
        dead: Instances of engines that are known to be dead; this one is added.
    """
    dead.add(engine.registration.instance)
    state.metrics.counters["engine-lost"] += 1
    record_loss(engine, anyio.current_time())
    if state.peers is not None:
        for link in state.peers.links.values():
            link.post(LossReport(instance=engine.registration.instance))


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


async def _probe(state: GatewayState, engine: ForwardedUpstream) -> str:
    """Connect to an engine, and retry once if this process was stalled meanwhile.

    A stalled process would otherwise find every engine dead, break off its streams and cause the
    control boxes to move layers.

    Returns:
        Why the engine appears dead; empty if it accepted or if the probe is inconclusive.
    """
    reason = ""
    for _ in range(2):
        timeout = probe_timeout(state, engine.registration.pool)
        started_at = anyio.current_time()
        try:
            elapsed = await _connect_hedged(state, engine, timeout)
        except ConnectError as error:
            reason = str(error)
            if error.is_refusal:
                record_exit(engine, anyio.current_time())
            if not isinstance(error.__cause__, TimeoutError):
                return reason
        else:
            record_gap(state.probe_pace, elapsed)
            engine.last_success_at = anyio.current_time()
            return ""
        elapsed = anyio.current_time() - started_at
        if elapsed <= timeout + LATE_TIMER_SECONDS:
            return reason
        # A late timeout also indicates that connections from this box are slow to open.
        record_gap(state.probe_pace, elapsed)
    state.metrics.counters["probe-held-up"] += 1
    logger.warning(
        "probe says nothing",
        extra={"upstream": engine.registration.instance, "reason": reason},
    )
    return ""


async def _connect_hedged(state: GatewayState, engine: ForwardedUpstream, timeout: float) -> float:
    """Connect, with a second connection in parallel after a share of the timeout.

    Args:
        state: State of the process.
        engine: The engine.
        timeout: Timeout for both connections together, in seconds.

    Returns:
        How long the first successful connection took, in seconds.

    Raises:
        ConnectError: If neither connection succeeded, or if one failed other than by timeout.
    """
    elapsed: float | None = None
    failure: ConnectError | None = None

    async def try_connect(delay: float, scope: anyio.CancelScope) -> None:
        nonlocal elapsed, failure
        await anyio.sleep(delay)
        started_at = anyio.current_time()
        address, source = engine.registration.address, state.settings.box.address
        try:
            connection = await connect(address, source=source, seconds=timeout - delay)
        except ConnectError as error:
            record_not_opened(state.reach)
            failure = error
            if not isinstance(error.__cause__, TimeoutError):
                scope.cancel()
            return
        elapsed = anyio.current_time() - started_at
        record_opened(state.reach, anyio.current_time())
        await connection.close()
        scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(try_connect, 0.0, tasks.cancel_scope)
        tasks.start_soon(try_connect, timeout * HEDGE_DELAY_SHARE, tasks.cancel_scope)
    if elapsed is not None:
        return elapsed
    assert failure is not None
    raise failure
