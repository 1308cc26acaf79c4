"""Number of entry boxes that share the budgets."""

from __future__ import annotations

from ledgeladder.daemons.gateway.state import ENTRY_COUNT_SECONDS, record_entry_count

from .builders import gateway_state


def test_entry_count_is_the_maximum_of_recent_reports() -> None:
    """A partitioned control box reports too few entry boxes."""
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
