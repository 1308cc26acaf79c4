"""Avoids engines that refused requests of other boxes for lack of room."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .forwarding_table import FULL_AVOID_SECONDS, is_inactive, is_usable, record_full

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .forwarding_table import ForwardedUpstream

NOTICE_INTERVAL_SECONDS: Final = FULL_AVOID_SECONDS / 2
"""Minimum time between two notices on an engine. Half of the time for which it is avoided, so that
a lost notice is made up for within it."""


def apply_full_notice(
    pool: Iterable[ForwardedUpstream], engine: ForwardedUpstream, now: float
) -> bool:
    """Avoid an engine that is full for other boxes, as if it had refused a request of this one.

    Args:
        pool: Engines of its pool.
        engine: The engine.
        now: Monotonic time at which the notice arrived.

    Returns:
        False if the notice is ignored because the engine is the only usable holder of a layer. It
        may have room for another request a moment later.
    """
    if not _is_replaceable(pool, engine, now):
        return False
    record_full(engine, now)
    return True


def _is_replaceable(
    pool: Iterable[ForwardedUpstream], engine: ForwardedUpstream, now: float
) -> bool:
    """Return whether each layer of an engine has another usable holder."""
    missing = _layer_mask(engine)
    for other in pool:
        if not missing:
            break
        held = _layer_mask(other)
        # An older instance at the same address is no other holder.
        if not held & missing or other.registration.address == engine.registration.address:
            continue
        if is_usable(other, now) and not is_inactive(other, now):
            missing &= ~held
    return not missing


def _layer_mask(engine: ForwardedUpstream) -> int:
    """Return the layers of an engine as a bit mask."""
    mask = 0
    for item in engine.registration.holdings:
        mask |= (1 << item.end) - (1 << item.first)
    return mask
