"""Client for the platform's list of live and draining upstreams, which may be out of date."""

from __future__ import annotations

from typing import Final

import anyio
import httpx
import msgspec

from ..model import MALFORMED_ERRORS
from .calls import call

MAX_LIST_BYTES: Final = 1024 * 1024
"""Longest accepted list; an address takes about 30 bytes."""


class BoxList(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of live and of draining upstreams."""

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


READ_TIMEOUT_SECONDS = 1.0
"""Timeout for reading the list."""


async def read_box_list(client: httpx.AsyncClient, url: str) -> BoxList | None:
    """Read the platform's list.

    Args:
        client: HTTP client.
        url: URL of the list.

    Returns:
        The list, or None if it cannot be read. The caller then keeps the previous one.
    """
    try:
        with anyio.fail_after(READ_TIMEOUT_SECONDS):
            _, content = await call(client, "GET", url, limit=MAX_LIST_BYTES)
        return msgspec.json.decode(content, type=BoxList)
    except (httpx.HTTPError, TimeoutError, *MALFORMED_ERRORS):
        return None
