"""Shares of priorities follow from the room and the demand."""

from __future__ import annotations

import random

import pytest

from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.admission_level import (
    MIN_ADMITTED_RATIO,
    MIN_CLASS_SHARE,
    UNCUT_FREE_SHARE,
    AdmissionDecision,
    AdmissionLevel,
    AdmissionReason,
    can_rise_to,
    class_share,
    decide,
    update_level,
)
from ledgeladder.routing.admission_view import (
    MAX_EXCESS_SHARE,
    AdmissionView,
    SettledRoom,
    expected_room,
    reserved_room,
    update_settled,
)
from ledgeladder.routing.pool_room import PoolRoom

USUAL = 1000.0


def view(
    free: float,
    rates: dict[int, float],
    *,
    capacity: float = 300.0,
    in_flight: float | None = None,
    horizon: float = 1.5,
    accounts: dict[str, float] | None = None,
) -> AdmissionView:
    """Return a view of streams of 3 s; demand in requests of the usual size per second."""
    classes = {
        rank: ClassDemand(asked=rate, tokens=rate * USUAL, accounts=accounts or {})
        for rank, rate in rates.items()
    }
    return AdmissionView(
        room=PoolRoom(
            free=free,
            capacity=capacity,
            in_flight=capacity - free if in_flight is None else in_flight,
        ),
        demand=PoolDemand(classes=classes),
        demand_age=0.5,
        horizon=horizon,
        settled=capacity - free,
        stream_seconds=3.0,
        usual_tokens=USUAL,
    )


def decision(
    seen: AdmissionView, priority: int, draw: float, account: str | None = None
) -> AdmissionDecision:
    return decide(seen, AdmissionLevel(), priority=priority, account=account, draw=draw, now=100.0)


@pytest.mark.parametrize("rate", [0.0, 1.0, 1e3, 1e9])
def test_idle_fleet_refuses_nobody_whatever_the_demand_figures(rate: float) -> None:
    seen = view(300.0, {0: rate, 1: rate, 2: rate})
    assert [class_share(seen, rank) for rank in (0, 1, 2, 7)] == [1.0] * 4


def test_mostly_free_fleet_ends_a_cut_at_once() -> None:
    level = AdmissionLevel(value=0.05, at=100.0)
    seen = view(300.0 * UNCUT_FREE_SHARE, {0: 1e3, 1: 1e3})
    assert update_level(level, seen, 1, 100.0) == 1.0


def test_room_for_all_refuses_nobody_at_a_nearly_full_fleet() -> None:
    """Load: 97 of 100 requests a second that the fleet can run."""
    seen = view(9.0, {0: 40.0, 1: 30.0, 2: 27.0})
    assert [class_share(seen, rank) for rank in (0, 1, 2)] == [1.0, 1.0, 1.0]


def test_burst_of_the_least_urgent_kind_leaves_the_urgent_alone() -> None:
    """Load: the least urgent ask for three times the room, the others for half of it."""
    seen = view(0.0, {0: 30.0, 1: 20.0, 2: 300.0})
    assert class_share(seen, 0) == class_share(seen, 1) == 1.0
    assert class_share(seen, 2) == pytest.approx(50.0 / 300.0)


def test_burst_of_the_most_urgent_kind_leaves_the_others_their_least_share() -> None:
    """Load: the most urgent ask for twice the room."""
    seen = view(0.0, {0: 200.0, 1: 20.0, 2: 30.0})
    ratio = 100.0 / 250.0
    assert class_share(seen, 1) == class_share(seen, 2) == pytest.approx(ratio * MIN_CLASS_SHARE)
    assert ratio < class_share(seen, 0) < 1.0


def test_reserved_room_is_what_more_urgent_requests_ask_for_within_the_horizon() -> None:
    seen = view(10.0, {0: 20.0, 1: 40.0})
    assert [reserved_room(seen, rank) for rank in (0, 1, 2)] == pytest.approx([0.0, 30.0, 90.0])


def test_older_view_keeps_more_room_for_urgent_requests() -> None:
    """Failure: load reports stop."""
    assert reserved_room(view(0.0, {0: 20.0}, horizon=3.5), 1) > reserved_room(
        view(0.0, {0: 20.0}), 1
    )


def test_work_beyond_the_capacity_is_made_up_for() -> None:
    full = expected_room(view(0.0, {}))
    over = expected_room(view(0.0, {}, in_flight=2_000.0))
    assert over == pytest.approx(full * (1.0 - MAX_EXCESS_SHARE))


def test_streams_that_have_just_started_do_not_count_as_ending() -> None:
    """Load: an idle fleet fills up at once."""
    settled = SettledRoom()
    assert update_settled(settled, PoolRoom(free=300.0, capacity=300.0, in_flight=0), 3.0, 0.0) == 0
    full = PoolRoom(free=0.0, capacity=300.0, in_flight=300.0)
    soon = update_settled(settled, full, 3.0, 0.3)
    later = update_settled(settled, full, 3.0, 9.0)
    assert 0.0 < soon < 60.0 < 270.0 < later <= 300.0
    assert (
        update_settled(settled, PoolRoom(free=200.0, capacity=300.0, in_flight=0), 3.0, 9.0) == 100
    )


