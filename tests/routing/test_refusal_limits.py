"""Less urgent requests leave retries to more urgent ones when engines are full."""

from __future__ import annotations

from ledgeladder.routing.refusal_limits import REFUSALS_LIMIT, rank_of, refusals_limit


def test_rank_is_the_place_among_the_priorities_of_the_pool() -> None:
    assert [rank_of((0, 4, 7), priority) for priority in (0, 4, 7)] == [0, 1, 2]
    assert rank_of((2, 5), 2) == 0


def test_less_urgent_requests_give_up_sooner() -> None:
    limits = [refusals_limit(rank) for rank in range(10)]
    assert limits[0] == REFUSALS_LIMIT
    assert limits == sorted(limits, reverse=True)
    assert limits[0] > limits[1]
    assert limits[-1] >= 2
