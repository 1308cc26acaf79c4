"""Supervised task that writes queued log lines."""

from __future__ import annotations

import anyio

from .log_queue import run_log_writer
from .logs import current_log_queue
from .supervisor import Child, Restart


def log_child() -> Child:
    """Return the child that writes queued log lines; every daemon runs it."""

    async def run() -> None:
        queue = current_log_queue()
        if queue is None:
            await anyio.sleep_forever()
        else:
            await run_log_writer(queue)

    return Child(name="log writer", run=run, restart=Restart.ALWAYS)
