"""Orders of events of concurrent attempts of one stream."""

from __future__ import annotations

import math
import random

import pytest

from ledgeladder.routing.attempt_race import (
    LATE_CHECK_SECONDS,
    AttemptRace,
    RunningAttempt,
    StopReason,
    begin_attempt,
    end_attempt,
    record_overdue,
    record_progress,
    stop_attempt,
    take_silent,
)
from ledgeladder.routing.paths import ChosenPath

PATH = ChosenPath(parts=(), engines=(), cost=1.0)


class Attempt:
    """An attempt that counts how often it was stopped."""

    def __init__(self, race: AttemptRace) -> None:
        self.stops = 0
        self.record = RunningAttempt(path=PATH, started_at=0.0, stop=self._stop)
        begin_attempt(race, self.record)

    def _stop(self) -> None:
        self.stops += 1


def test_an_overdue_attempt_goes_on_until_another_makes_progress() -> None:
    """Failure: a silent attempt was ended before anything could replace it."""
    race = AttemptRace()
    first = Attempt(race)
    assert not race.needs_attempt
    record_overdue(first.record, "stalled")
    assert race.needs_attempt
    second = Attempt(race)
    assert not race.needs_attempt
    assert (first.stops, second.stops) == (0, 0)
    assert record_progress(race, second.record)
    assert (first.stops, second.stops) == (1, 0)
    assert first.record.stopped is StopReason.SUPERSEDED
    assert not record_progress(race, first.record)


def test_an_attempt_that_recovers_stops_its_hedge() -> None:
    race = AttemptRace()
    first = Attempt(race)
    record_overdue(first.record, "stalled")
    second = Attempt(race)
    assert record_progress(race, first.record)
    assert (first.stops, second.stops) == (0, 1)
    end_attempt(race, second.record)
    assert not race.needs_attempt


def test_the_attempt_that_is_left_continues_when_another_fails() -> None:
    """Failure: the next attempt was refused, and the silent one had been ended for it."""
    race = AttemptRace()
    first = Attempt(race)
    record_overdue(first.record, "stalled")
    second = Attempt(race)
    end_attempt(race, second.record)
    assert race.needs_attempt
    assert record_progress(race, first.record)
    assert not race.needs_attempt


def test_a_write_is_not_interrupted() -> None:
    race = AttemptRace()
    attempt = Attempt(race)
    assert record_progress(race, attempt.record)
    attempt.record.is_writing = True
    stop_attempt(attempt.record, StopReason.EXITED)
    assert attempt.stops == 0
    assert attempt.record.stopped is StopReason.EXITED


def test_checks_for_silence_are_repeated() -> None:
    race = AttemptRace()
    assert race.next_check == math.inf
    first, second = Attempt(race).record, Attempt(race).record
    first.check_at = 1.0
    assert take_silent(race, 0.9, 1.0) == []
    assert take_silent(race, 1.0, 1.0) == [first]
    assert (first.check_at, second.check_at, race.next_check) == (2.0, math.inf, 2.0)
    assert take_silent(race, 2.0, 1.0) == [first]


def test_checks_without_an_interval_are_apart() -> None:
    """Failure: a route without a target latency was checked without a pause."""
    race = AttemptRace()
    attempt = Attempt(race).record
    attempt.check_at = 1.0
    assert take_silent(race, 1.0, 0.0) == [attempt]
    assert attempt.check_at == 1.0 + LATE_CHECK_SECONDS


def test_late_check_proves_no_silence() -> None:
    """Failure: a box that was stopped itself took all upstreams for silent when it went on."""
    race = AttemptRace()
    attempt = Attempt(race).record
    attempt.check_at = 1.0
    now = 1.1 + LATE_CHECK_SECONDS
    assert take_silent(race, now, 5.0) == []
    assert take_silent(race, attempt.check_at, 5.0) == [attempt]
    assert attempt.check_at == pytest.approx(now + LATE_CHECK_SECONDS + 5.0)


@pytest.mark.parametrize("seed", range(200))
def test_one_attempt_at_a_time_writes_in_any_order_of_events(seed: int) -> None:
    """Failure: two attempts write to one caller, or all of them are stopped by silence."""
    rng = random.Random(seed)
    race = AttemptRace()
    attempts: list[RunningAttempt] = []
    for _ in range(60):
        running = list(race.running)
        writing = [item for item in running if item.is_writing]
        assert len(writing) <= 1
        match rng.choice(("begin", "overdue", "event", "written", "end")):
            case "begin" if race.needs_attempt:
                attempt = RunningAttempt(path=PATH, started_at=0.0)
                begin_attempt(race, attempt)
                attempts.append(attempt)
            case "overdue" if running:
                attempt = rng.choice(running)
                if not attempt.is_writing:
                    record_overdue(attempt, "stalled")
            case "event" if running:
                attempt = rng.choice(running)
                if attempt not in writing and record_progress(race, attempt):
                    attempt.is_writing = True
            case "written" if writing:
                writing[0].is_writing = False
            case "end" if running:
                attempt = rng.choice(running)
                if attempt.stopped is not None and not attempt.is_writing:
                    end_attempt(race, attempt)
        # Silence alone stops nothing: whoever was stopped has a successor.
        if race.running:
            assert any(item.stopped is None for item in race.running)
    assert all(item.stopped in (None, StopReason.SUPERSEDED) for item in attempts)
