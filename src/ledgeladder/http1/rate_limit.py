"""Reading how many requests a second an upstream takes, from a header field that holds a number."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..model.exchange import NamedRate

if TYPE_CHECKING:
    from collections.abc import Iterable


def read_rate(name: bytes, headers: Iterable[tuple[bytes, bytes]]) -> NamedRate | None:
    """Read the rate that an answer names.

    Of several fields the lowest figure counts: more than that is not taken for certain.

    Args:
        name: Name of the header field, in lower case.
        headers: Header fields with lower-case names.

    Returns:
        The rate, or None if there is no such field.

    >>> read_rate(b"limit", [(b"limit", b"2.5"), (b"limit", b"4")])
    NamedRate(rate=2.5)
    >>> read_rate(b"limit", [(b"limit", b"-1")])
    NamedRate(rate=None)
    >>> read_rate(b"limit", []) is None
    True
    """
    values = [value for field, value in headers if field == name]
    if not values:
        return None
    rates = [rate for rate in map(_number, values) if rate is not None]
    return NamedRate(rate=min(rates, default=None))


def _number(value: bytes) -> float | None:
    """Read a number that is not negative; None for anything else."""
    try:
        number = float(value)
    except ValueError:
        return None
    return None if math.isnan(number) or number < 0 else number
