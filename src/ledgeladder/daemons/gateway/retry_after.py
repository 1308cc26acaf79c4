"""Retry delays for callers whose request found no path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ...routing.load_time import load_seconds

if TYPE_CHECKING:
    from ...routing.paths import NoPathReason
    from .checks import Permit
    from .state import GatewayState

CAPACITY_SHARE: Final = 0.5
"""Share of a stream's mean duration after which full engines are expected to have capacity again:
about half of their streams end within it."""

MIN_RETRY_SECONDS: Final = 0.1
"""Minimum retry delay, also used until a stream has completed. Prevents callers from retrying in a
tight loop."""


def retry_after_full(state: GatewayState) -> float:
    """Return the delay until full engines are expected to have capacity, in seconds.

    The estimate is based on the recent duration of streams on this box.
    """
    return max(MIN_RETRY_SECONDS, state.stream_pace.mean * CAPACITY_SHARE)


def retry_after_no_path(state: GatewayState, permit: Permit, missing: NoPathReason | None) -> float:
    """Return the delay until a path is expected to exist, in seconds.

    If engines or links are full, this is the delay until they have capacity. Missing layers are
    expected back after the time to load the mean number of layers per engine of the pool.

    Args:
        state: The process's state.
        permit: What the request may do.
        missing: Why there is no path; None if unknown.
    """
    profile = permit.pool.engine
    engines = state.table.pools.get(permit.pool.name, [])
    held = [item.end - item.first for engine in engines for item in engine.registration.holdings]
    if profile is None or not held or (missing is not None and missing.is_out_of_capacity):
        return retry_after_full(state)
    return max(MIN_RETRY_SECONDS, load_seconds(profile, sum(held) // len(held), concurrent_loads=1))
