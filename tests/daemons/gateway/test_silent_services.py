"""Plain requests whose upstream is silent, with another one that behaves in every way."""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
from collections.abc import Callable

import anyio
import msgspec
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.daemons.gateway import plain
from ledgeladder.daemons.gateway.plain import forward_plain
from ledgeladder.model import Execution, ResultCode
from ledgeladder.model.traffic import RequestKind
from ledgeladder.routing.forwarding_table import is_silent
from ledgeladder.routing.repeat_window import RetryWindow

from . import failing_upstream
from .failing_upstream import (
    EVENTS,
    HEAD,
    POOL,
    WHOLE,
    Caller,
    Play,
    Upstream,
    permit,
    request,
)

TARGET_SECONDS = 0.04
"""Target latency of the route; an attempt is overdue after a share of it."""

DEADLINE_SECONDS = 10.0
"""Deadline of requests that are answered."""

SHORT_DEADLINE_SECONDS = 1.0
"""Deadline of requests that are not answered in time."""

POLL_SECONDS = 0.005

HEAD_SIZE = len(WHOLE) - len(EVENTS)

STATES = {
    "head awaited": 0,
    "head inside": len(HEAD),
    "body inside": HEAD_SIZE + len(EVENTS) // 2,
    "last byte awaited": len(WHOLE) - 1,
}
"""Bytes that an upstream sends before it is silent, by the state of the answer."""

OTHER_BODY = b"other"
OTHER_ANSWER = HEAD + b"Content-Length: 5\r\n\r\n" + OTHER_BODY
ERROR_ANSWER = OTHER_ANSWER.replace(b"200 OK", b"500 Failed")


class Held(Upstream):
    """An upstream that is silent in the middle of its answer until a condition holds."""

    def __init__(
        self, name: str, answer: bytes, sent: int, until: Callable[[], bool] = lambda: False
    ) -> None:
        super().__init__(name, "answers")
        self.parts = answer[:sent], answer[sent:]
        self.until = until
        self.was_left = anyio.Event()

    async def answer(self, connection: SocketStream) -> None:
        first, last = self.parts
        if first:
            await connection.send(first)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, connection)
            while not self.until() and not self.was_left.is_set():
                await anyio.sleep(POLL_SECONDS)
            with contextlib.suppress(anyio.BrokenResourceError):
                await connection.send(last)
            await self.was_left.wait()

    async def _watch(self, connection: SocketStream) -> None:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await connection.receive()
        self.was_left.set()

    async def check_left(self) -> None:
        """Check that the gateway closed the connection."""
        with anyio.fail_after(DEADLINE_SECONDS):
            await self.was_left.wait()


class Failing(Upstream):
    """An upstream that also fails in ways that the base class does not know."""

    async def answer(self, connection: SocketStream) -> None:
        if self.behavior == "resets":
            raw = connection.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        elif self.behavior == "fails":
            await connection.send(ERROR_ANSWER)
        else:
            await super().answer(connection)


class CountingCaller(Caller):
    """Counts the answers that reach the caller."""

    def __init__(self) -> None:
        super().__init__()
        self.answers = 0

    async def answer(self, status: int, headers: object, body: bytes) -> None:
        self.answers += 1
        await super().answer(status, headers, body)


