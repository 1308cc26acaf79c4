"""When an engine is presumed lost."""

from __future__ import annotations

import pytest

from ledgeladder.coordination.loss_evidence import (
    ACCEPTED_VALID_SECONDS,
    CHECK_INTERVAL_SECONDS,
    CHECK_PATIENCE_SECONDS,
    LossEvidence,
    awaits_check,
    begin_check,
    end_check,
    is_check_due,
    is_presumed_lost,
    record_report,
    retain_engines,
    should_broadcast,
)

HEARTBEAT = 1.2


@pytest.mark.parametrize(
    ("boxes", "last_seen_at", "expected"),
    [
        ([], 9.0, False),
        ([], 6.0, True),  # More than three heartbeats missed.
        (["a"], 9.0, False),  # The box may be slow itself.
        (["a", "a"], 9.0, False),
        (["a"], 8.0, True),  # Its heartbeat is overdue as well.
        (["a", "b"], 9.0, True),
    ],
)
def test_one_witness_needs_an_overdue_heartbeat(
    boxes: list[str], last_seen_at: float, expected: bool
) -> None:
    evidence = LossEvidence()
    for box in boxes:
        record_report(evidence, "i-1", box, "here", 9.5)
    assert (
        is_presumed_lost(evidence, "i-1", last_seen_at, 10.0, HEARTBEAT, seen_until=10.0)
        is expected
    )


def test_heartbeat_outweighs_earlier_reports() -> None:
    evidence = LossEvidence()
    for box in ("a", "b", "c"):
        record_report(evidence, "i-1", box, "here", 9.5)
    assert not is_presumed_lost(evidence, "i-1", 9.6, 10.0, HEARTBEAT, seen_until=10.0)


def test_evidence_on_engines_that_are_gone_is_dropped() -> None:
    evidence = LossEvidence()
    record_report(evidence, "i-1", "a", "here", 9.5)
    record_report(evidence, "i-2", "a", "here", 9.5)
    retain_engines(evidence, {"i-2"})
    assert set(evidence.reports) == {"i-2"}


def test_inactivity_is_ignored_while_other_control_boxes_are_unreachable() -> None:
    """A leader that is partitioned from the others receives only a part of the heartbeats."""
    evidence = LossEvidence()
    assert not is_presumed_lost(evidence, "i-1", 1.0, 10.0, HEARTBEAT, seen_until=None)
    record_report(evidence, "i-1", "a", "here", 9.5)
    assert not is_presumed_lost(evidence, "i-1", 1.0, 10.0, HEARTBEAT, seen_until=None)
    record_report(evidence, "i-1", "b", "here", 9.5)
    assert is_presumed_lost(evidence, "i-1", 1.0, 10.0, HEARTBEAT, seen_until=None)


@pytest.mark.parametrize(
    ("domains", "expected"),
    [
        (["a"], False),  # One box may be slow itself.
        (["a", "a"], True),  # Two boxes in its failure domain.
        (["b", "b", "b"], False),  # Their failure domain may be partitioned.
        (["b", "c"], True),
        (["b", "a"], True),
    ],
)
def test_loss_is_broadcast_if_no_partition_explains_it(domains: list[str], expected: bool) -> None:
    evidence = LossEvidence()
    for number, domain in enumerate(domains):
        record_report(evidence, "i-1", f"box-{number}", domain, 9.5)
    assert should_broadcast(evidence, "i-1", "a", 9.0, 9.6) is expected


def test_loss_is_broadcast_once_until_the_next_heartbeat() -> None:
    """Further reports of the same loss must not be broadcast to all boxes again."""
    evidence = LossEvidence()
    for box in ("x", "y"):
        record_report(evidence, "i-1", box, "a", 9.5)
    assert should_broadcast(evidence, "i-1", "a", 9.0, 9.5)
    record_report(evidence, "i-1", "z", "a", 9.6)
    assert not should_broadcast(evidence, "i-1", "a", 9.0, 9.6)
    assert not should_broadcast(evidence, "i-1", "a", 9.7, 9.8)
    for box in ("x", "y"):
        record_report(evidence, "i-1", box, "a", 9.9)
    assert should_broadcast(evidence, "i-1", "a", 9.7, 9.9)


