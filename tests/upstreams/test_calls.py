"""Calls of upstreams that fail before a connection is opened."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from ledgeladder.upstreams.box_list import read_box_list
from ledgeladder.upstreams.engine import OrderRequest, is_live, read_load, send_order

ORDER = OrderRequest(term=1, index=1, model="m", version="1", first=0, end=1)


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:\u00b2", "999.0.0.1:1", "[::1"])
def test_unusable_address_is_a_failed_call(address: str) -> None:
    """Guards against an upstream whose address ends the checks of all others on every box."""

    async def play() -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            assert not await is_live(client, address, seconds=5.0)
            assert await read_load(client, address) is None
            assert await read_box_list(client, f"http://{address}/boxes") is None
            assert not await send_order(client, address, ORDER)

    anyio.run(play)


NESTED = b'{"unknown":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
"""JSON that is nested too deeply to be decoded."""


def test_deeply_nested_answer_is_a_malformed_one() -> None:
    """Guards against an engine whose report ends the checks of all others on every box."""

    async def body() -> AsyncIterator[bytes]:
        yield NESTED

    async def answer(request: httpx.Request) -> httpx.Response:
        return httpx.Response(200, content=body())

    async def play() -> None:
        async with httpx.AsyncClient(transport=httpx.MockTransport(answer)) as client:
            assert await read_load(client, "127.0.0.1:1") is None
            assert await read_box_list(client, "http://127.0.0.1:1/boxes") is None

    anyio.run(play)
