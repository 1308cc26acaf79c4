"""Finding a stalled route by its own pace in place of one fixed time-out."""

from __future__ import annotations

from typing import Final

import msgspec

MEAN_GAIN: Final = 0.125
"""Weight of a new gap in the mean, as in TCP's round-trip estimate (RFC 6298)."""

DEVIATION_GAIN: Final = 0.25
"""Weight of a new deviation."""

STALL_DEVIATIONS: Final = 6.0
"""Deviations above the mean at which a gap counts as a stall."""

STALL_FACTOR: Final = 3.0
"""A stall is at least this many times the mean gap."""

MIN_STALL_SECONDS: Final = 0.25
"""Shorter gaps are never called a stall: garbage collection and scheduling cause those."""

PROBE_FACTOR: Final = 5.0
"""A probe may take this many times the mean of answered ones."""

MIN_PROBE_SECONDS: Final = 0.4
"""Least time that a probe may take where the caller names none."""

MAX_PROBE_SECONDS: Final = 2.0
"""Most time that a probe may take where the caller names none."""

MAX_LENIENCY: Final = 16.0
"""Most that false alarms can stretch the time."""

LENIENCY_DECAY: Final = 0.95
"""What each gap without an alarm leaves of that stretch."""

MAX_STALL_SECONDS: Final = 5.0
"""Longer gaps are always called a stall."""


class Pace(msgspec.Struct, kw_only=True):
    """Mean gap between tokens and its mean deviation, in seconds."""

    mean: float = 0.0
    """Mean gap; 0 before the first."""

    deviation: float = 0.0
    """Mean deviation from it."""

    leniency: float = 1.0
    """Raised after a false alarm."""

    floor: float = MIN_STALL_SECONDS
    """Shorter gaps are never called a stall, in seconds."""


def record_gap(pace: Pace, gap: float) -> None:
    """Take one gap into account."""
    pace.leniency = max(1.0, pace.leniency * LENIENCY_DECAY)
    if pace.mean == 0.0:
        pace.mean = gap
        pace.deviation = gap / 2
        return
    pace.deviation += DEVIATION_GAIN * (abs(gap - pace.mean) - pace.deviation)
    pace.mean += MEAN_GAIN * (gap - pace.mean)


def stall_timeout(pace: Pace) -> float:
    """Return the gap, in seconds, from which on a route counts as stalled."""
    if pace.mean == 0.0:
        return MAX_STALL_SECONDS
    expected = max(pace.mean * STALL_FACTOR, pace.mean + STALL_DEVIATIONS * pace.deviation)
    return min(max(expected * pace.leniency, pace.floor), MAX_STALL_SECONDS)


def adaptive_probe_timeout(
    pace: Pace,
    *,
    floor: float = MIN_PROBE_SECONDS,
    ceiling: float = MAX_PROBE_SECONDS,
) -> float:
    """Return how long a probe may take, in seconds, given how long answered ones took.

    Args:
        pace: Times of answered probes.
        floor: Least time, in seconds.
        ceiling: Most time, in seconds.

    Returns:
        At least the floor, so that a quick neighbourhood does not make a busy engine look dead; at
        most the ceiling, so that a dead one is replaced in time.
    """
    expected = max(pace.mean * PROBE_FACTOR, pace.mean + STALL_DEVIATIONS * pace.deviation)
    return min(max(expected, floor), ceiling)


def record_false_alarm(pace: Pace) -> None:
    """Wait longer from now on, since every stage turned out to be alive."""
    pace.leniency = min(pace.leniency * 2, MAX_LENIENCY)