def test_first_view_of_a_busy_fleet_counts_it_as_settled() -> None:
    """Failure: a box starts under load."""
    full = PoolRoom(free=0.0, capacity=300.0, in_flight=300.0)
    assert update_settled(SettledRoom(), full, 3.0, 50.0) == 300.0


def test_fleet_without_room_still_admits_a_little() -> None:
    """Failure: a box that is cut off knows of no engine with room."""
    seen = view(0.0, {0: 50.0, 1: 50.0}, capacity=0.0)
    for rank in (0, 1, 2):
        assert class_share(seen, rank) == MIN_CLASS_SHARE * MIN_ADMITTED_RATIO


def test_cut_off_box_under_load_neither_admits_nor_refuses_all() -> None:
    """Failure: a box scales its own demand to all boxes and sees a full fleet."""
    seen = view(0.0, {0: 150.0, 1: 150.0}, horizon=3.5)
    for rank in (0, 1):
        assert 0.0 < class_share(seen, rank) < 1.0


def test_unknown_duration_of_streams_counts_all_busy_room_as_ending() -> None:
    seen = view(0.0, {0: 100.0})
    known = expected_room(seen)
    assert expected_room(
        AdmissionView(
            room=seen.room,
            demand=seen.demand,
            demand_age=0.5,
            horizon=1.5,
            settled=seen.settled,
            stream_seconds=0.0,
            usual_tokens=USUAL,
        )
    ) == pytest.approx(2 * known)


def test_share_falls_at_once_and_rises_within_a_horizon() -> None:
    level = AdmissionLevel()
    assert update_level(level, view(0.0, {0: 50.0, 1: 1000.0}), 1, 100.0) < 0.1
    low = level.value
    ample = view(60.0, {0: 50.0, 1: 10.0})
    assert update_level(level, ample, 1, 100.3) == pytest.approx(low + 0.2)
    assert update_level(level, ample, 1, 102.0) == 1.0


def test_account_over_its_fair_share_is_refused_first() -> None:
    """Load: one account asks for half of the demand of a priority that is cut by half."""
    accounts = {"big": 100.0 * USUAL, **{f"a{n}": 10.0 * USUAL for n in range(10)}}
    seen = view(0.0, {0: 200.0}, accounts=accounts)
    big, small = decision(seen, 0, 0.4, "big"), decision(seen, 0, 0.4, "a1")
    assert small.admitted and not big.admitted
    assert big.reason is AdmissionReason.ACCOUNT_SHARE
    assert big.account_share < big.class_share < small.account_share


@pytest.mark.parametrize(
    ("free", "reason"), [(0.0, AdmissionReason.NO_ROOM), (9.0, AdmissionReason.RESERVED)]
)
def test_reason_of_a_refusal(free: float, reason: AdmissionReason) -> None:
    assert decision(view(free, {0: 200.0, 1: 200.0}), 1, 0.99).reason is reason


def test_most_urgent_requests_are_never_refused_for_more_urgent_ones() -> None:
    """Load: the most urgent alone ask for twice the room."""
    refused = decision(view(9.0, {0: 200.0}), 0, 0.99)
    assert not refused.admitted
    assert refused.reserved == 0.0
    assert refused.reason is AdmissionReason.NO_ROOM


def test_request_waits_only_for_a_share_that_can_be_reached() -> None:
    refused = decision(view(0.0, {0: 200.0, 1: 200.0}), 1, 0.99)
    assert can_rise_to(refused, refused.account_share + 0.1, 0.2)
    assert not can_rise_to(refused, refused.account_share + 0.1, 0.1)


def test_size_of_a_request_does_not_change_its_chance() -> None:
    """Load: a tenth of the requests is ten times as long; only the rates are in tokens."""
    accounts = {"long": 100.0 * USUAL, "short": 100.0 * USUAL}
    seen = view(0.0, {0: 200.0}, accounts=accounts)
    assert (
        decision(seen, 0, 0.4, "long").account_share
        == decision(seen, 0, 0.4, "short").account_share
    )


@pytest.mark.parametrize("seed", range(5))
def test_shares_add_up_to_the_room_and_nobody_starves(seed: int) -> None:
    """Any demand at a full fleet: shares follow the priority, add up to the room, and each is at
    least half of the ratio of all."""
    rng = random.Random(seed)
    for _ in range(500):
        rates = {rank: rng.expovariate(0.01) for rank in range(rng.randint(1, 6))}
        seen = view(rng.random() * 70.0, rates, horizon=0.2 + rng.random() * 4.0)
        room, wanted = expected_room(seen), sum(rates.values()) * seen.horizon
        shares = [class_share(seen, rank) for rank in sorted(rates)]
        assert shares == sorted(shares, reverse=True)
        admitted = sum(share * rates[rank] * seen.horizon for rank, share in enumerate(shares))
        if room < wanted * MIN_ADMITTED_RATIO:
            room = wanted * MIN_ADMITTED_RATIO
        assert admitted <= min(room, wanted) + 1e-6
        assert min(shares) >= MIN_CLASS_SHARE * min(1.0, expected_room(seen) / wanted) - 1e-9
        assert all(0.0 <= share <= 1.0 + 1e-9 for share in shares)
