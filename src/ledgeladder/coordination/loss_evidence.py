"""Decides whether an engine is presumed lost, from its heartbeats and reports of entry boxes.

A single entry box may itself be slow or partitioned and report every engine as unreachable, so its
report counts only once a heartbeat is overdue. Two boxes that agree are believed at once, and an
engine that misses several heartbeats is presumed lost without any report.
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


class Witness(msgspec.Struct, frozen=True, kw_only=True):
    """An entry box that reported an engine as unreachable."""

    failure_domain: str
    """Its failure domain."""

    at: float
    """When it last reported the engine, on the monotonic clock."""


class LossEvidence(msgspec.Struct, kw_only=True):
    """Engines that entry boxes reported as unreachable."""

    reports: dict[str, dict[str, Witness]] = msgspec.field(default_factory=dict)
    """Witnesses by engine instance and box."""

    broadcast_at: dict[str, float] = msgspec.field(default_factory=dict)
    """When a loss was last broadcast to entry boxes, by engine instance, on the monotonic clock."""


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
    for entries in (evidence.reports, evidence.broadcast_at):
        for instance in [item for item in entries if item not in known]:
            del entries[instance]


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
        True if `MIN_WITNESSES` boxes reported it since its last heartbeat, if one did and the next
        heartbeat is overdue, or if it missed several heartbeats.
    """
    inactivity = min(now, seen_until) - last_seen_at if seen_until is not None else 0.0
    if inactivity > MAX_MISSED_HEARTBEATS * heartbeat:
        return True
    reports = evidence.reports.get(instance, {})
    witnesses = sum(1 for witness in reports.values() if witness.at > last_seen_at)
    if witnesses >= MIN_WITNESSES:
        return True
    return witnesses > 0 and inactivity > OVERDUE_HEARTBEATS * heartbeat
