"""HTTP/1.1 client for upstreams: connections, a connection pool, and streamed answers."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Final

import anyio
import anyio.lowlevel
import h11
import msgspec

from ..links import connect_tcp, socket_of
from ..model.exchange import FINAL_STATUSES

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from .server import Headers

READ_BYTES: Final = 65536
"""Maximum size of a single read."""

MAX_ANSWER_HEAD_BYTES: Final = 65536
"""Longest accepted head of an answer."""

MAX_INTERIM_ANSWERS: Final = 16
"""Informational answers (1xx) that may precede an answer."""

MAX_FRAMING_BYTES: Final = MAX_ANSWER_HEAD_BYTES + 2 * READ_BYTES
"""Bytes besides the body that an answer may have in any case: its head, its trailer fields, and
what was read and not decoded yet."""

MAX_FRAMING_RATIO: Final = 2
"""Bytes besides the body that each byte of the body adds to that bound. Chunks of a few bytes and
long chunk extensions exceed it; a chunk with an event needs less than one."""

MAX_EVENTS_PER_PASS: Final = 64
"""Protocol events after which other tasks run. A single read may hold thousands of chunks."""

DEFAULT_KEEP_ALIVE_SECONDS: Final = 4.0
"""How long an idle connection is kept if the upstream does not announce its keep-alive timeout."""

KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0
"""Subtracted from the announced timeout, so that no request races with the upstream's close."""

MAX_IDLE_CONNECTIONS: Final = 16
"""Maximum number of idle connections per upstream."""


class ConnectError(Exception):
    """The connection could not be opened, so nothing was sent."""

    @property
    def is_refusal(self) -> bool:
        """True if the connection was refused, as after the exit of the process."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class AnswerBrokenError(Exception):
    """The connection failed or the answer is invalid; the request may have arrived."""


class AnswerInvalidError(AnswerBrokenError):
    """The upstream sent bytes that are no answer, or more of them than an answer may have."""


class UpstreamConnection(msgspec.Struct, kw_only=True):
    """Connection to an upstream, used by one request at a time."""

    address: str
    """`host:port` of the upstream."""

    stream: ByteStream
    """The connection."""

    protocol: h11.Connection
    """Protocol state of the connection."""

    keep_until: float = 0.0
    """Time until which the connection may be reused, on the monotonic clock."""

    reused: bool = False
    """True if an earlier request used the connection."""

    relayed_by: str = ""
    """IP address of the box that relays the connection; empty if this box opened it itself."""

    received_bytes: int = 0
    """Bytes received for the current answer."""

    body_bytes: int = 0
    """Bytes of its body that were returned so far."""

    events_in_pass: int = 0
    """Protocol events since other tasks could last run."""

    async def close(self) -> None:
        """Close the connection, which cancels the request on it at the upstream."""
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


async def connect(address: str, *, source: str | None, seconds: float) -> UpstreamConnection:
    """Open a connection.

    Args:
        address: `host:port` of the upstream.
        source: Source IP address; None lets the system choose.
        seconds: Timeout.

    Returns:
        The connection.

    Raises:
        ConnectError: If the connection cannot be opened; nothing was sent.
    """
    try:
        with anyio.fail_after(seconds):
            stream = await connect_tcp(address, source, tuned=True)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"{address}: {type(error).__name__}") from error
    return wrap_stream(address, stream)


def wrap_stream(address: str, stream: ByteStream, relayed_by: str = "") -> UpstreamConnection:
    """Return the connection to an upstream over an open stream.

    Args:
        address: `host:port` of the upstream.
        stream: The stream.
        relayed_by: IP address of the box that relays it, if any.
    """
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)
    return UpstreamConnection(
        address=address, stream=stream, protocol=protocol, relayed_by=relayed_by
    )


async def send_request(
    connection: UpstreamConnection, method: bytes, target: bytes, headers: Headers, body: bytes
) -> None:
    """Send a request in a single write.

    Args:
        connection: An idle connection.
        method: HTTP method.
        target: Path and query.
        headers: Header fields, complete with `Host` and the length of the body.
        body: The whole body.

    Raises:
        AnswerBrokenError: If the connection failed; the request may have arrived.
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
    """Wait for the head of the answer, skipping informational answers.

    Raises:
        AnswerBrokenError: If the connection ends first or the answer is invalid.
    """
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        event = await _next_event(connection)
        if isinstance(event, h11.Response):
            if event.status_code not in FINAL_STATUSES:
                raise AnswerInvalidError(f"status {event.status_code} is no HTTP status")
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise AnswerBrokenError(f"no answer but {type(event).__name__}")
    raise AnswerInvalidError(f"more than {MAX_INTERIM_ANSWERS} informational answers")


