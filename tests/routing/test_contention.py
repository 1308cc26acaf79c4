"""Which pools share their room by priority, and how often their requests may be refused."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from ledgeladder.routing.contention import (
    REFUSALS_LIMIT,
    contended_pools,
    pool_priorities,
    rank_of,
    refusals_limit,
)


def configuration(*routes: tuple[str, int, float], accounts: tuple[int | None, ...] = ()) -> Any:
    """Return a configuration with routes to pools, given as pool, priority and weight."""
    return SimpleNamespace(
        accounts=[SimpleNamespace(priority=item) for item in accounts],
        pools={
            "engines": SimpleNamespace(engine=object()),
            "other": SimpleNamespace(engine=object()),
            "plain": SimpleNamespace(engine=None),
        },
        routes=[
            SimpleNamespace(priority=rank, pools=[SimpleNamespace(pool=pool, weight=weight)])
            for pool, rank, weight in routes
        ],
    )


def test_priorities_of_a_contended_pool_are_in_order_of_urgency() -> None:
    found = configuration(("engines", 7, 1.0), ("engines", 0, 1.0), ("plain", 3, 1.0))
    assert pool_priorities(found) == {"engines": (0, 7)}
    assert contended_pools(found) == {"engines"}


def test_priority_of_an_account_counts_beside_that_of_the_route() -> None:
    found = configuration(("engines", 2, 1.0), accounts=(None, 5))
    assert pool_priorities(found) == {"engines": (2, 5)}


def test_pools_of_one_priority_and_unused_routes_are_not_contended() -> None:
    found = configuration(("engines", 2, 1.0), ("engines", 0, 0.0), ("other", 2, 1.0))
    assert pool_priorities(found) == {}


def test_rank_is_the_place_among_the_priorities_of_the_pool() -> None:
    assert [rank_of((0, 4, 7), priority) for priority in (0, 4, 7)] == [0, 1, 2]
    assert rank_of((2, 5), 2) == 0


def test_less_urgent_requests_give_up_sooner() -> None:
    limits = [refusals_limit(rank) for rank in range(10)]
    assert limits[0] == REFUSALS_LIMIT
    assert limits == sorted(limits, reverse=True)
    assert limits[0] > limits[1]
    assert limits[-1] >= 2
