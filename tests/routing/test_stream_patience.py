"""Timeouts of stalled streams follow from the targets of the route and from observed times."""

from __future__ import annotations

import pytest

from ledgeladder.routing.stream_patience import (
    MAX_GAP_SHARE,
    MIN_GAP_SHARE,
    StreamTimeouts,
    stream_timeouts,
)


def build_timeouts(gap: float = 0.2, *, probe: float = 0.03, first: float = 0.08) -> StreamTimeouts:
    return stream_timeouts(
        target_latency=0.5, gap_target=gap, probe_seconds=probe, first_seconds=first
    )


def test_replacement_path_starts_within_the_gap_target() -> None:
    timeouts = build_timeouts()
    assert timeouts.gap_probe + 0.03 + 0.08 <= 0.2


@pytest.mark.parametrize("first", [0.0, 0.05, 0.1, 0.3, 5.0])
def test_probe_time_stays_within_its_bounds(first: float) -> None:
    probe_after = build_timeouts(first=first).gap_probe
    assert round(0.2 * MIN_GAP_SHARE, 4) <= probe_after <= round(0.2 * MAX_GAP_SHARE, 4)


@pytest.mark.parametrize("gap", [0.0, 0.05, 0.2, 2.0])
def test_timeouts_are_ordered(gap: float) -> None:
    timeouts = build_timeouts(gap)
    assert (
        0
        < timeouts.gap_probe
        < timeouts.slowdown_query
        < timeouts.link_avoidance
        < timeouts.gap_timeout
    )
    assert 0 < timeouts.first_probe < timeouts.first_timeout
