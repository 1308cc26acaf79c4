"""Calling upstreams over HTTP/1.1: connections, their pool, and answers read event by event."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Final

import anyio
import h11
import msgspec
from anyio.abc import SocketAttribute

from ..links import connect_tcp
from .sockets import tune_socket

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from .server import Headers

READ_BYTES: Final = 65536
"""Most bytes that one read takes."""

ANSWER_HEAD_LIMIT_BYTES: Final = 65536
"""Longest head of an answer that is accepted."""

KEEP_SECONDS: Final = 4.0
"""How long a connection is kept for reuse if the upstream does not say for how long it keeps it."""

KEEP_MARGIN_SECONDS: Final = 1.0
"""Taken off what the upstream says: a request must not cross the upstream's close."""

IDLE_LIMIT: Final = 16
"""Connections to one upstream that are kept for reuse."""


class ConnectError(Exception):
    """No connection came up, so nothing was sent."""

    @property
    def is_refusal(self) -> bool:
        """True if the machine answered that nobody listens there: the process has ended."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class AnswerBrokenError(Exception):
    """The connection ended or carried no valid answer after the request may have arrived."""


class UpstreamConnection(msgspec.Struct, kw_only=True):
    """One connection to an upstream; it serves one request at a time."""

    address: str
    """`host:port` of the upstream."""

    stream: SocketStream
    """The connection."""

    protocol: h11.Connection
    """State of the protocol on it."""

    keep_until: float = 0.0
    """Until when it may be reused, on the monotonic clock."""

    reused: bool = False
    """True if it has served a request before the current one."""

    async def close(self) -> None:
        """Close it; an upstream stops working on the request that it carries."""
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


async def connect(address: str, *, source: str | None, seconds: float) -> UpstreamConnection:
    """Open a connection.

    Args:
        address: `host:port` of the upstream.
        source: IP number that the connection comes from, or None for the system's choice.
        seconds: Longest time to wait.

    Returns:
        The connection.

    Raises:
        ConnectError: If it does not come up; nothing was sent.
    """
    try:
        with anyio.fail_after(seconds):
            stream = await connect_tcp(address, source)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"{address}: {type(error).__name__}") from error
    try:
        tune_socket(stream)
    except OSError as error:
        await stream.aclose()
        raise ConnectError(f"{address}: {type(error).__name__}") from error
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_HEAD_LIMIT_BYTES)
    return UpstreamConnection(address=address, stream=stream, protocol=protocol)


async def send_request(
    connection: UpstreamConnection, method: bytes, target: bytes, headers: Headers, body: bytes
) -> None:
    """Send a request in one write.

    Args:
        connection: A connection that carries no other request.
        method: Method.
        target: Path and query.
        headers: Header fields with the length of the body; nothing is added here.
        body: The body, in full.

    Raises:
        AnswerBrokenError: If the connection ended; the request may have arrived.
    """
    protocol = connection.protocol
    data = protocol.send(h11.Request(method=method, target=target, headers=headers)) or b""
    if body:
        data += protocol.send(h11.Data(data=body)) or b""
    data += protocol.send(h11.EndOfMessage()) or b""
    try:
        await connection.stream.send(data)
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise AnswerBrokenError(f"sending: {type(error).__name__}") from error


async def read_head(connection: UpstreamConnection) -> h11.Response:
    """Wait for the head of the answer; interim answers are skipped.

    Raises:
        AnswerBrokenError: If none comes.
    """
    while True:
        event = await _next_event(connection)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise AnswerBrokenError(f"no answer but {type(event).__name__}")


async def read_part(connection: UpstreamConnection) -> bytes | None:
    """Wait for the next part of the body.

    Returns:
        The part, or None once the answer is complete.

    Raises:
        AnswerBrokenError: If the answer ends early.
    """
    event = await _next_event(connection)
    if isinstance(event, h11.Data):
        return bytes(event.data)
    if isinstance(event, h11.EndOfMessage):
        return None
    raise AnswerBrokenError(f"answer ended with {type(event).__name__}")


async def _next_event(connection: UpstreamConnection) -> h11.Event:
    protocol = connection.protocol
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise AnswerBrokenError(str(error)) from error
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        try:
            protocol.receive_data(await connection.stream.receive(READ_BYTES))
        except anyio.EndOfStream:
            protocol.receive_data(b"")
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise AnswerBrokenError(f"reading: {type(error).__name__}") from error


def _is_readable(connection: UpstreamConnection) -> bool:
    """Tell whether bytes or an end have arrived on a connection that should be silent."""
    raw = connection.stream.extra(SocketAttribute.raw_socket)
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLIN)
    return bool(poller.poll(0))


class ConnectionPool(msgspec.Struct, kw_only=True):
    """Connections that wait for another request.

    The loss of such a connection cannot be told from the loss of the answer; who sends a request
    chooses whether that matters.
    """

    idle: dict[str, list[UpstreamConnection]] = msgspec.field(default_factory=dict)
    """Idle connections by address, the most recently used one last."""

    async def take(self, address: str) -> UpstreamConnection | None:
        """Take a connection that can carry another request, if there is one.

        Args:
            address: `host:port` of the upstream.
        """
        waiting = self.idle.get(address, [])
        while waiting:
            connection = waiting.pop()
            if anyio.current_time() < connection.keep_until and not _is_readable(connection):
                connection.reused = True
                return connection
            await connection.close()
        if not self.idle.get(address):
            # Another request may have given one back while a stale one was being closed.
            self.idle.pop(address, None)
        return None

    async def give_back(self, connection: UpstreamConnection, keep_seconds: float | None) -> None:
        """Keep a connection whose answer was read in full, or close it.

        Args:
            connection: The connection.
            keep_seconds: How long the upstream says it keeps it, or None if it does not say, for
                which `KEEP_SECONDS` is taken.
        """
        protocol = connection.protocol
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        surplus = bool(protocol.trailing_data[0])
        keep = KEEP_SECONDS if keep_seconds is None else keep_seconds - KEEP_MARGIN_SECONDS
        waiting = self.idle.setdefault(connection.address, [])
        if not done or surplus or keep <= 0 or len(waiting) >= IDLE_LIMIT:
            await connection.close()
            return
        protocol.start_next_cycle()
        connection.keep_until = anyio.current_time() + keep
        waiting.append(connection)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to one upstream."""
        for connection in self.idle.pop(address, []):
            await connection.close()

    async def close_expired(self) -> None:
        """Close connections that have waited too long."""
        now = anyio.current_time()
        expired: list[UpstreamConnection] = []
        # Sorted out before anything is awaited: a connection that is taken meanwhile must be gone
        # from here, or two requests would share it.
        for address, waiting in list(self.idle.items()):
            expired += [item for item in waiting if now >= item.keep_until]
            waiting[:] = [item for item in waiting if now < item.keep_until]
            if not waiting:
                del self.idle[address]
        for connection in expired:
            await connection.close()
