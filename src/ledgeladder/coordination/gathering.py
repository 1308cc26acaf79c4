"""Waits for the engines of a pool to register before layers are first divided among them."""

from __future__ import annotations

from typing import Final

import msgspec

MIN_QUIET_SECONDS: Final = 0.6
"""Minimum time without a new engine. It suffices where engines already hold layers, as after a
change of the leader, and gaps must be closed soon. Otherwise the wait is a heartbeat if that is
longer."""

MAX_WAIT_SECONDS: Final = 3.0
"""Maximum time to wait for further engines once those that registered can hold the model. Engines
register over seconds, and callers arrive some seconds after the boxes start."""

MAX_WAIT_WITHOUT_MODEL_SECONDS: Final = 10.0
"""Maximum time to wait for engines that can hold the model. Nothing can be served before, and
ordered layers are not divided again. The plan is then made anyway, and the missing layers are
logged."""


class InitialDiscovery(msgspec.Struct, kw_only=True):
    """Tracks how many engines of a pool registered and when, before the first plan."""

    heartbeat: float
    """Time between two heartbeats of an engine, in seconds."""

    max_count: int = 0
    """Maximum number of engines that were registered at once."""

    first_seen_at: float = 0.0
    """When the first engine registered, on the monotonic clock; 0 before that."""

    sufficient_at: float = 0.0
    """When the engines could first hold the model, on the monotonic clock; 0 before that."""

    last_growth_at: float = 0.0
    """When `max_count` last rose, on the monotonic clock."""

    def is_complete(
        self, count: int, now: float, *, is_serving: bool, can_hold_model: bool
    ) -> bool:
        """Record how many engines are registered now, and return whether to plan.

        Every running engine sends a heartbeat within one interval, so the first plan is made once
        no new engine appeared for that long. A plan over too few engines would leave failure
        domains without a copy of the model, and is not revised when more engines register.

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
