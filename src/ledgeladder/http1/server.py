"""Serving HTTP/1.1: one task a connection, and a watch for callers who leave."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import anyio
import h11
import msgspec

from ..links import listen_tcp
from ..model import Problem, ResultCode
from ..model.traffic import CallerLimits
from .sockets import tune_socket

if TYPE_CHECKING:
    from anyio.abc import SocketStream

logger = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]
"""Header fields in order, as they stand on the wire; a name may come more than once."""

READ_BYTES: Final = 65536
"""Most bytes that one read takes."""

PIPELINED_LIMIT_BYTES: Final = 65536
"""Bytes of further requests that are read while one is being answered."""

LINGER_SECONDS: Final = 0.5
"""How long a refused request is read on; a caller that has its answer stops sending within it."""

LINGER_LIMIT_BYTES: Final = 8 * 1024 * 1024
"""Most bytes that are dropped meanwhile."""

STREAM_ENDED: Final = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""What reading or writing raises once a connection has ended."""

# What h11 and the checks below hint at, for requests that cannot be read; others are malformed.
_CODES: Final = {413: ResultCode.BODY_TOO_LARGE, 431: ResultCode.HEAD_TOO_LARGE}


class HttpRequest(msgspec.Struct, kw_only=True):
    """A request that was read in full."""

    method: bytes
    """Method."""

    target: bytes
    """Path and query as they were sent."""

    headers: Headers
    """Header fields as they were sent."""

    fields: dict[bytes, bytes]
    """Values by lower-case name; the last one of a repeated field."""

    body: bytes = b""
    """Body without its framing."""

    arrived_at: float = 0.0
    """When its first byte was read, on the monotonic clock. For a request that came while another
    was being answered, when its turn came."""


Handler = Callable[[HttpRequest, "Exchange"], Awaitable[None]]
"""Answers one request through its exchange."""

ProblemWriter = Callable[["Exchange", Problem], Awaitable[None]]
"""Answers with a problem."""


class HttpSite(msgspec.Struct, kw_only=True):
    """What a listener serves."""

    handler: Handler
    """Answers requests."""

    write_problem: ProblemWriter
    """Answers requests that cannot be read."""

    limits: Callable[[], CallerLimits] = CallerLimits
    """Bounds in force right now."""

    watches_callers: bool = True
    """True if an answer is given up once its caller leaves. Sites whose answers are made at once do
    without: the task that watches is two fifths of what a heartbeat takes."""

    stopping: bool = False
    """True once a planned stop has begun: each answer that starts from then on ends its
    connection."""

    idle_scopes: set[anyio.CancelScope] = msgspec.field(default_factory=set)
    """Connections on which nothing has arrived since their last answer."""

    listening: anyio.CancelScope = msgspec.field(default_factory=anyio.CancelScope)
    """Cancelled to refuse new connections; those that are up go on."""

    open_connections: int = 0
    """Connections that are up."""

    in_progress: int = 0
    """Requests that are being answered."""

    def close_idle(self) -> None:
        """End the connections on which no request is being read or answered."""
        for scope in list(self.idle_scopes):
            scope.cancel()


