"""The port to the platform's list of live and leaving upstreams, which lags."""

from __future__ import annotations

import anyio
import httpx
import msgspec


class BoxList(msgspec.Struct, frozen=True, kw_only=True):
    """The list, by address."""

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


READ_SECONDS = 1.0
"""How long the platform may take to answer."""


async def read_box_list(client: httpx.AsyncClient, url: str) -> BoxList | None:
    """Read the platform's list.

    Args:
        client: HTTP client.
        url: Page of the list.

    Returns:
        The list, or None if it cannot be read; the last one then stays in use.
    """
    try:
        with anyio.fail_after(READ_SECONDS):
            response = await client.get(url)
        return msgspec.json.decode(response.content, type=BoxList)
    except (httpx.HTTPError, TimeoutError, msgspec.DecodeError):
        return None
