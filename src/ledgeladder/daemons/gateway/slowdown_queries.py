"""Asking engines of a path that is late how slowly they work."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...http1 import AnswerBrokenError, ConnectError, RestAskedError
from ...routing.forwarding_table import is_resting
from ...routing.rate_grants import is_limited
from ..engine_call import fetch_report
from .backpressure import record_backoff

if TYPE_CHECKING:
    from ...routing.forwarding_table import ForwardedUpstream
    from ...routing.paths import ChosenPath
    from .state import GatewayState

logger = logging.getLogger(__name__)

QUERY_TIMEOUT_SECONDS: Final = 0.06
"""How long engines may take to tell, connection included. Short, since the stream that is late is
not read meanwhile; reports wait for no slot of the engine."""

QUERY_INTERVAL_SECONDS: Final = 1.0
"""Least time between two questions to one engine; a report is 0.2 s old and has a price."""


async def query_slowdowns(state: GatewayState, path: ChosenPath) -> None:
    """Ask the engines of a path how slowly they work, side by side.

    What they say counts for the choice of the next paths. For one that does not tell in time, what
    it said last counts on: one that is slow may be late with its report, too. One that asked for
    rest or named a limit is not asked.

    Args:
        state: The process's state.
        path: The path.
    """
    now = anyio.current_time()
    queried = [
        item
        for item in path.engines
        if now - item.slowdown_at >= QUERY_INTERVAL_SECONDS
        and not is_resting(item, now)
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
    except RestAskedError as error:
        record_backoff(state, engine, error.seconds)
        return
    except (AnswerBrokenError, ConnectError) as error:
        logger.debug(
            "no report", extra={"upstream": engine.registration.instance, "why": str(error)}
        )
        return
    if report is None:
        logger.warning("report unreadable", extra={"upstream": engine.registration.instance})
        return
    engine.slowdown = report.slowdown
    state.metrics.counters["pace-asked"] += 1
    if report.slowdown > 1.0:
        logger.warning(
            "engine works slowly",
            extra={"upstream": engine.registration.instance, "pace": report.slowdown},
        )
