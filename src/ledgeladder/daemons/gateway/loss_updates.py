"""Handles reports of other boxes that an engine is unreachable."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...routing.forwarding_table import record_reachable, record_reported_loss
from .probing import LIVENESS_SECONDS, find_unreachable

if TYPE_CHECKING:
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)


def handle_loss_update(state: GatewayState, instance: str) -> ForwardedUpstream | None:
    """Stop sending new work to an engine that other boxes found unreachable.

    Such a report does not interrupt running streams: in a partition, this box may still reach the
    engine.

    Args:
        state: State of the process.
        instance: Instance id of the engine.

    Returns:
        The engine if it has streams of this box and no recent proof of liveness, else None.
    """
    engine = state.table.upstreams.get(instance)
    now = anyio.current_time()
    if engine is None or now - engine.last_success_at <= LIVENESS_SECONDS:
        return None
    if not record_reported_loss(engine, now):
        return None
    state.metrics.counters["engine-told-lost"] += 1
    logger.info(
        "engine reported unreachable", extra={"upstream": instance, "runs": len(engine.on_lost)}
    )
    return engine if engine.on_lost else None


async def confirm_loss(state: GatewayState, engine: ForwardedUpstream) -> None:
    """Probe an engine that was reported unreachable; its streams are replaced if the probe fails.

    The streams then move to another path after one round trip instead of a stall timeout.
    """
    if not await find_unreachable(state, [engine], set(), liveness_seconds=0.0):
        record_reachable(engine)
