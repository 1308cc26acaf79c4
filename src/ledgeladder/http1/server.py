"""HTTP/1.1 server: one task per connection, and cancellation when the caller disconnects."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import anyio
import anyio.lowlevel
import h11
import msgspec

from ..links import AcceptQueue, accept_connections, listen_tcp
from ..model import Problem, ResultCode
from ..model.traffic import CallerLimits
from .byte_account import ByteAccount, Holder
from .crowding import (
    MAX_EVENTS_PER_PASS,
    NO_ROOM_STATUS,
    UNCOUNTED_BYTES,
    ConnectionCounts,
    IncomingBody,
    RequestBytes,
    limit_receive_buffer,
    make_room,
)

if TYPE_CHECKING:
    from anyio.abc import SocketListener, SocketStream

logger = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]
"""Header fields in the order and spelling of the wire; names may repeat."""

READ_BYTES: Final = 262144
"""Maximum size of a single read. Not below what the event loop reads at once, the rest of which it
would keep where the account does not see it."""

PIPELINED_LIMIT_BYTES: Final = 65536
"""Maximum number of bytes of further requests that are buffered while one is being answered."""

WRITE_BYTES: Final = 262144
"""Longest part of an answer that is written at once, so that only a part of it is copied."""

MAX_LOGGED_BYTES: Final = 256
"""Longest part of a path that is logged."""

LINGER_SECONDS: Final = 0.5
"""How long a rejected request is still read, so that the caller can receive the answer."""

LINGER_LIMIT_BYTES: Final = 8 * 1024 * 1024
"""Maximum number of bytes that are read and dropped in that time."""

DISCONNECT_ERRORS: Final = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""Errors that reading and writing raise once the connection is closed."""

# Result codes by the status hint of errors, from h11 or the checks below. Other hints mean a
# malformed request.
_RESULT_CODES: Final = {
    413: ResultCode.BODY_TOO_LARGE,
    431: ResultCode.HEAD_TOO_LARGE,
    NO_ROOM_STATUS: ResultCode.MEMORY_FULL,
}


class HttpRequest(msgspec.Struct, kw_only=True):
    """A request that was read in full."""

    method: bytes
    """HTTP method."""

    target: bytes
    """Path and query as received."""

    headers: Headers
    """Header fields as received."""

    fields: dict[bytes, bytes]
    """Values by lower-case name; for a repeated field, the last one."""

    body: bytes = b""
    """Body without transfer coding."""

    arrived_at: float = 0.0
    """When its first byte was read, on the monotonic clock. For a pipelined request, when the
    previous one was answered."""


Handler = Callable[[HttpRequest, "Exchange"], Awaitable[None]]
"""Answers a request through its exchange."""

ProblemWriter = Callable[["Exchange", Problem], Awaitable[None]]
"""Answers with a problem."""


class HttpSite(msgspec.Struct, kw_only=True):
    """Handlers, limits and state of a listener."""

    handler: Handler
    """Answers requests."""

    write_problem: ProblemWriter
    """Answers invalid requests."""

    limits: Callable[[], CallerLimits] = CallerLimits
    """Returns the limits that are currently in force."""

    cancels_on_disconnect: bool = True
    """True to cancel a request whose caller disconnects. Sites that answer immediately avoid the
    cost of the extra task, which is a large part of handling a heartbeat."""

    stopping: bool = False
    """True once a planned stop has begun. Answers that start afterwards close their connections,
    unless a further request was already read."""

    account: ByteAccount | None = None
    """Bytes that the process holds for others; None to count nothing."""

    connection_counts: ConnectionCounts = msgspec.field(default_factory=ConnectionCounts)
    """Bound on the connections, and those that were closed because of it."""

    decoding: anyio.Lock = msgspec.field(default_factory=anyio.Lock)
    """Held for a pass of the loop by a connection whose body has many chunks, so that a pass
    decodes those of one connection."""

    idle_scopes: dict[anyio.CancelScope, None] = msgspec.field(default_factory=dict)
    """Cancel scopes of connections that wait for a request, longest first."""

    reading_scopes: dict[anyio.CancelScope, None] = msgspec.field(default_factory=dict)
    """Cancel scopes of connections whose request is incomplete, longest first."""

    listening: anyio.CancelScope = msgspec.field(default_factory=anyio.CancelScope)
    """Cancelled to stop accepting connections; open connections are still served."""

    is_open: bool = False
    """True while connections are accepted."""

    accept_queue: AcceptQueue = msgspec.field(default_factory=AcceptQueue)
    """Accepted connections that wait to be served."""

    open_connections: int = 0
    """Number of open connections."""

    in_progress: int = 0
    """Number of requests that are being answered."""

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for scope in list(self.idle_scopes):
            scope.cancel()


