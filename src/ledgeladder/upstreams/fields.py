"""Header fields of answers that the HTTP client received."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..http1.backpressure import read_rate

if TYPE_CHECKING:
    import httpx

    from ..model.exchange import AdvertisedRate

RATE_HEADER: Final = b"ledgeladder-rate-limit"
"""Header field in which an upstream advertises its rate for all boxes together, in requests per
second."""


def raw_fields(response: httpx.Response) -> list[tuple[bytes, bytes]]:
    """Return the header fields of an answer in order, with lower-case names and repeated fields."""
    return [(name.lower(), value) for name, value in response.headers.raw]


def advertised_rate(response: httpx.Response) -> AdvertisedRate | None:
    """Return the rate that an answer advertises; None if it advertises none."""
    return read_rate(RATE_HEADER, raw_fields(response))
