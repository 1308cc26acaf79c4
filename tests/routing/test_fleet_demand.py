"""What an entry box knows of the demand at all boxes, with and without recent totals."""

from __future__ import annotations

import random

import pytest

from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.account_sketch import MAX_ACCOUNTS, TIME_CONSTANT_SECONDS
from ledgeladder.routing.demand_sums import REPORT_ACCOUNTS, sum_pools
from ledgeladder.routing.fleet_demand import (
    TOTALS_VALID_SECONDS,
    FleetDemand,
    apply_totals,
    demand_age,
    demand_report,
    has_totals,
    local_pool_demand,
    pool_demand,
    record_admitted,
    record_asked,
    record_reported,
)

NOW = 1000.0


def ask(demand: FleetDemand, count: int, now: float = NOW, account: str | None = "a") -> None:
    for _ in range(count):
        record_asked(demand, pool="p", priority=1, account=account, tokens=100.0, now=now)


def totals_of(asked: float, account: str = "a") -> dict[str, PoolDemand]:
    item = ClassDemand(asked=asked, tokens=asked * 100.0, accounts={account: asked * 100.0})
    return {"p": PoolDemand(classes={1: item})}


def test_steady_requests_give_their_rate_and_decay() -> None:
    demand = FleetDemand()
    for number in range(2000):
        now = NOW + number / 100
        ask(demand, 1, now)
        if number % 4 == 0:
            record_admitted(demand, pool="p", priority=1, now=now)
    item = local_pool_demand(demand, "p", now).classes[1]
    assert item.asked == pytest.approx(100.0, rel=0.02)
    assert item.admitted == pytest.approx(25.0, rel=0.05)
    assert item.tokens == pytest.approx(10_000.0, rel=0.02)
    assert item.accounts["a"] == pytest.approx(item.tokens)
    later = local_pool_demand(demand, "p", now + TIME_CONSTANT_SECONDS).classes[1]
    assert later.asked == pytest.approx(item.asked / 2.71828, rel=1e-3)
    assert local_pool_demand(demand, "p", now + 60.0) == PoolDemand()
    assert local_pool_demand(demand, "other", now) == PoolDemand()


def test_requests_without_an_account_count_in_their_class() -> None:
    demand = FleetDemand()
    ask(demand, 3, account=None)
    item = local_pool_demand(demand, "p", NOW).classes[1]
    assert item.tokens == pytest.approx(300.0)
    assert item.accounts == {}


def test_without_totals_other_boxes_are_assumed_alike() -> None:
    demand = FleetDemand()
    ask(demand, 2)
    assert demand_age(demand, NOW) is None
    assert pool_demand(demand, "p", NOW, 10).classes[1].asked == pytest.approx(20.0)
    assert pool_demand(demand, "p", NOW, 0).classes[1].asked == pytest.approx(2.0)


def test_totals_that_stop_arriving_are_not_used() -> None:
    """A box that is cut off would otherwise act on the demand of an earlier wave for ever."""
    demand = FleetDemand()
    apply_totals(demand, totals_of(500.0), 10, NOW)
    assert pool_demand(demand, "p", NOW + TOTALS_VALID_SECONDS, 10).classes[1].asked == 500.0
    late = NOW + TOTALS_VALID_SECONDS + 0.01
    assert not has_totals(demand, late)
    assert pool_demand(demand, "p", late, 10) == PoolDemand()
    ask(demand, 1, late)
    assert pool_demand(demand, "p", late, 10).classes[1].asked == pytest.approx(10.0)


def test_own_part_of_the_totals_is_replaced_by_what_the_box_sees_now() -> None:
    demand = FleetDemand()
    ask(demand, 4)
    record_reported(demand, demand_report(demand, ["p"], NOW))
    apply_totals(demand, totals_of(30.0), 5, NOW)
    assert pool_demand(demand, "p", NOW, 5).classes[1].asked == pytest.approx(30.0)
    ask(demand, 10)
    found = pool_demand(demand, "p", NOW, 5).classes[1]
    assert found.asked == pytest.approx(40.0)
    assert found.accounts["a"] == pytest.approx(4000.0)
    # A report that was sent after the totals arrived is not part of them.
    record_reported(demand, demand_report(demand, ["p"], NOW))
    assert pool_demand(demand, "p", NOW, 5).classes[1].asked == pytest.approx(40.0)
    apply_totals(demand, totals_of(40.0), 5, NOW)
    assert pool_demand(demand, "p", NOW, 5).classes[1].asked == pytest.approx(40.0)


@pytest.mark.parametrize("seed", range(20))
def test_demand_at_all_boxes_is_never_less_than_at_this_one(seed: int) -> None:
    """Totals may be late, lack this box, or hold an older report of it."""
    rng = random.Random(seed)
    demand, now = FleetDemand(), NOW
    for _ in range(300):
        now += rng.expovariate(20.0)
        step = rng.random()
        if step < 0.7:
            ask(demand, 1, now, rng.choice("abc"))
        elif step < 0.85:
            record_reported(demand, demand_report(demand, ["p"], now))
        else:
            apply_totals(demand, totals_of(rng.uniform(0.0, 20.0)), rng.randrange(1, 9), now)
        entries = rng.randrange(1, 9)
        found = pool_demand(demand, "p", now, entries).classes
        for priority, item in local_pool_demand(demand, "p", now).classes.items():
            assert found[priority].asked >= item.asked - 1e-9
            assert found[priority].tokens >= item.tokens - 1e-9
            for account, tokens in item.accounts.items():
                assert found[priority].accounts[account] >= tokens - 1e-9


def test_totals_of_few_boxes_are_scaled() -> None:
    """A control box that is cut off, or has just started, knows only a part of the boxes."""
    demand = FleetDemand()
    apply_totals(demand, totals_of(30.0), 4, NOW)
    assert pool_demand(demand, "p", NOW, 31).classes[1].asked == pytest.approx(300.0)
    # Boxes that ended are counted as known for a while, so a part is not scaled above one half.
    assert pool_demand(demand, "p", NOW, 8).classes[1].asked == pytest.approx(30.0)
    ask(demand, 5)
    apply_totals(demand, totals_of(5.0), 1, NOW)
    assert pool_demand(demand, "p", NOW, 20).classes[1].asked == pytest.approx(100.0)
    assert pool_demand(demand, "p", NOW, 1).classes[1].asked == pytest.approx(10.0)


def test_reports_hold_the_asked_pools_with_few_accounts_and_drop_idle_ones() -> None:
    demand = FleetDemand()
    for number in range(5000):
        ask(demand, 1 + number % 3, NOW, f"account-{number}")
    record_asked(demand, pool="q", priority=0, account="a", tokens=5.0, now=NOW)
    report = demand_report(demand, ["p", "idle"], NOW)
    assert list(report) == ["p"]
    assert len(report["p"].classes[1].accounts) <= REPORT_ACCOUNTS
    assert len(demand.local["p"].classes[1].accounts.weights) == MAX_ACCOUNTS
    assert sum_pools([report])["p"].classes[1].tokens == report["p"].classes[1].tokens
    assert demand_report(demand, ["p", "q"], NOW + 60.0) == {}
    assert demand.local == {}
