"""Discrete-event simulation with a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualTime:
    """Runs events in order of time; simultaneous events run in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, in seconds."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run_until(self, seconds: float) -> None:
        """Run all events up to a time, in seconds."""
        while self.events and self.events[0][0] <= seconds:
            self.now, _number, action = heapq.heappop(self.events)
            action()
        self.now = seconds
