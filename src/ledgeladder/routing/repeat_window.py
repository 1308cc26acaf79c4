"""A shared budget of repeats over a sliding window: a box's own part, and what it is lent."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

import msgspec

from .repeat_loans import FLOOR_SHARE

SHARE_USED: Final = 0.8
"""Part of the allowed share of repeats that a box uses: requests that never arrived here still
count for the budget, but those of others may be fewer than they seem."""

LEAST_ENTRIES: Final = 4
"""Entry boxes that are assumed at least, until control boxes have told how many there are."""


class Repeat(NamedTuple):
    """One repeat that was spent."""

    lent_until: float | None
    """Until when it might have been spent, if it was lent; None for one of the box's own part."""


class RepeatWindow(msgspec.Struct, kw_only=True):
    """Arrivals at one pool's upstreams that this box caused, in a sliding window."""

    ratio: float
    """Repeats that all boxes together may make for each request."""

    reserve: float
    """Repeats that all boxes together may make besides, in one window."""

    seconds: float
    """Length of the window, in seconds."""

    firsts: deque[float] = msgspec.field(default_factory=deque)
    """When requests were first sent, on the monotonic clock, oldest first."""

    repeats: deque[float] = msgspec.field(default_factory=deque)
    """When they were sent again out of the own part, likewise."""

    lent: deque[float] = msgspec.field(default_factory=deque)
    """Until when each repeat that was lent may be spent, on the monotonic clock, soonest first."""


def note_first(window: RepeatWindow, now: float) -> None:
    """Note that a request was sent for the first time."""
    window.firsts.append(now)
    _forget(window, now)


def take_repeat(window: RepeatWindow, now: float, entries: int) -> Repeat | None:
    """Spend one repeat, out of the own part first.

    Args:
        window: The budget.
        now: Monotonic time.
        entries: Entry boxes among which the floor of the reserve is split.

    Returns:
        The repeat; None if nothing is left, and the request must not be sent again.
    """
    _forget(window, now)
    floor = window.reserve * FLOOR_SHARE / max(entries, LEAST_ENTRIES)
    allowed = (window.ratio * len(window.firsts) + floor) * SHARE_USED
    if len(window.repeats) + 1 <= allowed:
        window.repeats.append(now)
        return Repeat(lent_until=None)
    return Repeat(lent_until=window.lent.popleft()) if window.lent else None


def take_loan(window: RepeatWindow, count: int, until: float) -> None:
    """Take in repeats that were lent, to be spent until a monotonic time."""
    window.lent.extend([until] * count)


def give_back(window: RepeatWindow, repeat: Repeat) -> None:
    """Take back a repeat that could not be sent: only what arrives at upstreams counts.

    After a loss, half of the tries of a box end at engines that refuse connections. Counting them
    would spend half of the budget in the seconds in which it is needed.
    """
    if repeat.lent_until is not None:
        window.lent.appendleft(repeat.lent_until)
    elif window.repeats:
        window.repeats.pop()


def _forget(window: RepeatWindow, now: float) -> None:
    for times in (window.firsts, window.repeats):
        while times and times[0] <= now - window.seconds:
            times.popleft()
    while window.lent and window.lent[0] <= now:
        window.lent.popleft()
