"""Structured logging: one JSON object a line on standard output."""

from __future__ import annotations

import atexit
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from .log_queue import LogQueue, QueueHandler, write_last


def set_up_logging(*, level: str, box: str, failure_domain: str) -> LogQueue:
    """Send all log records to standard output as JSON with box and failure domain.

    Args:
        level: Least level that is written.
        box: Name of the box.
        failure_domain: Failure domain of the box.

    Returns:
        The queue, which a daemon writes in the background; until then lines are written at once.
    """
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"box": box, "failure_domain": failure_domain},
    )
    queue = LogQueue(descriptor=sys.stdout.fileno())
    handler = QueueHandler(queue)
    handler.setFormatter(formatter)
    atexit.register(write_last, queue)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("httpx", "httpcore", "hypercorn.error"):
        logging.getLogger(noisy).setLevel(max(logging.WARNING, root.level))
    return queue


def current_log_queue() -> LogQueue | None:
    """Return the queue that `set_up_logging` made, if it was called."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, QueueHandler):
            return handler.queue
    return None
