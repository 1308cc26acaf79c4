"""Planned stop on SIGTERM or SIGINT."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def on_stop_signal(action: Callable[[], Awaitable[None]]) -> None:
    """Wait for SIGTERM or SIGINT, then run the planned stop.

    Args:
        action: Performs the planned stop; called once.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await action()
            return
