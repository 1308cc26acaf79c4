"""Load: requests of several priorities that compete for the engines of one pool."""

from __future__ import annotations

import msgspec
import pytest

from ledgeladder.model.traffic import (
    AccountKeys,
    CallerLimits,
    EngineProfile,
    PoolWeight,
    RequestKind,
    RouteRule,
    TrafficConfiguration,
    UpstreamPool,
)
from ledgeladder.routing.contention import contended_pools, pool_ranks, request_rank

PROFILE = EngineProfile(
    model="m",
    layers=4,
    layer_mb=1.0,
    kv_token_bytes=1.0,
    step_ms=1.0,
    step_ms_per_request=0.0,
    prefill_tokens_per_s=1000.0,
    steps_per_pass=1,
    load_seconds=1.0,
    parallel_loads=1,
    mean_prompt_tokens=10.0,
    mean_answer_tokens=10.0,
)
ENGINES = UpstreamPool(name="engines", max_connections=10, engine=PROFILE)
SERVICES = UpstreamPool(name="services", max_connections=10, engine=None)


def route(name: str, priority: int, pool: str = "engines", *, public: bool = False) -> RouteRule:
    return RouteRule(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=RequestKind.STREAM,
        resumable=True,
        timeout=20.0,
        target_latency=0.5,
        gap_target=0.2,
        priority=priority,
        pools=(PoolWeight(pool=pool, weight=1.0),),
        max_attempts=2,
        public=public,
    )


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
