"""The two clocks that the daemons feed into the cores."""

from __future__ import annotations

import time


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since 1970, for stamping commands and reports."""
    return time.time_ns() // 1_000_000
