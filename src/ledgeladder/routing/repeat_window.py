"""A shared budget of repeats over a sliding window, split over boxes that cannot ask each other."""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

SHARE_USED: Final = 0.8
"""Part of the allowed share of repeats that a box uses: requests that never arrived here still
count for the budget, but those of others may be fewer than they seem."""

LEAST_ENTRIES: Final = 4
"""Entry boxes that are assumed at least, until control boxes have told how many there are."""


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
    """When they were sent again, likewise."""


def note_first(window: RepeatWindow, now: float) -> None:
    """Note that a request was sent for the first time."""
    window.firsts.append(now)
    _forget(window, now)


def take_repeat(window: RepeatWindow, now: float, entries: int) -> bool:
    """Spend one repeat.

    Args:
        window: The budget.
        now: Monotonic time.
        entries: Entry boxes among which the reserve is split.

    Returns:
        False if the budget is spent and the request must not be sent again.
    """
    _forget(window, now)
    share = window.reserve / max(entries, LEAST_ENTRIES)
    allowed = (window.ratio * len(window.firsts) + share) * SHARE_USED
    if len(window.repeats) + 1 > allowed:
        return False
    window.repeats.append(now)
    return True


def give_back(window: RepeatWindow) -> None:
    """Take back the newest repeat, which could not be sent: only what arrives at upstreams counts.

    After a loss, half of the tries of a box end at engines that refuse connections. Counting them
    spent half of the budget in the seconds in which it is needed.
    """
    if window.repeats:
        window.repeats.pop()


def _forget(window: RepeatWindow, now: float) -> None:
    for times in (window.firsts, window.repeats):
        while times and times[0] <= now - window.seconds:
            times.popleft()
