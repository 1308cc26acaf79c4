"""How many entry boxes share the budgets."""

from __future__ import annotations

from ledgeladder.daemons.gateway.state import ENTRIES_SECONDS, note_entries

from .builders import gateway_state


def test_most_entry_boxes_of_the_last_seconds_count() -> None:
    """A control box that is cut off tells too few; one that counted a box twice tells too many."""
    state = gateway_state()
    note_entries(state, 8, 0.0)
    note_entries(state, 3, 1.0)
    assert state.entries == 8
    note_entries(state, 16, 2.0)
    assert state.entries == 16
    note_entries(state, 8, 3.0)
    assert state.entries == 16
    note_entries(state, 8, 2.0 + ENTRIES_SECONDS + 0.1)
    assert state.entries == 8
