"""Engines that asked a control box for rest."""

from __future__ import annotations

from ledgeladder.coordination.rests import Rests, is_resting, note_rest


def test_longest_time_counts_and_is_forgotten_once_it_is_over() -> None:
    rests = Rests()
    assert not is_resting(rests, "e-1", 10.0)
    note_rest(rests, "e-1", 3.0, 10.0)
    note_rest(rests, "e-1", 1.0, 11.0)
    assert is_resting(rests, "e-1", 12.9)
    assert not is_resting(rests, "e-2", 12.9)
    assert not is_resting(rests, "e-1", 13.0)
    assert not rests.until
