"""When a caller whose request found no path is told to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ...routing.load_time import load_seconds

if TYPE_CHECKING:
    from ...routing.paths import MissingPath
    from .checks import Permit
    from .state import GatewayState

CAPACITY_SHARE: Final = 0.5
"""Part of the time that a stream takes after which engines that are full have room again: half of
the streams on them end within it."""

MIN_RETRY_SECONDS: Final = 0.1
"""Shortest time that is named, also while no stream was ever seen to its end: a few round trips, so
that callers do not come back in a tight loop."""


def retry_after_full(state: GatewayState) -> float:
    """Return when engines that refused are likely to have room, in seconds.

    It follows from how long streams took on this box lately.
    """
    return max(MIN_RETRY_SECONDS, state.stream_pace.mean * CAPACITY_SHARE)


def retry_after_no_path(state: GatewayState, permit: Permit, missing: MissingPath | None) -> float:
    """Return when a request that found no path is likely to find one, in seconds.

    Where engines or links are full, that is when there is room. Layers that nobody holds are back
    after a load of as many as an engine of the pool holds in the mean.

    Args:
        state: The process's state.
        permit: What the request may do.
        missing: Why there is no path, if that is known.
    """
    profile = permit.pool.engine
    engines = state.table.pools.get(permit.pool.name, [])
    held = [item.end - item.first for engine in engines for item in engine.registration.holdings]
    if profile is None or not held or (missing is not None and missing.for_want_of_room):
        return retry_after_full(state)
    return max(MIN_RETRY_SECONDS, load_seconds(profile, sum(held) // len(held), loads=1))
