"""Losses that are found while events are being passed on."""

from __future__ import annotations

import contextlib
from types import SimpleNamespace

import anyio
import h11
import pytest
from anyio.abc import SocketStream

from ledgeladder.daemons.gateway import probing, stream_events
from ledgeladder.daemons.gateway.probing import report_lost
from ledgeladder.daemons.gateway.stream_attempt import (
    _cancel_on_loss,
    _evaluate_refusal,
    _identify_failed_engines,
    _reached_engines,
)
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.daemons.gateway.upstream_call import AnswerLostError, NotSentError
from ledgeladder.http1 import ConnectError
from ledgeladder.links import tcp
from ledgeladder.links.messages import LostReport
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.forwarding_table import FULL_SECONDS, is_usable, note_lost
from ledgeladder.routing.stream_patience import stream_patience

from .builders import engine, gateway_state, path_over

TIMEOUTS = stream_patience(
    target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1
)


def interrupted(*, emitting: bool) -> tuple[bool, StreamSession]:
    """Report an engine dead in the middle of a run; tells whether the run went on."""
    session = StreamSession(
        order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10, emitting=emitting
    )
    lost = engine()
    path = path_over(lost)
    went_on = False

    async def run() -> None:
        nonlocal went_on
        with anyio.CancelScope() as scope, _cancel_on_loss(path, session, scope):
            note_lost(lost, 1.0)
            await anyio.sleep(0)
            went_on = True

    anyio.run(run)
    assert not lost.on_lost
    return went_on, session


def test_loss_between_events_ends_the_run_at_once() -> None:
    went_on, session = interrupted(emitting=False)
    assert not went_on
    assert session.dead == {"i-1"}


def test_loss_during_a_write_does_not_cut_the_write() -> None:
    """Events that count as passed on must reach the caller: the next run starts after them."""
    went_on, session = interrupted(emitting=True)
    assert went_on
    assert session.interrupted
    assert session.dead == {"i-1"}


class RecordingExchange:
    """Records what reaches the caller; a write that is cut does not reach it."""

    def __init__(self) -> None:
        self.received = b""

    async def begin(self, status: int, headers: object, data: bytes) -> None:
        await anyio.sleep(0)
        self.received += data


def test_events_read_in_the_moment_of_a_loss_are_not_counted_as_passed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The read may be done already when the run is cancelled: the cancellation then hits the write,
    and the next run would start after events that never reached the caller."""
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    lost = engine()
    path = path_over(lost)
    exchange = RecordingExchange()
    state = gateway_state()
    head = h11.Response(status_code=200, headers=[])
    answer = SimpleNamespace(head=head)

    async def read_during_loss(*_: object) -> bytes:
        note_lost(lost, 1.0)
        return b"id: 1\ndata: a\n\n"

    monkeypatch.setattr(stream_events, "read_watched", read_during_loss)

    async def run() -> None:
        with (
            anyio.CancelScope() as scope,
            _cancel_on_loss(path, session, scope),
            contextlib.suppress(AnswerLostError),
        ):
            await stream_events.forward_events(state, exchange, session, path, answer, 0.0)

    anyio.run(run)
    passed_on = exchange.received.count(b"id:")
    assert passed_on == session.order.delivered
    assert (session.order.last_id is None) == (passed_on == 0)


class Accepted:
    async def close(self) -> None:
        pass


@pytest.mark.parametrize(
    ("at_fault", "listens", "is_lost"), [(1, False, True), (1, True, False), (0, False, False)]
)
def test_later_engine_at_fault_is_asked_whether_it_lives(
    monkeypatch: pytest.MonkeyPatch, at_fault: int, listens: bool, is_lost: bool
) -> None:
    """The load after a loss: first engines refuse runs since a later one is dead. It must not be
    taken for full, and get a run from every box four times a second."""

    async def connect(address: str, *, source: str | None, seconds: float) -> Accepted:
        if listens:
            return Accepted()
        raise ConnectError(address) from ConnectionRefusedError()

    monkeypatch.setattr(probing, "connect", connect)
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    path = path_over(engine("i-1"), engine("i-2", "127.0.0.1:2"))
    suspect = path.engines[at_fault]

    async def run() -> bool:
        await _evaluate_refusal(gateway_state(), session, path, suspect)
        after = anyio.current_time() + 2 * FULL_SECONDS
        return is_usable(suspect, after)

    assert anyio.run(run) is not is_lost
    assert suspect.registration.instance in session.excluded
    assert (suspect.registration.instance in session.dead) is is_lost
    assert path.engines[1 - at_fault].avoid_until == 0.0


@pytest.mark.parametrize(
    ("cause", "has_ended"), [(ConnectionRefusedError(), True), (TimeoutError(), False)]
)
def test_engine_whose_connection_broke_is_asked_even_if_it_has_just_worked(
    monkeypatch: pytest.MonkeyPatch, cause: Exception, has_ended: bool
) -> None:
    """An event for another request, some milliseconds before, hid that the process had ended. On a
    link that loses packets connections break and probes are lost, and no process has ended."""

    async def connect_tcp(address: str, source: str | None = None) -> SocketStream:
        raise cause

    monkeypatch.setattr(tcp, "connect_tcp", connect_tcp)
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    path = path_over(engine("i-1"), engine("i-2", "127.0.0.1:2"))

    async def run() -> None:
        now = anyio.current_time()
        for item in path.engines:
            item.proven_at = now
        await _identify_failed_engines(gateway_state(), session, path)
        assert (path.head.ended_at >= now) is has_ended

    anyio.run(run)
    assert session.dead == ({"i-1"} if has_ended else set())
    assert session.excluded == (set() if has_ended else {"i-1"})


def test_engine_that_had_ended_before_a_run_is_no_evidence_against_it() -> None:
    """The load after a loss: each box finds a later engine of its paths gone by its own runs."""
    path = path_over(engine("i-1"), engine("i-2"), engine("i-3"))
    path.engines[1].proven_at = 4.9
    path.engines[2].proven_at = 5.1
    reached = _reached_engines(path, 5.0)
    assert [item.registration.instance for item in reached] == ["i-1", "i-3"]


def test_engine_that_refuses_connections_is_told_to_the_control_boxes() -> None:
    """Each box would else find out by itself, with a lost try."""
    told = []
    state = gateway_state()
    link = SimpleNamespace(post=told.append)
    state.peers = SimpleNamespace(links={"10.0.0.1": link})  # type: ignore[assignment]
    lost = engine()
    dead: set[str] = set()

    async def run() -> None:
        report_lost(state, lost, dead)

    anyio.run(run)
    assert told == [LostReport(instance="i-1")]
    assert dead == {"i-1"}
    assert lost.lost_at > 0.0


def test_only_a_refused_connection_says_that_the_process_has_ended() -> None:
    for cause, is_refusal in ((ConnectionRefusedError(), True), (TimeoutError(), False)):
        failed = ConnectError("127.0.0.1:1")
        failed.__cause__ = cause
        error = NotSentError("127.0.0.1:1")
        error.__cause__ = failed
        assert error.is_refusal is is_refusal
