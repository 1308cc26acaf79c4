"""Management calls to engines, from gateways and registries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..http1 import connect, raise_for_backoff, read_head, read_part, send_request
from ..platform.engine_calls import read_report, report_call

if TYPE_CHECKING:
    import h11

    from ..coordination.engine_orders import EngineCall, EngineReport
    from ..http1 import UpstreamConnection

MAX_REPORT_BYTES: Final = 65536
"""Size after which reading a report stops."""


async def send_call(connection: UpstreamConnection, call: EngineCall) -> h11.Response:
    """Send a call and return the head of the answer.

    Args:
        connection: A connection to the engine.
        call: The call.

    Raises:
        AnswerBrokenError: If the head of the answer is truncated or invalid.
        BackoffRequestedError: If the engine requests back-off.
    """
    headers = [(b"Host", connection.address.encode()), *call.headers]
    await send_request(connection, call.method, call.target, headers, call.body)
    head = await read_head(connection)
    raise_for_backoff(head.status_code, head.headers)
    return head


async def fetch_report(address: str, *, source: str, seconds: float) -> EngineReport | None:
    """Fetch the report of an engine over a new connection.

    Args:
        address: `host:port` of the engine.
        source: IP address of this box.
        seconds: Timeout for opening the connection.

    Returns:
        The report, or None if it is invalid.

    Raises:
        ConnectError: If the connection cannot be opened.
        AnswerBrokenError: If the answer is truncated or invalid.
        BackoffRequestedError: If the engine requests back-off.
    """
    connection = await connect(address, source=source, seconds=seconds)
    try:
        await send_call(connection, report_call())
        body = b""
        while (part := await read_part(connection)) is not None and len(body) < MAX_REPORT_BYTES:
            body += part
        return read_report(body)
    finally:
        await connection.close()
