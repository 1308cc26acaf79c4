"""Probes that find out which engines of a stalled path are dead."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...http1 import ConnectError
from ...links import is_port_closed
from ...links.messages import LossReport
from ...routing.forwarding_table import (
    counts_as_alive,
    record_exit,
    record_loss,
)
from ...routing.pace import record_gap
from ...routing.upstream_reach import ReachVerdict, may_report_losses
from .reaching import (
    NoRelayError,
    connect_directly,
    connect_upstream,
    probe_timeout,
    proves_exit,
    verify_reach,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

HEDGE_DELAY_SHARE: Final = 0.5
"""Share of the probe timeout after which a second connection is opened in parallel, because a
single lost packet would otherwise make an engine appear dead."""

LIVENESS_SECONDS: Final = 0.035
"""How long an engine counts as alive after its last progress. Shorter than the shortest stall
timeout, since an engine that made no progress during the stall must be probed."""

LATE_TIMER_SECONDS: Final = 0.02
"""Lateness of a timer above which this process was stalled itself, and the timeout is no evidence
against the engine. Timers of a process that is not stalled fire within a few milliseconds."""


class RunningProbe(msgspec.Struct, kw_only=True):
    """A probe of an engine, whose result all streams on the engine use."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when it ends or is cancelled."""

    was_finished: bool = False
    """False if it was cancelled."""

    found_dead: bool = False
    """Whether the engine appears dead."""

    was_reported: bool = False
    """True once one of the streams has reported that."""


async def find_unreachable(
    state: GatewayState,
    engines: Iterable[ForwardedUpstream],
    dead: set[str],
    *,
    liveness_seconds: float | None = None,
) -> bool:
    """Probe engines concurrently, and report those that do not accept a connection.

    An engine that made progress for another request, or accepted a probe, within `liveness_seconds`
    is not probed.

    Args:
        state: State of the process.
        engines: The engines, for example those of a path.
        dead: Instances of engines that are known to be dead; those found are added.
        liveness_seconds: How long an engine counts as alive after its last progress; by default
            `LIVENESS_SECONDS`, or more for one that is silent and accepts probes.

    Returns:
        True if any engine was found unreachable.
    """
    found: list[tuple[ForwardedUpstream, RunningProbe]] = []
    # Connections to the other engines of the path prove the reach of this box as well.
    since = anyio.current_time()

    async def probe(engine: ForwardedUpstream) -> None:
        result = await _probe_shared(state, engine, since)
        if result.found_dead:
            found.append((engine, result))

    async with anyio.create_task_group() as tasks:
        for engine in engines:
            if not _counts_as_alive(engine, liveness_seconds):
                tasks.start_soon(probe, engine)
    for engine, result in found:
        dead.add(engine.registration.instance)
        if not result.was_reported:
            result.was_reported = True
            report_lost(state, engine, dead)
    return bool(found)


def _counts_as_alive(engine: ForwardedUpstream, seconds: float | None) -> bool:
    """Return whether an engine needs no probe."""
    now = anyio.current_time()
    if seconds is None:
        return counts_as_alive(engine, now, LIVENESS_SECONDS)
    return now - engine.last_success_at <= seconds


async def _probe_shared(
    state: GatewayState, engine: ForwardedUpstream, since: float
) -> RunningProbe:
    """Probe an engine, or wait for the probe of another stream; return the finished probe.

    If the stream that probes ends meanwhile, the next one probes.
    """
    instance = engine.registration.instance
    while (running := state.running_probes.get(instance)) is not None:
        await running.done.wait()
        if running.was_finished:
            return running
    running = state.running_probes[instance] = RunningProbe()
    try:
        reason = await _probe(state, engine, since)
        if reason:
            _log_loss(engine, reason)
        running.found_dead = bool(reason)
        running.was_finished = True
    finally:
        del state.running_probes[instance]
        running.done.set()
    return running


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
    if not await _is_port_closed(state, upstream):
        return False
    record_exit(upstream, anyio.current_time())
    _log_loss(upstream, f"{address}: connection refused")
    report_lost(state, upstream, dead)
    return True


async def _is_port_closed(state: GatewayState, upstream: ForwardedUpstream) -> bool:
    """Return whether an upstream's port is closed, as seen from a box that reaches upstreams."""
    seconds = probe_timeout(state, upstream.registration.pool)
    if not state.reach.is_cut:
        started_at = anyio.current_time()
        address, source = upstream.registration.address, state.settings.box.address
        if not await is_port_closed(address, source, seconds=seconds):
            return False
        verdict = await verify_reach(state, upstream, started_at)
        if verdict is not ReachVerdict.CUT:
            return verdict is ReachVerdict.DIRECT
    try:
        connection = await connect_upstream(state, upstream, seconds=seconds)
    except ConnectError as error:
        return proves_exit(state, error)
    await connection.close()
    return False


