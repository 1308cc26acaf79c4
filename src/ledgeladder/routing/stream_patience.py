"""Timeouts for stalled streams.

They follow from the targets of the route and from the probe and first-event times that this box
observes. A stream that moves to another path within the gap target shows callers no pause.
"""

from __future__ import annotations

from typing import Final

import msgspec

FIRST_PROBE_SHARE: Final = 0.7
"""Part of the target latency after which the engines of a path are probed; the rest is for the
probe and for another path."""

FIRST_TIMEOUT_FACTOR: Final = 2.0
"""Time to the response head after which an attempt is overdue although its engines answer probes,
as a multiple of the target latency."""

MIN_GAP_SHARE: Final = 0.25
"""Minimum part of the gap target before engines are probed. A shorter one would probe at every pass
in which an engine prefills a prompt."""

MAX_GAP_SHARE: Final = 0.35
"""Maximum part of the gap target before engines are probed; the probe, a new attempt and its
prefill take the rest."""

SLOWDOWN_QUERY_SHARE: Final = 0.7
"""Part of the gap target after which engines that answer probes are queried for their slowdown."""

LINK_AVOIDANCE_FACTOR: Final = 1.5
"""Stall after which the links of a path are avoided, as a multiple of the gap target; longer than a
busy engine takes to prefill other prompts."""

GAP_TIMEOUT_FACTOR: Final = 5.0
"""Stall after which a started attempt is overdue although its engines answer probes, as a multiple
of the gap target."""

DEFAULT_GAP_SHARE: Final = 0.5
"""Default gap target, as a part of the target latency."""


class StreamTimeouts(msgspec.Struct, frozen=True, kw_only=True):
    """Stall durations that trigger an action, in seconds."""

    first_probe: float
    """Engines are probed if no response head has arrived."""

    first_timeout: float
    """An attempt without a response head is overdue although its engines answer probes."""

    gap_probe: float
    """Engines are probed if no event follows; the stream's own pace may allow a longer gap."""

    slowdown_query: float
    """Engines that answer probes are queried for their slowdown."""

    link_avoidance: float
    """Links between failure domains on the path are avoided."""

    gap_timeout: float
    """A started attempt is overdue although its engines answer probes."""


def stream_timeouts(
    *, target_latency: float, gap_target: float, probe_seconds: float, first_seconds: float
) -> StreamTimeouts:
    """Compute the timeouts of one stream.

    Args:
        target_latency: Target time to the first event, in seconds.
        gap_target: Maximum gap between events that callers accept, in seconds; 0 for the default.
        probe_seconds: Timeout of a probe.
        first_seconds: Expected time to the first event on another path; 0 if unknown.

    >>> stream_timeouts(
    ...     target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.09
    ... ).gap_probe
    0.07
    """
    gap = gap_target if gap_target > 0 else target_latency * DEFAULT_GAP_SHARE
    spare = gap - probe_seconds - first_seconds
    return StreamTimeouts(
        first_probe=target_latency * FIRST_PROBE_SHARE,
        first_timeout=target_latency * FIRST_TIMEOUT_FACTOR,
        gap_probe=round(min(max(spare, gap * MIN_GAP_SHARE), gap * MAX_GAP_SHARE), 4),
        slowdown_query=gap * SLOWDOWN_QUERY_SHARE,
        link_avoidance=gap * LINK_AVOIDANCE_FACTOR,
        gap_timeout=gap * GAP_TIMEOUT_FACTOR,
    )
