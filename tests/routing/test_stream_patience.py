"""Times of silence follow from what callers accept and from what was observed."""

from __future__ import annotations

import pytest

from ledgeladder.routing.stream_patience import (
    MAX_GAP_SHARE,
    MIN_GAP_SHARE,
    StreamTimeouts,
    stream_timeouts,
)


def times(gap: float = 0.2, *, probe: float = 0.03, first: float = 0.08) -> StreamTimeouts:
    return stream_timeouts(
        target_latency=0.5, gap_target=gap, probe_seconds=probe, first_seconds=first
    )


def test_replacement_comes_within_the_pause_that_callers_accept() -> None:
    patience = times()
    assert patience.gap_probe + 0.03 + 0.08 <= 0.2


@pytest.mark.parametrize("first", [0.0, 0.05, 0.1, 0.3, 5.0])
def test_probes_are_neither_sent_at_every_pass_nor_too_late(first: float) -> None:
    look = times(first=first).gap_probe
    assert round(0.2 * MIN_GAP_SHARE, 4) <= look <= round(0.2 * MAX_GAP_SHARE, 4)


@pytest.mark.parametrize("gap", [0.0, 0.05, 0.2, 2.0])
def test_steps_follow_each_other(gap: float) -> None:
    patience = times(gap)
    assert (
        0
        < patience.gap_probe
        < patience.slowdown_query
        < patience.link_avoidance
        < patience.gap_timeout
    )
    assert 0 < patience.first_probe < patience.first_timeout
