"""An upstream that sends given bytes and ends its connection, reached directly or by relay."""

from __future__ import annotations

from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from ledgeladder.daemons.gateway import relay_server, upstream_call
from ledgeladder.daemons.gateway.reaching import connect_upstream
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.http1 import UpstreamConnection, wrap_stream
from ledgeladder.links import connect_tcp
from ledgeladder.links.relayed import RelayedStream
from ledgeladder.routing.forwarding_table import ForwardedUpstream
from standins.registered_upstream import reset_connection

from .failing_upstream import LOCAL, Play, Upstream


class OddUpstream(Upstream):
    """Sends given bytes in answer to each request, and then closes or resets the connection."""

    def __init__(self, data: bytes, *, resets: bool = False, relayed: bool = False) -> None:
        super().__init__("i-1", "answers oddly")
        self.data = data
        self.resets = resets
        self.relayed = relayed
        self.relay_address = ""

    async def start(self, tasks: TaskGroup) -> None:
        """Listen, and relay connections for the gateway that asks."""
        await super().start(tasks)
        if not self.relayed:
            return
        listener = await anyio.create_tcp_listener(local_host=LOCAL)
        self.relay_address = f"{LOCAL}:{listener.extra(SocketAttribute.local_port)}"
        tasks.start_soon(listener.serve, self._relay, tasks)

    async def _relay(self, asking: SocketStream) -> None:
        async with asking, await connect_tcp(self.record.registration.address, None) as upstream:
            await relay_server._copy_both(asking, upstream)

    async def answer(self, connection: SocketStream) -> None:
        """Send the bytes and end the connection."""
        if self.data:
            await connection.send(self.data)
        if self.resets:
            reset_connection(connection)

    async def connect(
        self, state: GatewayState, upstream: ForwardedUpstream, **options: Any
    ) -> UpstreamConnection:
        """Connect the gateway to this upstream by relay, and to others directly."""
        if not self.relayed or upstream is not self.record:
            return await connect_upstream(state, upstream, **options)
        stream = RelayedStream(stream=await connect_tcp(self.relay_address, None))
        return wrap_stream(upstream.registration.address, stream, LOCAL)


def odd_play(
    monkeypatch: pytest.MonkeyPatch, data: bytes, *, resets: bool = False, relayed: bool = False
) -> Play:
    """Return a play whose first upstream sends the data and ends its connection."""
    upstream = OddUpstream(data, resets=resets, relayed=relayed)
    play = Play(monkeypatch, upstream)
    monkeypatch.setattr(upstream_call, "connect_upstream", upstream.connect)
    return play
