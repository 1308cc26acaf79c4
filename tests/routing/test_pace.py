"""Stall detection adapts to the pace of a stream."""

from __future__ import annotations

import random

from ledgeladder.routing.pace import (
    MAX_PROBE_SECONDS,
    MAX_STALL_SECONDS,
    MIN_PROBE_SECONDS,
    MIN_STALL_SECONDS,
    Pace,
    adaptive_probe_timeout,
    record_false_alarm,
    record_gap,
    stall_timeout,
)


def paced(mean: float, seed: int = 1) -> Pace:
    rng = random.Random(seed)
    pace = Pace()
    for _ in range(200):
        record_gap(pace, mean * rng.uniform(0.7, 1.3))
    return pace


def test_stall_timeout_follows_the_pace() -> None:
    assert stall_timeout(Pace()) == MAX_STALL_SECONDS
    assert stall_timeout(paced(0.01)) == MIN_STALL_SECONDS
    assert 0.5 < stall_timeout(paced(0.2)) < 1.0
    assert stall_timeout(paced(10.0)) == MAX_STALL_SECONDS


def test_normal_gaps_are_not_stalls() -> None:
    for seed in range(50):
        pace = paced(0.2, seed)
        rng = random.Random(seed)
        assert all(0.2 * rng.uniform(0.7, 1.3) < stall_timeout(pace) for _ in range(100))


def test_false_alarm_extends_the_timeout_and_decays() -> None:
    pace = paced(0.2)
    before = stall_timeout(pace)
    record_false_alarm(pace)
    assert stall_timeout(pace) > before * 1.5
    for _ in range(200):
        record_gap(pace, 0.2)
    assert pace.leniency == 1.0


def test_probe_timeout_grows_with_slow_answers() -> None:
    assert adaptive_probe_timeout(Pace()) == MIN_PROBE_SECONDS
    assert adaptive_probe_timeout(paced(0.01)) == MIN_PROBE_SECONDS
    assert 0.9 < adaptive_probe_timeout(paced(0.2)) <= MAX_PROBE_SECONDS
    assert adaptive_probe_timeout(paced(9.0)) == MAX_PROBE_SECONDS
