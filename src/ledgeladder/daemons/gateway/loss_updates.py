"""Taking in that other boxes found an engine dead."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...routing.forwarding_table import note_reachable, note_told_lost
from .probing import LIVENESS_SECONDS, find_unreachable

if TYPE_CHECKING:
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)


def handle_loss_update(state: GatewayState, instance: str) -> ForwardedUpstream | None:
    """Send an engine nothing new that other boxes found dead.

    The word of others is enough for that, and no more: behind a cut they may be wrong for this box.

    Args:
        state: The process's state.
        instance: Run of the engine.

    Returns:
        The engine, if streams of this box pass it that did not just make progress; else None.
    """
    engine = state.table.upstreams.get(instance)
    now = anyio.current_time()
    if engine is None or now - engine.proven_at <= LIVENESS_SECONDS:
        return None
    if not note_told_lost(engine, now):
        return None
    state.metrics.counters["engine-told-lost"] += 1
    logger.info("engine lost elsewhere", extra={"upstream": instance, "runs": len(engine.on_lost)})
    return engine if engine.on_lost else None


async def confirm_loss(state: GatewayState, engine: ForwardedUpstream) -> None:
    """Find out whether an engine is dead that streams of this box pass, and interrupt them if so.

    They then go on elsewhere after a round trip, and not after a pause that is long for a stream.
    """
    if not await find_unreachable(state, [engine], set(), liveness_seconds=0.0):
        note_reachable(engine)
