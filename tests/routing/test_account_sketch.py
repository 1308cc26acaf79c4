"""Heavy client accounts are found in bounded memory, whatever number of accounts there is."""

from __future__ import annotations

import math
import random

import pytest

from ledgeladder.routing.account_sketch import (
    MAX_ACCOUNTS,
    TIME_CONSTANT_SECONDS,
    AccountSketch,
    heaviest_accounts,
    record_tokens,
)


def decayed_rate(requests: list[tuple[float, float]], now: float) -> float:
    """Return the exact rate of one account from the times and tokens of its requests."""
    return sum(
        tokens * math.exp((at - now) / TIME_CONSTANT_SECONDS) / TIME_CONSTANT_SECONDS
        for at, tokens in requests
    )


def play(
    seed: int, accounts: int, requests: int
) -> tuple[AccountSketch, dict[str, list[tuple[float, float]]], float]:
    """Record requests of accounts of unequal weight; return also their exact record and the end."""
    rng = random.Random(seed)
    sketch, exact, now = AccountSketch(), dict[str, list[tuple[float, float]]](), 1e6
    for _ in range(requests):
        now += rng.expovariate(400.0)
        account = f"account-{int(accounts * rng.random() ** 3)}"
        tokens = rng.uniform(10.0, 4000.0)
        record_tokens(sketch, account, tokens, now)
        exact.setdefault(account, []).append((now, tokens))
    return sketch, exact, now


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("accounts", [5, 40, 5000])
def test_bounds_of_the_algorithm_hold(seed: int, accounts: int) -> None:
    """A light account must never be taken for a heavy one, nor a heavy one be overlooked."""
    sketch, exact, now = play(seed, accounts, 3000)
    rates = {name: decayed_rate(requests, now) for name, requests in exact.items()}
    found = heaviest_accounts(sketch, now)
    assert len(sketch.weights) == len(sketch.errors) <= MAX_ACCOUNTS
    for name, rate in found.items():
        assert rate <= rates[name] * (1 + 1e-9)
    error = sum(rates.values()) / MAX_ACCOUNTS
    for name, rate in rates.items():
        assert found.get(name, 0.0) >= rate - error - 1.0
        if rate > error:
            assert name in sketch.weights


def test_few_accounts_are_exact() -> None:
    sketch, exact, now = play(1, MAX_ACCOUNTS, 2000)
    found = heaviest_accounts(sketch, now)
    for name, rate in found.items():
        assert rate == pytest.approx(decayed_rate(exact[name], now))


def test_accounts_that_come_and_go_leave_no_weight() -> None:
    """An account that starts after thousands of others does not inherit what they asked for."""
    sketch = AccountSketch()
    now = 50.0
    for number in range(5000):
        now += 0.01
        record_tokens(sketch, f"passing-{number}", 1000.0, now)
    record_tokens(sketch, "new", 500.0, now)
    assert heaviest_accounts(sketch, now)["new"] == pytest.approx(500.0 / TIME_CONSTANT_SECONDS)
    now += 3600.0
    assert heaviest_accounts(sketch, now) == {}
    record_tokens(sketch, "later", 100.0, now)
    assert list(heaviest_accounts(sketch, now)) == ["later"]
    assert list(sketch.weights) == ["later"]


def test_weights_stay_finite_over_days() -> None:
    sketch = AccountSketch()
    for second in range(0, 3 * 86_400, 13):
        record_tokens(sketch, "steady", 1000.0, float(second))
    assert math.isfinite(sketch.weights["steady"])
    last = float(range(0, 3 * 86_400, 13)[-1])
    assert heaviest_accounts(sketch, last)["steady"] == pytest.approx(1000.0, rel=1e-4)
