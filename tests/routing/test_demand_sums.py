"""Sums of demand conserve what was reported, in any order, and messages stay short."""

from __future__ import annotations

import random

import msgspec
import pytest

from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.demand_sums import (
    MAX_DEMAND_BYTES,
    TOTAL_ACCOUNTS,
    Pools,
    keep_heaviest,
    scale_demand,
    shorten_message,
    subtract_demand,
    sum_domains,
    sum_pools,
)


def random_pools(rng: random.Random, accounts: int = 40) -> Pools:
    """Return demand whose rates are whole numbers, so that sums are exact in any order."""
    return {
        f"pool-{number}": PoolDemand(
            classes={
                priority: ClassDemand(
                    asked=float(rng.randrange(100)),
                    admitted=float(rng.randrange(100)),
                    tokens=float(rng.randrange(100_000, 1_000_000)),
                    accounts={
                        f"a{rng.randrange(accounts)}": float(rng.randrange(1, 10_000))
                        for _ in range(rng.randrange(9))
                    },
                )
                for priority in rng.sample(range(4), rng.randrange(4))
            }
        )
        for number in rng.sample(range(5), rng.randrange(5))
    }


def tokens_of(parts: list[Pools], pool: str, priority: int) -> float:
    found = [part[pool].classes.get(priority) for part in parts if pool in part]
    return sum(item.tokens for item in found if item is not None)


@pytest.mark.parametrize("seed", range(30))
def test_sums_conserve_the_reports_in_any_order(seed: int) -> None:
    rng = random.Random(seed)
    reports = [random_pools(rng) for _ in range(rng.randrange(1, 30))]
    sums = sum_pools(reports)
    for pool, demand in sums.items():
        for priority, item in demand.classes.items():
            assert item.tokens == tokens_of(reports, pool, priority)
    shuffled = rng.sample(reports, len(reports))
    assert sum_pools(shuffled) == sums
    # Partial sums at several control boxes give the same total.
    cut = rng.randrange(len(reports) + 1)
    assert sum_pools([sum_pools(shuffled[:cut]), sum_pools(shuffled[cut:])]) == sums


@pytest.mark.parametrize("seed", range(10))
def test_sums_by_failure_domain_add_up_to_the_total(seed: int) -> None:
    rng = random.Random(seed)
    parts = [{rng.choice("abc"): random_pools(rng)} for _ in range(20)]
    by_domain = sum_domains(parts)
    assert sum_pools(by_domain.values()) == sum_pools(
        pools for part in parts for pools in part.values()
    )


@pytest.mark.parametrize("seed", range(10))
def test_accounts_that_are_not_named_stay_in_the_class(seed: int) -> None:
    pools = sum_pools(random_pools(random.Random(seed * 100 + n), 5000) for n in range(100))
    for count in (0, 1, 8, TOTAL_ACCOUNTS):
        for pool, demand in keep_heaviest(pools, count).items():
            for priority, item in demand.classes.items():
                full = pools[pool].classes[priority]
                assert (item.asked, item.admitted, item.tokens) == (
                    full.asked,
                    full.admitted,
                    full.tokens,
                )
                assert len(item.accounts) == min(count, len(full.accounts))
                left_out = set(full.accounts) - set(item.accounts)
                assert all(
                    full.accounts[name] <= min(item.accounts.values(), default=float("inf"))
                    for name in left_out
                )


def test_messages_are_shortened_by_accounts_and_never_by_classes() -> None:
    pools = sum_pools(random_pools(random.Random(number), 5000) for number in range(100))
    message, size = shorten_message(
        lambda accounts: keep_heaviest(pools, accounts),
        lambda part: len(msgspec.msgpack.encode(part)),
        TOTAL_ACCOUNTS,
    )
    assert size == len(msgspec.msgpack.encode(message)) <= MAX_DEMAND_BYTES
    assert {pool: set(item.classes) for pool, item in message.items()} == {
        pool: set(item.classes) for pool, item in pools.items()
    }


def test_subtraction_is_bounded_and_undoes_a_sum() -> None:
    rng = random.Random(5)
    first, second = random_pools(rng), random_pools(rng)
    for pool, total in sum_pools([first, second]).items():
        rest = subtract_demand(total, second.get(pool, PoolDemand()))
        for priority, item in first.get(pool, PoolDemand()).classes.items():
            assert rest.classes[priority].tokens == item.tokens
        none = subtract_demand(total, scale_demand(total, 2.0))
        assert all(item.tokens == item.asked == 0.0 for item in none.classes.values())
