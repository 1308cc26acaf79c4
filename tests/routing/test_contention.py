"""Load: requests of several priorities that compete for the engines of one pool."""

from __future__ import annotations

import msgspec
import pytest

from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.model.traffic import (
    AccountKeys,
    CallerLimits,
    PoolWeight,
    RouteRule,
    TrafficConfiguration,
    UpstreamPool,
)
from ledgeladder.routing.contention import (
    REFUSALS_LIMIT,
    pool_ranks,
    rank_of,
    refusals_limit,
    request_rank,
    urgency_class,
)

from .sample_site import PROFILE, stream_route

ENGINES = UpstreamPool(name="engines", max_connections=10, engine=PROFILE)
SERVICES = UpstreamPool(name="services", max_connections=10, engine=None)


def route(name: str, priority: int, pool: str = "engines", *, public: bool = False) -> RouteRule:
    return stream_route(name, priority, pool, public=public)


def account(name: str, priority: int | None) -> AccountKeys:
    return AccountKeys(name=name, keys=(f"key-{name}",), priority=priority)


def configuration(
    routes: list[RouteRule], accounts: list[AccountKeys] | None = None
) -> TrafficConfiguration:
    return TrafficConfiguration(
        version=1,
        routes=tuple(routes),
        pools={"engines": ENGINES, "services": SERVICES},
        limits=CallerLimits(),
        accounts=tuple(accounts or ()),
    )


def contended_pools(found: TrafficConfiguration) -> frozenset[str]:
    return frozenset(pool_ranks(found))


def test_routes_of_one_priority_share_nothing() -> None:
    one = configuration([route("a", 1), route("b", 1)], [account("x", 1), account("y", 1)])
    assert contended_pools(one) == frozenset()


def test_plain_services_are_never_contended() -> None:
    assert not contended_pools(
        configuration([route("a", 0, "services"), route("b", 2, "services")])
    )


def test_routes_differ_although_all_accounts_have_the_same_priority() -> None:
    both = configuration([route("a", 0), route("b", 2)], [account("x", 1), account("y", 1)])
    assert pool_ranks(both) == {"engines": (10, 12)}


def test_accounts_that_differ_do_not_make_a_pool_contended() -> None:
    accounts = [account("x", 0), account("y", 1)]
    assert not contended_pools(configuration([route("a", 1), route("b", 1)], accounts))
    both = configuration([route("a", 1), route("b", 2)], accounts)
    assert pool_ranks(both) == {"engines": (1, 2, 11, 12)}


def test_an_urgent_account_precedes_an_urgent_route() -> None:
    assert request_rank(2, 0) < request_rank(0, 1)


def test_an_account_without_priority_takes_that_of_the_route() -> None:
    ranks = pool_ranks(configuration([route("a", 0), route("b", 2)], [account("x", None)]))
    assert ranks == {"engines": (0, 22)}


@pytest.mark.parametrize("weight", [0.0, 1.0])
def test_a_route_without_weight_for_a_pool_does_not_count(weight: float) -> None:
    other = msgspec.structs.replace(
        route("b", 2), pools=(PoolWeight(pool="engines", weight=weight),)
    )
    assert bool(contended_pools(configuration([route("a", 0), other]))) is (weight > 0)


def test_public_routes_have_no_account() -> None:
    ranks = pool_ranks(configuration([route("a", 0, public=True)], [account("x", 1)]))
    assert ranks == {}


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
