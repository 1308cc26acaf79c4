"""Header fields of answers as the package's own HTTP client gives them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..http1.backpressure import read_rate

if TYPE_CHECKING:
    import httpx

    from ..model.exchange import AdvertisedRate

RATE_HEADER: Final = b"ledgeladder-rate-limit"
"""Field in which an upstream names how many requests a second it takes from all boxes together."""


def raw_fields(response: httpx.Response) -> list[tuple[bytes, bytes]]:
    """Return the header fields of an answer with lower-case names, in order, none joined."""
    return [(name.lower(), value) for name, value in response.headers.raw]


def named_rate(response: httpx.Response) -> AdvertisedRate | None:
    """Return the rate that an answer names; None if it names none."""
    return read_rate(RATE_HEADER, raw_fields(response))
