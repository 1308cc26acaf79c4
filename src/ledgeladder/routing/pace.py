"""Detects stalled routes with a timeout that adapts to their pace."""

from __future__ import annotations

from typing import Final

import msgspec

MEAN_GAIN: Final = 0.125
"""Weight of a new gap in the mean, as in TCP's round-trip estimate (RFC 6298)."""

DEVIATION_GAIN: Final = 0.25
"""Weight of a new deviation in the mean deviation."""

STALL_DEVIATIONS: Final = 6.0
"""Deviations above the mean at which a gap counts as a stall."""

STALL_FACTOR: Final = 3.0
"""Minimum stall, as a multiple of the mean gap."""

MIN_STALL_SECONDS: Final = 0.25
"""Minimum stall; garbage collection and scheduling cause shorter gaps."""

PROBE_FACTOR: Final = 5.0
"""Probe timeout, as a multiple of the mean time of answered probes."""

MIN_PROBE_SECONDS: Final = 0.4
"""Default minimum probe timeout."""

MAX_PROBE_SECONDS: Final = 2.0
"""Default maximum probe timeout."""

MAX_LENIENCY: Final = 16.0
"""Maximum factor by which false alarms extend the stall timeout."""

LENIENCY_DECAY: Final = 0.95
"""Factor by which each gap without an alarm reduces the leniency."""

MAX_STALL_SECONDS: Final = 5.0
"""Maximum stall timeout."""


class Pace(msgspec.Struct, kw_only=True):
    """Mean gap between tokens and its mean deviation, in seconds."""

    mean: float = 0.0
    """Mean gap; 0 before the first."""

    deviation: float = 0.0
    """Mean deviation from it."""

    leniency: float = 1.0
    """Factor on the stall timeout, raised after a false alarm."""

    floor: float = MIN_STALL_SECONDS
    """Minimum stall timeout, in seconds."""


def record_gap(pace: Pace, gap: float) -> None:
    """Update the estimate with one gap, in seconds."""
    pace.leniency = max(1.0, pace.leniency * LENIENCY_DECAY)
    if pace.mean == 0.0:
        pace.mean = gap
        pace.deviation = gap / 2
        return
    pace.deviation += DEVIATION_GAIN * (abs(gap - pace.mean) - pace.deviation)
    pace.mean += MEAN_GAIN * (gap - pace.mean)


def stall_timeout(pace: Pace) -> float:
    """Return the gap after which a route counts as stalled, in seconds."""
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
    """Return the timeout of a probe, in seconds.

    Args:
        pace: Times of answered probes.
        floor: Minimum timeout, in seconds.
        ceiling: Maximum timeout, in seconds.

    Returns:
        The timeout. The floor tolerates busy engines where most answer quickly; the ceiling bounds
        the time until a lost engine is replaced.
    """
    expected = max(pace.mean * PROBE_FACTOR, pace.mean + STALL_DEVIATIONS * pace.deviation)
    return min(max(expected, floor), ceiling)


def record_false_alarm(pace: Pace) -> None:
    """Double the leniency after a stall in which every stage was alive."""
    pace.leniency = min(pace.leniency * 2, MAX_LENIENCY)
