"""Forwards one request to an upstream that fails in a given way, with a working one beside it."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from ledgeladder.daemons.gateway import plain, stream, stream_hedging, upstream_call
from ledgeladder.daemons.gateway.checks import Permit
from ledgeladder.daemons.gateway.notes import RequestTrace
from ledgeladder.daemons.gateway.plain import forward_plain
from ledgeladder.daemons.gateway.reaching import connect_upstream
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.daemons.gateway.stream import forward_stream
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.http1 import ConnectError, HttpRequest, UpstreamConnection
from ledgeladder.model import Problem, ProblemError
from ledgeladder.model.exchange import CallerFacts, PathPart
from ledgeladder.model.traffic import PoolWeight, RequestKind, RouteRule, UpstreamPool
from ledgeladder.routing.forwarding_table import ForwardedUpstream, record_exit, record_loss
from ledgeladder.routing.paths import ChosenPath
from ledgeladder.routing.repeat_window import RetryWindow

from ...routing.sample_site import PROFILE
from .builders import engine, gateway_state

LOCAL = "127.0.0.1"
POOL = "p"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Seal: s\r\n"
WHOLE = HEAD + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
REFUSAL = b"HTTP/1.1 503 Full\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
WRONG_UPSTREAM = b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"
DEADLINE_SECONDS = 1.0
TARGET_SECONDS = 0.2

ANSWERS = {
    "refuses": REFUSAL,
    "is another instance": WRONG_UPSTREAM,
    "closes": b"",
    "exits": b"",
    "exits after the head": HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "exits amid events": HEAD + b"Content-Length: 900\r\n\r\n" + EVENTS,
    "answers another request": WHOLE.replace(b"a1", b"a2"),
    "answers unsigned": WHOLE.replace(b"Replica-Seal: s\r\n", b""),
    "is silent": b"",
    "is silent after the head": HEAD + b"Content-Length: 900\r\n\r\n",
    "is found dead": b"",
    "is found exited": b"",
    "answers": WHOLE,
}
"""What an upstream sends, by its behavior."""

RAN_NOTHING = frozenset(
    {"is closed", "refuses", "is another instance", "is found dead while connecting"}
)
"""Behaviors after which the request surely did not run."""


class Upstream:
    """Serves requests on loopback with one behavior."""

    def __init__(self, name: str, behavior: str) -> None:
        self.name = name
        self.behavior = behavior
        self.received = 0
        self.listener: SocketListener | None = None
        self.record = engine(name)

    async def start(self, tasks: TaskGroup) -> None:
        multi = await anyio.create_tcp_listener(local_host=LOCAL)
        self.listener = multi.listeners[0]
        port = multi.extra(SocketAttribute.local_port)
        self.record = engine(self.name, f"{LOCAL}:{port}")
        if self.behavior == "is closed":
            await multi.aclose()
            return
        tasks.start_soon(self._listen, self.listener, tasks)

    async def _listen(self, listener: SocketListener, tasks: TaskGroup) -> None:
        with contextlib.suppress(anyio.ClosedResourceError):
            await listener.serve(self._serve, task_group=tasks)

    async def _serve(self, connection: SocketStream) -> None:
        async with connection:
            data = b""
            while b"\r\n\r\n" not in data:
                try:
                    data += await connection.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
            if not data.startswith(b"POST"):
                # A query of its slowdown.
                return
            self.received += 1
            await self.answer(connection)

    async def answer(self, connection: SocketStream) -> None:
        """Answer a request, or fail."""
        if self.behavior.startswith("exits"):
            assert self.listener is not None
            await self.listener.aclose()
        if ANSWERS[self.behavior]:
            await connection.send(ANSWERS[self.behavior])
        if self.behavior == "is found exited":
            record_exit(self.record, anyio.current_time())
        if self.behavior.startswith("is found"):
            record_loss(self.record, anyio.current_time())
        if "silent" in self.behavior or self.behavior.startswith("is found"):
            await anyio.sleep_forever()


class Caller:
    """Records what reaches the caller."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.complete = False
        self.problem: Problem | None = None

    async def begin(self, status: int, _headers: object, data: bytes) -> None:
        self.status, self.body = status, data

    async def send(self, data: bytes) -> None:
        self.body += data

    async def end(self) -> None:
        self.complete = True

    async def answer(self, status: int, _headers: object, body: bytes) -> None:
        self.status, self.body, self.complete = status, body, True


