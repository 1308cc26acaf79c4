"""Queries to the engines of a path for their slowdown."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.daemons.gateway import slowdown_queries
from ledgeladder.daemons.gateway.slowdown_queries import query_slowdowns
from ledgeladder.routing.forwarding_table import slow_factor

from .builders import engine, gateway_state, path_over


def query_engine(answer: bytes | None, times: int = 1) -> tuple[list[bytes], float]:
    """Query one engine that answers with the given bytes, or not at all.

    Returns:
        The requests that it received, and its slowdown factor afterwards.
    """
    sent: list[bytes] = []
    factor = 0.0

    async def serve(stream: SocketStream) -> None:
        async with stream:
            sent.append(await stream.receive())
            if answer is None:
                await anyio.sleep_forever()
            await stream.send(answer)

    async def run() -> None:
        nonlocal factor
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            queried_engine = engine(address=f"127.0.0.1:{port}")
            tasks.start_soon(listener.serve, serve)
            state, path = gateway_state(), path_over(queried_engine)
            for _ in range(times):
                await query_slowdowns(state, path)
            factor = slow_factor(queried_engine, anyio.current_time())
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return sent, factor


def http(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@pytest.fixture(autouse=True)
def long_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a loaded machine an answer may exceed the production timeout."""
    monkeypatch.setattr(slowdown_queries, "QUERY_TIMEOUT_SECONDS", 5.0)


def test_slow_engine_reports_its_slowdown() -> None:
    sent, factor = query_engine(http(b'{"pace":4.0,"running":3}'))
    assert sent[0].startswith(b"GET /api/report HTTP/1.1\r\n")
    assert factor == 4.0


@pytest.mark.parametrize("answer", [http(b"oops"), b"", http(b'{"pace":0.5}')])
def test_engine_with_an_invalid_report_has_no_slowdown(answer: bytes) -> None:
    assert query_engine(answer)[1] == 1.0


def test_engine_is_not_queried_again_within_the_interval() -> None:
    assert len(query_engine(http(b'{"pace":4.0}'), times=3)[0]) == 1


def test_engine_that_exceeds_the_timeout_has_no_slowdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slowdown_queries, "QUERY_TIMEOUT_SECONDS", 0.05)
    assert query_engine(None)[1] == 1.0