class Bed(Play):
    """Forwards one request that may be repeated to an upstream and, beside it, to another one."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, first: Upstream, second: Upstream | None = None
    ) -> None:
        super().__init__(monkeypatch, first)
        monkeypatch.setattr(plain, "has_alternative", lambda *_: True)
        if second is not None:
            self.upstreams[1] = second
        self.caller: CountingCaller = CountingCaller()

    def forward(self, *uncalled: Held, seconds: float = DEADLINE_SECONDS) -> None:
        """Forward the request, and check that connections to some upstreams were closed."""

        async def check() -> None:
            for upstream in uncalled:
                await upstream.check_left()
                assert not self.state.connections.idle.get(upstream.record.registration.address)

        self.run(RequestKind.REPEATABLE, seconds=seconds, target=TARGET_SECONDS, check=check)
        assert [item.record.in_flight for item in self.upstreams] == [0, 0]

    @property
    def is_second_over(self) -> bool:
        """Whether the second attempt began and has ended, or is silent for good."""
        second = self.upstreams[1]
        if second.behavior == "is silent":
            return second.received == 1
        # An attempt is counted before its task begins, and only then is it in flight.
        has_run = self.trace.counts.sent > 1 or second.record.failures > 0
        return has_run and second.record.in_flight == 0

    def check_answer(self, body: bytes, status: int = 200) -> None:
        caller = self.caller
        assert (caller.status, caller.body, caller.answers) == (status, body, 1)


def held(state: str, until: Callable[[], bool] = lambda: False) -> Held:
    return Held("i-1", WHOLE, STATES[state], until)


@pytest.mark.parametrize(
    "second", ["is closed", "refuses", "closes", "resets", "exits", "is silent", "fails"]
)
@pytest.mark.parametrize("state", list(STATES))
def test_silent_attempt_goes_on_if_its_hedge_fails(
    monkeypatch: pytest.MonkeyPatch, state: str, second: str
) -> None:
    """Failure: the silent attempt was ended for one that failed, and the caller got no answer."""
    first = held(state)
    bed = Bed(monkeypatch, first, Failing("i-2", second))
    first.until = lambda: bed.is_second_over
    bed.forward()
    bed.check_answer(EVENTS)
    assert bed.received[0] == 1
    assert not first.record.failures


@pytest.mark.parametrize("state", list(STATES))
def test_answer_of_a_hedge_stops_the_silent_attempt(
    monkeypatch: pytest.MonkeyPatch, state: str
) -> None:
    """Failure: the silent upstream was blamed for its silence."""
    first = held(state)
    bed = Bed(monkeypatch, first, Held("i-2", OTHER_ANSWER, len(OTHER_ANSWER)))
    bed.forward(first)
    bed.check_answer(OTHER_BODY)
    assert bed.received == [1, 1]
    assert not first.record.failures
    assert first.record.avoid_until == 0.0
    assert bed.trace.path == ["i-2"]


@pytest.mark.parametrize("state", list(STATES))
@pytest.mark.parametrize("second_state", list(STATES))
def test_first_attempt_that_answers_stops_its_hedge(
    monkeypatch: pytest.MonkeyPatch, state: str, second_state: str
) -> None:
    """Failure: the first attempt was ended when the second began."""
    first, second = held(state), Held("i-2", WHOLE, STATES[second_state])
    first.until = lambda: second.received > 0
    bed = Bed(monkeypatch, first, second)
    bed.forward(second)
    bed.check_answer(EVENTS)
    assert bed.received == [1, 1]
    assert not second.record.failures
    assert bed.trace.path == ["i-1"]


def test_upstreams_that_wake_together_give_one_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = held("head awaited"), Held("i-2", OTHER_ANSWER, 0)
    first.until = second.until = lambda: second.received > 0
    bed = Bed(monkeypatch, first, second)
    bed.forward()
    assert bed.caller.answers == 1
    assert bed.caller.body in (EVENTS, OTHER_BODY)
    assert not (first.record.failures or second.record.failures)


def test_failed_answer_is_forwarded_if_nothing_better_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    first = held("head awaited")
    bed = Bed(monkeypatch, first, Failing("i-2", "fails"))
    bed.forward(first, seconds=SHORT_DEADLINE_SECONDS)
    bed.check_answer(OTHER_BODY, status=500)


@pytest.mark.parametrize("state", list(STATES))
def test_attempts_end_at_the_deadline(monkeypatch: pytest.MonkeyPatch, state: str) -> None:
    first, second = held(state), Held("i-2", WHOLE, STATES[state])
    bed = Bed(monkeypatch, first, second)
    bed.forward(first, second, seconds=SHORT_DEADLINE_SECONDS)
    assert bed.received == [1, 1]
    assert bed.caller.answers == 0
    assert bed.caller.problem is not None
    assert bed.caller.problem.code is ResultCode.DEADLINE_EXCEEDED
    assert bed.caller.problem.known_execution is Execution.UNKNOWN
    assert not (first.record.failures or second.record.failures)


def test_short_deadline_proves_no_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: callers with short deadlines made sound services a last resort."""
    first = held("head awaited")
    bed = Bed(monkeypatch, first)
    bed.run(RequestKind.REPEATABLE, seconds=0.1, target=DEADLINE_SECONDS)
    assert bed.caller.problem is not None
    assert not is_silent(first.record, first.record.silent_at)


