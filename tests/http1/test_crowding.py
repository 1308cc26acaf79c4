"""Callers of a listener that send without end, over sockets in one process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from ledgeladder.daemons.plain_problems import write_problem
from ledgeladder.http1 import Exchange, HttpRequest, HttpSite, serve_listener
from ledgeladder.http1.byte_account import ByteAccount
from ledgeladder.http1.crowding import (
    MAX_FRAMING_BYTES,
    MIN_BODY_BYTES_PER_SECOND,
    MIN_CONNECTIONS,
    ConnectionCounts,
    IncomingBody,
    make_room,
)
from ledgeladder.links import listen_tcp
from ledgeladder.model.traffic import CallerLimits

LIMIT = 1_000_000
BODY = 200_000

Client = Callable[[int, HttpSite], Awaitable[None]]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def run_with_site(client: Client) -> list[HttpRequest]:
    """Serve a client that gets the port and the site; return the requests that were handled."""
    handled: list[HttpRequest] = []

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        handled.append(request)
        await exchange.answer(200, [], b"done")

    site = HttpSite(
        handler=handle,
        write_problem=write_problem,
        limits=lambda: CallerLimits(body_bytes=BODY),
        account=ByteAccount(limit_bytes=LIMIT),
    )
    listener = await listen_tcp("127.0.0.1:0")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_listener, listener, site)
            await client(port, site)
            tasks.cancel_scope.cancel()
    return handled


def account_of(site: HttpSite) -> ByteAccount:
    assert site.account is not None
    return site.account


async def read_answer(stream: anyio.abc.SocketStream) -> bytes:
    return await stream.receive(65536)


async def connect(port: int) -> anyio.abc.SocketStream:
    return await anyio.connect_tcp("127.0.0.1", port)


def announce(length: int) -> bytes:
    return b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % length


CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.anyio
async def test_announced_body_without_room_is_refused_before_it_is_sent() -> None:
    """Guards against bodies that are read although there is no memory for them."""

    async def client(port: int, site: HttpSite) -> None:
        held = [await connect(port) for _ in range(4)]
        for number, stream in enumerate(held, start=1):
            await stream.send(announce(BODY))
            while account_of(site).taken_bytes < number * BODY:
                await anyio.sleep(0.01)
        late = await connect(port)
        await late.send(announce(BODY))
        answer = await read_answer(late)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in answer
        assert b"not-run" in answer
        small = await connect(port)
        await small.send(announce(3000) + b"x" * 3000)
        assert (await read_answer(small)).startswith(b"HTTP/1.1 200")
        for stream in [*held, late, small]:
            await stream.aclose()
        while account_of(site).taken_bytes or account_of(site).holders:
            await anyio.sleep(0.01)

    assert len(await run_with_site(client)) == 1


@pytest.mark.anyio
async def test_body_in_one_byte_chunks_is_served() -> None:
    """Guards against a bound that a sound client meets, and against lost or doubled bytes."""
    body = bytes(range(256)) * 40

    async def client(port: int, site: HttpSite) -> None:
        stream = await connect(port)
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        await stream.send(CHUNKED + chunks + b"0\r\n\r\n")
        assert (await read_answer(stream)).startswith(b"HTTP/1.1 200")
        await stream.aclose()

    (request,) = await run_with_site(client)
    assert request.body == body


@pytest.mark.anyio
async def test_body_of_nothing_but_chunk_extensions_is_refused() -> None:
    """Guards against framing without end, none of which counts towards the body's limit."""

    async def client(port: int, site: HttpSite) -> None:
        stream = await connect(port)
        await stream.send(CHUNKED)
        chunk = b"1;" + b"x" * 10_000 + b"\r\nx\r\n"
        for _ in range(MAX_FRAMING_BYTES // 10_000 + 60):
            try:
                await stream.send(chunk)
            except anyio.BrokenResourceError:
                break
        assert (await read_answer(stream)).startswith(b"HTTP/1.1 400")
        await stream.aclose()

    assert await run_with_site(client) == []


@pytest.mark.anyio
async def test_pipelined_requests_are_all_answered_and_given_back() -> None:
    """Guards against bytes sent ahead that the account keeps."""

    async def client(port: int, site: HttpSite) -> None:
        stream = await connect(port)
        await stream.send((announce(9000) + b"x" * 9000) * 20)
        answers = b""
        while answers.count(b"HTTP/1.1 200") < 20:
            answers += await read_answer(stream)
        await stream.aclose()
        while account_of(site).taken_bytes or account_of(site).holders:
            await anyio.sleep(0.01)

    assert [len(item.body) for item in await run_with_site(client)] == [9000] * 20


def test_whole_of_a_body_has_a_time_by_its_size() -> None:
    """Guards against a body that never ends as each of its bytes is in time."""
    size = 10 * MIN_BODY_BYTES_PER_SECOND
    body = IncomingBody(began_at=100.0, announced=size, size=size - 1)
    assert body.seconds_left(105.0, 15.0) == 15.0
    assert body.seconds_left(126.0, 15.0) < 0


@pytest.mark.anyio
async def test_connection_that_is_idle_for_longest_makes_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that keep descriptors without a request."""
    monkeypatch.setattr("os.sysconf", lambda _name: 100)
    counts = ConnectionCounts(share=0.2)
    first, second, reading = (anyio.CancelScope() for _ in range(3))
    idle: dict[anyio.CancelScope, None] = {first: None, second: None}
    incomplete: dict[anyio.CancelScope, None] = {reading: None}
    assert make_room(counts, MIN_CONNECTIONS, idle, incomplete)
    assert make_room(counts, 20, idle, incomplete)
    assert not first.cancel_called
    for scope in (first, second, reading):
        assert make_room(counts, 21, idle, incomplete)
        assert scope.cancel_called
    assert not make_room(counts, 21, idle, incomplete)
    assert (counts.made_way, counts.refused) == (3, 1)
