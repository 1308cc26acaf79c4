"""When an engine counts as lost."""

from __future__ import annotations

import pytest

from ledgeladder.coordination.loss_evidence import (
    LossEvidence,
    forget_engines,
    is_worth_telling,
    note_report,
    seems_lost,
)

HEARTBEAT = 1.2


@pytest.mark.parametrize(
    ("boxes", "heard_at", "expected"),
    [
        ([], 9.0, False),
        ([], 6.0, True),  # Silent for more than three heartbeats.
        (["a"], 9.0, False),  # The box may be slow itself.
        (["a", "a"], 9.0, False),
        (["a"], 8.0, True),  # Its heartbeat is overdue as well.
        (["a", "b"], 9.0, True),
    ],
)
def test_one_witness_needs_an_overdue_heartbeat(
    boxes: list[str], heard_at: float, expected: bool
) -> None:
    evidence = LossEvidence()
    for box in boxes:
        note_report(evidence, "i-1", box, "here", 9.5)
    assert seems_lost(evidence, "i-1", heard_at, 10.0, HEARTBEAT, heard_until=10.0) is expected


def test_heartbeat_outweighs_earlier_reports() -> None:
    evidence = LossEvidence()
    for box in ("a", "b", "c"):
        note_report(evidence, "i-1", box, "here", 9.5)
    assert not seems_lost(evidence, "i-1", 9.6, 10.0, HEARTBEAT, heard_until=10.0)


def test_engines_that_are_gone_are_forgotten() -> None:
    evidence = LossEvidence()
    note_report(evidence, "i-1", "a", "here", 9.5)
    note_report(evidence, "i-2", "a", "here", 9.5)
    forget_engines(evidence, {"i-2"})
    assert set(evidence.reports) == {"i-2"}


def test_silence_says_nothing_while_other_control_boxes_are_out_of_reach() -> None:
    """A leader that is cut off from the others hears a third of the heartbeats."""
    evidence = LossEvidence()
    assert not seems_lost(evidence, "i-1", 1.0, 10.0, HEARTBEAT, heard_until=None)
    note_report(evidence, "i-1", "a", "here", 9.5)
    assert not seems_lost(evidence, "i-1", 1.0, 10.0, HEARTBEAT, heard_until=None)
    note_report(evidence, "i-1", "b", "here", 9.5)
    assert seems_lost(evidence, "i-1", 1.0, 10.0, HEARTBEAT, heard_until=None)


@pytest.mark.parametrize(
    ("domains", "expected"),
    [
        (["a"], False),  # One box may be slow itself.
        (["a", "a"], True),  # Two boxes beside it.
        (["b", "b", "b"], False),  # Their failure domain may be cut off.
        (["b", "c"], True),
        (["b", "a"], True),
    ],
)
def test_all_boxes_are_told_what_a_cut_cannot_explain(domains: list[str], expected: bool) -> None:
    evidence = LossEvidence()
    for number, domain in enumerate(domains):
        note_report(evidence, "i-1", f"box-{number}", domain, 9.5)
    assert is_worth_telling(evidence, "i-1", "a", 9.0, 9.6) is expected


def test_a_loss_is_told_once_until_the_engine_is_heard() -> None:
    """At hundreds of boxes each report would else be passed on to all others."""
    evidence = LossEvidence()
    for box in ("x", "y"):
        note_report(evidence, "i-1", box, "a", 9.5)
    assert is_worth_telling(evidence, "i-1", "a", 9.0, 9.5)
    note_report(evidence, "i-1", "z", "a", 9.6)
    assert not is_worth_telling(evidence, "i-1", "a", 9.0, 9.6)
    assert not is_worth_telling(evidence, "i-1", "a", 9.7, 9.8)
    for box in ("x", "y"):
        note_report(evidence, "i-1", box, "a", 9.9)
    assert is_worth_telling(evidence, "i-1", "a", 9.7, 9.9)


@pytest.mark.parametrize(("heard_until", "expected"), [(8.0, False), (9.7, True)])
def test_silence_counts_up_to_the_moment_in_which_all_control_boxes_were_heard(
    heard_until: float, expected: bool
) -> None:
    """Engines send their heartbeats to one control box each. One that is cut off without a word
    takes those of a third of all with it, seconds before its links are given up."""
    evidence = LossEvidence()
    lost = seems_lost(evidence, "i-1", 6.0, 10.0, HEARTBEAT, heard_until=heard_until)
    assert lost is expected
    note_report(evidence, "i-1", "a", "here", 9.5)
    lost = seems_lost(evidence, "i-1", 7.5, 10.0, HEARTBEAT, heard_until=heard_until)
    assert lost is expected
