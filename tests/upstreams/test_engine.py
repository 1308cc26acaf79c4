"""Cancelling on engines that do not take it at once."""

from __future__ import annotations

import httpx
import pytest
from anyio import create_task_group, create_tcp_listener, run, sleep_forever
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.upstreams import engine
from ledgeladder.upstreams.engine import CancelRequest, cancel_on_engine

REQUEST = CancelRequest(session="s", attempt=1)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("silent", [0, 1, 3])
def test_engine_that_stands_still_is_told_again_until_it_takes_it(
    monkeypatch: pytest.MonkeyPatch, silent: int
) -> None:
    """The pattern: a stage is suspended, or busy, when a caller leaves. Told once and in vain, it
    held the request until it forgot it by itself, half a minute later."""
    monkeypatch.setattr(engine, "CANCEL_REQUEST_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(engine, "CANCEL_RETRY_DELAY_SECONDS", 0.01)
    told: list[bytes] = []

    async def play() -> None:
        async def serve(stream: SocketStream) -> None:
            async with stream:
                told.append(await stream.receive())
                if len(told) <= silent:
                    await sleep_forever()
                await stream.send(ANSWER)

        async with create_task_group() as tasks:
            listener = await create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            tasks.start_soon(listener.serve, serve)
            async with httpx.AsyncClient(trust_env=False) as client:
                await cancel_on_engine(client, f"127.0.0.1:{port}", REQUEST)
            tasks.cancel_scope.cancel()

    run(play)
    assert len(told) == silent + 1


def test_engine_that_has_ended_is_told_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine, "CANCEL_RETRY_DELAY_SECONDS", 3600.0)

    async def play() -> None:
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        await listener.aclose()
        async with httpx.AsyncClient(trust_env=False) as client:
            await cancel_on_engine(client, f"127.0.0.1:{port}", REQUEST)

    run(play)
