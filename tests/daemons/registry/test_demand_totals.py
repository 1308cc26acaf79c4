"""Sums of demand at control boxes under lost, late, doubled and moved reports and restarts."""

from __future__ import annotations

import random

import pytest

from ledgeladder.daemons.registry.demand_totals import (
    MAX_SERIES,
    build_demand_totals,
    demand_gauges,
    domain_demand,
    drop_expired_demand,
    forget_demand,
)
from ledgeladder.links.messages import (
    DemandReport,
    DemandTotals,
)
from ledgeladder.routing.demand_sums import sum_pools
from ledgeladder.routing.load_sharing import LOAD_VALID_SECONDS, MAX_REPORT_SECONDS

from .demand_builders import (
    Recorder,
    control,
    many_reports,
    report,
    send,
    share,
    tokens_in,
)

EXPIRED = LOAD_VALID_SECONDS + 0.01


def test_lost_report_leaves_the_one_before_until_it_expires() -> None:
    state, link = control(), Recorder("e1")
    send(state, link, report(100.0), 0.0)
    assert tokens_in(state, LOAD_VALID_SECONDS) == 100.0
    assert tokens_in(state, EXPIRED) == 0.0
    assert not state.demands


def test_doubled_reports_count_once_also_over_two_links() -> None:
    """A box whose link was replaced still has the old one until that is found inactive."""
    state, old, new = control(), Recorder("e1"), Recorder("e1")
    for _ in range(3):
        send(state, old, report(100.0), 0.0)
    send(state, new, report(60.0), 0.5)
    assert tokens_in(state, 0.5) == 60.0
    forget_demand(state, old)  # type: ignore[arg-type]
    assert tokens_in(state, 0.5) == 60.0
    forget_demand(state, new)  # type: ignore[arg-type]
    assert tokens_in(state, 0.5) == 0.0


def test_doubled_and_late_shares_count_once() -> None:
    here, there = control(), control()
    link = Recorder("c2")
    send(there, Recorder("e1"), report(100.0), 0.0)
    share(there, link, here, 0.0)
    share(there, link, here, 0.1)
    # The other control box connects again; its previous link closes later.
    again = Recorder("c2")
    share(there, again, here, 0.2)
    forget_demand(here, link)  # type: ignore[arg-type]
    assert tokens_in(here, 0.2) == 100.0
    assert tokens_in(here, 0.2 + EXPIRED) == 0.0


def test_entry_box_that_moves_is_counted_once_after_a_withdrawal() -> None:
    old, new = control(), control()
    old_link, new_link = Recorder("e1"), Recorder("e1")
    send(old, old_link, report(100.0), 0.0)
    send(new, new_link, report(100.0), 0.5)
    send(old, old_link, DemandReport(pools={}), 0.5)
    share(old, Recorder("c-old"), new, 0.6)
    share(new, Recorder("c-new"), old, 0.6)
    assert tokens_in(old, 0.6) == tokens_in(new, 0.6) == 100.0


def test_entry_box_that_moves_without_a_withdrawal_counts_twice_for_a_bounded_time() -> None:
    """Its link to the old control box has failed but is not yet closed there."""
    old, new = control(), control()
    old_link, new_link, between = Recorder("e1"), Recorder("e1"), Recorder("c-old")
    send(old, old_link, report(100.0), 0.0)
    bound = LOAD_VALID_SECONDS + MAX_REPORT_SECONDS
    step = 0.25
    doubled_until = 0.0
    next_share = 0.0
    for number in range(1, 40):
        now = number * step
        send(new, new_link, report(100.0), now)
        drop_expired_demand(old, now)
        if now >= next_share:
            share(old, between, new, now)
            next_share = now + MAX_REPORT_SECONDS
        if tokens_in(new, now) > 100.0:
            doubled_until = now
    assert 0.0 < doubled_until <= bound
    assert tokens_in(new, 10.0) == 100.0


