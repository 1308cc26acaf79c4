"""Planned stop on SIGTERM or SIGINT."""

from __future__ import annotations

import logging
import signal
from typing import TYPE_CHECKING, Final

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
"""Signals that begin a planned stop."""


async def on_stop_signal(action: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
    """Wait for SIGTERM or SIGINT, then run the planned stop and end the process.

    Args:
        action: Performs the planned stop; called once. If it fails, the process ends all the same.
        scope: Cancelled once the action is done.
    """
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for _ in signals:
            try:
                await action()
            except Exception:
                logger.exception("planned stop failed")
            # The receiver restores the default action, with which a second signal would end the
            # process before its last line.
            signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
            scope.cancel()
            return
