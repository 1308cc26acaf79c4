"""Cancellations are retried on engines that do not answer."""

from __future__ import annotations

import httpx
import pytest
from anyio import create_task_group, create_tcp_listener, run, sleep_forever
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.upstreams import engine
from ledgeladder.upstreams.engine import CancelRequest, cancel_on_engine

REQUEST = CancelRequest(session="s", attempt=1)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("unanswered", [0, 1, 3])
def test_cancellation_is_retried_until_engine_confirms(
    monkeypatch: pytest.MonkeyPatch, unanswered: int
) -> None:
    """Guards against a suspended or busy stage that holds an abandoned request after a single
    unanswered cancellation."""
    monkeypatch.setattr(engine, "CANCEL_RETRY_DELAY_SECONDS", 0.01)
    received: list[bytes] = []

    def set_timeout() -> None:
        # Only cancellations without an answer may time out, however slow the machine is.
        seconds = 0.05 if len(received) < unanswered else 60.0
        monkeypatch.setattr(engine, "CANCEL_REQUEST_TIMEOUT_SECONDS", seconds)

    set_timeout()

    async def scenario() -> None:
        async def serve(stream: SocketStream) -> None:
            async with stream:
                received.append(await stream.receive())
                set_timeout()
                if len(received) <= unanswered:
                    await sleep_forever()
                await stream.send(ANSWER)

        async with create_task_group() as tasks:
            listener = await create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            tasks.start_soon(listener.serve, serve)
            async with httpx.AsyncClient(trust_env=False) as client:
                await cancel_on_engine(client, f"127.0.0.1:{port}", REQUEST)
            tasks.cancel_scope.cancel()

    run(scenario)
    assert len(received) == unanswered + 1


def test_cancellation_is_not_retried_on_exited_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine, "CANCEL_RETRY_DELAY_SECONDS", 3600.0)

    async def scenario() -> None:
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        await listener.aclose()
        async with httpx.AsyncClient(trust_env=False) as client:
            await cancel_on_engine(client, f"127.0.0.1:{port}", REQUEST)

    run(scenario)
