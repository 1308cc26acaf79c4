"""Requests to plain services whose connections fall silent for good."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.daemons.gateway.notes import RequestNotes
from ledgeladder.daemons.gateway.plain import _Tries, _try_once
from ledgeladder.http1 import connect
from ledgeladder.model.traffic import RequestKind
from ledgeladder.routing.forwarding_table import put_registration

from .builders import engine, gateway_state

LOCAL = "127.0.0.1"


def permit(now: float) -> Any:
    return SimpleNamespace(
        route=SimpleNamespace(kind=RequestKind.REPEATABLE, max_attempts=2, target_latency=0.01),
        pool=SimpleNamespace(name="p", engine=None),
        facts=SimpleNamespace(attempt_id="a1", key="k"),
        account=None,
        priority=5,
        deadline=now + 5.0,
    )


def test_no_idle_connection_is_kept_beside_one_that_fell_silent() -> None:
    async def play() -> int:
        async def silent(stream: SocketStream) -> None:
            async with stream:
                await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host=LOCAL)
            port = listener.extra(SocketAttribute.local_port)
            tasks.start_soon(listener.serve, silent)
            state = gateway_state()
            address = f"{LOCAL}:{port}"
            upstream = engine(address=address)
            other = engine(address=f"{LOCAL}:1")
            for item in (upstream, other):
                put_registration(state.table, item.registration, anyio.current_time())
            state.table.pools["p"] = [upstream, other]
            for _ in range(3):
                connection = await connect(address, source=LOCAL, seconds=1.0)
                connection.keep_until = anyio.current_time() + 60.0
                state.connections.idle.setdefault(address, []).append(connection)
            request: Any = SimpleNamespace(
                method=b"GET", target=b"/", body=b"", headers=[(b"Host", b"x")], fields={}
            )
            final = await _try_once(
                state, permit(anyio.current_time()), request, _Tries(), upstream, RequestNotes()
            )
            assert not final
            tasks.cancel_scope.cancel()
        return len(state.connections.idle.get(address, []))

    assert anyio.run(play) == 0