def test_restarted_control_box_has_the_sums_after_one_round() -> None:
    others, entries = control(), [Recorder(f"e{number}") for number in range(6)]
    for link in entries[3:]:
        send(others, link, report(10.0), 0.0)
    restarted = control()
    assert build_demand_totals(restarted)[0] == DemandTotals(pools={}, entries=0)
    for link in entries[:3]:
        send(restarted, link, report(10.0), 0.2)
    share(others, Recorder("c2"), restarted, 0.2)
    totals, _size = build_demand_totals(restarted)
    assert totals.entries == 6
    assert tokens_in(restarted, 0.2) == 60.0
    # The others saw its link close and drop its share until the next one.
    gone = Recorder("c1")
    share(restarted, gone, others, 0.3)
    assert tokens_in(others, 0.3) == 60.0
    forget_demand(others, gone)  # type: ignore[arg-type]
    assert tokens_in(others, 0.3) == 30.0


@pytest.mark.parametrize("seed", range(10))
def test_classes_conserve_the_reports_over_all_control_boxes(seed: int) -> None:
    """Each control box has the same total, whichever entry boxes report to it."""
    rng = random.Random(seed)
    controls = [control() for _ in range(3)]
    reports = many_reports(seed, 40, 5000, 2)
    for number, message in enumerate(reports):
        link = Recorder(f"e{number}", domain=rng.choice("abc"))
        send(rng.choice(controls), link, message, 0.0)
    for number, source in enumerate(controls):
        for target in controls:
            if target is not source:
                share(source, Recorder(f"c{number}"), target, 0.0)
    expected = sum_pools(message.pools for message in reports)
    for state in controls:
        totals, _size = build_demand_totals(state)
        assert totals.entries == len(reports)
        assert totals.pools.keys() == expected.keys()
        for pool, demand in totals.pools.items():
            for priority, item in demand.classes.items():
                full = expected[pool].classes[priority]
                assert item.tokens == pytest.approx(full.tokens)
                assert item.asked == pytest.approx(full.asked)
                assert item.admitted == pytest.approx(full.admitted)


def test_accounts_that_come_and_go_leave_nothing_behind() -> None:
    state, link = control(), Recorder("e1")
    for number in range(5000):
        send(state, link, report(10.0, f"account-{number}"), number * 0.25)
    ((pools,),) = (list(domain.values()) for domain in domain_demand(state).values())
    assert list(pools.classes[0].accounts) == ["account-4999"]


def test_gauges_name_pool_priority_and_failure_domain() -> None:
    state = control()
    send(state, Recorder("e1", domain="b"), report(100.0), 0.0)
    send(state, Recorder("e2", domain="b"), report(20.0), 0.0)
    gauges = demand_gauges(state, 0.0)
    labels = 'pool="p",priority="0",failure_domain="b"'
    assert gauges[f"demand_tokens_per_second{{{labels}}}"] == 120.0
    assert gauges[f"demand_asked_per_second{{{labels}}}"] == 2.0
    assert demand_gauges(state, EXPIRED) == {"demand_series_left_out": 0.0}


def test_gauges_escape_names_and_are_bounded() -> None:
    """Names come from other boxes; an unescaped quote makes the whole page unreadable."""
    state = control()
    send(state, Recorder("e1", domain='a"b'), report(100.0, pool="p\\q"), 0.0)
    gauges = demand_gauges(state, 0.0)
    labels = 'pool="p\\\\q",priority="0",failure_domain="a\\"b"'
    assert gauges[f"demand_tokens_per_second{{{labels}}}"] == 100.0
    assert gauges["demand_series_left_out"] == 0.0
    for number in range(1000):
        send(state, Recorder(f"e{number}"), report(1.0, pool=f"p-{number}"), 0.0)
    gauges = demand_gauges(state, 0.0)
    assert len(gauges) == 3 * MAX_SERIES + 1
    assert gauges["demand_series_left_out"] == 1000.0 - MAX_SERIES
