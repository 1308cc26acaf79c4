"""Structured logging: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def set_up_logging(*, level: str, box: str, failure_domain: str) -> None:
    """Send all log records to standard error as JSON with box and failure domain.

    Args:
        level: Least level that is written.
        box: Name of the box.
        failure_domain: Failure domain of the box.
    """
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"box": box, "failure_domain": failure_domain},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("httpx", "httpcore", "hypercorn.error"):
        logging.getLogger(noisy).setLevel(max(logging.WARNING, root.level))
