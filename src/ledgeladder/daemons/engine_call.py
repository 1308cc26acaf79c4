"""Sending calls to engines beside requests, from gateways and registries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..http1 import connect, raise_for_backoff, read_head, read_part, send_request
from ..platform.engine_calls import read_report, report_call

if TYPE_CHECKING:
    import h11

    from ..coordination.engine_orders import EngineCall, EngineReport
    from ..http1 import UpstreamConnection

REPORT_LIMIT_BYTES: Final = 65536
"""Longest report that is read."""


async def send_call(connection: UpstreamConnection, call: EngineCall) -> h11.Response:
    """Send a call and return the head of the answer.

    Args:
        connection: A connection to the engine.
        call: The call.

    Raises:
        AnswerBrokenError: If no whole head comes.
        BackoffRequestedError: If the engine asks for rest.
    """
    headers = [(b"Host", connection.address.encode()), *call.headers]
    await send_request(connection, call.method, call.target, headers, call.body)
    head = await read_head(connection)
    raise_for_backoff(head.status_code, head.headers)
    return head


async def fetch_report(address: str, *, source: str, seconds: float) -> EngineReport | None:
    """Ask an engine for its report over a connection of its own.

    Args:
        address: `host:port` of the engine.
        source: IP number of the own box.
        seconds: How long the connection may take to come up.

    Returns:
        The report, or None if it cannot be read.

    Raises:
        ConnectError: If the engine does not accept a connection.
        AnswerBrokenError: If the answer ends early.
        BackoffRequestedError: If the engine asks for rest.
    """
    connection = await connect(address, source=source, seconds=seconds)
    try:
        await send_call(connection, report_call())
        body = b""
        while (part := await read_part(connection)) is not None and len(body) < REPORT_LIMIT_BYTES:
            body += part
        return read_report(body)
    finally:
        await connection.close()
