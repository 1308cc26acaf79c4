"""Record of the start and the end of the process that uses a data folder.

It tells a process that was killed from one that ended by itself. It is not synced: it must outlast
a kill and may be lost with the power.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model import MALFORMED_ERRORS

if TYPE_CHECKING:
    from pathlib import Path

LIFE_FILE: Final = "life.json"


class Life(msgspec.Struct, frozen=True, kw_only=True):
    """Start and end of one process."""

    started_ms: int
    """Start in milliseconds since 1970."""

    ended_ms: int = 0
    """End in milliseconds since 1970; 0 while it runs, and if it was killed."""

    reason: str = ""
    """Why it ended; empty while it runs, and if it was killed."""


def begin_life(folder: Path, now_ms: int) -> Life | None:
    """Record the start of this process.

    Args:
        folder: Data folder; created if missing.
        now_ms: Milliseconds since 1970.

    Returns:
        The record of the previous process; None without a readable one.

    Raises:
        OSError: If the record cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    previous = _read(folder)
    _write(folder, Life(started_ms=now_ms))
    return previous


def end_life(folder: Path, now_ms: int, reason: str) -> None:
    """Record the end of this process.

    Args:
        folder: Data folder.
        now_ms: Milliseconds since 1970.
        reason: Why it ends.

    Raises:
        OSError: If the record cannot be written.
    """
    current = _read(folder) or Life(started_ms=0)
    _write(folder, Life(started_ms=current.started_ms, ended_ms=now_ms, reason=reason))


def _read(folder: Path) -> Life | None:
    try:
        return msgspec.json.decode((folder / LIFE_FILE).read_bytes(), type=Life)
    except (OSError, *MALFORMED_ERRORS):
        # Missing at the first start, and empty or torn if the disk was full or lost its power.
        return None


def _write(folder: Path, life: Life) -> None:
    (folder / LIFE_FILE).write_bytes(msgspec.json.encode(life))
