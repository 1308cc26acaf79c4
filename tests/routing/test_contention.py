"""Which pools share their room by priority, and which priorities their requests have."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from ledgeladder.routing.contention import contended_pools, pool_priorities


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
