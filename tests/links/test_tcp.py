"""TCP connections and listeners by IP address."""

from __future__ import annotations

import contextlib
import os
import socket
import threading

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.links import connect_tcp, is_port_closed, listen_tcp, tcp
from ledgeladder.links.tcp import MAX_CLOSE_CHECKS, wrap_socket


def run(test) -> None:  # type: ignore[no-untyped-def]
    anyio.run(test, backend_options={"use_uvloop": True})


async def _echo(stream: SocketStream) -> None:
    async with stream:
        await stream.send(await stream.receive())


def test_connection_uses_the_source_address_and_carries_bytes() -> None:
    async def exchange() -> None:
        listener = await listen_tcp("127.0.0.1:0")
        port = listener.extra(SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, _echo)
            stream = await connect_tcp(f"127.0.0.1:{port}", "127.0.0.7")
            async with stream:
                assert stream.extra(SocketAttribute.local_address)[0] == "127.0.0.7"
                await stream.send(b"once")
                assert await stream.receive() == b"once"
            tasks.cancel_scope.cancel()

    run(exchange)


def test_refused_connection_and_taken_address_raise() -> None:
    async def refused() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            with pytest.raises(ConnectionRefusedError):
                await connect_tcp(address)
            taken.listen()
            with pytest.raises(OSError, match="in use"):
                await listen_tcp(address)

    run(refused)


def test_cancelled_connection_closes_its_socket() -> None:
    async def time_out() -> None:
        # A listener whose accept queue is full silently drops further connections.
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = f"127.0.0.1:{full.getsockname()[1]}"
            queued = [socket.socket() for _ in range(4)]
            for each in queued:
                each.setblocking(False)
                each.connect_ex(full.getsockname())
            before = len(os.listdir("/proc/self/fd"))
            with pytest.raises(TimeoutError), anyio.fail_after(0.05):
                await connect_tcp(address)
            assert len(os.listdir("/proc/self/fd")) == before
            for each in queued:
                each.close()

    run(time_out)


def test_no_thread_is_started() -> None:
    async def exchange() -> None:
        before = len(os.listdir("/proc/self/task"))
        listener = await listen_tcp("127.0.0.1:0")
        port = listener.extra(SocketAttribute.local_port)
        async with listener, await connect_tcp(f"127.0.0.1:{port}", "127.0.0.1"):
            assert len(os.listdir("/proc/self/task")) == before

    run(exchange)


@pytest.mark.parametrize(
    ("closes", "expected"),
    [(0, False), (1, True), (MAX_CLOSE_CHECKS, False)],
    ids=["alive", "exiting", "overloaded"],
)
def test_exiting_process_is_distinguished_from_a_live_one(
    monkeypatch: pytest.MonkeyPatch, closes: int, expected: bool
) -> None:
    """An exiting process may accept one more connection and close it at once before it refuses the
    next. A process that closes every connection at once, as when overloaded, is alive."""

    if closes:
        # Both sides run in this process, which may be slower than an exiting process.
        monkeypatch.setattr(tcp, "CLOSE_TIMEOUT_SECONDS", 10.0)

    answered = threading.Event()
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        kept = []
        for number in range(MAX_CLOSE_CHECKS):
            connection, _ = listener.accept()
            if number >= closes:
                kept.append(connection)
                break
            if closes < MAX_CLOSE_CHECKS:
                listener.close()
            connection.close()
            if closes < MAX_CLOSE_CHECKS:
                break
        answered.wait()

    async def check() -> bool:
        port = listener.getsockname()[1]
        return await is_port_closed(f"127.0.0.1:{port}", "127.0.0.1", seconds=1.0)

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    try:
        assert anyio.run(check) is expected
    finally:
        answered.set()
        server.join()
        listener.close()


@pytest.mark.parametrize("accepted", [False, True])
def test_connection_is_read_only_as_far_as_it_is_received(*, accepted: bool) -> None:
    """Guards against a process that buffers, without a bound, what a fast peer sends."""
    most_bytes = 8 * 1024 * 1024

    async def flood() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            near = socket.socket()
            near.connect(server.getsockname())
            far, _ = server.accept()
        own, peer = (far, near) if accepted else (near, far)
        own.setblocking(False)
        peer.setblocking(False)
        sent = 0
        stream = await wrap_socket(own)
        with peer:
            async with stream:
                # Each read finds bytes that have arrived before it.
                for _ in range(200):
                    with contextlib.suppress(BlockingIOError):
                        while sent <= most_bytes:
                            sent += peer.send(b"x" * 65536)
                    await anyio.sleep(0.001)
                    assert await stream.receive(1) == b"x"
        assert sent < most_bytes

    run(flood)
