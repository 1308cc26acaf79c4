"""The HTTP server of the own interface, and its client for upstreams."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator
from functools import partial
from typing import Any

import anyio
import httpx
import pytest

from ledgeladder.daemons.clock import new_event_loop
from ledgeladder.daemons.http import serve_http, upstream_client
from standins.resets import RESET_ON_CLOSE

from .callers import accepts

CALLS = 400
"""Calls that are made; the moment of the reset differs from call to call."""


@contextlib.contextmanager
def resetting_upstream() -> Iterator[str]:
    """Run a listener that resets each connection right after it is accepted; yields its address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def run() -> None:
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    connection.close()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        listener.shutdown(socket.SHUT_RDWR)
        thread.join(10)


def test_connections_that_are_reset_at_once_are_lost_connections() -> None:
    """Guards against an error of the library, which the callers' answer would be a 500 for."""
    errors: list[Exception] = []

    async def play(address: str) -> None:
        client = upstream_client(None)

        async def call() -> None:
            try:
                await client.post(f"http://{address}/work", content=b"x" * 1000)
            except Exception as error:
                errors.append(error)

        for _ in range(CALLS // 20):
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(call)
        await client.aclose()

    with resetting_upstream() as address:
        anyio.run(play, address, backend_options={"loop_factory": new_event_loop})
    assert len(errors) == CALLS
    assert [error for error in errors if not isinstance(error, httpx.HTTPError)] == []


REFUSED = 20
"""Requests that are refused before their body is read."""


@pytest.mark.parametrize("parts", [4, 60])
def test_refused_request_ends_although_its_body_is_not_read(parts: int) -> None:
    """Guards against requests that hang for good, with their socket and all that they hold."""
    ended: list[int] = []

    async def refuse(scope: Any, receive: Any, send: Any) -> None:
        # The body arrives meanwhile.
        await anyio.sleep(0.05)
        head = {
            "type": "http.response.start",
            "status": 503,
            "headers": [(b"content-length", b"2")],
        }
        await send(head)
        await send({"type": "http.response.body", "body": b"no", "more_body": False})
        ended.append(1)

    async def call(host: str, port: int) -> None:
        async with await anyio.connect_tcp(host, port) as stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(
                    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                for _ in range(parts):
                    await stream.send(b"a\r\n0123456789\r\n")
                    await anyio.sleep(0)
                await stream.send(b"0\r\n\r\n")
                assert (await stream.receive()).startswith(b"HTTP/1.1 503")

    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            host, port = probe.getsockname()
        stop = anyio.Event()
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(partial(serve_http, refuse, f"{host}:{port}", stop))
                while not accepts((host, port)):
                    await anyio.sleep(0.01)
                async with anyio.create_task_group() as calls:
                    for _ in range(REFUSED):
                        calls.start_soon(call, host, port)
                while len(ended) < REFUSED:
                    await anyio.sleep(0.01)
                stop.set()

    anyio.run(play)
    assert len(ended) == REFUSED
