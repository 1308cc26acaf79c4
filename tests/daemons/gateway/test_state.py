"""How many entry boxes share the budgets."""

from __future__ import annotations

from ledgeladder.daemons.gateway.state import ENTRY_COUNT_SECONDS, record_entry_count

from .builders import gateway_state


def test_most_entry_boxes_of_the_last_seconds_count() -> None:
    """A control box that is cut off tells too few; one that counted a box twice tells too many."""
    state = gateway_state()
    record_entry_count(state, 8, 0.0)
    record_entry_count(state, 3, 1.0)
    assert state.entry_count == 8
    record_entry_count(state, 16, 2.0)
    assert state.entry_count == 16
    record_entry_count(state, 8, 3.0)
    assert state.entry_count == 16
    record_entry_count(state, 8, 2.0 + ENTRY_COUNT_SECONDS + 0.1)
    assert state.entry_count == 8
