"""Accounts over their fair share are cut first; none gets nothing."""

from __future__ import annotations

import random

import pytest

from ledgeladder.routing.fair_shares import MIN_ACCOUNT_SHARE, account_ratio, fair_level


def test_account_with_half_of_all_demand_is_cut_first() -> None:
    """Load: one account asks for half of the demand, five others for a tenth each; half fits."""
    accounts = {"big": 50.0, **{f"a{number}": 10.0 for number in range(5)}}
    big = account_ratio(accounts, 100.0, 0.5, "big")
    small = account_ratio(accounts, 100.0, 0.5, "a0")
    assert big < 0.5 < small
    assert big * 50.0 + small * 50.0 == pytest.approx(50.0)
    assert big >= 0.5 * MIN_ACCOUNT_SHARE


def test_small_accounts_are_nearly_served_in_full_beside_a_big_one() -> None:
    """Load: one account asks for nine tenths; the rest fits into the room many times."""
    accounts = {"big": 90.0, "a": 5.0, "b": 5.0}
    assert account_ratio(accounts, 100.0, 0.5, "a") == pytest.approx(1.0)
    assert account_ratio(accounts, 100.0, 0.5, "big") == pytest.approx(40.0 / 90.0)


def test_unused_share_goes_to_whoever_asks() -> None:
    assert fair_level([(1.0, 1.0), (2.0, 1.0), (100.0, 1.0)], 50.0) == 47.0


def test_rate_that_covers_all_demand_has_no_level() -> None:
    assert fair_level([(1.0, 1.0), (2.0, 2.0)], 6.0) == float("inf")


def test_no_demand_has_no_level() -> None:
    assert fair_level([], 0.0) == float("inf")


def test_many_equal_accounts_are_cut_alike_whether_listed_or_not() -> None:
    """Load: two thousand equal accounts, of which the demand lists a few."""
    accounts = {f"a{number}": 1.0 for number in range(8)}
    for account in ("a3", "unlisted", None):
        assert account_ratio(accounts, 2100.0, 0.3, account) == pytest.approx(0.3)


def test_accounts_that_vanished_leave_their_share_to_the_others() -> None:
    """Load: of two equal accounts one stops asking."""
    before = account_ratio({"a": 10.0, "gone": 10.0}, 20.0, 0.5, "a")
    after = account_ratio({"a": 10.0}, 10.0, 1.0, "a")
    assert (before, after) == (pytest.approx(0.5), 1.0)


def test_unknown_account_counts_as_a_small_one() -> None:
    accounts = {"big": 90.0, "small": 5.0}
    small = account_ratio(accounts, 100.0, 0.5, "small")
    assert account_ratio(accounts, 100.0, 0.5, "unknown") == small


def test_without_accounts_all_requests_are_cut_alike() -> None:
    assert account_ratio({}, 100.0, 0.4, None) == 0.4
    assert account_ratio({"idle": 0.0}, 100.0, 0.4, "idle") == 0.4


@pytest.mark.parametrize("seed", range(5))
def test_shares_add_up_and_never_fall_below_the_least(seed: int) -> None:
    """Any demand: shares of all accounts are the rate of the class; a smaller one never gets less
    of its demand than a larger one, and none less than its least share."""
    rng = random.Random(seed)
    for _ in range(400):
        accounts = {f"a{n}": rng.expovariate(1.0) + 0.01 for n in range(rng.randint(1, 32))}
        least = min(accounts.values())
        rest = rng.choice((0.0, rng.random() * 50.0))
        total = sum(accounts.values()) + rest
        ratio = rng.random()
        shares = {name: account_ratio(accounts, total, ratio, name) for name in accounts}
        served = sum(accounts[name] * share for name, share in shares.items())
        served += rest * account_ratio(accounts, total, ratio, "unlisted")
        assert served == pytest.approx(ratio * total)
        ranked = sorted(accounts, key=accounts.__getitem__)
        assert all(
            shares[small] >= shares[large] - 1e-9
            for small, large in zip(ranked, ranked[1:], strict=False)
        )
        assert min(shares.values()) >= ratio * MIN_ACCOUNT_SHARE - 1e-9
        assert account_ratio(accounts, total, ratio, "unlisted") == shares[ranked[0]]
        assert least == accounts[ranked[0]]


@pytest.mark.parametrize("ratio", [0.3, 0.5, 0.8, 0.95])
@pytest.mark.parametrize("remains", [1e-3, 1e-13, 5e-324])
def test_remains_of_an_account_that_vanished_do_not_end_a_cut(ratio: float, remains: float) -> None:
    """Load: three large accounts and many that are not listed. Totals that are a little older than
    this box's report leave next to nothing of an account that has stopped asking."""
    accounts = {"a": 40_000.0, "b": 40_000.0, "c": 40_000.0}
    for account in ("a", "unlisted", None):
        expected = account_ratio(accounts, 170_000.0, ratio, account)
        found = account_ratio({"gone": remains, **accounts}, 170_000.0, ratio, account)
        assert found == pytest.approx(expected)
        assert found < 1.0


@pytest.mark.parametrize("seed", range(5))
def test_remains_of_any_size_are_no_fault(seed: int) -> None:
    """Shares are parts also if demands differ by more than a float resolves."""
    rng = random.Random(seed)
    for _ in range(400):
        accounts = {f"a{n}": 10.0 ** rng.uniform(-320.0, 6.0) for n in range(rng.randint(1, 12))}
        total = sum(accounts.values()) + 10.0 ** rng.uniform(-300.0, 6.0)
        ratio = rng.random()
        for account in (*accounts, "unlisted"):
            assert ratio * MIN_ACCOUNT_SHARE <= account_ratio(accounts, total, ratio, account) <= 1
