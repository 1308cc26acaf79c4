"""Whether an engine counts as lost, from heartbeats and from what entry boxes found.

One entry box may be slow or cut off itself and call every engine dead. Its word alone counts only
together with a heartbeat that is overdue; two boxes that say the same are believed at once, and an
engine that is silent for several heartbeats needs no witness.
"""

from __future__ import annotations

from typing import Final

import msgspec

WITNESSES: Final = 2
"""Entry boxes that must find an engine dead while its heartbeats are not overdue."""

OVERDUE_HEARTBEATS: Final = 1.25
"""Heartbeats after which the next one is overdue; they come about once an interval."""

SILENT_HEARTBEATS: Final = 3.0
"""Heartbeats that an engine may miss before it counts as lost although nobody found it dead."""


class Witness(msgspec.Struct, frozen=True, kw_only=True):
    """An entry box that found an engine dead."""

    failure_domain: str
    """Its failure domain."""

    at: float
    """When it last said so, on the monotonic clock."""


class LossEvidence(msgspec.Struct, kw_only=True):
    """Engines that entry boxes found dead."""

    reports: dict[str, dict[str, Witness]] = msgspec.field(default_factory=dict)
    """Who found an engine dead, by run of the engine and box."""

    told: dict[str, float] = msgspec.field(default_factory=dict)
    """When entry boxes were last told of a loss, by run of the engine, on the monotonic clock."""


def note_report(
    evidence: LossEvidence, instance: str, box: str, failure_domain: str, now: float
) -> None:
    """Note that an entry box found an engine dead.

    Args:
        evidence: What entry boxes found.
        instance: Run of the engine.
        box: The entry box.
        failure_domain: Its failure domain.
        now: Monotonic time.
    """
    witness = Witness(failure_domain=failure_domain, at=now)
    evidence.reports.setdefault(instance, {})[box] = witness


def forget_engines(evidence: LossEvidence, known: set[str]) -> None:
    """Forget all engines but the known ones, given as runs."""
    for kept in (evidence.reports, evidence.told):
        for instance in [item for item in kept if item not in known]:
            del kept[instance]


def is_worth_telling(
    evidence: LossEvidence, instance: str, failure_domain: str, heard_at: float, now: float
) -> bool:
    """Tell whether all entry boxes are to be told of a loss now; True once for each silence.

    Boxes that learn it need no lost try of their own to find out. With hundreds of boxes each of
    which finds the dead engines by itself, that would be hundreds of lost tries a loss.

    Args:
        evidence: What entry boxes found.
        instance: Run of the engine.
        failure_domain: Its failure domain.
        heard_at: When its last heartbeat came, on the monotonic clock.
        now: Monotonic time.

    Returns:
        True if `WITNESSES` boxes found it dead since then, one of them in its own failure domain or
        in two others: a failure domain that is cut off finds all engines of the others dead.
    """
    if evidence.told.get(instance, float("-inf")) > heard_at:
        return False
    recent = [item for item in evidence.reports.get(instance, {}).values() if item.at > heard_at]
    domains = {item.failure_domain for item in recent}
    if len(recent) < WITNESSES or (failure_domain not in domains and len(domains) < WITNESSES):
        return False
    evidence.told[instance] = now
    return True


def seems_lost(
    evidence: LossEvidence,
    instance: str,
    heard_at: float,
    now: float,
    heartbeat: float,
    *,
    heard_until: float | None,
) -> bool:
    """Tell whether an engine counts as lost.

    Args:
        evidence: What entry boxes found. Reports from before the last heartbeat count for nothing.
        instance: Run of the engine.
        heard_at: When its last heartbeat came, on the monotonic clock.
        now: Monotonic time.
        heartbeat: Time between two heartbeats, in seconds.
        heard_until: Moment up to which all other control boxes were heard, on the monotonic clock:
            they take heartbeats that this box learns from them. None while some are out of reach.
            Then only witnesses count, and it takes `WITNESSES` of them.

    Returns:
        True if `WITNESSES` boxes found it dead since its last heartbeat, if one did and the next
        heartbeat is overdue, or if it is silent for long.
    """
    silence = min(now, heard_until) - heard_at if heard_until is not None else 0.0
    if silence > SILENT_HEARTBEATS * heartbeat:
        return True
    reports = evidence.reports.get(instance, {})
    witnesses = sum(1 for witness in reports.values() if witness.at > heard_at)
    if witnesses >= WITNESSES:
        return True
    return witnesses > 0 and silence > OVERDUE_HEARTBEATS * heartbeat
