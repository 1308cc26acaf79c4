"""Counters and latency histograms of an entry box."""

from __future__ import annotations

from collections import Counter
from typing import Any, Final

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS: Final = 10
HIGHEST_MICROSECONDS: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
QUANTILES: Final = (50.0, 95.0, 99.0, 100.0)


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


class EntryMetrics(msgspec.Struct, kw_only=True):
    """What an entry box counts and times."""

    first_token: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time from arrival to the first token."""

    token_gap: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time between arrivals of tokens from the engines."""

    recovery: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Gap in a stream in which a stage was replaced."""

    queue: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time in the admission queue."""

    codes: Counter[str] = msgspec.field(default_factory=Counter)
    """Answers by result code."""

    events: Counter[str] = msgspec.field(default_factory=Counter)
    """Retries, replaced stages, dropped frames, false alarms and the like."""

    tokens: int = 0
    """Tokens passed on to callers."""

    gossip_bytes_sent: int = 0
    """Bytes of membership datagrams sent."""

    gossip_bytes_received: int = 0
    """Bytes of membership datagrams received."""


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration, cut to the histogram's range."""
    microseconds = int(seconds * 1e6)
    histogram.record_value(min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS))


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return count and quantiles in seconds."""
    summary: dict[str, float] = {"count": histogram.get_total_count()}
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile) / 1e6
        summary[f"p{quantile:g}"] = value
    return summary


def metrics_page(metrics: EntryMetrics) -> dict[str, Any]:
    """Return the metrics page."""
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
