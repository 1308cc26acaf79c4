"""Waiting for the engines of a pool before layers are divided among them."""

from __future__ import annotations

from typing import Final

import msgspec

GATHER_SECONDS: Final = 0.6
"""How long no new engine must have come before the first plan is made: engines register within
a few seconds of each other, and a plan over all of them covers every failure domain."""

GATHER_LIMIT_SECONDS: Final = 3.0
"""Longest time that the first plan waits for further engines; traffic starts some seconds later."""


class Gathering(msgspec.Struct, kw_only=True):
    """How many engines of a pool have come and when, before the first plan."""

    heartbeat: float
    """Time between two heartbeats of an engine, in seconds."""

    seen: int = 0
    """Most engines that were registered at once."""

    first_at: float = 0.0
    """When the first came, on the monotonic clock; 0 before that."""

    last_at: float = 0.0
    """When `seen` last rose, on the monotonic clock."""

    def is_over(self, count: int, now: float, *, serves: bool, is_enough: bool) -> bool:
        """Take in how many are registered now, and tell whether it is time to plan.

        It is once no more have come for a while, or the first came long ago.

        Args:
            count: Engines that are registered.
            now: Monotonic time.
            serves: True if some of them hold layers.
            is_enough: True if together they can hold the model.
        """
        if count > self.seen:
            self.first_at = self.first_at or now
            self.seen, self.last_at = count, now
        quiet = now - self.last_at >= GATHER_SECONDS
        return quiet or now - self.first_at >= GATHER_LIMIT_SECONDS
