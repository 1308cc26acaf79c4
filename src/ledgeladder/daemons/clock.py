"""The two clocks of the daemons, and the event loop that keeps time by the first."""

from __future__ import annotations

import time
from typing import Final

import uvloop

ELAPSED_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Clock that never steps and goes on while the machine is suspended. The monotonic clock stands
still then: a box that wakes up would go on with a lease that another one holds meanwhile, and serve
by a document whose keys were taken away."""


def now() -> float:
    """Return the time that has passed since the machine started, in seconds."""
    return time.clock_gettime(ELAPSED_CLOCK)


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since 1970, for stamping commands and reports."""
    return time.time_ns() // 1_000_000


class ElapsedTimeLoop(uvloop.Loop):
    """Event loop whose time goes on while the machine is suspended.

    Deadlines, leases and ages are kept by it, as `anyio.current_time()` returns it. A timer that is
    due when the machine wakes up fires after what was left of it, late by no more than that.
    """

    def time(self) -> float:
        """Return the loop's time, in seconds."""
        return now()


def new_event_loop() -> ElapsedTimeLoop:
    """Return an event loop for a daemon."""
    return ElapsedTimeLoop()
