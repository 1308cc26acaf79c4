"""Clocks of the daemons, and an event loop that counts time while the machine is suspended."""

from __future__ import annotations

import time
from typing import Final

import uvloop

ELAPSED_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Monotonic clock that includes the time during which the machine is suspended. With
CLOCK_MONOTONIC, a box that resumes would still trust a lease that another box now holds, or a
document whose keys have been revoked."""


def now() -> float:
    """Return the time since the machine started, in seconds."""
    return time.clock_gettime(ELAPSED_CLOCK)


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since 1970, for timestamps of commands and reports."""
    return time.time_ns() // 1_000_000


class ElapsedTimeLoop(uvloop.Loop):
    """Event loop whose time includes suspension of the machine.

    `anyio.current_time()` returns its time, which deadlines, leases and ages use. A timer that
    expires during suspension fires late, by at most its remaining time at the suspension.
    """

    def time(self) -> float:
        """Return the loop's time, in seconds."""
        return now()


def new_event_loop() -> ElapsedTimeLoop:
    """Return an event loop for a daemon."""
    return ElapsedTimeLoop()
