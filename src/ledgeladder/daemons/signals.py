"""Planned stop on SIGTERM or SIGINT."""

from __future__ import annotations

import logging
import signal
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = logging.getLogger(__name__)


async def on_stop_signal(action: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
    """Wait for SIGTERM or SIGINT, then run the planned stop and end the process.

    Args:
        action: Performs the planned stop; called once. If it fails, the process ends all the same.
        scope: Cancelled once the action is done.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            try:
                await action()
            except Exception:
                logger.exception("planned stop failed")
            scope.cancel()
            return
