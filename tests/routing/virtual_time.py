"""Time that passes only as events are played."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualTime:
    """Plays events in the order of their moments; of two at one moment, the one noted first."""

    def __init__(self) -> None:
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a moment, in seconds."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run_until(self, seconds: float) -> None:
        """Play all events up to a moment."""
        while self.events and self.events[0][0] <= seconds:
            self.now, _number, action = heapq.heappop(self.events)
            action()
        self.now = seconds
