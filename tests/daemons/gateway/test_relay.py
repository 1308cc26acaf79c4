"""Connections that one box relays for another, over loopback sockets in one process."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest
from anyio.abc import SocketStream

from ledgeladder.daemons.gateway.main import build_state
from ledgeladder.daemons.gateway.reaching import NoRelayError
from ledgeladder.daemons.gateway.relay_client import ask_relay, connect_by_relay
from ledgeladder.daemons.gateway.relay_server import serve_relayed
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.http1 import AnswerBrokenError, ConnectError, read_head, read_part, send_request
from ledgeladder.links import listen_tcp
from ledgeladder.links.messages import RelayOutcome
from ledgeladder.model.registration import Registration
from ledgeladder.routing.forwarding_table import ForwardedUpstream, put_registration
from ledgeladder.routing.upstream_reach import record_cut, record_relay_peers
from standins.registered_upstream import reset_connection

from .builders import settings

RELAY_HOST = "127.0.0.2"
"""Address of the box that relays."""

REQUEST_HEADERS = [(b"Host", b"x"), (b"Content-Length", b"0")]
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"
"""An answer with neither a length nor chunks, which ends with its connection."""

Serve = Callable[[SocketStream], Awaitable[None]]


def box(address: str, port: int) -> GatewayState:
    base = settings()
    return build_state(
        msgspec.structs.replace(
            base,
            box=msgspec.structs.replace(base.box, address=address),
            cluster=msgspec.structs.replace(base.cluster, relay_port=port),
        )
    )


@asynccontextmanager
async def relaying(
    serve: Serve,
) -> AsyncIterator[tuple[GatewayState, GatewayState, ForwardedUpstream]]:
    """Run a box that relays and an upstream; yield the asking box, the relay and the upstream."""
    async with (
        await listen_tcp(f"{RELAY_HOST}:0") as relay_listener,
        await listen_tcp("127.0.0.1:0") as upstream_listener,
        anyio.create_task_group() as tasks,
    ):
        port = relay_listener.extra(anyio.abc.SocketAttribute.local_port)
        asking, relay = box("127.0.0.1", port), box(RELAY_HOST, port)
        upstream_port = upstream_listener.extra(anyio.abc.SocketAttribute.local_port)
        registration = Registration(
            instance="i-1", sequence=1, pool="p", address=f"127.0.0.1:{upstream_port}"
        )
        upstream = put_registration(asking.table, registration, anyio.current_time())
        put_registration(relay.table, registration, anyio.current_time())
        record_relay_peers(asking.relay_peers, [RELAY_HOST], "127.0.0.1", anyio.current_time())
        tasks.start_soon(relay_listener.serve, lambda stream: serve_relayed(relay, stream))
        tasks.start_soon(upstream_listener.serve, serve)
        assert upstream is not None
        yield asking, relay, upstream
        tasks.cancel_scope.cancel()


async def answer_until_close(stream: SocketStream) -> None:
    async with stream:
        await stream.receive()
        await stream.send(UNTIL_CLOSE)


async def answer_and_reset(stream: SocketStream) -> None:
    """Send a part of the answer, and reset the connection."""
    await stream.receive()
    await stream.send(UNTIL_CLOSE)
    await anyio.sleep(0.05)
    reset_connection(stream)


async def hang(stream: SocketStream) -> None:
    async with stream:
        try:
            while True:
                await stream.receive()
        except anyio.EndOfStream:
            pass


async def fetch(asking: GatewayState, upstream: ForwardedUpstream) -> bytes:
    connection = await connect_by_relay(asking, upstream, seconds=1.0, request="r")
    try:
        await send_request(connection, b"GET", b"/", REQUEST_HEADERS, b"")
        await read_head(connection)
        body = b""
        while (part := await read_part(connection)) is not None:
            body += part
        return body
    finally:
        await connection.close()


def test_answer_that_ends_with_its_connection_is_whole() -> None:
    async def play() -> bytes:
        async with relaying(answer_until_close) as (asking, _relay, upstream):
            return await fetch(asking, upstream)

    assert anyio.run(play) == b"hello"


def test_answer_that_is_reset_on_the_way_is_broken() -> None:
    async def play() -> None:
        async with relaying(answer_and_reset) as (asking, _relay, upstream):
            with pytest.raises(AnswerBrokenError):
                await fetch(asking, upstream)

    anyio.run(play)


def test_connection_closes_at_the_upstream_when_the_asking_box_closes_it() -> None:
    """A caller that leaves must end the work at the upstream."""
    ended = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        await hang(stream)
        ended.set()

    async def play() -> int:
        async with relaying(serve) as (asking, relay, upstream):
            connection = await connect_by_relay(asking, upstream, seconds=1.0)
            await send_request(connection, b"GET", b"/", REQUEST_HEADERS, b"")
            await connection.close()
            with anyio.fail_after(5):
                await ended.wait()
                while relay.relays_open:
                    await anyio.sleep(0.01)
            return relay.relays_open

    assert anyio.run(play) == 0


def stopping(relay: GatewayState, _upstream: ForwardedUpstream) -> None:
    relay.stopping = True


def cut_off(relay: GatewayState, _upstream: ForwardedUpstream) -> None:
    record_cut(relay.reach, 0.0)


def full(relay: GatewayState, _upstream: ForwardedUpstream) -> None:
    relay.relays_open = relay.settings.gateway.relayed_connections


def another_address(_relay: GatewayState, upstream: ForwardedUpstream) -> None:
    upstream.registration = msgspec.structs.replace(upstream.registration, address="127.0.0.1:1")


def another_instance(_relay: GatewayState, upstream: ForwardedUpstream) -> None:
    upstream.registration = msgspec.structs.replace(upstream.registration, instance="i-2")


@pytest.mark.parametrize(
    ("change", "outcome"),
    [
        (stopping, RelayOutcome.STOPPING),
        (cut_off, RelayOutcome.CUT),
        (full, RelayOutcome.FULL),
        (another_address, RelayOutcome.NOT_REGISTERED),
        (another_instance, RelayOutcome.NOT_REGISTERED),
    ],
)
def test_box_relays_nothing_when_it_may_not(
    change: Callable[[GatewayState, ForwardedUpstream], None], outcome: RelayOutcome
) -> None:
    """It is no open proxy, passes nothing on to a third box, and says nothing of the upstream."""

    async def play() -> None:
        async with relaying(hang) as (asking, relay, upstream):
            change(relay, upstream)
            answered, connection = await ask_relay(asking, RELAY_HOST, upstream, seconds=1.0)
            assert (answered, connection) == (outcome, None)
            asking.relay_peers.avoid_until.clear()
            with pytest.raises(NoRelayError):
                await connect_by_relay(asking, upstream, seconds=1.0)

    anyio.run(play)


def test_closed_port_is_told_only_by_a_box_that_reaches_others() -> None:
    """Without proof of its own reach, the relay could be cut off, with connections refused."""

    async def play() -> None:
        async with relaying(hang) as (asking, relay, upstream):
            gone = Registration(instance="i-2", sequence=1, pool="p", address="127.0.0.1:1")
            lost = put_registration(asking.table, gone, anyio.current_time())
            put_registration(relay.table, gone, anyio.current_time())
            assert lost is not None
            with pytest.raises(ConnectError) as raised:
                await connect_by_relay(asking, lost, seconds=1.0)
            assert raised.value.is_refusal
            closed = msgspec.structs.replace(upstream.registration, address="127.0.0.1:2")
            relay.table.upstreams["i-1"].registration = closed
            with pytest.raises(NoRelayError):
                await connect_by_relay(asking, lost, seconds=1.0)

    anyio.run(play)


def test_box_without_the_secret_is_not_served() -> None:
    async def play() -> None:
        async with relaying(hang) as (asking, _relay, upstream):
            assert asking.peers is not None
            asking.peers.identity = msgspec.structs.replace(
                asking.peers.identity, secret="another-secret-0123456789"
            )
            answered, connection = await ask_relay(asking, RELAY_HOST, upstream, seconds=1.0)
            assert (answered, connection) == (None, None)

    anyio.run(play)