async def read_part(connection: UpstreamConnection) -> bytes | None:
    """Wait for the next part of the body.

    Returns:
        The part, or None once the answer is complete.

    Raises:
        AnswerBrokenError: If the answer is truncated or invalid, or if nothing proves that it is
            complete: the connection was closed after a head that frames no body.
    """
    event = await _next_event(connection)
    if isinstance(event, h11.Data):
        connection.body_bytes += len(event.data)
        return bytes(event.data)
    if isinstance(event, h11.EndOfMessage):
        ended_by_close = connection.protocol.trailing_data[1]
        if ended_by_close and not connection.body_bytes:
            # The fields that frame the body may be missing from the head.
            raise AnswerBrokenError("closed after the head, with neither a length nor a body")
        return None
    raise AnswerBrokenError(f"answer ended with {type(event).__name__}")


async def _next_event(connection: UpstreamConnection) -> h11.Event:
    protocol = connection.protocol
    connection.events_in_pass += 1
    if connection.events_in_pass > MAX_EVENTS_PER_PASS:
        connection.events_in_pass = 0
        await anyio.lowlevel.checkpoint()
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise _protocol_error(protocol, error) from error
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        framing = connection.received_bytes - connection.body_bytes
        if framing > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * connection.body_bytes:
            raise AnswerInvalidError(f"{framing} bytes of framing")
        try:
            data = await connection.stream.receive(READ_BYTES)
            connection.received_bytes += len(data)
            connection.events_in_pass = 0
            protocol.receive_data(data)
        except anyio.EndOfStream:
            protocol.receive_data(b"")
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise AnswerBrokenError(f"reading: {type(error).__name__}") from error


def _protocol_error(protocol: h11.Connection, error: h11.RemoteProtocolError) -> AnswerBrokenError:
    """Return the error of an answer that cannot be decoded; one that is cut off is not invalid."""
    has_ended = protocol.trailing_data[1]
    return AnswerBrokenError(str(error)) if has_ended else AnswerInvalidError(str(error))


def _is_readable(connection: UpstreamConnection) -> bool:
    """Return True if an idle connection has unexpected bytes or was closed by the upstream."""
    raw = socket_of(connection.stream)
    if raw is None:
        return True
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLIN)
    return bool(poller.poll(0))


class ConnectionPool(msgspec.Struct, kw_only=True):
    """Idle connections for reuse.

    If a reused connection fails, the sender cannot know whether the request was processed. Callers
    decide whether a request may use the pool.
    """

    idle: dict[str, list[UpstreamConnection]] = msgspec.field(default_factory=dict)
    """Idle connections by address, most recently used last."""

    async def acquire(self, address: str) -> UpstreamConnection | None:
        """Return an idle connection that can be reused, or None.

        Args:
            address: `host:port` of the upstream.
        """
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if anyio.current_time() < connection.keep_until and not _is_readable(connection):
                connection.reused = True
                return connection
            await connection.close()
        if not self.idle.get(address):
            # Another request may have released a connection while a stale one was being closed.
            self.idle.pop(address, None)
        return None

    async def release(
        self, connection: UpstreamConnection, keep_alive_seconds: float | None
    ) -> None:
        """Keep a connection for reuse if its answer was read in full, or close it.

        Args:
            connection: The connection.
            keep_alive_seconds: Keep-alive timeout that the upstream announced, or None for
                `DEFAULT_KEEP_ALIVE_SECONDS`. Relayed connections are not kept.
        """
        protocol = connection.protocol
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        surplus = bool(protocol.trailing_data[0])
        keep = (
            DEFAULT_KEEP_ALIVE_SECONDS
            if keep_alive_seconds is None
            else keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
        )
        idle = self.idle.setdefault(connection.address, [])
        is_kept = done and not surplus and not connection.relayed_by and keep > 0
        if not is_kept or len(idle) >= MAX_IDLE_CONNECTIONS:
            await connection.close()
            return
        protocol.start_next_cycle()
        connection.received_bytes = connection.body_bytes = 0
        connection.keep_until = anyio.current_time() + keep
        idle.append(connection)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to one upstream."""
        for connection in self.idle.pop(address, []):
            await connection.close()

    async def close_all(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            await self.close_idle(address)

    async def close_expired(self) -> None:
        """Close connections that may no longer be reused."""
        now = anyio.current_time()
        expired: list[UpstreamConnection] = []
        # Remove all expired connections before the first await. Otherwise a connection that is
        # acquired in between could be used by two requests.
        for address, idle in list(self.idle.items()):
            expired += [item for item in idle if now >= item.keep_until]
            idle[:] = [item for item in idle if now < item.keep_until]
            if not idle:
                del self.idle[address]
        for connection in expired:
            await connection.close()
