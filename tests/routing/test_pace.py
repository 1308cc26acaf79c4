"""What counts as a stall, by the stream's own pace."""

from __future__ import annotations

import random

from ledgeladder.routing.pace import (
    CEILING_SECONDS,
    FLOOR_SECONDS,
    PROBE_CEILING_SECONDS,
    PROBE_FLOOR_SECONDS,
    Pace,
    note_false_alarm,
    note_gap,
    probe_patience,
    stall_after,
)


def paced(mean: float, seed: int = 1) -> Pace:
    rng = random.Random(seed)
    pace = Pace()
    for _ in range(200):
        note_gap(pace, mean * rng.uniform(0.7, 1.3))
    return pace


def test_patience_follows_the_pace() -> None:
    assert stall_after(Pace()) == CEILING_SECONDS
    assert stall_after(paced(0.01)) == FLOOR_SECONDS
    assert 0.5 < stall_after(paced(0.2)) < 1.0
    assert stall_after(paced(10.0)) == CEILING_SECONDS


def test_usual_gaps_are_no_stall() -> None:
    for seed in range(50):
        pace = paced(0.2, seed)
        rng = random.Random(seed)
        assert all(0.2 * rng.uniform(0.7, 1.3) < stall_after(pace) for _ in range(100))


def test_false_alarm_stretches_and_is_forgotten() -> None:
    pace = paced(0.2)
    before = stall_after(pace)
    note_false_alarm(pace)
    assert stall_after(pace) > before * 1.5
    for _ in range(200):
        note_gap(pace, 0.2)
    assert pace.leniency == 1.0


def test_probe_patience_grows_with_slow_answers() -> None:
    assert probe_patience(Pace()) == PROBE_FLOOR_SECONDS
    assert probe_patience(paced(0.01)) == PROBE_FLOOR_SECONDS
    assert 0.9 < probe_patience(paced(0.2)) <= PROBE_CEILING_SECONDS
    assert probe_patience(paced(9.0)) == PROBE_CEILING_SECONDS
