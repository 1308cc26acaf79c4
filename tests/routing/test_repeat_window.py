"""The budget of repeats counts what arrives at upstreams, and nothing else."""

from __future__ import annotations

from ledgeladder.routing.repeat_loans import FLOOR_SHARE
from ledgeladder.routing.repeat_window import (
    SHARE_USED,
    Repeat,
    RepeatWindow,
    give_back,
    note_first,
    take_repeat,
)

BOXES = 10
FLOOR = 5.0 * FLOOR_SHARE
"""What each box has of a reserve of 50; the rest is lent."""


def window() -> RepeatWindow:
    return RepeatWindow(ratio=0.2, reserve=50.0, seconds=10.0)


def taken(budget: RepeatWindow, now: float) -> int:
    count = 0
    while take_repeat(budget, now, BOXES):
        count += 1
    return count


def test_a_box_spends_its_part_of_the_reserve_and_its_requests_share() -> None:
    budget = window()
    for _ in range(20):
        note_first(budget, 0.0)
    assert taken(budget, 1.0) == int((20 * 0.2 + FLOOR) * SHARE_USED)
    assert taken(budget, 9.0) == 0
    assert taken(budget, 11.1) == int(FLOOR * SHARE_USED)


def test_tries_that_arrive_nowhere_leave_the_budget_for_those_that_do() -> None:
    """The load after a loss: engines that are gone refuse connections, and others take the work."""
    budget = window()
    for _ in range(30):
        repeat = take_repeat(budget, 1.0, BOXES)
        assert repeat is not None
        give_back(budget, repeat)
    assert taken(budget, 1.0) == int(FLOOR * SHARE_USED)


def test_nothing_is_given_back_that_was_not_taken() -> None:
    budget = window()
    give_back(budget, Repeat(lent_until=None))
    assert taken(budget, 1.0) == int(FLOOR * SHARE_USED)
