"""Counters and latency histograms of an entry box."""

from __future__ import annotations

from collections import Counter
from typing import Any, Final

import msgspec
from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS: Final = 10
MAX_MICROSECONDS: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
QUANTILES: Final = (50.0, 95.0, 99.0, 100.0)


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


class EntryMetrics(msgspec.Struct, kw_only=True):
    """Counters and histograms of an entry box; durations are in microseconds."""

    first_token: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time from arrival to the first token."""

    token_gap: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time between arrivals of tokens from the engines."""

    recovery: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Gap between tokens during which a stage was replaced."""

    queue: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time in the admission queue."""

    codes: Counter[str] = msgspec.field(default_factory=Counter)
    """Answers by result code."""

    events: Counter[str] = msgspec.field(default_factory=Counter)
    """Other events by name, such as retries, replaced stages and dropped frames."""

    tokens: int = 0
    """Tokens forwarded to callers."""

    gossip_bytes_sent: int = 0
    """Bytes of membership datagrams sent."""

    gossip_bytes_received: int = 0
    """Bytes of membership datagrams received."""


def record_duration(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration, clamped to the range of the histogram."""
    microseconds = int(seconds * 1e6)
    histogram.record_value(min(max(microseconds, MIN_MICROSECONDS), MAX_MICROSECONDS))


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count, and quantiles in seconds."""
    summary: dict[str, float] = {"count": histogram.get_total_count()}
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile) / 1e6
        summary[f"p{quantile:g}"] = value
    return summary


def metrics_page(metrics: EntryMetrics) -> dict[str, Any]:
    """Return the content of the metrics page."""
    return {
        "first_token_seconds": summarize(metrics.first_token),
        "token_gap_seconds": summarize(metrics.token_gap),
        "recovery_seconds": summarize(metrics.recovery),
        "queue_seconds": summarize(metrics.queue),
        "codes": dict(metrics.codes),
        "events": dict(metrics.events),
        "tokens": metrics.tokens,
        "gossip_bytes_sent": metrics.gossip_bytes_sent,
        "gossip_bytes_received": metrics.gossip_bytes_received,
    }
