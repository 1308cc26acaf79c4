"""Requests wait for room only for a part of their time, and only if a place is expected."""

from __future__ import annotations

import random

import pytest

from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.room_wait import (
    MAX_WAIT_SHARE,
    is_place_expected,
    room_wait_deadline,
)

DEMAND = PoolDemand(
    classes={
        0: ClassDemand(asked=50.0, admitted=50.0),
        1: ClassDemand(asked=100.0, admitted=40.0),
        2: ClassDemand(asked=100.0, admitted=10.0),
    }
)


def expected(priority: int, *, seconds: float = 0.1, ahead: int = 0, entries: int = 1) -> bool:
    return is_place_expected(
        DEMAND, priority=priority, seconds=seconds, ahead=ahead, entries=entries
    )


def test_place_is_expected_at_the_rate_of_what_more_urgent_requests_leave() -> None:
    """Load: a hundred places a second, half of which the most urgent requests take."""
    assert expected(1, ahead=4)
    assert not expected(1, ahead=5)
    assert expected(2) and not expected(2, ahead=1)


def test_other_boxes_have_as_many_waiting() -> None:
    assert expected(0, ahead=1, entries=9)
    assert not expected(0, ahead=1, entries=10)


def test_no_place_is_expected_where_nothing_was_admitted() -> None:
    assert not is_place_expected(PoolDemand(), priority=0, seconds=1.0, ahead=0, entries=1)


@pytest.mark.parametrize("seed", range(3))
def test_nothing_waits_past_what_it_can_be_served_in(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(500):
        arrived = rng.random() * 100
        deadline, usual = arrived + rng.random() * 10, rng.random() * 5
        until = room_wait_deadline(arrived_at=arrived, deadline=deadline, stream_seconds=usual)
        assert until + usual <= deadline + 1e-9
        assert until <= arrived + MAX_WAIT_SHARE * (deadline - arrived) + 1e-9
