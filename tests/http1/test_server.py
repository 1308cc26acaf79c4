"""Errors of handlers, over sockets in one process."""

from __future__ import annotations

import errno
import os
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from ledgeladder.daemons.plain_problems import write_problem
from ledgeladder.http1 import Exchange, HttpRequest, HttpSite, serve_listener
from ledgeladder.links import listen_tcp

REQUEST = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"

OWN_ERRORS = {
    b"/value": ValueError("planted"),
    b"/descriptors": OSError(errno.EMFILE, os.strerror(errno.EMFILE)),
    b"/group": ExceptionGroup("tasks", [anyio.BrokenResourceError()]),
}
"""Errors that a handler raises by target although its caller has not disconnected."""

Client = Callable[[anyio.abc.SocketStream], Awaitable[None]]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def handle(request: HttpRequest, exchange: Exchange) -> None:
    if request.target in OWN_ERRORS:
        raise OWN_ERRORS[request.target]
    if request.target == b"/begun":
        await exchange.begin(200, [(b"Transfer-Encoding", b"chunked")], b"part")
        raise ValueError("planted")
    if request.target == b"/cancelled":
        try:
            await anyio.sleep_forever()
        finally:
            raise ValueError("planted")
    if request.target == b"/left":
        await exchange.begin(200, [(b"Transfer-Encoding", b"chunked")], b"part")
        while True:
            await exchange.send(b"x" * 65536)
    await exchange.answer(200, [], b"done")


async def play(client: Client, *, cancels: bool) -> HttpSite:
    """Serve a client on one connection, and wait until that is closed."""
    site = HttpSite(handler=handle, write_problem=write_problem, cancels_on_disconnect=cancels)
    listener = await listen_tcp("127.0.0.1:0")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_listener, listener, site)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await client(stream)
            while site.open_connections:
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    return site


@pytest.mark.anyio
@pytest.mark.parametrize("target", OWN_ERRORS)
@pytest.mark.parametrize("cancels", [False, True])
async def test_error_of_a_handler_is_answered_and_logged(
    target: bytes, cancels: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against callers and peers without an answer, and errors that nothing tells of."""
    answers: list[bytes] = []

    async def client(stream: anyio.abc.SocketStream) -> None:
        for path in (target, b"/sound"):
            await stream.send(REQUEST % path)
            answers.append(await stream.receive(65536))

    await play(client, cancels=cancels)
    assert answers[0].startswith(b"HTTP/1.1 502 ")
    assert answers[1].startswith(b"HTTP/1.1 200 ")
    assert [line.message for line in caplog.records] == ["request failed"]


@pytest.mark.anyio
@pytest.mark.parametrize("cancels", [False, True])
async def test_error_after_the_answer_began_sends_no_second_one(
    cancels: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an answer inside another one, or one that ends as if it were whole."""
    received = bytearray()

    async def client(stream: anyio.abc.SocketStream) -> None:
        await stream.send(REQUEST % b"/begun")
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                received.extend(await stream.receive(65536))

    await play(client, cancels=cancels)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.1") == 1
    assert received.endswith(b"4\r\npart\r\n")
    assert [line.message for line in caplog.records] == ["request failed"]


@pytest.mark.anyio
async def test_error_of_a_handler_whose_caller_left_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against errors of this process that are hidden, as the caller has disconnected."""

    async def client(stream: anyio.abc.SocketStream) -> None:
        await stream.send(REQUEST % b"/cancelled")
        await anyio.sleep(0.05)

    await play(client, cancels=True)
    assert [line.message for line in caplog.records] == ["request failed"]


@pytest.mark.anyio
@pytest.mark.parametrize("cancels", [False, True])
async def test_caller_that_leaves_is_no_error(
    cancels: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a traceback for each caller that disconnects."""

    async def client(stream: anyio.abc.SocketStream) -> None:
        await stream.send(REQUEST % b"/left")
        await anyio.sleep(0.05)

    await play(client, cancels=cancels)
    assert not caplog.records