def test_attempts_end_when_the_caller_leaves(monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = held("body inside"), Held("i-2", WHOLE, 0)
    bed = Bed(monkeypatch, first, second)

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            for item in bed.upstreams:
                await item.start(tasks)
            now = anyio.current_time()
            once_sent = permit(
                now,
                RequestKind.REPEATABLE,
                resumable=False,
                seconds=DEADLINE_SECONDS,
                target=TARGET_SECONDS,
            )
            async with anyio.create_task_group() as call:
                call.start_soon(
                    forward_plain, bed.state, once_sent, request(now), bed.caller, bed.trace
                )
                while not second.received:
                    await anyio.sleep(POLL_SECONDS)
                call.cancel_scope.cancel()
            await first.check_left()
            await second.check_left()
            tasks.cancel_scope.cancel()

    anyio.run(play)
    assert bed.caller.answers == 0
    assert [item.record.in_flight for item in bed.upstreams] == [0, 0]
    assert not (first.record.failures or second.record.failures)


def test_silent_attempt_goes_on_if_the_retry_budget_is_spent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    first = held("head awaited")
    bed = Bed(monkeypatch, first)
    bed.state.retry_budgets[POOL] = RetryWindow(ratio=0.0, reserve=0.0, seconds=10.0)
    first.until = lambda: bed.state.metrics.counters["repeat-refused"] > 0
    bed.forward()
    bed.check_answer(EVENTS)
    assert bed.received == [1, 0]


def test_request_with_a_key_is_hedged_as_well(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: the first attempt of a request with a key was ended for one that was refused."""
    original = failing_upstream.permit

    def permit_with_key(*args: object, **options: object) -> object:
        known = original(*args, **options)  # type: ignore[arg-type]
        facts = msgspec.structs.replace(known.facts, key="k")
        return msgspec.structs.replace(known, facts=facts, account="c")

    monkeypatch.setattr(failing_upstream, "permit", permit_with_key)
    first = held("head awaited")
    bed = Bed(monkeypatch, first, Failing("i-2", "refuses"))
    first.until = lambda: bed.is_second_over
    bed.forward()
    bed.check_answer(EVENTS)


@pytest.mark.parametrize("state", list(STATES))
def test_request_that_may_run_once_only_is_not_hedged(
    monkeypatch: pytest.MonkeyPatch, state: str
) -> None:
    first = held(state)
    bed = Bed(monkeypatch, first)
    bed.run(RequestKind.ONCE, seconds=SHORT_DEADLINE_SECONDS, target=TARGET_SECONDS)
    assert bed.received == [1, 0]
    assert bed.caller.problem is not None
    assert bed.caller.problem.known_execution is Execution.UNKNOWN
    assert not first.record.failures


def test_request_is_not_hedged_once_its_route_forbids_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: a request ran twice, as the route that accepted it allowed."""
    first = held("head awaited")
    bed = Bed(monkeypatch, first)
    bed.change_route(RequestKind.ONCE)
    bed.forward(first, seconds=SHORT_DEADLINE_SECONDS)
    assert bed.received == [1, 0]


def test_log_line_says_who_ended_an_attempt(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    first = held("head awaited")
    bed = Bed(monkeypatch, first, Held("i-2", OTHER_ANSWER, len(OTHER_ANSWER)))
    with caplog.at_level(logging.WARNING):
        bed.forward()
    (line,) = [vars(item) for item in caplog.records if item.message == "attempt failed"]
    assert (line["upstream"], line["ended_by"], line["may_have_run"]) == ("i-1", "box", True)
    assert "another attempt" in line["outcome"]
    assert line["silent_for"] > 0.0
    assert (line["began_with"], line["version"]) == (1, bed.state.version)


@pytest.mark.parametrize(("second", "ended_by"), [("closes", "upstream"), ("is closed", "box")])
def test_log_line_of_an_attempt_that_failed_beside_a_silent_one(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, second: str, ended_by: str
) -> None:
    first = held("head awaited")
    bed = Bed(monkeypatch, first, Failing("i-2", second))
    first.until = lambda: bed.is_second_over
    with caplog.at_level(logging.WARNING):
        bed.forward()
    (line,) = [vars(item) for item in caplog.records if item.message == "attempt failed"]
    assert (line["upstream"], line["ended_by"]) == ("i-2", ended_by)
    assert line["may_have_run"] is (second == "closes")


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.REPEATABLE])
def test_log_line_of_an_attempt_whose_time_was_over(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, kind: RequestKind
) -> None:
    """Failure: no line told which service a request had waited for until its deadline."""
    first = held("head awaited")
    bed = Bed(monkeypatch, first)
    bed.state.retry_budgets[POOL] = RetryWindow(ratio=0.0, reserve=0.0, seconds=10.0)
    with caplog.at_level(logging.WARNING):
        bed.run(kind, seconds=0.3, target=TARGET_SECONDS)
    (line,) = [vars(item) for item in caplog.records if item.message == "attempt failed"]
    assert (line["upstream"], line["ended_by"]) == ("i-1", "caller")
    assert line["outcome"].startswith("no answer within")
    assert line["silent_for"] > 0.0