class Play:
    """Forwards one request to a failing upstream with a working one beside it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, failing: Upstream | str) -> None:
        first = Upstream("i-1", failing) if isinstance(failing, str) else failing
        self.upstreams = [first, Upstream("i-2", "answers")]
        self.state = gateway_state()
        self.state.retry_budgets[POOL] = RetryWindow(ratio=0.0, reserve=200.0, seconds=10.0)
        self.caller = Caller()
        self.trace = RequestTrace()
        self.crosses_domains = False
        monkeypatch.setattr(stream, "choose_attempt_path", self._choose_path)
        monkeypatch.setattr(plain, "choose_service", self._choose_service)
        monkeypatch.setattr(upstream_call, "connect_upstream", self._connect)

    async def _connect(
        self, state: GatewayState, upstream: ForwardedUpstream, **options: Any
    ) -> UpstreamConnection:
        first = self.upstreams[0]
        if first.behavior == "is found dead while connecting" and upstream is first.record:
            record_loss(upstream, anyio.current_time())
            await anyio.sleep(options["seconds"])
            raise ConnectError(first.name)
        return await connect_upstream(state, upstream, **options)

    def _choose_path(
        self, _state: object, _permit: object, _profile: object, session: StreamSession, _: int
    ) -> ChosenPath | None:
        chosen = self._first_untried(session.excluded | session.dead)
        if chosen is None:
            return None
        engines = [chosen]
        if self.crosses_domains:
            known = chosen.registration
            later = engine(f"{known.instance}-later", known.address)
            later.registration = msgspec.structs.replace(later.registration, failure_domain="b")
            engines.append(later)
        parts = tuple(
            PathPart(
                instance=item.registration.instance,
                address=item.registration.address,
                first=0,
                end=PROFILE.layers,
            )
            for item in engines
        )
        return ChosenPath(parts=parts, engines=tuple(engines), cost=1.0)

    def _choose_hedge_path(
        self, state: object, permit: object, session: StreamSession
    ) -> ChosenPath | None:
        in_use = {item.path.head.registration.instance for item in session.race.running}
        session.excluded |= in_use
        path = self._choose_path(state, permit, None, session, 0)
        session.excluded -= in_use
        return path

    def _choose_service(
        self, *_: object, tried: set[str], **_options: object
    ) -> ForwardedUpstream | None:
        return self._first_untried(tried)

    def _first_untried(self, tried: set[str]) -> ForwardedUpstream | None:
        records = (item.record for item in self.upstreams)
        return next((item for item in records if item.registration.instance not in tried), None)

    def allow_hedges(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Let attempts that are overdue be hedged by the other upstream."""
        monkeypatch.setattr(stream_hedging, "choose_hedge_path", self._choose_hedge_path)

    def change_route(self, kind: RequestKind) -> None:
        """Put a document into force whose route may be repeated no more."""
        route = permit(0.0, kind, resumable=False).route
        self.state.index.routes = {"h": {"/": route}}

    def run(
        self,
        kind: RequestKind,
        *,
        resumable: bool = False,
        seconds: float = DEADLINE_SECONDS,
        target: float = TARGET_SECONDS,
        check: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        async def forward() -> None:
            async with anyio.create_task_group() as tasks:
                for item in self.upstreams:
                    await item.start(tasks)
                now = anyio.current_time()
                call = forward_stream if kind is RequestKind.STREAM else forward_plain
                try:
                    await call(
                        self.state,
                        permit(now, kind, resumable=resumable, seconds=seconds, target=target),
                        request(now),
                        self.caller,  # type: ignore[arg-type]
                        self.trace,
                    )
                except ProblemError as error:
                    self.caller.problem = error.problem
                if check is not None:
                    await check()
                tasks.cancel_scope.cancel()

        anyio.run(forward)

    @property
    def received(self) -> list[int]:
        """Number of requests that each upstream received."""
        return [item.received for item in self.upstreams]


def permit(
    now: float,
    kind: RequestKind,
    *,
    resumable: bool,
    seconds: float = DEADLINE_SECONDS,
    target: float = TARGET_SECONDS,
) -> Permit:
    route = RouteRule(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        resumable=resumable,
        timeout=seconds,
        target_latency=target,
        gap_target=target,
        priority=1,
        pools=(PoolWeight(pool=POOL, weight=1),),
        max_attempts=3,
        public=True,
    )
    profile = PROFILE if kind is RequestKind.STREAM else None
    return Permit(
        facts=CallerFacts(
            attempt_id="a1", host="h", path="/", timeout=None, key=None, resume_after=None
        ),
        route=route,
        pool=UpstreamPool(name=POOL, max_connections=100, engine=profile),
        account=None,
        priority=1,
        deadline=now + seconds,
        version=1,
    )


def request(now: float) -> HttpRequest:
    fields = {b"host": b"h", b"attempt-id": b"a1"}
    headers = list(fields.items())
    return HttpRequest(
        method=b"POST", target=b"/", headers=headers, fields=fields, body=b"x", arrived_at=now
    )
