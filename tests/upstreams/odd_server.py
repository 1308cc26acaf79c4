"""A server that sends given bytes and ends its connection, and the calls that are made of it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import httpx
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.upstreams.engine import (
    EngineFrame,
    OrderRequest,
    RouteStage,
    RunRequest,
    run_on_engine,
)
from ledgeladder.upstreams.service import ServiceAnswer, ServiceCall, call_service
from standins.registered_upstream import reset_connection

LOCAL = "127.0.0.1"
ORDER = OrderRequest(term=1, index=1, model="m", version="1", first=0, end=1)
CALL = ServiceCall(method="POST", path="x", content_type="text/plain", body=b"x", key="")


Result = TypeVar("Result")


def call_server(
    data: bytes,
    call: Callable[[httpx.AsyncClient, str], Awaitable[Result]],
    *,
    resets: bool = False,
) -> Result:
    """Call a server that answers with some bytes and closes or resets the connection."""

    async def answer(connection: SocketStream) -> None:
        async with connection:
            await connection.receive()
            if data:
                await connection.send(data)
            if resets:
                reset_connection(connection)

    async def play() -> Result:
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host=LOCAL)
            tasks.start_soon(listener.serve, answer)
            address = f"{LOCAL}:{listener.extra(SocketAttribute.local_port)}"
            async with httpx.AsyncClient(timeout=5.0, trust_env=False, verify=False) as client:
                result = await _catch(client, address)
            tasks.cancel_scope.cancel()
        if isinstance(result, Exception):
            raise result
        return result

    async def _catch(client: httpx.AsyncClient, address: str) -> Result | Exception:
        # A task group would wrap the error.
        try:
            return await call(client, address)
        except Exception as error:
            return error

    return anyio.run(play)


async def serve(client: httpx.AsyncClient, address: str) -> ServiceAnswer:
    """Call a plain service."""
    return await call_service(client, address, CALL)


async def generate(client: httpx.AsyncClient, address: str) -> list[EngineFrame]:
    """Run a request on an engine, and return its frames."""
    route = (RouteStage(upstream="e", address=address, first=0, end=1),)
    request = RunRequest(
        session="s", attempt=1, model="m", prompt="p", tokens=(), max_tokens=1, rank=0, route=route
    )
    return [frame async for frames in run_on_engine(client, request) for frame in frames]
