"""Grants for requests to rate-limited upstreams."""

from __future__ import annotations

import random

import pytest

from ledgeladder.coordination.rate_limit import RECOVERY_SECONDS, RateLimit
from ledgeladder.model.registration import Registration
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    ForwardingTable,
    accepts_work,
    drop_upstream,
    has_alternative,
    min_remaining_wait,
    put_registration,
    remaining_wait,
)
from ledgeladder.routing.rate_grants import (
    GrantedLimit,
    acquire_grants,
    add_grants,
    grant_wait,
    grants_to_request,
    has_grant,
)
from ledgeladder.routing.service_choice import choose_service


def granted_limit(rate: float = 2.0) -> GrantedLimit:
    return GrantedLimit(limit=RateLimit(rate=rate, advertised_at=0.0))


def upstream(name: str, limit: GrantedLimit | None = None) -> ForwardedUpstream:
    registration = Registration(instance=name, sequence=1, address=f"{name}:80", slots=6)
    return ForwardedUpstream(registration=registration, last_seen_at=0.0, limit=limit)


def test_limited_upstream_gets_only_granted_requests() -> None:
    limit = granted_limit()
    assert not has_grant(limit, 1.0)
    add_grants(limit, 2, 2.0)
    assert acquire_grants([limit], 1.0)
    assert has_grant(limit, 1.9)
    assert not has_grant(limit, 2.0)
    assert not acquire_grants([limit], 2.0)


def test_upstream_without_a_limit_gets_anything() -> None:
    assert has_grant(None, 1.0)
    assert acquire_grants([None], 1.0)
    ended = GrantedLimit(limit=RateLimit(rate=2.0, advertised_at=0.0, withdrawn_at=1.0))
    assert not has_grant(ended, 1.5)
    assert has_grant(ended, 1.0 + RECOVERY_SECONDS)


def test_path_over_two_limited_engines_uses_a_grant_of_each_or_none() -> None:
    first, second = granted_limit(), granted_limit()
    add_grants(first, 1, 5.0)
    assert not acquire_grants([first, None, second], 1.0)
    assert has_grant(first, 1.0)
    add_grants(second, 1, 5.0)
    assert acquire_grants([first, None, second], 1.0)
    assert not has_grant(first, 1.0)


def test_box_requests_grants_in_proportion_to_use() -> None:
    limit = granted_limit(50.0)
    limit.demand = 100
    assert grants_to_request(limit) == 1
    limit.demand, limit.used = 100, 3
    assert grants_to_request(limit) == 7
    limit.demand = 0
    assert grants_to_request(limit) == 0


def test_limited_service_is_chosen_only_while_it_has_a_grant() -> None:
    limited, free = upstream("l", granted_limit()), upstream("f")
    free.in_flight = 4

    def choose(pool: list[ForwardedUpstream]) -> str | None:
        chosen = choose_service(
            pool, 1.0, tried=(), failure_domain="", sharers=1, rng=random.Random(1)
        )
        return None if chosen is None else chosen.registration.instance

    assert choose([limited, free]) == "f"
    assert choose([limited]) is None
    assert not has_alternative([limited, free], free, set(), 1.0)
    assert limited.limit is not None
    add_grants(limited.limit, 1, 2.0)
    assert choose([limited, free]) == "l"
    assert has_alternative([limited, free], free, set(), 1.0)


def test_remaining_wait_is_that_of_backoff_or_limit() -> None:
    limited, free = upstream("l", granted_limit(0.5)), upstream("f")
    assert grant_wait(limited.limit, 1.0) == 2.0
    assert min_remaining_wait([limited, free], 1.0) is None
    assert min_remaining_wait([limited], 1.0) == 2.0
    limited.backpressure.backoff_until = 11.0
    assert remaining_wait(limited, 1.0) == 10.0
    limited.backpressure.backoff_until = 0.0
    assert limited.limit is not None
    limited.limit.wait_until = 6.0
    assert remaining_wait(limited, 1.0) == 5.0
    add_grants(limited.limit, 1, 2.0)
    assert remaining_wait(limited, 1.0) == 0.0
    limited.backpressure.draining = True
    assert not accepts_work(limited, 1.0)
    assert min_remaining_wait([limited], 1.0) is None


def registration(run: str, sequence: int = 1) -> Registration:
    return Registration(
        instance=f"s#{run}", sequence=sequence, upstream="s", started_ms=int(run), address="s:80"
    )


def test_limit_outlives_the_registration_but_not_the_instance() -> None:
    table = ForwardingTable()
    limit = table.limits.limits["s#1"] = granted_limit()
    first = put_registration(table, registration("1"), 0.0)
    assert first is not None
    assert first.limit is limit
    drop_upstream(table, "s#1")
    again = put_registration(table, registration("1", 2), 1.0)
    assert again is not None
    assert again.limit is limit
    drop_upstream(table, "s#1")
    anew = put_registration(table, registration("2"), 2.0)
    assert anew is not None
    assert anew.limit is None


@pytest.mark.parametrize(("rate", "seconds"), [(0.0, 10.0), (0.5, 2.0), (5.0, 0.2)])
def test_unknown_wait_follows_from_the_rate(rate: float, seconds: float) -> None:
    assert grant_wait(granted_limit(rate), 1.0) == seconds
