"""Less urgent requests leave retries to more urgent ones when engines are full."""

from __future__ import annotations

from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.refusal_limits import (
    REFUSALS_LIMIT,
    rank_of,
    refusals_limit,
    urgency_class,
)


def test_rank_is_the_place_among_the_priorities_of_the_pool() -> None:
    assert [rank_of((0, 4, 7), priority) for priority in (0, 4, 7)] == [0, 1, 2]
    assert rank_of((2, 5), 2) == 0


def test_less_urgent_requests_give_up_sooner() -> None:
    limits = [refusals_limit(rank) for rank in range(10)]
    assert limits[0] == REFUSALS_LIMIT
    assert limits == sorted(limits, reverse=True)
    assert limits[0] > limits[1]
    assert limits[-1] >= 2


def test_urgency_follows_the_demand_that_is_more_urgent() -> None:
    """A few urgent accounts make many priorities, which nearly no request has."""
    ranks = (0, 1, 2, 10, 11, 12)
    asked = {0: 2.0, 1: 2.0, 2: 1.0, 10: 50.0, 11: 30.0, 12: 15.0}
    demand = PoolDemand(classes={rank: ClassDemand(asked=rate) for rank, rate in asked.items()})
    classes = [urgency_class(ranks, demand, rank) for rank in ranks]
    assert classes == [0, 0, 0, 0, 1, 2]


def test_urgency_without_demand_is_the_place_of_the_priority() -> None:
    assert [urgency_class((0, 3), PoolDemand(), rank) for rank in (0, 3)] == [0, 1]