def _log_loss(upstream: ForwardedUpstream, reason: str) -> None:
    logger.warning(
        "engine does not answer",
        extra={"upstream": upstream.registration.instance, "reason": reason},
    )


def report_lost(state: GatewayState, engine: ForwardedUpstream, dead: set[str]) -> None:
    """Record that an engine is dead, and report it to the control boxes.

    It receives no new work until a later heartbeat is known; the attempts of other streams on it
    are overdue, or stopped if it has exited. A box that reaches no upstream itself reports none,
    since control boxes believe two that agree.

    Args:
        state: State of the process.
        engine: The engine.
        dead: Instances of engines that are known to be dead; this one is added.
    """
    dead.add(engine.registration.instance)
    state.metrics.counters["engine-lost"] += 1
    record_loss(engine, anyio.current_time())
    if state.peers is not None and may_report_losses(state.reach, anyio.current_time()):
        for link in state.peers.links.values():
            link.post(LossReport(instance=engine.registration.instance))


async def _probe(state: GatewayState, engine: ForwardedUpstream, since: float) -> str:
    """Probe an engine; a box that is cut off does so through another one.

    A box that is cut off would otherwise find every engine dead, as would a stalled process: it
    would break off its streams and cause the control boxes to move layers.

    Args:
        state: State of the process.
        engine: The engine.
        since: When this and the concurrent probes began, on the monotonic clock.

    Returns:
        Why the engine appears dead; empty if it accepted or if the probe is inconclusive.
    """
    if not state.reach.is_cut:
        failure = await _probe_directly(state, engine)
        if failure is None:
            return ""
        if await verify_reach(state, engine, since) is not ReachVerdict.CUT:
            return _describe_failure(state, engine, failure)
    try:
        connection = await connect_upstream(
            state, engine, seconds=probe_timeout(state, engine.registration.pool)
        )
    except NoRelayError as error:
        _log_inconclusive(state, engine, str(error))
        return ""
    except ConnectError as error:
        return _describe_failure(state, engine, error)
    await connection.close()
    engine.last_success_at = anyio.current_time()
    return ""


def _describe_failure(state: GatewayState, engine: ForwardedUpstream, failure: ConnectError) -> str:
    """Return why a probe failed, and record an exit if the engine's port is closed."""
    if proves_exit(state, failure):
        record_exit(engine, anyio.current_time())
    return str(failure)


def _log_inconclusive(state: GatewayState, engine: ForwardedUpstream, reason: str) -> None:
    state.metrics.counters["probe-held-up"] += 1
    logger.warning(
        "probe says nothing",
        extra={"upstream": engine.registration.instance, "reason": reason},
    )


async def _probe_directly(state: GatewayState, engine: ForwardedUpstream) -> ConnectError | None:
    """Connect to an engine, and retry once if this process was stalled meanwhile.

    Returns:
        Why it failed; None if the engine accepted or if the probe is inconclusive.
    """
    failure: ConnectError | None = None
    for _ in range(2):
        timeout = probe_timeout(state, engine.registration.pool)
        started_at = anyio.current_time()
        try:
            elapsed = await _connect_hedged(state, engine, timeout)
        except ConnectError as error:
            failure = error
            if not isinstance(error.__cause__, TimeoutError):
                return failure
        else:
            record_gap(state.probe_pace, elapsed)
            engine.last_success_at = anyio.current_time()
            return None
        elapsed = anyio.current_time() - started_at
        if elapsed <= timeout + LATE_TIMER_SECONDS:
            return failure
        # A late timeout also indicates that connections from this box are slow to open.
        record_gap(state.probe_pace, elapsed)
    _log_inconclusive(state, engine, str(failure))
    return None


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
        try:
            connection = await connect_directly(state, engine, timeout - delay)
        except ConnectError as error:
            failure = error
            if not isinstance(error.__cause__, TimeoutError):
                scope.cancel()
            return
        elapsed = anyio.current_time() - started_at
        await connection.close()
        scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(try_connect, 0.0, tasks.cancel_scope)
        tasks.start_soon(try_connect, timeout * HEDGE_DELAY_SHARE, tasks.cancel_scope)
    if elapsed is not None:
        return elapsed
    assert failure is not None
    raise failure
