"""Back-off that engines requested from a control box."""

from __future__ import annotations

from ledgeladder.coordination.rests import Backoffs, is_backing_off, record_backoff


def test_longest_backoff_applies_and_is_removed_once_expired() -> None:
    backoffs = Backoffs()
    assert not is_backing_off(backoffs, "e-1", 10.0)
    record_backoff(backoffs, "e-1", 3.0, 10.0)
    record_backoff(backoffs, "e-1", 1.0, 11.0)
    assert is_backing_off(backoffs, "e-1", 12.9)
    assert not is_backing_off(backoffs, "e-2", 12.9)
    assert not is_backing_off(backoffs, "e-1", 13.0)
    assert not backoffs.until
