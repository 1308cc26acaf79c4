"""Loads on a room of 300 requests of 3 s, with a view of the room that lags.

The room runs 100 requests a second. Work beyond the room is at most what is asked for until the
view shows it, and a quarter of the room.
"""

from __future__ import annotations

import random

import pytest

from .admission_loop import STEP_SECONDS, Arrival, Outcome, run_loop

CAPACITY = 300.0
LAGS = (0.05, 0.5, 1.0)
URGENT = Arrival(priority=0, rate=30.0)
USUAL = Arrival(priority=1, rate=20.0)
LEAST = Arrival(priority=2, rate=30.0)


def steps(seconds: float) -> int:
    return round(seconds / STEP_SECONDS)


def run(*kinds: Arrival, lag: float, seconds: float = 40.0, seed: int = 1) -> Outcome:
    return run_loop(
        lambda _now: list(kinds), capacity=CAPACITY, seconds=seconds, lag=lag, seed=seed
    )


@pytest.mark.parametrize("lag", LAGS)
def test_load_that_fits_refuses_nobody(lag: float) -> None:
    """Load: 80 of the 100 requests a second that the room runs."""
    outcome = run(URGENT, USUAL, LEAST, lag=lag)
    assert outcome.admitted == outcome.asked


def run_burst(burst: Arrival, *kinds: Arrival, lag: float) -> Outcome:
    """Run kinds for 30 s, with a burst in place of the usual ones of its priority from 10 s on."""

    def arrivals(now: float) -> list[Arrival]:
        if now < 10.0:
            return list(kinds)
        return [burst, *(item for item in kinds if item.priority != burst.priority)]

    return run_loop(arrivals, capacity=CAPACITY, seconds=30.0, lag=lag)


@pytest.mark.parametrize("lag", LAGS)
def test_burst_of_the_least_urgent_kind(lag: float) -> None:
    """Load: the least urgent suddenly ask for three times the room, for 20 s; what the others ask
    for fits into the half that goes by priority."""
    burst, usual = Arrival(priority=2, rate=300.0), Arrival(priority=1, rate=10.0)
    outcome = run_burst(burst, URGENT, usual, LEAST, lag=lag)
    assert outcome.ratio(URGENT) > 0.99
    assert outcome.ratio(usual) > 0.95
    assert outcome.ratio(burst) >= outcome.ratio(URGENT, usual, burst) / 2


@pytest.mark.parametrize("lag", LAGS)
def test_burst_of_the_most_urgent_kind(lag: float) -> None:
    """Load: the most urgent suddenly ask for twice the room, for 20 s; of the others, half of the
    ratio of all requests is admitted."""
    burst = Arrival(priority=0, rate=200.0)
    outcome = run_burst(burst, URGENT, USUAL, LEAST, lag=lag)
    in_burst = outcome.admitted_by_step[steps(10.0) :]
    total = sum(sum(step.values()) for step in in_burst) / (250.0 * 20.0)
    for kind in (USUAL, LEAST):
        ratio = sum(step[kind.priority] for step in in_burst) / (kind.rate * 20.0)
        # Some hundred draws: a tenth is about one standard deviation.
        assert total > ratio > total / 2 * 0.8
    assert outcome.ratio(burst) > total


@pytest.mark.parametrize("lag", LAGS)
def test_room_that_lags_does_not_swing_under_a_lasting_load(lag: float) -> None:
    """Load: twice the room of all kinds. After a few durations of a stream the room stays used."""
    kinds = [Arrival(priority=rank, rate=70.0) for rank in range(3)]
    outcome = run(*kinds, lag=lag)
    later = outcome.running[steps(15.0) :]
    assert min(later) > CAPACITY * 0.8
    assert max(later) < CAPACITY * 1.2


@pytest.mark.parametrize("lag", LAGS)
def test_bursts_of_three_seconds_do_not_start_a_swing(lag: float) -> None:
    """Load: each nine seconds, the most urgent ask for four times as much for three seconds. Before
    each burst nothing is refused that is urgent, and the room is no fuller than at first."""
    burst = Arrival(priority=0, rate=120.0)
    least = Arrival(priority=2, rate=40.0)

    def arrivals(now: float) -> list[Arrival]:
        return [URGENT if now % 9 < 6 else burst, USUAL, least]

    outcome = run_loop(arrivals, capacity=CAPACITY, seconds=63.0, lag=lag)
    assert outcome.ratio(URGENT) > 0.95
    assert outcome.ratio(URGENT, burst) > outcome.ratio(least)
    before = [outcome.running[steps(at)] for at in (5.5, 14.5, 23.5, 32.5, 41.5, 50.5, 59.5)]
    assert max(before) < CAPACITY
    peaks = [
        max(outcome.running[steps(9.0 * number) : steps(9.0 * (number + 1))]) for number in range(7)
    ]
    assert max(peaks[3:]) < max(peaks[:3]) * 1.1


@pytest.mark.parametrize("lag", LAGS)
def test_account_with_half_of_all_demand(lag: float) -> None:
    """Load: one account asks for the room alone, ten others for a tenth each."""
    big = Arrival(priority=1, rate=100.0, account="big")
    others = [Arrival(priority=1, rate=10.0, account=f"a{number}") for number in range(10)]
    outcome = run(big, *others, lag=lag)
    assert outcome.ratio(big) < outcome.ratio(*others)
    assert outcome.ratio(big) > outcome.ratio(big, *others) / 4


def test_many_accounts_are_served_alike() -> None:
    """Load: a hundred accounts ask for twice the room; the demand lists eight of them."""
    kinds = [Arrival(priority=1, rate=2.0, account=f"a{number}") for number in range(100)]
    outcome = run(*kinds, lag=0.5, seconds=60.0)
    total = outcome.ratio(*kinds)
    ratios = [outcome.ratio(item) for item in kinds]
    assert min(ratios) > total / 4
    assert max(ratios) < min(1.0, total * 1.6)


def test_large_requests_are_refused_no_more_often() -> None:
    """Load: a tenth of the requests is eight times as long; together twice the room."""
    short = Arrival(priority=1, rate=105.0, account="short", tokens=1000.0)
    long = Arrival(priority=1, rate=13.0, account="long", tokens=8000.0)
    outcome = run(short, long, lag=0.5, seconds=60.0)
    assert outcome.ratio(long) == pytest.approx(outcome.ratio(short), abs=0.08)


@pytest.mark.parametrize("seed", range(8))
def test_any_load_keeps_to_the_room_and_starves_nobody(seed: int) -> None:
    """Load: random kinds that ask for up to six times the room of an idle fleet. Work beyond the
    room stays within the bound, and of each kind some are admitted in any six seconds."""
    rng = random.Random(seed)
    lag = rng.choice(LAGS)
    kinds = [
        Arrival(priority=rank, rate=rng.uniform(20.0, 200.0)) for rank in range(rng.randint(1, 3))
    ]
    outcome = run(*kinds, lag=lag, seconds=30.0, seed=seed)
    asked = sum(item.rate for item in kinds)
    assert max(outcome.running) <= CAPACITY * 1.25 + asked * (lag + 2 * STEP_SECONDS)
    window = steps(6.0)
    for item in kinds:
        for first in range(0, len(outcome.admitted_by_step) - window, window):
            part = outcome.admitted_by_step[first : first + window]
            assert sum(step[item.priority] for step in part) > 0
