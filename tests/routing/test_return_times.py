"""Refused callers return one after the other, the more urgent first."""

from __future__ import annotations

import random

import pytest

from ledgeladder.routing.return_times import (
    GAP_SHARE,
    MAX_PLACES,
    MAX_RETURN_SECONDS,
    MIN_RETURN_SECONDS,
    ROUNDING_SECONDS,
    USEFUL_SHARE,
    Place,
    ReturnBook,
    ReturnTime,
    choose_return,
    expire_places,
    place_interval,
)

INTERVAL = 0.1
PATIENT = 3.0 * MAX_RETURN_SECONDS
"""Time left of a caller who can use every place, in seconds."""


class Box:
    """A box whose callers are refused, with the time and interval of the moment."""

    def __init__(self, seed: int = 1) -> None:
        self.book = ReturnBook()
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.interval = INTERVAL

    def refuse(self, rank: int, seconds_left: float = PATIENT) -> ReturnTime:
        return choose_return(
            self.book,
            self.now,
            rank=rank,
            interval=self.interval,
            seconds_left=seconds_left,
            rng=self.rng,
        )

    def refuse_all(self, count: int, rank: int, seconds_left: float = PATIENT) -> list[float]:
        return [self.refuse(rank, seconds_left).seconds for _ in range(count)]


def closest(times: list[float]) -> float:
    ordered = sorted(times)
    return min(later - earlier for earlier, later in zip(ordered, ordered[1:], strict=False))


@pytest.mark.parametrize("seed", range(25))
def test_crest_that_is_refused_at_once_returns_one_after_the_other(seed: int) -> None:
    box = Box(seed)
    told = box.refuse_all(50, rank=0)
    assert closest(told) >= INTERVAL - ROUNDING_SECONDS
    assert max(told) <= (50 + 1.5) * INTERVAL


@pytest.mark.parametrize("seed", range(25))
def test_urgent_callers_refused_after_a_wave_return_among_the_first(seed: int) -> None:
    box = Box(seed)
    wave = box.refuse_all(40, rank=2)
    urgent = box.refuse_all(20, rank=0)
    assert sorted(urgent)[9] < sorted(wave)[9]
    assert max(urgent) < sorted(wave)[20]
    assert closest(wave + urgent) >= INTERVAL * GAP_SHARE - ROUNDING_SECONDS


@pytest.mark.parametrize("seed", range(25))
def test_urgent_callers_fit_between_others_when_streams_are_slower_since(seed: int) -> None:
    box = Box(seed)
    wave = box.refuse_all(40, rank=1)
    box.interval *= 1.2
    assert max(box.refuse_all(20, rank=0)) < sorted(wave)[25]


def test_less_urgent_callers_return_behind_urgent_ones() -> None:
    box = Box()
    urgent = box.refuse_all(10, rank=0)
    assert min(box.refuse_all(10, rank=1)) > max(urgent)


def test_crest_has_one_order_for_each_random_source() -> None:
    told = [
        [Box(seed).refuse_all(1, rank=0) + Box(seed).refuse_all(3, rank=1)] for seed in (1, 1, 2)
    ]
    assert told[0] == told[1]
    assert told[0] != told[2]


def test_place_that_the_caller_cannot_use_is_left_to_others() -> None:
    box = Box()
    box.refuse_all(20, rank=0)
    late = box.refuse(0, seconds_left=1.0)
    assert not late.promised
    assert late.seconds > max(place.at for place in box.book.places) - box.now
    assert len(box.book.places) == 20
    assert box.refuse(0).promised
    assert len(box.book.places) == 21


@pytest.mark.parametrize("seconds_left", [0.0, -5.0])
def test_caller_without_time_takes_no_place(seconds_left: float) -> None:
    box = Box()
    chosen = box.refuse(0, seconds_left)
    assert not chosen.promised
    assert chosen.seconds >= MIN_RETURN_SECONDS


