"""Errors of handlers, over sockets in one process."""

from __future__ import annotations

import errno
import os

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


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def handle(request: HttpRequest, exchange: Exchange) -> None:
    if request.target in OWN_ERRORS:
        raise OWN_ERRORS[request.target]
    await exchange.answer(200, [], b"done")


@pytest.mark.anyio
@pytest.mark.parametrize("target", OWN_ERRORS)
@pytest.mark.parametrize("cancels", [False, True])
async def test_error_of_a_handler_is_answered_and_logged(
    target: bytes, cancels: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against callers and peers without an answer, and errors that nothing tells of."""
    site = HttpSite(handler=handle, write_problem=write_problem, cancels_on_disconnect=cancels)
    listener = await listen_tcp("127.0.0.1:0")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    answers: list[bytes] = []
    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_listener, listener, site)
            for path in (target, b"/sound"):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(REQUEST % path)
                    answers.append(await stream.receive(65536))
            tasks.cancel_scope.cancel()
    assert answers[0].startswith(b"HTTP/1.1 502 ")
    assert answers[1].startswith(b"HTTP/1.1 200 ")
    assert [line.message for line in caplog.records] == ["request failed"]
