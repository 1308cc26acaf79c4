"""Finding out which engines of a silent path are dead."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import ConnectError, connect
from ...links.messages import LostReport
from ...routing.forwarding_table import note_lost

if TYPE_CHECKING:
    from ...routing.forwarding_table import ForwardedUpstream
    from ...routing.paths import ChosenPath
    from .state import GatewayState

logger = logging.getLogger(__name__)

PROBE_SECONDS: Final = 0.06
"""How long an engine may take to accept a connection: twenty round trips between failure domains.
A machine without power or behind a cut says nothing at all."""


async def find_lost(state: GatewayState, path: ChosenPath, dead: set[str]) -> bool:
    """Connect to every engine of a path side by side, and tell of those that do not accept.

    Those are avoided, the other requests on them are interrupted, and the control boxes are told.

    Args:
        state: The process's state.
        path: The path.
        dead: Engines that are known to be dead; those found are added.

    Returns:
        True if any does not accept a connection.
    """
    found: list[ForwardedUpstream] = []

    async def probe(engine: ForwardedUpstream) -> None:
        source = state.settings.box.address
        try:
            connection = await connect(
                engine.registration.address, source=source, seconds=PROBE_SECONDS
            )
        except ConnectError as error:
            found.append(engine)
            logger.warning(
                "engine does not answer",
                extra={"upstream": engine.registration.instance, "reason": str(error)},
            )
            return
        await connection.close()

    async with anyio.create_task_group() as tasks:
        for engine in path.engines:
            tasks.start_soon(probe, engine)
    for engine in found:
        dead.add(engine.registration.instance)
        state.metrics.counters["engine-lost"] += 1
        note_lost(engine, anyio.current_time())
        if state.peers is not None:
            for link in state.peers.links.values():
                link.post(LostReport(instance=engine.registration.instance))
    return bool(found)
