"""The memory of the machine, and the account of bytes that follows from it."""

from __future__ import annotations

import logging
import os
from pathlib import Path
from typing import Final

from ..http1.byte_account import ByteAccount

logger = logging.getLogger(__name__)

ACCOUNT_SHARE: Final = 1 / 8
"""Part of the memory that bytes held for others may use. The rest is for the program, its state,
the buffers of sockets and copies that last for a pass of the event loop."""

MIN_ACCOUNT_BYTES: Final = 8 * 1024 * 1024
"""Least limit, so that a single request of the usual longest size has room on any machine."""

DEFAULT_MACHINE_BYTES: Final = 1024 * 1024 * 1024
"""Memory that is assumed if the machine shows none."""

MEMORY_PAGE: Final = Path("/proc/meminfo")
"""Where the machine shows its memory."""

CONTROL_GROUP_LIMITS: Final = (
    Path("/sys/fs/cgroup/memory.max"),
    Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)
"""Where a container shows its limit, by the version of its control groups."""

BYTES_PER_MB: Final = 1024 * 1024
"""Bytes of a megabyte."""


def machine_bytes() -> int:
    """Return the memory of the machine or of the container, whichever is less, in bytes."""
    found: list[int] = []
    for line in _read(MEMORY_PAGE).splitlines():
        if line.startswith("MemTotal:"):
            found.append(int(line.split()[1]) * 1024)
    for path in CONTROL_GROUP_LIMITS:
        text = _read(path).strip()
        if text.isdigit():
            found.append(int(text))
    return min(found, default=DEFAULT_MACHINE_BYTES)


def build_account(memory_mb: int) -> ByteAccount:
    """Build the account of a process.

    Args:
        memory_mb: Memory by the settings, in MB; 0 for what the machine shows.
    """
    memory = memory_mb * BYTES_PER_MB if memory_mb else machine_bytes()
    return ByteAccount(limit_bytes=max(MIN_ACCOUNT_BYTES, int(memory * ACCOUNT_SHARE)))


def _read(path: Path) -> str:
    if not os.path.exists(path):
        return ""
    try:
        return path.read_text()
    except OSError as error:
        logger.warning("memory not known", extra={"path": str(path), "reason": str(error)})
        return ""
