"""Arrivals of the load tool: client accounts and their bursts."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from standins.load import Burst, LoadResult, Workload, arrivals, describe_result, record_outcome


def test_load_of_one_account_draws_the_same_arrivals_as_before() -> None:
    """Benchmarks of earlier commits can be repeated with the same seed."""
    expected, rng, at = [], random.Random(7), 0.0
    while (at := at + rng.expovariate(40.0)) <= 10.0:
        expected.append((at, "nilayam"))
    assert list(arrivals(Workload(rate=40.0, seconds=10.0), random.Random(7))) == expected


@pytest.mark.parametrize("seed", range(5))
def test_burst_multiplies_the_requests_of_its_account_alone(seed: int) -> None:
    workload = Workload(
        rate=100.0,
        seconds=60.0,
        shares={"large": 0.8, "small": 0.2},
        bursts=(Burst(account="small", start=20.0, seconds=20.0, factor=5.0),),
    )
    found = list(arrivals(workload, random.Random(seed)))
    assert [at for at, _account in found] == sorted(at for at, _account in found)
    counts = Counter((account, 20.0 <= at < 40.0) for at, account in found)
    # Five standard deviations of a Poisson count of the expected size.
    for key, expected in {
        ("large", True): 1600,
        ("large", False): 3200,
        ("small", True): 2000,
        ("small", False): 800,
    }.items():
        assert abs(counts[key] - expected) < 5 * expected**0.5


def test_outcomes_are_counted_by_account() -> None:
    result = LoadResult()
    record_outcome(result, "large", "whole")
    assert "  large" not in describe_result(result)
    record_outcome(result, "small", "queue_full not-run")
    assert result.outcomes == {"whole": 1, "queue_full not-run": 1}
    assert "  small: {'queue_full not-run': 1}" in describe_result(result)
