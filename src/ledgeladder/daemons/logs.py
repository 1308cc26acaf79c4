"""Structured logging to standard output, one JSON object per line."""

from __future__ import annotations

import atexit
import logging
import os
from typing import Final

import anyio
from pythonjsonlogger.json import JsonFormatter

from .log_queue import LogQueue, QueueHandler, flush_at_exit, run_log_writer
from .supervisor import Child, Restart

STANDARD_INPUT: Final = 0
STANDARD_OUTPUT: Final = 1
STANDARD_ERROR: Final = 2


def set_up_logging(*, level: str, box: str, failure_domain: str) -> LogQueue:
    """Send all log records to standard output as JSON with box and failure domain.

    Args:
        level: Minimum level of written records.
        box: Name of the box.
        failure_domain: Failure domain of the box.

    Returns:
        The queue. Lines are written immediately until a daemon starts the background writer.
    """
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"box": box, "failure_domain": failure_domain},
    )
    closed = open_standard_descriptors()
    queue = LogQueue(descriptor=STANDARD_OUTPUT, output_failed=STANDARD_OUTPUT in closed)
    handler = QueueHandler(queue)
    handler.setFormatter(formatter)
    atexit.register(flush_at_exit, queue)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("httpx", "httpcore", "hypercorn.error"):
        logging.getLogger(noisy).setLevel(max(logging.WARNING, root.level))
    return queue


def open_standard_descriptors() -> list[int]:
    """Open the null device in the place of each standard descriptor that is closed.

    Otherwise a socket or data file would get its number, and log lines would be written into it.

    Returns:
        The descriptors that were closed.
    """
    closed = []
    for descriptor in (STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is taken, which is this one.
            os.open(os.devnull, os.O_RDWR)
            closed.append(descriptor)
    return closed


def current_log_handler() -> QueueHandler | None:
    """Return the handler that `set_up_logging` created, or None if it was not called."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, QueueHandler):
            return handler
    return None


def log_child() -> Child:
    """Return the child that writes queued log lines; every daemon runs it."""

    async def run() -> None:
        handler = current_log_handler()
        if handler is None:
            await anyio.sleep_forever()
        else:
            await run_log_writer(handler.queue)

    return Child(name="log writer", run=run, restart=Restart.ALWAYS)
