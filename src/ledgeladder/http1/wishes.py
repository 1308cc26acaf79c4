"""Reading what upstreams ask for in header fields of their answers.

That is when one that refused wants to be called again (RFC 9110, section 10.2.3), and how many
requests a second one takes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from ..model.exchange import AdvertisedRate

if TYPE_CHECKING:
    from collections.abc import Iterable

LONGEST_SECONDS: Final = 3600.0
"""Longest time that is believed: an upstream that names days by mistake gets work again within an
hour. Longer than any overload or restart that is waited out by asking for time."""


REST_STATUSES: Final = frozenset({429, 503})
"""Statuses with which an upstream may ask for rest; in others the field means something else, as in
redirections."""


class RestAskedError(Exception):
    """An upstream refused a call beside requests and asked for rest."""

    def __init__(self, seconds: float) -> None:
        super().__init__(f"wants nothing for {seconds:.3f} s")
        self.seconds = seconds
        """How long it wants nothing from this box."""


def read_rest(status: int, headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Read how long an upstream that refused wants nothing more from this box.

    Args:
        status: HTTP status.
        headers: Header fields with lower-case names.

    Returns:
        Seconds from the arrival of the answer; None if it asks for nothing.
    """
    return read_retry_after(headers) if status in REST_STATUSES else None


def raise_for_rest(status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
    """Raise if the answer to a call beside requests asks for rest.

    Raises:
        RestAskedError: If so.
    """
    seconds = read_rest(status, headers)
    if seconds is not None:
        raise RestAskedError(seconds)


def read_retry_after(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Read how long the sender of an answer wants nothing from the receiver.

    A point in time is taken against the answer's own `Date`, since the clocks of two boxes may
    differ; without one it says nothing. Of several fields the longest time counts.

    Args:
        headers: Header fields with lower-case names.

    Returns:
        Seconds from the arrival of the answer, at most `LONGEST_SECONDS`; None if it names no time,
        or none that can be read.

    >>> read_retry_after([(b"retry-after", b"2.5")])
    2.5
    >>> read_retry_after([(b"retry-after", b"-1")]) is None
    True
    """
    fields = list(headers)
    date = next((value for name, value in fields if name == b"date"), None)
    named = [_seconds(value, date) for name, value in fields if name == b"retry-after"]
    return max((seconds for seconds in named if seconds is not None), default=None)


def _seconds(value: bytes, date: bytes | None) -> float | None:
    """Read one field; None if it cannot be read."""
    try:
        seconds = float(value)
    except ValueError:
        seconds = _seconds_until(value, date)
    if math.isnan(seconds) or seconds < 0:
        return None
    return min(seconds, LONGEST_SECONDS)


def _seconds_until(value: bytes, date: bytes | None) -> float:
    """Read a point in time as seconds after another; not a number if either cannot be read."""
    if date is None:
        return math.nan
    # Loaded here, as no other module of a gateway needs the two dozen modules behind it.
    from email.utils import parsedate_to_datetime

    try:
        until = parsedate_to_datetime(value.decode("latin-1"))
        since = parsedate_to_datetime(date.decode("latin-1"))
        return (until - since).total_seconds()
    except (TypeError, ValueError):
        return math.nan


def read_rate(name: bytes, headers: Iterable[tuple[bytes, bytes]]) -> AdvertisedRate | None:
    """Read the rate that an answer names.

    Of several fields the lowest figure counts: more than that is not taken for certain.

    Args:
        name: Name of the header field, in lower case.
        headers: Header fields with lower-case names.

    Returns:
        The rate, or None if there is no such field.

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
    rates = [rate for rate in map(_number, values) if rate is not None]
    return AdvertisedRate(rate=min(rates, default=None))


def _number(value: bytes) -> float | None:
    """Read a number that is not negative; None for anything else."""
    try:
        number = float(value)
    except ValueError:
        return None
    return None if math.isnan(number) or number < 0 else number
