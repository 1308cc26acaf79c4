"""A request that crashes its engines is quarantined, and few innocent requests are with it.

Covers a request that its caller keeps retrying, and engines that crash at random.
"""

from __future__ import annotations

import pytest

from ledgeladder.coordination.crash_book import CRASH_LIMIT

from .crash_bed import CrashSimulation, Outcome

SECONDS = 40.0
SEEDS = range(10)
NO_LIMIT = 1_000_000


def total(limit: int, *, large: bool = False, **options: float | bool) -> Outcome:
    """Return the outcome summed over all seeds."""
    size = {"engines": 40, "streams_per_second": 244.0} if large else {"engines": 10}
    size.setdefault("streams_per_second", 39.4)
    outcomes = [
        CrashSimulation(limit=limit, seed=seed, **size, **options).simulate(SECONDS)  # type: ignore[arg-type]
        for seed in SEEDS
    ]
    names = Outcome.__dataclass_fields__
    return Outcome(**{name: sum(getattr(item, name) for item in outcomes) for name in names})


@pytest.mark.parametrize("large", [False, True])
def test_limit_bounds_the_engines_that_a_request_crashes(large: bool) -> None:
    limited = total(CRASH_LIMIT, large=large)
    # Another attempt may be running when the last allowed engine crashes.
    assert limited.crashed_engines <= (CRASH_LIMIT + 1) * len(SEEDS)
    assert limited.quarantined <= len(SEEDS)
    assert limited.unplaced == 0


def test_without_a_limit_most_requests_find_no_engine() -> None:
    unlimited = total(NO_LIMIT)
    assert unlimited.crashed_engines > 20 * len(SEEDS)
    assert unlimited.unplaced > unlimited.served


@pytest.mark.parametrize("large", [False, True])
def test_random_crashes_quarantine_few_innocent_requests(large: bool) -> None:
    """With a lower limit, random crashes would quarantine more innocent requests."""
    options = {"large": large, "crashes_engine": False, "random_crash_seconds": 2.0}
    normal, lower = total(CRASH_LIMIT, **options), total(CRASH_LIMIT - 1, **options)
    assert normal.quarantined <= 0.003 * normal.served
    assert normal.quarantined < lower.quarantined
