"""How long silence of a stream is borne before something is done about it.

All times follow from what the route promises its callers and from what this box observes: how
quickly engines accept a connection and how soon another path brings a first event. A replacement
that comes within the longest pause that callers accept is not noticed by them.
"""

from __future__ import annotations

from typing import Final

import msgspec

FIRST_PROBE_SHARE: Final = 0.7
"""Part of the time to the first event that callers expect, after which the engines of a path are
probed: the rest is for the probe and for another path."""

FIRST_TIMEOUT_FACTOR: Final = 2.0
"""How many times that time a run may take to its first event although its engines answer."""

MIN_GAP_SHARE: Final = 0.25
"""Least part of the pause that callers accept, after which engines are probed. Sooner would probe
at every pass of an engine that reads a prompt."""

MAX_GAP_SHARE: Final = 0.35
"""Most of it: a probe, a new run and the reading of its prompt beside others that were lost with it
take the rest."""

SLOWDOWN_QUERY_SHARE: Final = 0.7
"""Part of that pause after which engines that accept connections are asked how slowly they work."""

LINK_AVOIDANCE_FACTOR: Final = 1.5
"""How many times that pause a path stands still before the links that it passes are avoided: longer
than a busy engine takes, which reads prompts between two passes."""

GAP_TIMEOUT_FACTOR: Final = 5.0
"""How many times that pause a run that has begun may stand still although its engines answer."""

DEFAULT_GAP_SHARE: Final = 0.5
"""Pause that is taken as accepted where the route names none, as a part of the time to the first
event that callers expect."""


class StreamTimeouts(msgspec.Struct, frozen=True, kw_only=True):
    """Times of silence, in seconds, after which something is done."""

    first_probe: float
    """Engines are probed if no head has come."""

    first_timeout: float
    """A run without a head is given up although its engines answer."""

    gap_probe: float
    """Engines are probed if no event follows; the stream's own pace may allow more."""

    slowdown_query: float
    """Engines that answer are asked how slowly they work."""

    link_avoidance: float
    """Links between failure domains on the path are avoided for a while."""

    gap_timeout: float
    """A run that has begun is given up although its engines answer."""


def stream_timeouts(
    *, target_latency: float, gap_target: float, probe_seconds: float, first_seconds: float
) -> StreamTimeouts:
    """Work out the times for one stream.

    Args:
        target_latency: Time to the first event that callers expect.
        gap_target: Longest pause that they accept; 0 if the route names none.
        probe_seconds: How long a probe may take.
        first_seconds: How long another path is likely to take to its first event; 0 if not known.

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
