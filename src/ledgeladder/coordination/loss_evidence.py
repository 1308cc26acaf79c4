"""Decides whether an engine is presumed lost, from its heartbeats and reports of entry boxes.

A single entry box may itself be slow or partitioned and report every engine as unreachable, so its
report counts only once a heartbeat is overdue. Two boxes that agree are believed at once, and an
engine that misses several heartbeats is presumed lost without any report.

A process that is suspended sends no heartbeats and may fill its accept queue, yet its connections
stay open. The leader therefore connects to a suspect itself, before any conclusion is due: one that
accepts is not presumed lost.
"""

from __future__ import annotations

from typing import Final

import msgspec

MIN_WITNESSES: Final = 2
"""Entry boxes that must report an engine while its heartbeat is not overdue."""

OVERDUE_HEARTBEATS: Final = 1.25
"""Heartbeat intervals after which the next heartbeat is overdue."""

MAX_MISSED_HEARTBEATS: Final = 3.0
"""Heartbeat intervals after which an engine is presumed lost without any report."""

CHECKED_HEARTBEATS: Final = 2.5
"""Heartbeat intervals after which an engine is checked without any report, so that the result is
known before it would be presumed lost. Heartbeats that other control boxes received are known up to
a second later, nearly one interval."""

CHECK_INTERVAL_SECONDS: Final = 0.5
"""Minimum time between two checks of an engine without a new report."""

CHECK_TIMEOUT_SECONDS: Final = 0.4
"""Timeout of a check. An engine that does not accept by then gives no sign of life."""

CHECK_PATIENCE_SECONDS: Final = 0.1
"""How long a conclusion waits for the first check of a suspect. An engine that is reachable accepts
within a round trip."""

ACCEPTED_VALID_SECONDS: Final = 1.0
"""How long missing heartbeats are no evidence after a successful check: the time until the next one
has failed."""


class Witness(msgspec.Struct, frozen=True, kw_only=True):
    """An entry box that reported an engine as unreachable."""

    failure_domain: str
    """Its failure domain."""

    at: float
    """When it last reported the engine, on the monotonic clock."""


class LivenessCheck(msgspec.Struct, kw_only=True):
    """Checks of one engine by this box."""

    began_at: float = float("-inf")
    """When the newest one began, on the monotonic clock."""

    is_running: bool = False
    """True until its result is known."""

    failed_at: float = float("-inf")
    """When the newest one that failed began, on the monotonic clock."""

    accepted_at: float = float("-inf")
    """When connecting began for the newest connection that the engine accepted, on the monotonic
    clock."""


class LossEvidence(msgspec.Struct, kw_only=True):
    """Engines that entry boxes reported as unreachable."""

    reports: dict[str, dict[str, Witness]] = msgspec.field(default_factory=dict)
    """Witnesses by engine instance and box."""

    broadcast_at: dict[str, float] = msgspec.field(default_factory=dict)
    """When a loss was last broadcast to entry boxes, by engine instance, on the monotonic clock."""

    checks: dict[str, LivenessCheck] = msgspec.field(default_factory=dict)
    """Checks of suspects by engine instance."""


def record_report(
    evidence: LossEvidence, instance: str, box: str, failure_domain: str, now: float
) -> None:
    """Record that an entry box found an engine unreachable.

    Args:
        evidence: Reports of entry boxes.
        instance: Instance of the engine.
        box: The entry box.
        failure_domain: Its failure domain.
        now: Monotonic time.
    """
    witness = Witness(failure_domain=failure_domain, at=now)
    evidence.reports.setdefault(instance, {})[box] = witness


def retain_engines(evidence: LossEvidence, known: set[str]) -> None:
    """Drop the evidence on all engines but the known ones, given as instances."""
    for entries in (evidence.reports, evidence.broadcast_at, evidence.checks):
        for instance in [item for item in entries if item not in known]:
            del entries[instance]


def is_check_due(
    evidence: LossEvidence, instance: str, last_seen_at: float, now: float, heartbeat: float
) -> bool:
    """Return whether to connect to an engine now, since it may soon be presumed lost.

    Args:
        evidence: Reports of entry boxes, and earlier checks.
        instance: Instance of the engine.
        last_seen_at: When its last heartbeat arrived, on the monotonic clock.
        now: Monotonic time.
        heartbeat: Time between two heartbeats, in seconds.
    """
    check = evidence.checks.get(instance, LivenessCheck())
    if check.is_running:
        return False
    reported_at = max(
        (witness.at for witness in evidence.reports.get(instance, {}).values()),
        default=float("-inf"),
    )
    if reported_at > max(last_seen_at, check.began_at):
        return True
    is_suspect = reported_at > last_seen_at or now - last_seen_at > CHECKED_HEARTBEATS * heartbeat
    return is_suspect and now - check.began_at >= CHECK_INTERVAL_SECONDS