@pytest.mark.parametrize(("seen_until", "expected"), [(8.0, False), (9.7, True)])
def test_inactivity_counts_while_all_control_boxes_are_reachable(
    seen_until: float, expected: bool
) -> None:
    """A control box that is cut off stops forwarding heartbeats before its links time out."""
    evidence = LossEvidence()
    lost = is_presumed_lost(evidence, "i-1", 6.0, 10.0, HEARTBEAT, seen_until=seen_until)
    assert lost is expected
    record_report(evidence, "i-1", "a", "here", 9.5)
    lost = is_presumed_lost(evidence, "i-1", 7.5, 10.0, HEARTBEAT, seen_until=seen_until)
    assert lost is expected


def is_lost(evidence: LossEvidence, last_seen_at: float, now: float) -> bool:
    return is_presumed_lost(evidence, "i-1", last_seen_at, now, HEARTBEAT, seen_until=now)


def record_check(evidence: LossEvidence, now: float, *, accepted: bool) -> None:
    begin_check(evidence, "i-1", now)
    end_check(evidence, "i-1", accepted=accepted)


def test_engine_that_accepts_is_not_lost_by_missing_heartbeats() -> None:
    """Failure: an engine that is suspended for some heartbeats lost its layers."""
    evidence = LossEvidence()
    assert not is_check_due(evidence, "i-1", 10.0, 12.9, HEARTBEAT)
    assert is_check_due(evidence, "i-1", 10.0, 13.1, HEARTBEAT)
    record_check(evidence, 13.5, accepted=True)
    assert not is_lost(evidence, 10.0, 13.7)
    assert is_check_due(evidence, "i-1", 10.0, 13.5 + CHECK_INTERVAL_SECONDS, HEARTBEAT)
    record_check(evidence, 14.0, accepted=False)
    assert is_lost(evidence, 10.0, 13.5 + ACCEPTED_VALID_SECONDS)


def test_reports_from_before_a_successful_check_are_ignored() -> None:
    """Failure: two boxes whose probes an engine's full accept queue dropped moved its layers."""
    evidence = LossEvidence()
    for box in ("a", "b"):
        record_report(evidence, "i-1", box, "here", 10.2)
    assert is_check_due(evidence, "i-1", 10.0, 10.2, HEARTBEAT)
    record_check(evidence, 10.25, accepted=True)
    assert not is_lost(evidence, 10.0, 10.3)
    for box in ("a", "b"):
        record_report(evidence, "i-1", box, "here", 10.4)
    assert is_check_due(evidence, "i-1", 10.0, 10.4, HEARTBEAT)
    assert is_lost(evidence, 10.0, 10.4)


def test_failed_check_delays_no_conclusion() -> None:
    """Failure: a machine that is gone is replaced later than without checks."""
    evidence = LossEvidence()
    for box in ("a", "b"):
        record_report(evidence, "i-1", box, "here", 10.2)
    assert is_lost(evidence, 10.0, 10.2)
    begin_check(evidence, "i-1", 10.2)
    assert awaits_check(evidence, "i-1", 10.0, 10.25)
    assert not awaits_check(evidence, "i-1", 10.0, 10.25 + CHECK_PATIENCE_SECONDS)
    assert not is_check_due(evidence, "i-1", 10.0, 10.8, HEARTBEAT)
    end_check(evidence, "i-1", accepted=False)
    assert is_lost(evidence, 10.0, 10.6)
    begin_check(evidence, "i-1", 10.7)
    assert not awaits_check(evidence, "i-1", 10.0, 10.75)
    assert not is_check_due(LossEvidence(), "i-1", 10.0, 10.2, HEARTBEAT)


def test_check_of_an_engine_that_was_dropped_is_ignored() -> None:
    evidence = LossEvidence()
    begin_check(evidence, "i-1", 10.0)
    retain_engines(evidence, set())
    end_check(evidence, "i-1", accepted=True)
    assert not evidence.checks
