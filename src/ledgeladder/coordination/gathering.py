"""Waiting for the engines of a pool before layers are divided among them."""

from __future__ import annotations

from typing import Final

import msgspec

LEAST_QUIET_SECONDS: Final = 0.6
"""How long no new engine must have come at least. It is enough where some hold layers already: a
box that has just taken over from a leader has a whole picture after half a heartbeat, and gaps are
to be closed soon. Before the first plan a heartbeat is waited for if that is longer."""

LIMIT_SECONDS: Final = 3.0
"""Longest time that a plan waits for further engines once there are enough to hold the model. They
register over seconds; a system serves some seconds after its boxes start."""

LIMIT_WITHOUT_MODEL_SECONDS: Final = 10.0
"""Longest time that it waits for engines that can hold the model. Nothing can be served before, and
layers that were ordered are not divided anew. Then it is made all the same, so that it is logged
which layers are lacking."""


class Gathering(msgspec.Struct, kw_only=True):
    """How many engines of a pool have come and when, before the first plan."""

    heartbeat: float
    """Time between two heartbeats of an engine, in seconds."""

    seen: int = 0
    """Most engines that were registered at once."""

    first_at: float = 0.0
    """When the first came, on the monotonic clock; 0 before that."""

    enough_at: float = 0.0
    """When they first were enough to hold the model, on the monotonic clock; 0 before that."""

    last_at: float = 0.0
    """When `seen` last rose, on the monotonic clock."""

    def is_over(self, count: int, now: float, *, serves: bool, is_enough: bool) -> bool:
        """Take in how many are registered now, and tell whether it is time to plan.

        Each engine that is up is heard within a heartbeat, so that the first plan is made once no
        other came for so long. One that was made half a heartbeat after the second engine of 33
        left every failure domain without a copy of the model, and two thirds of all callers
        unserved for as long as the system ran.

        Args:
            count: Engines that are registered.
            now: Monotonic time.
            serves: True if some of them hold layers.
            is_enough: True if together they can hold the model.
        """
        if count > self.seen:
            self.first_at = self.first_at or now
            self.seen, self.last_at = count, now
        if not serves and not is_enough:
            return now - self.first_at >= LIMIT_WITHOUT_MODEL_SECONDS
        self.enough_at = self.enough_at or now
        quiet = LEAST_QUIET_SECONDS if serves else max(LEAST_QUIET_SECONDS, self.heartbeat)
        return now - self.last_at >= quiet or now - self.enough_at >= LIMIT_SECONDS
