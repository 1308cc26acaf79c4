"""A content that ends its engines is found, and few innocent requests are taken for it.

The patterns: one content that ends each engine some tens of milliseconds after it began, and comes
again for as long as its caller likes; engines that end by chance, one after the other. The load is
that of 39 streams a second over 10 engines that hold the first layers, and of 244 over 40.
"""

from __future__ import annotations

import pytest

from ledgeladder.coordination.crash_book import CRASH_LIMIT

from .crash_bed import CrashBed, Outcome

SECONDS = 40.0
SEEDS = range(10)
NO_LIMIT = 1_000_000


def total(limit: int, *, large: bool = False, **options: float | bool) -> Outcome:
    """Return the sums over all seeds."""
    size = {"engines": 40, "streams_per_second": 244.0} if large else {"engines": 10}
    size.setdefault("streams_per_second", 39.4)
    outcomes = [
        CrashBed(limit=limit, seed=seed, **size, **options).play(SECONDS)  # type: ignore[arg-type]
        for seed in SEEDS
    ]
    names = Outcome.__dataclass_fields__
    return Outcome(**{name: sum(getattr(item, name) for item in outcomes) for name in names})


@pytest.mark.parametrize("large", [False, True])
def test_content_to_blame_ends_as_many_engines_as_the_limit_says(large: bool) -> None:
    held = total(CRASH_LIMIT, large=large)
    # A second attempt may be under way when the third engine ends.
    assert held.ended_by_content <= (CRASH_LIMIT + 1) * len(SEEDS)
    assert held.held <= len(SEEDS)
    assert held.unplaced == 0


def test_without_a_limit_nothing_is_left_to_serve() -> None:
    unlimited = total(NO_LIMIT)
    assert unlimited.ended_by_content > 20 * len(SEEDS)
    assert unlimited.unplaced > unlimited.served


@pytest.mark.parametrize("large", [False, True])
def test_engines_that_end_by_chance_take_few_innocent_requests_along(large: bool) -> None:
    """One engine of ten ends each 2 s: what a limit of three refuses, and one of two would."""
    chance = {"large": large, "guilty": False, "chance_crash_seconds": 2.0}
    three, two = total(CRASH_LIMIT, **chance), total(CRASH_LIMIT - 1, **chance)
    assert three.held <= 0.003 * three.served
    assert three.held < two.held
