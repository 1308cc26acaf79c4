"""Engines that answer probes but are late: their attempts are overdue and go on."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from ledgeladder.daemons.gateway import probing, slowdown_queries, stall_watch
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.routing.attempt_race import RunningAttempt, begin_attempt
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.stream_patience import stream_timeouts

from .builders import engine, gateway_state, path_over

TIMEOUTS = msgspec.structs.replace(
    stream_timeouts(target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1),
    first_probe=0.001,
    first_timeout=0.002,
    gap_probe=0.001,
    gap_timeout=0.002,
)


class LateEngine:
    """Answers once it was probed often enough; each probe finds it alive."""

    def __init__(self, probes: int) -> None:
        self.probes_left = probes
        self.answered = anyio.Event()

    async def probe(self, *_: object, **__: object) -> bool:
        self.probes_left -= 1
        if self.probes_left <= 0:
            self.answered.set()
        return False

    async def answer(self, *_: object, **__: object) -> bytes:
        await self.answered.wait()
        return b"answer"


def watch(
    monkeypatch: pytest.MonkeyPatch, *, started: bool, probes: int
) -> tuple[object, RunningAttempt, bool]:
    """Watch a late engine; return its answer, the attempt, and whether it was reported overdue.

    Args:
        monkeypatch: Patches the probes and the reads.
        started: Whether the caller has a part of the stream.
        probes: Probes after which the engine answers.
    """
    late = LateEngine(probes)
    session = StreamSession(
        order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10, started=started
    )
    session.pace.mean = 0.0005
    attempt = RunningAttempt(path=path_over(engine("i-1")), started_at=0.0)
    begin_attempt(session.race, attempt)
    state = gateway_state()
    state.first_event_pace.mean = 0.0005
    state.first_event_pace.floor = 0.0

    async def no_query(*_: object) -> None:
        pass

    monkeypatch.setattr(probing, "find_unreachable", late.probe)
    monkeypatch.setattr(slowdown_queries, "query_slowdowns", no_query)
    monkeypatch.setattr(stall_watch, "open_answer", late.answer)
    permit = SimpleNamespace(route=SimpleNamespace(repeatable=True))

    async def run() -> object:
        late.answered = anyio.Event()
        if started:
            return await stall_watch.read_watched(state, session, attempt, late.answer)
        return await stall_watch.open_watched(state, permit, None, session, attempt, None)

    return anyio.run(run), attempt, session.changed.is_set()


@pytest.mark.parametrize("started", [False, True])
def test_late_attempt_goes_on_and_is_reported_as_overdue(
    monkeypatch: pytest.MonkeyPatch, *, started: bool
) -> None:
    """Failure: an attempt was ended after a second of silence, and its answer with it."""
    answer, attempt, is_reported = watch(monkeypatch, started=started, probes=8)
    assert answer == b"answer"
    assert attempt.overdue
    assert attempt.stopped is None
    assert is_reported
    assert all(item.silent_at > item.last_event_at for item in attempt.path.engines)


@pytest.mark.parametrize("started", [False, True])
def test_attempt_whose_answer_comes_in_time_is_not_overdue(
    monkeypatch: pytest.MonkeyPatch, *, started: bool
) -> None:
    answer, attempt, is_reported = watch(monkeypatch, started=started, probes=1)
    assert answer == b"answer"
    assert not attempt.overdue
    assert not is_reported
