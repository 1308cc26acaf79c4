"""The HTTP client for upstreams of the own interface."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import anyio
import httpx

from ledgeladder.daemons.clock import new_event_loop
from ledgeladder.daemons.http import upstream_client
from standins.resets import RESET_ON_CLOSE

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
