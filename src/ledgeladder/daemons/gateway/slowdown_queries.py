"""Queries to the engines of a stalled path for their slowdown."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import AnswerBrokenError, BackoffRequestedError, ConnectError
from ...routing.forwarding_table import is_backing_off
from ...routing.rate_grants import is_limited
from ..engine_call import fetch_report
from .backpressure import record_backoff

if TYPE_CHECKING:
    from ...routing.forwarding_table import ForwardedUpstream
    from ...routing.paths import ChosenPath
    from .state import GatewayState

logger = logging.getLogger(__name__)

QUERY_TIMEOUT_SECONDS: Final = 0.06
"""Timeout of a query, including the connection. Short, because it delays the stall checks of the
stream; engines answer it without waiting for a free slot."""

QUERY_INTERVAL_SECONDS: Final = 1.0
"""Minimum interval between two queries to one engine."""


async def query_slowdowns(state: GatewayState, path: ChosenPath) -> None:
    """Query the engines of a path concurrently for their slowdown.

    The reported factors influence the choice of later paths. If an engine does not answer in time,
    its previous factor stays in use, since a slow engine may also be slow to report. Engines that
    are backing off or rate-limited are not queried, nor is any while this box is cut off.

    Args:
        state: State of the process.
        path: The path.
    """
    if state.reach.is_cut:
        return
    now = anyio.current_time()
    queried = [
        item
        for item in path.engines
        if now - item.slowdown_at >= QUERY_INTERVAL_SECONDS
        and not is_backing_off(item, now)
        and not is_limited(item.limit, now)
    ]
    with anyio.move_on_after(QUERY_TIMEOUT_SECONDS):
        async with anyio.create_task_group() as tasks:
            for engine in queried:
                engine.slowdown_at = now
                tasks.start_soon(_query_slowdown, state, engine)


async def _query_slowdown(state: GatewayState, engine: ForwardedUpstream) -> None:
    try:
        report = await fetch_report(
            engine.registration.address,
            source=state.settings.box.address,
            seconds=QUERY_TIMEOUT_SECONDS,
        )
    except BackoffRequestedError as error:
        record_backoff(state, engine, error.seconds)
        return
    except (AnswerBrokenError, ConnectError) as error:
        logger.debug(
            "slowdown report unavailable",
            extra={"upstream": engine.registration.instance, "why": str(error)},
        )
        return
    if report is None:
        logger.warning(
            "slowdown report could not be decoded", extra={"upstream": engine.registration.instance}
        )
        return
    engine.slowdown = report.slowdown
    state.metrics.counters["pace-asked"] += 1
    if report.slowdown > 1.0:
        logger.warning(
            "engine works slowly",
            extra={"upstream": engine.registration.instance, "pace": report.slowdown},
        )
