"""Evidence of how a process ends: its last log line, and a record on its disk if it has one."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from .clock import wall_clock_ms
from .log_queue import write_last_line
from .logs import STANDARD_ERROR, current_log_handler

if TYPE_CHECKING:
    from pathlib import Path

logger = logging.getLogger(__name__)

STOP_SIGNAL: Final = "stop signal"
"""Reason of a process that ends after a planned stop."""

UNEXPECTED_ERROR: Final = "unexpected error"
"""Reason of a process that ends with an error that it does not handle."""


def record_start(folder: Path | None) -> None:
    """Record on the disk that a process runs, and log if the previous one ended unrecorded.

    A process that is killed, also for its use of memory, leaves no line of its own.

    Args:
        folder: Data folder; None for a process without a disk.
    """
    if folder is None:
        return
    # Imported here because most processes have no disk.
    from ..storage.life import begin_life

    try:
        previous = begin_life(folder, wall_clock_ms())
    except OSError as error:
        logger.warning("start not recorded", extra={"reason": str(error)})
        return
    if previous is not None and not previous.reason:
        logger.warning(
            "previous process was killed or lost power",
            extra={"started_ms": previous.started_ms},
        )


def record_end(folder: Path | None, *, status: int, reason: str, detail: str = "") -> None:
    """Write the last log line of the process, also if the log queue is full or its output closed.

    Args:
        folder: Data folder, where the end is recorded as well; None for a process without a disk.
        status: Exit code of the process.
        reason: `STOP_SIGNAL`, `UNEXPECTED_ERROR` or the name of a result code.
        detail: What exactly failed; empty after a planned stop.
    """
    if folder is not None:
        _record_on_disk(folder, reason)
    handler = current_log_handler()
    if handler is None:
        return
    level = logging.ERROR if status else logging.INFO
    fields = {"exit_code": status, "reason": reason, "detail": detail}
    record = logging.makeLogRecord(
        {"name": __name__, "levelno": level, "levelname": logging.getLevelName(level)}
        | {"msg": "process ends"}
        | fields
    )
    line = handler.format(record).encode() + b"\n"
    write_last_line(handler.queue, line, fallback=STANDARD_ERROR)


def _record_on_disk(folder: Path, reason: str) -> None:
    # Imported here because it is needed once.
    from ..storage.life import end_life

    try:
        end_life(folder, wall_clock_ms(), reason)
    except OSError as error:
        logger.warning("end not recorded", extra={"reason": str(error)})
