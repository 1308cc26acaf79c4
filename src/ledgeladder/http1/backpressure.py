"""Back-pressure in header fields of answers: requested back-off and advertised rates.

Back-off is requested with `Retry-After` (RFC 9110, section 10.2.3).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from ..model.exchange import AdvertisedRate

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BACKOFF_SECONDS: Final = 3600.0
"""Longest back-off that is honoured, which bounds the effect of a mistaken value."""

BACKOFF_STATUSES: Final = frozenset({429, 503})
"""Statuses with which an upstream may request back-off; with others, such as redirections,
`Retry-After` has another meaning."""


class BackoffRequestedError(Exception):
    """An upstream rejected a management call and requested back-off."""

    def __init__(self, seconds: float) -> None:
        super().__init__(f"requested back-off for {seconds:.3f} s")
        self.seconds = seconds
        """Requested back-off."""


def read_backoff(status: int, headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Read the back-off that an upstream requested when it rejected a request.

    Args:
        status: HTTP status.
        headers: Header fields with lower-case names.

    Returns:
        Seconds from the arrival of the answer; None if no back-off was requested.
    """
    return read_retry_after(headers) if status in BACKOFF_STATUSES else None


def raise_for_backoff(status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Raise an error if the answer to a management call requests back-off.

    Raises:
        BackoffRequestedError: If back-off was requested.
    """
    seconds = read_backoff(status, headers)
    if seconds is not None:
        raise BackoffRequestedError(seconds)


def read_retry_after(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Read the `Retry-After` fields of an answer.

    A date is compared with the answer's own `Date`, since clocks may differ between boxes; without
    that field it is ignored. Of several fields the longest delay counts.

    Args:
        headers: Header fields with lower-case names.

    Returns:
        Seconds from the arrival of the answer, at most `MAX_BACKOFF_SECONDS`; None without a
        valid field.

    >>> read_retry_after([(b"retry-after", b"2.5")])
    2.5
    >>> read_retry_after([(b"retry-after", b"-1")]) is None
    True
    """
    fields = list(headers)
    date = next((value for name, value in fields if name == b"date"), None)
    delays = [_parse_delay(value, date) for name, value in fields if name == b"retry-after"]
    return max((seconds for seconds in delays if seconds is not None), default=None)


def _parse_delay(value: bytes, date: bytes | None) -> float | None:
    """Return the delay of one field in seconds; None if it is invalid."""
    try:
        seconds = float(value)
    except ValueError:
        seconds = _parse_date_delay(value, date)
    if math.isnan(seconds) or seconds < 0:
        return None
    return min(seconds, MAX_BACKOFF_SECONDS)


def _parse_date_delay(value: bytes, date: bytes | None) -> float:
    """Return the seconds between two HTTP dates; NaN if either is missing or invalid."""
    if date is None:
        return math.nan
    # Imported here because it loads many modules that a gateway rarely needs.
    from email.utils import parsedate_to_datetime

    try:
        retry_at = parsedate_to_datetime(value.decode("latin-1"))
        sent_at = parsedate_to_datetime(date.decode("latin-1"))
        return (retry_at - sent_at).total_seconds()
    except (TypeError, ValueError):
        return math.nan


def read_rate(name: bytes, headers: Iterable[tuple[bytes, bytes]]) -> AdvertisedRate | None:
    """Read the rate that an answer advertises.

    Of several fields the lowest valid rate counts.

    Args:
        name: Name of the header field, in lower case.
        headers: Header fields with lower-case names.

    Returns:
        The rate, or None without such a field. The rate in it is None if no field is valid.

    >>> read_rate(b"limit", [(b"limit", b"2.5"), (b"limit", b"4")])
    AdvertisedRate(rate=2.5)
    >>> read_rate(b"limit", [(b"limit", b"-1")])
    AdvertisedRate(rate=None)
    >>> read_rate(b"limit", []) is None
    True
    """
    values = [value for field, value in headers if field == name]
    if not values:
        return None
    rates = [rate for rate in map(_parse_rate, values) if rate is not None]
    return AdvertisedRate(rate=min(rates, default=None))


def _parse_rate(value: bytes) -> float | None:
    """Return a non-negative number; None if the value is invalid."""
    try:
        number = float(value)
    except ValueError:
        return None
    return None if math.isnan(number) or number < 0 else number
