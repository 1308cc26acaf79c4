"""Reading how long an upstream that refused wants nothing more from this box."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..http1.retry_after import read_retry_after

if TYPE_CHECKING:
    import httpx

REST_STATUSES: Final = (429, 503)
"""Statuses with which an upstream may ask for rest."""


def read_rest(response: httpx.Response) -> float | None:
    """Return what the head of an answer asks for, in seconds; None if nothing."""
    if response.status_code not in REST_STATUSES:
        return None
    return read_retry_after((name.lower(), value) for name, value in response.headers.raw)
