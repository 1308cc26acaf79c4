"""Attempts of a stream whose engines are lost or refuse the request."""

from __future__ import annotations

import contextlib
from types import SimpleNamespace
from typing import Any

import anyio
import h11
import pytest
from anyio.abc import SocketStream

from ledgeladder.daemons.gateway import probing, reaching, stream_attempt, stream_events
from ledgeladder.daemons.gateway.probing import LIVENESS_SECONDS, report_lost
from ledgeladder.daemons.gateway.reaching import proves_exit
from ledgeladder.daemons.gateway.stream_attempt import (
    _evaluate_refusal,
    _handle_error_answer,
    _identify_failed_engines,
    _reached_engines,
    _stop_on_exit,
)
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.daemons.gateway.upstream_call import AnswerLostError, NotSentError
from ledgeladder.http1 import ConnectError
from ledgeladder.links import tcp
from ledgeladder.links.messages import LossReport
from ledgeladder.routing.attempt_race import RunningAttempt, StopReason
from ledgeladder.routing.event_stream import EventBuffer, EventOrder, StreamEvent
from ledgeladder.routing.forwarding_table import (
    FULL_AVOID_SECONDS,
    is_usable,
    record_exit,
    record_loss,
)
from ledgeladder.routing.stream_patience import stream_timeouts

from .builders import engine, gateway_state, path_over

TIMEOUTS = stream_timeouts(
    target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1
)


def run_with_loss(*, is_writing: bool, has_exited: bool) -> tuple[bool, RunningAttempt]:
    """Report an engine dead during an attempt; return whether the attempt continued."""
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    lost = engine()
    attempt = RunningAttempt(path=path_over(lost), started_at=1.0, is_writing=is_writing)
    continued = False

    async def run() -> None:
        nonlocal continued
        with anyio.CancelScope() as scope, _stop_on_exit(session, attempt, scope):
            if has_exited:
                record_exit(lost, 1.0)
            record_loss(lost, 1.0)
            await anyio.sleep(0)
            continued = True

    anyio.run(run)
    assert not lost.on_lost
    assert session.dead == {"i-1"}
    assert session.changed.is_set() is not has_exited
    return continued, attempt


def test_exit_between_events_stops_the_attempt() -> None:
    continued, attempt = run_with_loss(is_writing=False, has_exited=True)
    assert not continued
    assert attempt.stopped is StopReason.EXITED


def test_exit_during_a_write_does_not_interrupt_the_write() -> None:
    """Events that count as delivered must reach the caller: the next attempt resumes after them."""
    continued, attempt = run_with_loss(is_writing=True, has_exited=True)
    assert continued
    assert attempt.stopped is StopReason.EXITED


@pytest.mark.parametrize("is_writing", [False, True])
def test_engine_that_only_appears_lost_ends_no_attempt(*, is_writing: bool) -> None:
    """Failure: a suspended engine accepts no connection in time, and all its streams end."""
    continued, attempt = run_with_loss(is_writing=is_writing, has_exited=False)
    assert continued
    assert attempt.stopped is None
    assert attempt.overdue


class RecordingExchange:
    """Records the bytes that reach the caller; a cancelled write does not."""

    def __init__(self) -> None:
        self.received = b""

    async def begin(self, status: int, headers: object, data: bytes) -> None:
        await anyio.sleep(0)
        self.received += data