class Exchange(msgspec.Struct, kw_only=True):
    """The answering side of one request.

    Every method that sends raises one of `STREAM_ENDED` if the caller's connection is gone. The
    handler need not catch it: its connection's task does.
    """

    stream: SocketStream
    """The caller's connection."""

    protocol: h11.Connection
    """State of the protocol on it."""

    site: HttpSite
    """Site that serves it."""

    started: bool = False
    """True once a status was sent."""

    gone: bool = False
    """True if the caller has left."""

    last: bool = False
    """True if the connection ends with this answer."""

    @property
    def complete(self) -> bool:
        """True once the whole answer was handed to the connection."""
        return self.protocol.our_state not in (h11.SEND_RESPONSE, h11.SEND_BODY)

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a whole answer in one write.

        Args:
            status: HTTP status.
            headers: Header fields without those that belong to the connection.
            body: The body.
        """
        length = (b"Content-Length", str(len(body)).encode())
        data = self._head(status, [*headers, length])
        if body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        await self.stream.send(data)

    async def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and the first part of an answer of unknown length."""
        data = self._head(status, headers)
        data += self.protocol.send(h11.Data(data=first)) or b""
        await self.stream.send(data)

    async def send(self, part: bytes) -> None:
        """Send a further part of the body."""
        await self.stream.send(self.protocol.send(h11.Data(data=part)) or b"")

    async def end(self) -> None:
        """Mark the answer as complete."""
        await self.stream.send(self.protocol.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self.site.stopping or self.last:
            headers = [*headers, (b"Connection", b"close")]
        return self.protocol.send(h11.Response(status_code=status, headers=headers)) or b""


class _Connection(msgspec.Struct, kw_only=True):
    """A caller's connection, which carries one request after the other."""

    stream: SocketStream
    """The connection."""

    protocol: h11.Connection
    """State of the protocol on it."""

    site: HttpSite
    """Site that serves it."""

    first_byte_at: float = 0.0
    """When the request that is being read began, on the monotonic clock."""

    async def read_request(self) -> HttpRequest | None:
        """Read the next request; None if the connection ended or rested too long before one began.

        Raises:
            h11.RemoteProtocolError: If it is malformed or too long; its hint is the status.
            TimeoutError: If it does not arrive in time.
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
        """Refuse a head that is too long although it arrived whole, which h11 lets pass."""
        fields = sum(len(name) + len(value) + 4 for name, value in head.headers.raw_items())
        if len(head.target) + fields > self.site.limits().header_bytes:
            raise h11.RemoteProtocolError("head too large", error_status_hint=431)

    async def _wait_for_first_byte(self) -> bool:
        """Wait on an idle connection; False if it rested too long or a planned stop ended it.

        A planned stop ends connections here and nowhere else, so that it never cuts a request.
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
        """Answer a request; returns True if the connection can serve another."""
        exchange = Exchange(stream=self.stream, protocol=self.protocol, site=self.site)
        if not self.site.watches_callers:
            await self.site.handler(request, exchange)
            return self._is_reusable(exchange)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, exchange, tasks.cancel_scope)
            await self.site.handler(request, exchange)
            tasks.cancel_scope.cancel()
        return self._is_reusable(exchange)

    def _is_reusable(self, exchange: Exchange) -> bool:
        """Begin the next cycle of the protocol if the connection can serve another request."""
        if exchange.gone or self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    async def _watch_caller(self, exchange: Exchange, scope: anyio.CancelScope) -> None:
        """Read ahead while a request is answered, and cancel the answer if the caller leaves.

        A caller that closes only its sending side counts as gone. One that sends more than
        `PIPELINED_LIMIT_BYTES` ahead is no longer watched: its leaving shows with the next write.
        """
        try:
            while len(self.protocol.trailing_data[0]) < PIPELINED_LIMIT_BYTES:
                self.protocol.receive_data(await self.stream.receive(READ_BYTES))
        except STREAM_ENDED:
            exchange.gone = True
            scope.cancel()

    async def linger(self) -> None:
        """Read and drop what the caller still sends, so that the close does not reset its answer.

        Closing a connection with unread bytes makes the kernel reset it, and the caller may lose
        an answer that it has not read (RFC 9112, section 9.6).
        """
        dropped = 0
        with anyio.move_on_after(LINGER_SECONDS):
            await self.stream.send_eof()
            while dropped < LINGER_LIMIT_BYTES:
                dropped += len(await self.stream.receive(READ_BYTES))

    async def refuse(self, problem: Problem) -> None:
        """Answer a request that could not be read, if that is still possible."""
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(stream=self.stream, protocol=self.protocol, site=self.site, last=True)
        await self.site.write_problem(exchange, problem)
        await self.linger()


async def serve_http1(address: str, site: HttpSite) -> None:
    """Listen and serve until cancelled.

    Cancelling `site.listening` closes the listener only; connections that are up are served on.

    Args:
        address: `host:port` to listen on.
        site: What to serve.

    Raises:
        OSError: If the address cannot be listened on.
    """
    listener = await listen_tcp(address)
    async with listener, anyio.create_task_group() as connections:
        with anyio.CancelScope() as site.listening:
            await listener.serve(lambda stream: _serve_connection(stream, site), connections)
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
        tune_socket(stream)
        await _serve_requests(connection)
    except STREAM_ENDED:
        # The caller closed or reset its connection; the request's own line says what was lost.
        pass
    except Exception:
        logger.exception("connection failed")
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
            code = _CODES.get(error.error_status_hint, ResultCode.MALFORMED_REQUEST)
            logger.warning("request not readable", extra={"code": code.name, "detail": str(error)})
            await connection.refuse(Problem(code=code, detail=str(error)))
            return
        except TimeoutError:
            logger.warning("request too slow", extra={"code": ResultCode.REQUEST_SLOW.name})
            await connection.refuse(Problem(code=ResultCode.REQUEST_SLOW))
            return
        if request is None:
            return
        site.in_progress += 1
        try:
            reusable = await connection.answer(request)
        except BaseExceptionGroup as group:
            # A task group wraps what its tasks raise; a lost connection is no failure.
            _, rest = group.split(STREAM_ENDED)
            if rest is not None:
                raise rest from None
            return
        finally:
            site.in_progress -= 1
        if not reusable or site.stopping:
            return
