"""Waiting for the engines of a pool before layers are divided among them."""

from __future__ import annotations

from typing import Final

import msgspec

MIN_QUIET_SECONDS: Final = 0.6
"""How long no new engine must have come at least. It is enough where some hold layers already: a
box that has just taken over from a leader has a whole picture after half a heartbeat, and gaps are
to be closed soon. Before the first plan a heartbeat is waited for if that is longer."""

MAX_WAIT_SECONDS: Final = 3.0
"""Longest time that a plan waits for further engines once there are enough to hold the model. They
register over seconds; a system is_serving some seconds after its boxes start."""

MAX_WAIT_WITHOUT_MODEL_SECONDS: Final = 10.0
"""Longest time that it waits for engines that can hold the model. Nothing can be served before, and
layers that were ordered are not divided anew. Then it is made all the same, so that it is logged
which layers are lacking."""


class InitialDiscovery(msgspec.Struct, kw_only=True):
    """How many engines of a pool have come and when, before the first plan."""

    heartbeat: float
    """Time between two heartbeats of an engine, in seconds."""

    max_count: int = 0
    """Most engines that were registered at once."""

    first_seen_at: float = 0.0
    """When the first came, on the monotonic clock; 0 before that."""

    sufficient_at: float = 0.0
    """When they first were enough to hold the model, on the monotonic clock; 0 before that."""

    last_growth_at: float = 0.0
    """When `max_count` last rose, on the monotonic clock."""

    def is_complete(
        self, count: int, now: float, *, is_serving: bool, can_hold_model: bool
    ) -> bool:
        """Take in how many are registered now, and tell whether it is time to plan.

        Each engine that is up is heard within a heartbeat, so that the first plan is made once no
        other came for so long. One that was made half a heartbeat after the second engine of 33
        left every failure domain without a copy of the model, and two thirds of all callers
        unserved for as long as the system ran.

        Args:
            count: Engines that are registered.
            now: Monotonic time.
            is_serving: True if some of them hold layers.
            can_hold_model: True if together they can hold the model.
        """
        if count > self.max_count:
            self.first_seen_at = self.first_seen_at or now
            self.max_count, self.last_growth_at = count, now
        if not is_serving and not can_hold_model:
            return now - self.first_seen_at >= MAX_WAIT_WITHOUT_MODEL_SECONDS
        self.sufficient_at = self.sufficient_at or now
        quiet = MIN_QUIET_SECONDS if is_serving else max(MIN_QUIET_SECONDS, self.heartbeat)
        return now - self.last_growth_at >= quiet or now - self.sufficient_at >= MAX_WAIT_SECONDS