class Exchange(msgspec.Struct, kw_only=True):
    """The answering side of one request.

    Methods that send raise one of `DISCONNECT_ERRORS` if the caller has disconnected. The task of
    the connection catches them, so handlers need not. Only `disconnected` tells such an error from
    one of the same type that the handler raises for another reason, such as a lack of descriptors.
    """

    stream: SocketStream
    """Connection of the caller."""

    protocol: h11.Connection
    """Protocol state of the connection."""

    site: HttpSite
    """Site that serves the connection."""

    started: bool = False
    """True once the head of the answer is sent."""

    disconnected: bool = False
    """True if the caller has disconnected."""

    closes_connection: bool = False
    """True if the connection is closed after this answer."""

    holder: Holder | None = None
    """What the answer has taken of the memory of the process; each write is progress."""

    @property
    def complete(self) -> bool:
        """True once the whole answer is passed to the protocol."""
        return self.protocol.our_state not in (h11.SEND_RESPONSE, h11.SEND_BODY)

    async def answer(self, status: int, headers: Headers, body: bytes | bytearray = b"") -> None:
        """Send a whole answer, in a single write unless it is longer than `WRITE_BYTES`.

        Args:
            status: HTTP status.
            headers: Header fields, without `Connection` and `Content-Length`.
            body: The body.
        """
        length = (b"Content-Length", str(len(body)).encode())
        data = self._encode_head(status, [*headers, length])
        rest = memoryview(body)
        while len(rest) > WRITE_BYTES:
            await self._write(data + self._encode_part(rest[:WRITE_BYTES]))
            data, rest = b"", rest[WRITE_BYTES:]
            if self.holder is not None:
                self.holder.moved_at = anyio.current_time()
        if rest:
            data += self._encode_part(rest)
        data += self.protocol.send(h11.EndOfMessage()) or b""
        await self._write(data)

    def _encode_part(self, part: memoryview) -> bytes:
        return self.protocol.send(h11.Data(data=part)) or b""  # type: ignore[arg-type]

    async def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and the first part of an answer of unknown length."""
        data = self._encode_head(status, headers)
        data += self.protocol.send(h11.Data(data=first)) or b""
        await self._write(data)

    async def send(self, part: bytes) -> None:
        """Send a further part of the body."""
        await self._write(self.protocol.send(h11.Data(data=part)) or b"")

    async def end(self) -> None:
        """Send the end of the body."""
        await self._write(self.protocol.send(h11.EndOfMessage()) or b"")

    async def _write(self, data: bytes) -> None:
        try:
            await self.stream.send(data)
        except DISCONNECT_ERRORS:
            self.disconnected = True
            raise

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        # A request that was sent ahead and read is answered too.
        ends_here = self.site.stopping and not self.protocol.trailing_data[0]
        if ends_here or self.closes_connection:
            headers = [*headers, (b"Connection", b"close")]
        return self.protocol.send(h11.Response(status_code=status, headers=headers)) or b""


def is_disconnect(exchange: Exchange, error: Exception) -> bool:
    """Return True if an error, or each one of a group, only tells that the caller has left.

    Args:
        exchange: Exchange of the request.
        error: What its handler raised.
    """
    if not exchange.disconnected:
        return False
    if isinstance(error, ExceptionGroup):
        return error.split(DISCONNECT_ERRORS)[1] is None
    return isinstance(error, DISCONNECT_ERRORS)


class _Connection(msgspec.Struct, kw_only=True):
    """Connection of a caller, which serves requests one after another."""

    stream: SocketStream
    """The connection."""

    protocol: h11.Connection
    """Protocol state of the connection."""

    site: HttpSite
    """Site that serves the connection."""

    scope: anyio.CancelScope
    """Cancelled to close the connection."""

    held: RequestBytes
    """Bytes in the account."""

    first_byte_at: float = 0.0
    """When the first byte of the current request was read, on the monotonic clock."""

    decodes_more: bool = False
    """True if received chunks of the body are not decoded yet."""

    drops_ahead: bool = False
    """True once requests sent ahead were dropped, so that the connection is closed."""

    async def read_request(self) -> HttpRequest | None:
        """Read the next request; None if the connection was closed or idle for too long.

        Raises:
            h11.RemoteProtocolError: If the request is malformed or too long, with a status hint.
            TimeoutError: If the request is not received in time.
        """
        head = await self._read_head()
        if head is None:
            return None
        request = HttpRequest(
            method=head.method,
            target=head.target,
            headers=list(head.headers.raw_items()),
            fields=dict(head.headers),
            arrived_at=self.first_byte_at,
        )
        announced = self._hold_announced(request)
        if self.protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send(self.protocol.send(interim) or b"")
        request.body = await self._read_body(announced)
        self.site.reading_scopes.pop(self.scope, None)
        return request

    async def _read_head(self) -> h11.Request | None:
        if not self.protocol.trailing_data[0] and not await self._wait_for_first_byte():
            return None
        self.first_byte_at = anyio.current_time()
        with anyio.fail_after(self.site.limits().header_seconds):
            while True:
                event = self.protocol.next_event()
                if isinstance(event, h11.Request):
                    self._check_length(event)
                    return event
                if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    return None
                await self._feed()

    def _check_length(self, head: h11.Request) -> None:
        """Reject a head that exceeds the limit; h11 accepts it if it is received whole."""
        fields = sum(len(name) + len(value) + 4 for name, value in head.headers.raw_items())
        if len(head.target) + fields > self.site.limits().header_bytes:
            raise h11.RemoteProtocolError("head too large", error_status_hint=431)

    async def _wait_for_first_byte(self) -> bool:
        """Wait for data on an idle connection; False after the idle timeout or a planned stop.

        A planned stop closes connections only here, so it never interrupts a request.
        """
        with anyio.move_on_after(self.site.limits().idle_seconds) as scope:
            self.site.idle_scopes[scope] = None
            try:
                data = await self.stream.receive(READ_BYTES)
            finally:
                self.site.idle_scopes.pop(scope, None)
            self.protocol.receive_data(data)
            return True
        return False

    def _hold_announced(self, request: HttpRequest) -> int:
        """Return the announced length of the body, or 0, once there is room for all of it."""
        announced = int(request.fields.get(b"content-length", b"0"))
        if announced > self.site.limits().body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        if announced > UNCOUNTED_BYTES:
            self.held.require(announced)
        return announced

    async def _read_body(self, announced: int) -> bytes:
        body = IncomingBody(announced=announced)
        if not self._decode(body):
            await self._read_rest(body)
        if self.held.holder is not None or body.size > UNCOUNTED_BYTES:
            self.held.require(body.size + len(self.protocol.trailing_data[0]))
            self.held.pin()
        return body.join()

    async def _read_rest(self, body: IncomingBody) -> None:
        """Read the part of a body that was not received with its head."""
        body.began_at = anyio.current_time()
        while True:
            if self.decodes_more:
                async with self.site.decoding:
                    await anyio.lowlevel.checkpoint()
            else:
                body.check_framing()
                idle = self.site.limits().idle_seconds
                with anyio.fail_after(max(0.0, body.seconds_left(anyio.current_time(), idle))):
                    body.received += await self._feed(body)
            if self._decode(body):
                return

    def _decode(self, body: IncomingBody) -> bool:
        """Decode what was received, up to a number of events; True if the body is complete."""
        limit = self.site.limits().body_bytes
        for _ in range(MAX_EVENTS_PER_PASS):
            event = self.protocol.next_event()
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                self.decodes_more = False
                return False
            body.add(event.data)
            if body.size > limit:
                raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        self.decodes_more = True
        return False

    async def _feed(self, body: IncomingBody | None = None) -> int:
        """Receive once, and return the number of bytes.

        Args:
            body: The body that they belong to; None while the head is read.

        Raises:
            h11.RemoteProtocolError: If there is no room for them.
        """
        self.site.reading_scopes.setdefault(self.scope)
        try:
            data = await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        waiting = len(data) + len(self.protocol.trailing_data[0])
        self.held.require(max(body.announced, body.size + waiting) if body else waiting)
        self.protocol.receive_data(data)
        return len(data)

    async def answer(self, request: HttpRequest) -> bool:
        """Answer a request, and return True if the connection can be reused.

        An unexpected error of the handler is answered, unless an answer has begun.
        """
        exchange = Exchange(stream=self.stream, protocol=self.protocol, site=self.site)
        try:
            await self._handle(request, exchange)
        except Exception as error:
            if is_disconnect(exchange, error):
                return False
            path = request.target.partition(b"?")[0][:MAX_LOGGED_BYTES]
            logger.exception("request failed", extra={"path": path.decode("latin-1")})
            if exchange.disconnected or exchange.started:
                return False
            await self.site.write_problem(exchange, Problem(code=ResultCode.UNEXPECTED_ERROR))
        return self._is_reusable(exchange)

    async def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if not self.site.cancels_on_disconnect:
            await self.site.handler(request, exchange)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_disconnect, exchange, tasks.cancel_scope)
            await self.site.handler(request, exchange)
            tasks.cancel_scope.cancel()

    def _is_reusable(self, exchange: Exchange) -> bool:
        """Return True if the connection can be reused, after starting the next protocol cycle."""
        if exchange.disconnected or self.protocol.our_state is not h11.DONE:
            return False
        if self.drops_ahead:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    async def _cancel_on_disconnect(self, exchange: Exchange, scope: anyio.CancelScope) -> None:
        """Read ahead while a request is answered, and cancel it if the caller disconnects.

        A caller that closes only its sending side counts as disconnected. Reading ahead stops after
        `PIPELINED_LIMIT_BYTES`; a disconnect is then detected by the next write. What was sent
        ahead is dropped if the process has no memory for it, and the connection is closed after
        the answer.
        """
        try:
            while len(self.protocol.trailing_data[0]) < PIPELINED_LIMIT_BYTES:
                data = await self.stream.receive(READ_BYTES)
                if not self.held.hold_more(len(data)):
                    self.drops_ahead = exchange.closes_connection = True
                    return
                self.held.pin()
                self.protocol.receive_data(data)
        except DISCONNECT_ERRORS:
            exchange.disconnected = True
            scope.cancel()

    async def linger(self) -> None:
        """Read and drop what the caller still sends, so that closing does not discard the answer.

        Closing a connection with unread bytes resets it, and the caller may lose an answer that it
        has not read yet (RFC 9112, section 9.6).
        """
        # The old state may keep much of what was received.
        self.protocol = h11.Connection(h11.SERVER)
        self.held.release()
        dropped = 0
        with anyio.move_on_after(LINGER_SECONDS):
            await self.stream.send_eof()
            while dropped < LINGER_LIMIT_BYTES:
                dropped += len(await self.stream.receive(READ_BYTES))

    async def reject(self, problem: Problem) -> None:
        """Answer an invalid request if no answer was started, then linger."""
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(
            stream=self.stream, protocol=self.protocol, site=self.site, closes_connection=True
        )
        await self.site.write_problem(exchange, problem)
        # What was received is not kept while the rest is dropped.
        del exchange
        await self.linger()


async def serve_http1(address: str, site: HttpSite) -> None:
    """Listen and serve until cancelled.

    Cancelling `site.listening` closes only the listener; open connections are still served.

    Args:
        address: `host:port` to listen on.
        site: The site.

    Raises:
        OSError: If listening on the address fails.
    """
    await serve_listener(await listen_tcp(address), site)


async def serve_listener(listener: SocketListener, site: HttpSite) -> None:
    """Serve the connections of a listener until cancelled, and close it."""
    async with listener, anyio.create_task_group() as connections:
        with anyio.CancelScope() as site.listening:
            site.is_open = True
            try:
                await accept_connections(
                    listener,
                    site.accept_queue,
                    lambda stream: _serve_connection(stream, site),
                    connections,
                    tuned=True,
                )
            finally:
                site.is_open = False
        await listener.aclose()
        await anyio.sleep_forever()


async def _serve_connection(stream: SocketStream, site: HttpSite) -> None:
    limit = site.limits().header_bytes
    scope = anyio.CancelScope()
    connection = _Connection(
        stream=stream,
        protocol=h11.Connection(h11.SERVER, max_incomplete_event_size=limit),
        site=site,
        scope=scope,
        held=RequestBytes(account=site.account, close=scope.cancel),
    )
    site.open_connections += 1
    try:
        if make_room(
            site.connection_counts, site.open_connections, site.idle_scopes, site.reading_scopes
        ):
            if site.account is not None:
                limit_receive_buffer(stream, site.account.limit_bytes, site.open_connections)
            with scope:
                await _serve_requests(connection)
    except DISCONNECT_ERRORS:
        # The caller closed or reset its connection; the request handler logs the effect.
        pass
    finally:
        site.open_connections -= 1
        site.reading_scopes.pop(scope, None)
        connection.held.release()
        with anyio.CancelScope(shield=True):
            await stream.aclose()


async def _serve_requests(connection: _Connection) -> None:
    site = connection.site
    while True:
        problem: Problem | None = None
        request: HttpRequest | None = None
        try:
            request = await connection.read_request()
        except h11.RemoteProtocolError as error:
            code = _RESULT_CODES.get(error.error_status_hint, ResultCode.MALFORMED_REQUEST)
            logger.warning("request not readable", extra={"code": code.name, "detail": str(error)})
            problem = Problem(code=code, detail=str(error))
        except TimeoutError:
            logger.warning("request too slow", extra={"code": ResultCode.REQUEST_SLOW.name})
            problem = Problem(code=ResultCode.REQUEST_SLOW)
        if problem is not None:
            # Not in the handlers above: an error keeps the frames that hold the body.
            await connection.reject(problem)
            return
        if request is None:
            return
        site.in_progress += 1
        try:
            reusable = await connection.answer(request)
        finally:
            site.in_progress -= 1
            connection.held.keep(len(connection.protocol.trailing_data[0]))
        if connection.drops_ahead:
            await connection.linger()
        if not reusable or (site.stopping and not connection.protocol.trailing_data[0]):
            return
