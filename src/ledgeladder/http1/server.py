"""HTTP/1.1 server: one task per connection, and cancellation when the caller disconnects."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import anyio
import h11
import msgspec

from ..links import AcceptQueue, accept_connections, listen_tcp
from ..model import Problem, ResultCode
from ..model.traffic import CallerLimits
from .byte_account import Holder

if TYPE_CHECKING:
    from anyio.abc import SocketListener, SocketStream

logger = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]
"""Header fields in the order and spelling of the wire; names may repeat."""

READ_BYTES: Final = 65536
"""Maximum size of a single read."""

PIPELINED_LIMIT_BYTES: Final = 65536
"""Maximum number of bytes of further requests that are buffered while one is being answered."""

WRITE_BYTES: Final = 262144
"""Longest part of an answer that is written at once, so that only a part of it is copied."""

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
_RESULT_CODES: Final = {413: ResultCode.BODY_TOO_LARGE, 431: ResultCode.HEAD_TOO_LARGE}


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
    """True once a planned stop has begun. Answers that start afterwards close their connections."""

    idle_scopes: set[anyio.CancelScope] = msgspec.field(default_factory=set)
    """Cancel scopes of connections that wait for a request."""

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
    the connection catches them, so handlers need not.
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
            await self.stream.send(data + self._encode_part(rest[:WRITE_BYTES]))
            data, rest = b"", rest[WRITE_BYTES:]
            if self.holder is not None:
                self.holder.moved_at = anyio.current_time()
        if rest:
            data += self._encode_part(rest)
        data += self.protocol.send(h11.EndOfMessage()) or b""
        await self.stream.send(data)

    def _encode_part(self, part: memoryview) -> bytes:
        return self.protocol.send(h11.Data(data=part)) or b""  # type: ignore[arg-type]

    async def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and the first part of an answer of unknown length."""
        data = self._encode_head(status, headers)
        data += self.protocol.send(h11.Data(data=first)) or b""
        await self.stream.send(data)

    async def send(self, part: bytes) -> None:
        """Send a further part of the body."""
        await self.stream.send(self.protocol.send(h11.Data(data=part)) or b"")

    async def end(self) -> None:
        """Send the end of the body."""
        await self.stream.send(self.protocol.send(h11.EndOfMessage()) or b"")

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self.site.stopping or self.closes_connection:
            headers = [*headers, (b"Connection", b"close")]
        return self.protocol.send(h11.Response(status_code=status, headers=headers)) or b""


class _Connection(msgspec.Struct, kw_only=True):
    """Connection of a caller, which serves requests one after another."""

    stream: SocketStream
    """The connection."""

    protocol: h11.Connection
    """Protocol state of the connection."""

    site: HttpSite
    """Site that serves the connection."""

    first_byte_at: float = 0.0
    """When the first byte of the current request was read, on the monotonic clock."""

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
        if self.protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send(self.protocol.send(interim) or b"")
        request.body = await self._read_body(request)
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
            self.site.idle_scopes.add(scope)
            try:
                data = await self.stream.receive(READ_BYTES)
            finally:
                self.site.idle_scopes.discard(scope)
            self.protocol.receive_data(data)
            return True
        return False

    async def _read_body(self, request: HttpRequest) -> bytes:
        limit = self.site.limits().body_bytes
        if int(request.fields.get(b"content-length", b"0")) > limit:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        body = bytearray()
        while True:
            event = self.protocol.next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limit:
                    raise h11.RemoteProtocolError("body too large", error_status_hint=413)
                continue
            with anyio.fail_after(self.site.limits().idle_seconds):
                await self._feed()

    async def _feed(self) -> None:
        try:
            data = await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        self.protocol.receive_data(data)

    async def answer(self, request: HttpRequest) -> bool:
        """Answer a request, and return True if the connection can be reused."""
        exchange = Exchange(stream=self.stream, protocol=self.protocol, site=self.site)
        if not self.site.cancels_on_disconnect:
            await self.site.handler(request, exchange)
            return self._is_reusable(exchange)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_disconnect, exchange, tasks.cancel_scope)
            await self.site.handler(request, exchange)
            tasks.cancel_scope.cancel()
        return self._is_reusable(exchange)

    def _is_reusable(self, exchange: Exchange) -> bool:
        """Return True if the connection can be reused, after starting the next protocol cycle."""
        if exchange.disconnected or self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    async def _cancel_on_disconnect(self, exchange: Exchange, scope: anyio.CancelScope) -> None:
        """Read ahead while a request is answered, and cancel it if the caller disconnects.

        A caller that closes only its sending side counts as disconnected. Reading ahead stops after
        `PIPELINED_LIMIT_BYTES`; a disconnect is then detected by the next write.
        """
        try:
            while len(self.protocol.trailing_data[0]) < PIPELINED_LIMIT_BYTES:
                self.protocol.receive_data(await self.stream.receive(READ_BYTES))
        except DISCONNECT_ERRORS:
            exchange.disconnected = True
            scope.cancel()

    async def linger(self) -> None:
        """Read and drop what the caller still sends, so that closing does not discard the answer.

        Closing a connection with unread bytes resets it, and the caller may lose an answer that it
        has not read yet (RFC 9112, section 9.6).
        """
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
    connection = _Connection(
        stream=stream,
        protocol=h11.Connection(h11.SERVER, max_incomplete_event_size=limit),
        site=site,
    )
    site.open_connections += 1
    try:
        await _serve_requests(connection)
    except DISCONNECT_ERRORS:
        # The caller closed or reset its connection; the request handler logs the effect.
        pass
    finally:
        site.open_connections -= 1
        with anyio.CancelScope(shield=True):
            await stream.aclose()


async def _serve_requests(connection: _Connection) -> None:
    site = connection.site
    while True:
        try:
            request = await connection.read_request()
        except h11.RemoteProtocolError as error:
            code = _RESULT_CODES.get(error.error_status_hint, ResultCode.MALFORMED_REQUEST)
            logger.warning("request not readable", extra={"code": code.name, "detail": str(error)})
            await connection.reject(Problem(code=code, detail=str(error)))
            return
        except TimeoutError:
            logger.warning("request too slow", extra={"code": ResultCode.REQUEST_SLOW.name})
            await connection.reject(Problem(code=ResultCode.REQUEST_SLOW))
            return
        if request is None:
            return
        site.in_progress += 1
        try:
            reusable = await connection.answer(request)
        except BaseExceptionGroup as group:
            # The task group wraps the errors of its tasks; a disconnect is not a failure.
            _, others = group.split(DISCONNECT_ERRORS)
            if others is not None:
                raise others from None
            return
        finally:
            site.in_progress -= 1
        if not reusable or site.stopping:
            return
