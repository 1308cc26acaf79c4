"""Sending calls to engines beside requests, from gateways and registries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..http1 import read_head, send_request

if TYPE_CHECKING:
    import h11

    from ..coordination.engine_orders import EngineCall
    from ..http1 import UpstreamConnection


async def send_call(connection: UpstreamConnection, call: EngineCall) -> h11.Response:
    """Send a call and return the head of the answer.

    Args:
        connection: A connection to the engine.
        call: The call.

    Raises:
        AnswerBrokenError: If no whole head comes.
    """
    headers = [(b"Host", connection.address.encode()), *call.headers]
    await send_request(connection, call.method, call.target, headers, call.body)
    return await read_head(connection)