def begin_check(evidence: LossEvidence, instance: str, now: float) -> None:
    """Record that this box connects to an engine."""
    check = evidence.checks.setdefault(instance, LivenessCheck())
    check.began_at, check.is_running = now, True


def end_check(evidence: LossEvidence, instance: str, *, accepted: bool) -> None:
    """Record the result of a check; one of an engine that has been dropped is ignored."""
    check = evidence.checks.get(instance)
    if check is None:
        return
    check.is_running = False
    if accepted:
        check.accepted_at = check.began_at
    else:
        check.failed_at = check.began_at


def awaits_check(evidence: LossEvidence, instance: str, last_seen_at: float, now: float) -> bool:
    """Return whether a conclusion on an engine has to wait for its check.

    Only for the first check since its last sign of life: later ones confirm the result.

    Args:
        evidence: Reports of entry boxes, and checks.
        instance: Instance of the engine.
        last_seen_at: When its last heartbeat arrived, on the monotonic clock.
        now: Monotonic time.
    """
    check = evidence.checks.get(instance)
    if check is None or not check.is_running or now - check.began_at >= CHECK_PATIENCE_SECONDS:
        return False
    return check.failed_at <= max(last_seen_at, check.accepted_at)


def should_broadcast(
    evidence: LossEvidence, instance: str, failure_domain: str, last_seen_at: float, now: float
) -> bool:
    """Return whether to broadcast a loss to all entry boxes now, and record that it is.

    Entry boxes that receive the broadcast need no failed attempt of their own to detect the loss.
    It is sent once until the next heartbeat of the engine.

    Args:
        evidence: Reports of entry boxes.
        instance: Instance of the engine.
        failure_domain: Its failure domain.
        last_seen_at: When its last heartbeat arrived, on the monotonic clock.
        now: Monotonic time.

    Returns:
        True if `MIN_WITNESSES` boxes reported it since then, one of them in its own failure domain
        or at least two in different ones: a partitioned failure domain finds all engines of the
        others unreachable.
    """
    if evidence.broadcast_at.get(instance, float("-inf")) > last_seen_at:
        return False
    recent = [
        item for item in evidence.reports.get(instance, {}).values() if item.at > last_seen_at
    ]
    domains = {item.failure_domain for item in recent}
    if len(recent) < MIN_WITNESSES or (
        failure_domain not in domains and len(domains) < MIN_WITNESSES
    ):
        return False
    evidence.broadcast_at[instance] = now
    return True


def is_presumed_lost(
    evidence: LossEvidence,
    instance: str,
    last_seen_at: float,
    now: float,
    heartbeat: float,
    *,
    seen_until: float | None,
) -> bool:
    """Return whether an engine is presumed lost.

    Args:
        evidence: Reports of entry boxes. Those from before the last heartbeat are ignored.
        instance: Instance of the engine.
        last_seen_at: When its last heartbeat arrived, on the monotonic clock.
        now: Monotonic time.
        heartbeat: Time between two heartbeats, in seconds.
        seen_until: Time up to which all other control boxes were reachable, on the monotonic clock,
            since they receive some of the heartbeats. None while some are unreachable; then only
            `MIN_WITNESSES` reports count.

    Returns:
        True if `MIN_WITNESSES` boxes reported it since its last sign of life, if one did and the
        next heartbeat is overdue, or if it missed several heartbeats. A heartbeat and a successful
        check are signs of life.
    """
    check = evidence.checks.get(instance, LivenessCheck())
    inactivity = min(now, seen_until) - last_seen_at if seen_until is not None else 0.0
    if now - check.accepted_at < ACCEPTED_VALID_SECONDS:
        inactivity = 0.0
    if inactivity > MAX_MISSED_HEARTBEATS * heartbeat:
        return True
    alive_at = max(last_seen_at, check.accepted_at)
    reports = evidence.reports.get(instance, {})
    witnesses = sum(1 for witness in reports.values() if witness.at > alive_at)
    if witnesses >= MIN_WITNESSES:
        return True
    return witnesses > 0 and inactivity > OVERDUE_HEARTBEATS * heartbeat