def test_events_read_during_a_loss_are_not_counted_as_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A read may complete just before the attempt is cancelled. If the cancellation hits the write,
    the next attempt resumes after events that never reached the caller."""
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    lost = engine()
    attempt = RunningAttempt(path=path_over(lost), started_at=1.0)
    exchange = RecordingExchange()
    state = gateway_state()
    head = h11.Response(status_code=200, headers=[])
    answer = SimpleNamespace(head=head)

    async def read_during_loss(*_: object) -> list[StreamEvent]:
        record_exit(lost, 1.0)
        record_loss(lost, 1.0)
        return EventBuffer().feed(b"id: 1\ndata: a\n\n")

    monkeypatch.setattr(stream_events, "read_watched", read_during_loss)

    async def run() -> None:
        with (
            anyio.CancelScope() as scope,
            _stop_on_exit(session, attempt, scope),
            contextlib.suppress(AnswerLostError),
        ):
            await stream_events.forward_events(state, exchange, session, attempt, answer)

    anyio.run(run)
    received = exchange.received.count(b"id:")
    assert received == session.order.delivered
    assert (session.order.last_id is None) == (received == 0)


class Accepted:
    async def close(self) -> None:
        pass


@pytest.mark.parametrize(
    ("at_fault", "listens", "is_lost"), [(1, False, True), (1, True, False), (0, False, False)]
)
def test_later_engine_named_in_a_refusal_is_probed(
    monkeypatch: pytest.MonkeyPatch, at_fault: int, listens: bool, is_lost: bool
) -> None:
    """A first engine refuses because a later one is dead. If that one counted as full, every box
    would keep sending it attempts."""

    async def connect(address: str, *, source: str | None, seconds: float) -> Accepted:
        if listens:
            return Accepted()
        raise ConnectError(address) from ConnectionRefusedError()

    monkeypatch.setattr(reaching, "connect", connect)
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    path = path_over(engine("i-1"), engine("i-2", "127.0.0.1:2"))
    suspect = path.engines[at_fault]

    async def run() -> bool:
        await _evaluate_refusal(gateway_state(), session, path, suspect)
        after = anyio.current_time() + 2 * FULL_AVOID_SECONDS
        return is_usable(suspect, after)

    assert anyio.run(run) is not is_lost
    assert suspect.registration.instance in session.excluded
    assert (suspect.registration.instance in session.dead) is is_lost
    assert path.engines[1 - at_fault].avoid_until == 0.0


@pytest.mark.parametrize(
    ("cause", "has_exited"), [(ConnectionRefusedError(), True), (TimeoutError(), False)]
)
def test_engine_with_a_broken_connection_is_probed_despite_recent_progress(
    monkeypatch: pytest.MonkeyPatch, cause: Exception, has_exited: bool
) -> None:
    """Recent progress of another request must not hide that the process exited. A lost probe is no
    proof of an exit, since a link that loses packets also breaks connections."""

    async def connect_tcp(address: str, source: str | None = None) -> SocketStream:
        raise cause

    monkeypatch.setattr(tcp, "connect_tcp", connect_tcp)
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    path = path_over(engine("i-1"), engine("i-2", "127.0.0.1:2"))

    async def run() -> None:
        now = anyio.current_time()
        for item in path.engines:
            item.last_success_at = now
        attempt = RunningAttempt(path=path, started_at=now)
        await _identify_failed_engines(gateway_state(), session, attempt)
        assert (path.head.exited_at >= now) is has_exited

    anyio.run(run)
    assert session.dead == ({"i-1"} if has_exited else set())
    assert session.excluded == (set() if has_exited else {"i-1"})


@pytest.mark.parametrize("breaks_off", [True, False])
def test_engine_whose_error_answer_is_broken_or_unsigned_is_excluded(
    monkeypatch: pytest.MonkeyPatch, breaks_off: bool
) -> None:
    """The next attempt would otherwise choose the same engine."""

    async def connect(address: str, *, source: str | None, seconds: float) -> Accepted:
        return Accepted()

    async def read_body(*_: object) -> bytes:
        if breaks_off:
            raise AnswerLostError("the connection broke")
        return b""

    async def not_closed(*_: object, **__: object) -> bool:
        return False

    monkeypatch.setattr(reaching, "connect", connect)
    monkeypatch.setattr(probing, "is_port_closed", not_closed)
    monkeypatch.setattr(stream_attempt, "read_body", read_body)
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    path = path_over(engine("i-1"), engine("i-2", "127.0.0.1:2"))
    head = SimpleNamespace(status_code=503)
    facts = SimpleNamespace(not_run=False, signed=False)
    answer: Any = SimpleNamespace(head=head, facts=facts)

    async def run() -> None:
        attempt = RunningAttempt(path=path, started_at=0.0)
        await _handle_error_answer(gateway_state(), session, attempt, answer)

    anyio.run(run)
    assert session.excluded == {"i-1"}


def test_engines_of_a_broken_attempt_are_probed_although_they_were_silent() -> None:
    """Failure: an engine that exits after a silence is found only by a later attempt."""
    path = path_over(engine("i-1", "127.0.0.1:1"), engine("i-2", "127.0.0.1:2"))
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)

    async def run() -> None:
        for item in path.engines:
            item.last_success_at = anyio.current_time() - 2 * LIVENESS_SECONDS
            item.last_event_at = item.last_success_at - 2.0
        attempt = RunningAttempt(path=path, started_at=0.0)
        await _identify_failed_engines(gateway_state(), session, attempt)

    anyio.run(run)
    assert session.dead == {"i-1", "i-2"}


def test_engine_that_exited_before_an_attempt_does_not_count_as_reached() -> None:
    """A request must not be blamed for the crash of an engine that died before the attempt."""
    path = path_over(engine("i-1"), engine("i-2"), engine("i-3"))
    path.engines[1].last_success_at = 4.9
    path.engines[2].last_success_at = 5.1
    reached = _reached_engines(path, 5.0)
    assert [item.registration.instance for item in reached] == ["i-1", "i-3"]


def test_engine_that_refuses_connections_is_reported_to_the_control_boxes() -> None:
    """Without the report, every box loses an attempt to find out."""
    posted = []
    state = gateway_state()
    link = SimpleNamespace(post=posted.append)
    state.peers = SimpleNamespace(links={"10.0.0.1": link})  # type: ignore[assignment]
    lost = engine()
    dead: set[str] = set()

    async def run() -> None:
        report_lost(state, lost, dead)

    anyio.run(run)
    assert posted == [LossReport(instance="i-1")]
    assert dead == {"i-1"}
    assert lost.lost_at > 0.0


def test_only_a_refused_connection_proves_that_the_process_exited() -> None:
    state = gateway_state()

    async def run() -> None:
        for cause, is_refusal in ((ConnectionRefusedError(), True), (TimeoutError(), False)):
            failed = ConnectError("127.0.0.1:1")
            failed.__cause__ = cause
            error = NotSentError("127.0.0.1:1")
            error.__cause__ = failed
            assert error.failure is failed
            assert proves_exit(state, failed) is is_refusal

    anyio.run(run)
