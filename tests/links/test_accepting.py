"""Connections that a busy process accepts, in virtual time and over loopback sockets."""

from __future__ import annotations

import errno
import random
import socket
import time
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from ledgeladder.links import accepting, listen_tcp
from ledgeladder.links.accepting import (
    MAX_WAIT_SECONDS,
    AcceptQueue,
    WaitingConnection,
    accept_connections,
    remove_expired,
)

SERVICE_SECONDS = 0.01
"""Processor time of a request in virtual time."""

PATIENCE_SECONDS = 1.0
"""Time after which a caller abandons a connection that is not read."""

LOAD_SECONDS = 30.0
"""Length of a flood in virtual time."""

BURST = 300
"""Connections that are opened at once."""


def play_flood(load: float, seed: int, bound: float = MAX_WAIT_SECONDS) -> tuple[int, float]:
    """Serve one connection after the other under a load, relative to what the process can serve.

    Returns:
        Number of callers that are served, and the longest time that one of them waited.
    """
    rng = random.Random(seed)
    arrivals, at = [], 0.0
    while at < LOAD_SECONDS:
        at += rng.expovariate(load / SERVICE_SECONDS)
        arrivals.append(at)
    queue, now, served, longest = AcceptQueue(max_wait_seconds=bound), 0.0, 0, 0.0
    raw: Any = None
    while arrivals or queue.waiting:
        while arrivals and arrivals[0] <= now:
            arrived = arrivals.pop(0)
            queue.waiting.append(WaitingConnection(raw=raw, accepted_at=arrived))
        remove_expired(queue, now)
        if not queue.waiting:
            now = arrivals[0] if arrivals else now
            continue
        waited = now - queue.waiting.popleft().accepted_at
        if waited <= PATIENCE_SECONDS:
            served += 1
            longest = max(longest, waited)
        now += SERVICE_SECONDS
    return served, longest


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("load", [0.8, 1.4, 3.0])
def test_flooded_process_serves_what_it_can(load: float, seed: int) -> None:
    """It would otherwise read each connection after its caller has given up."""
    served, longest = play_flood(load, seed)
    assert served >= 0.9 * min(load, 1.0) * LOAD_SECONDS / SERVICE_SECONDS
    assert longest <= MAX_WAIT_SECONDS


def test_flood_without_a_bound_is_served_to_nobody() -> None:
    """The other way, on the same seeds."""
    for seed in range(4):
        capacity = LOAD_SECONDS / SERVICE_SECONDS
        assert play_flood(0.8, seed, float("inf"))[0] >= 0.75 * capacity
        assert play_flood(3.0, seed, float("inf"))[0] <= 0.1 * capacity


async def open_burst(address: tuple[str, int]) -> list[bytes]:
    """Open connections at once, send a byte on each, and return what each receives."""
    received: list[bytes] = []

    async def call() -> None:
        try:
            async with await anyio.connect_tcp(*address) as stream:
                await stream.send(b"?")
                received.append(await stream.receive())
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            received.append(b"")

    async with anyio.create_task_group() as tasks:
        for _ in range(BURST):
            tasks.start_soon(call)
    return received


def test_burst_beyond_capacity_is_closed_unread() -> None:
    """Its callers try other boxes instead of waiting for this one."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            time.sleep(SERVICE_SECONDS)  # noqa: ASYNC251
            await stream.send(b"!")

    async def play() -> list[bytes]:
        async with await listen_tcp("127.0.0.1:0") as listener, anyio.create_task_group() as tasks:
            queue = AcceptQueue()
            tasks.start_soon(accept_connections, listener, queue, serve, tasks)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            received = await open_burst(("127.0.0.1", port))
            assert queue.shed == received.count(b"")
            tasks.cancel_scope.cancel()
        return received

    received = anyio.run(play)
    assert len(received) == BURST
    assert set(received) == {b"!", b""}


@pytest.mark.parametrize(
    "error", [errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EHOSTUNREACH, errno.EPERM]
)
def test_failure_to_accept_does_not_end_the_listener(error: int) -> None:
    """It would end all open connections of the site."""

    class Raw:
        def __init__(self) -> None:
            self.failures = [OSError(error, "accept"), BlockingIOError()]

        def accept(self) -> None:
            raise self.failures.pop(0)

    async def play() -> None:
        raw: Any = Raw()
        assert await accepting._accept_pending(raw, AcceptQueue()) in (0, 1)

    anyio.run(play)


def test_planned_stop_serves_what_was_accepted() -> None:
    async def play() -> list[bytes]:
        near, far = socket.socketpair()
        served: list[bytes] = []

        async def serve(stream: SocketStream) -> None:
            async with stream:
                served.append(await stream.receive())

        far.sendall(b"?")
        near.setblocking(False)
        waiting = WaitingConnection(raw=near, accepted_at=anyio.current_time())
        queue = AcceptQueue()
        async with await listen_tcp("127.0.0.1:0") as listener, anyio.create_task_group() as tasks:
            with anyio.CancelScope() as listening:
                listening.cancel()
                queue.waiting.append(waiting)
                await accept_connections(listener, queue, serve, tasks)
        far.close()
        return served

    assert anyio.run(play) == [b"?"]


def test_error_of_one_connection_ends_only_that_one() -> None:
    """Guards against a listener that ends with all connections when serving one of them fails."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            data = await stream.receive()
            if data == b"x":
                raise KeyError("unexpected")
            await stream.send(data)

    async def ask(port: int, data: bytes) -> bytes:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(data)
            try:
                return await stream.receive()
            except anyio.EndOfStream:
                return b""

    async def play() -> list[bytes]:
        async with await listen_tcp("127.0.0.1:0") as listener, anyio.create_task_group() as tasks:
            tasks.start_soon(accept_connections, listener, AcceptQueue(), serve, tasks)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with await anyio.connect_tcp("127.0.0.1", port) as kept:
                answers = [await ask(port, b"x"), await ask(port, b"y")]
                await kept.send(b"z")
                answers.append(await kept.receive())
            tasks.cancel_scope.cancel()
        return answers

    assert anyio.run(play) == [b"", b"y", b"z"]
