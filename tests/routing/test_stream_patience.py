"""Times of silence follow from what callers accept and from what was observed."""

from __future__ import annotations

import pytest

from ledgeladder.routing.stream_patience import (
    LEAST_GAP_SHARE,
    MOST_GAP_SHARE,
    StreamPatience,
    stream_patience,
)


def times(gap: float = 0.2, *, probe: float = 0.03, first: float = 0.08) -> StreamPatience:
    return stream_patience(
        target_latency=0.5, gap_target=gap, probe_seconds=probe, first_seconds=first
    )


def test_replacement_comes_within_the_pause_that_callers_accept() -> None:
    patience = times()
    assert patience.gap_look + 0.03 + 0.08 <= 0.2


@pytest.mark.parametrize("first", [0.0, 0.05, 0.1, 0.3, 5.0])
def test_probes_are_neither_sent_at_every_pass_nor_too_late(first: float) -> None:
    look = times(first=first).gap_look
    assert round(0.2 * LEAST_GAP_SHARE, 4) <= look <= round(0.2 * MOST_GAP_SHARE, 4)


@pytest.mark.parametrize("gap", [0.0, 0.05, 0.2, 2.0])
def test_steps_follow_each_other(gap: float) -> None:
    patience = times(gap)
    assert 0 < patience.gap_look < patience.ask < patience.link < patience.gap_limit
    assert 0 < patience.first_look < patience.first_limit
