"""Bounds of aggregates, so that the memory of a report does not grow with the number of lines."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, Final, TypeGuard, TypeVar

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

K = TypeVar("K", bound="Hashable")

MAX_BUCKETS: Final = 2000
"""Maximum number of time buckets, which bounds memory if a clock jumps. Lines outside are only
counted."""

MAX_NAMES: Final = 500
"""Maximum number of upstreams in one table; further ones are summed as `others`."""

MAX_ROWS: Final = 20
"""Maximum number of rows in tables that are sorted by frequency."""

MAX_MICROSECONDS: Final = 60_000_000
"""Maximum value of histograms; longer times are recorded as this."""


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(100, MAX_MICROSECONDS, 2)


def is_finite(value: Any) -> TypeGuard[float]:
    """Return True for a number that a float can hold."""
    return isinstance(value, int | float) and abs(value) <= sys.float_info.max


def record_seconds(histogram: HdrHistogram, seconds: Any) -> None:
    """Record a duration in seconds; ignore values that are not finite numbers."""
    if is_finite(seconds):
        microseconds = min(seconds, MAX_MICROSECONDS) * 1e6
        histogram.record_value(int(min(max(microseconds, 100), MAX_MICROSECONDS)))


def bounded_key(table: Mapping[K, object], key: K, others: K, most: int) -> K:
    """Return a key, or `others` for a new key if the table is full."""
    return key if key in table or len(table) < most else others