def test_full_book_tells_later_times_and_stays_bounded() -> None:
    box = Box()
    box.interval = 0.01
    told = box.refuse_all(2 * MAX_PLACES, rank=0)
    assert len(box.book.places) == MAX_PLACES
    assert closest(told) >= 0.01 - ROUNDING_SECONDS
    box.now += told[MAX_PLACES // 2]
    later = [box.refuse(0).seconds + told[MAX_PLACES // 2] for _ in range(MAX_PLACES)]
    assert closest(told + later) >= 0.01 - ROUNDING_SECONDS
    assert len(box.book.places) <= MAX_PLACES


def test_box_whose_streams_do_not_end_tells_bounded_times() -> None:
    """Engines hang: the streams that run grow old, and no pace is recorded any more."""
    intervals = [place_interval(2.0, [age] * 8) for age in (1.0, 10.0, 100.0, 1e6)]
    assert intervals == sorted(intervals)
    assert intervals[0] < intervals[1]
    box = Box()
    for box.interval in intervals:
        chosen = box.refuse(0, seconds_left=15.0)
        assert MIN_RETURN_SECONDS <= chosen.seconds <= MAX_RETURN_SECONDS
        assert not chosen.promised or chosen.seconds <= 5.0


def test_box_without_streams_expects_room_after_half_a_stream() -> None:
    assert place_interval(2.0, []) == 1.0
    assert place_interval(0.0, []) == MIN_RETURN_SECONDS
    assert place_interval(2.0, [0.5]) == 1.0
    assert place_interval(2.0, [0.5] * 20) == 0.2


def test_places_have_passed_after_a_suspension() -> None:
    """The clock counts the suspension, so it jumps ahead of all promised times."""
    box = Box()
    box.refuse_all(100, rank=0)
    box.now += 3600.0
    chosen = box.refuse(2)
    assert chosen.promised
    assert chosen.seconds <= 1.5 * INTERVAL + MIN_RETURN_SECONDS
    assert len(box.book.places) == 1
    assert expire_places(box.book, box.now + chosen.seconds) == 0


@pytest.mark.parametrize("seed", range(25))
def test_caller_keeps_its_distance_to_a_place_behind_that_of_a_less_urgent_one(seed: int) -> None:
    box = Box(seed)
    box.interval = 1.0
    ahead = [(2.3, 2), (2.6, 1)]
    box.book.places = [
        Place(at=box.now + after, until=box.now + after, rank=rank) for after, rank in ahead
    ]
    chosen = box.refuse(1)
    assert abs(chosen.seconds - 2.3) >= GAP_SHARE - ROUNDING_SECONDS
    assert abs(chosen.seconds - 2.6) >= 2.0 - ROUNDING_SECONDS


@pytest.mark.parametrize("seed", range(60))
def test_no_place_is_given_twice(seed: int) -> None:
    """Callers of all ranks and timeouts, a rate that changes, and a clock that jumps at times."""
    box = Box(seed)
    rng = random.Random(seed)
    promised: list[tuple[float, int]] = []
    least = box.interval
    for _ in range(800):
        box.now += rng.expovariate(30.0) + (rng.random() < 0.003) * rng.uniform(0.0, 100.0)
        if rng.random() < 0.02:
            box.interval = rng.uniform(0.02, 0.6)
            least = min(least, box.interval)
        rank, left = rng.randrange(4), rng.choice([0.5, 3.0, 15.0, 60.0])
        chosen = box.refuse(rank, left)
        assert MIN_RETURN_SECONDS - ROUNDING_SECONDS <= chosen.seconds <= MAX_RETURN_SECONDS
        assert len(box.book.places) <= MAX_PLACES
        if not chosen.promised:
            assert chosen.seconds > left * USEFUL_SHARE
            continue
        at = box.now + chosen.seconds
        assert chosen.seconds <= left * USEFUL_SHARE
        assert all(at > other for other, urgency in promised if urgency < rank and other > box.now)
        promised.append((at, rank))
    assert closest([at for at, _rank in promised]) >= least * GAP_SHARE - ROUNDING_SECONDS
