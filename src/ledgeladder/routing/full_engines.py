"""Avoids engines that refused requests of other boxes for lack of room."""

from __future__ import annotations

import functools
import operator
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
        False if the notice is ignored because the engine is the only usable holder of a layer, or
        the last failure domain that holds all layers needs it. It may have room for another request
        a moment later.
    """
    if not _is_replaceable(pool, engine, now):
        return False
    record_full(engine, now)
    return True


def _is_replaceable(
    pool: Iterable[ForwardedUpstream], engine: ForwardedUpstream, now: float
) -> bool:
    """Return whether paths remain without an engine.

    Each of its layers must have another usable holder. If all layers have usable holders in its
    failure domain, the same must hold without it there or in another one, as paths between domains
    come last.
    """
    own, domain = _layer_mask(engine), engine.registration.failure_domain
    usable: dict[str, int] = {domain: 0}
    all_layers = own
    for other in pool:
        if not own & ~usable[domain]:
            return True
        held = _layer_mask(other)
        all_layers |= held
        # An older instance at the same address is no other holder.
        if other.registration.address == engine.registration.address:
            continue
        if is_usable(other, now) and not is_inactive(other, now):
            name = other.registration.failure_domain
            usable[name] = usable.get(name, 0) | held
    if own & ~functools.reduce(operator.or_, usable.values()):
        return False
    is_whole = usable[domain] | own == all_layers
    return not is_whole or all_layers in usable.values()


def _layer_mask(engine: ForwardedUpstream) -> int:
    """Return the layers of an engine as a bit mask."""
    mask = 0
    for item in engine.registration.holdings:
        mask |= (1 << item.end) - (1 << item.first)
    return mask
