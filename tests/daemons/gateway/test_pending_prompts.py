"""A prompt counts as waiting from the send of an attempt to its first event or its end."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import h11
import pytest

from ledgeladder.daemons.gateway import stream_attempt, stream_events
from ledgeladder.daemons.gateway.stream_attempt import run_attempt
from ledgeladder.daemons.gateway.stream_session import AttemptEnd, AttemptResult, StreamSession
from ledgeladder.model.exchange import PathPart
from ledgeladder.routing.attempt_race import RunningAttempt
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.paths import ChosenPath
from ledgeladder.routing.stream_patience import stream_timeouts

from .builders import engine, gateway_state

PROMPT = 100
STEPS_PER_PASS = 3


class Bed:
    """An attempt of a stream over two engines, whose sending a test replaces."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, delivered: int = 0) -> None:
        self.state = gateway_state()
        self.state.contended = frozenset({"p"})
        timeouts = stream_timeouts(
            target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1
        )
        self.session = StreamSession(
            order=EventOrder(last_id=None), timeouts=timeouts, tokens=PROMPT + 50
        )
        self.session.order.delivered = delivered
        self.engines = [engine("i-1"), engine("i-2", "127.0.0.1:2")]
        parts = tuple(
            PathPart(instance=item.registration.instance, address="", first=first, end=end)
            for item, (first, end) in zip(self.engines, [(0, 10), (10, 40)], strict=True)
        )
        self.path = ChosenPath(parts=parts, engines=tuple(self.engines), cost=1.0)
        self.permit: Any = SimpleNamespace(
            pool=SimpleNamespace(name="p", engine=SimpleNamespace(steps_per_pass=STEPS_PER_PASS)),
            facts=SimpleNamespace(prompt_tokens=PROMPT, attempt_id="x", prompt_parts=()),
        )
        monkeypatch.setattr(stream_attempt, "_record_hops", lambda *_: None)
        monkeypatch.setattr(stream_attempt, "_record_result", lambda *_: None)
        monkeypatch.setattr(stream_attempt, "record_crash", lambda *_, **__: None)

    @property
    def pending(self) -> list[tuple[int, float]]:
        return [(item.pending_prompts, item.pending_prefill) for item in self.engines]

    async def run(self) -> None:
        unused: Any = None
        self.attempt = RunningAttempt(path=self.path, started_at=anyio.current_time())
        await run_attempt(self.state, self.permit, unused, unused, self.session, self.attempt)


@pytest.mark.parametrize("delivered", [0, 7])
@pytest.mark.parametrize("result", list(AttemptResult))
def test_prompt_counts_while_an_attempt_has_no_event(
    monkeypatch: pytest.MonkeyPatch, delivered: int, result: AttemptResult
) -> None:
    """A resumed stream is read again, with the part of the answer that the caller has."""
    bed = Bed(monkeypatch, delivered=delivered)
    tokens = PROMPT + delivered * STEPS_PER_PASS

    async def send(*_: object) -> AttemptEnd:
        assert bed.pending == [(1, 10.0 * tokens), (1, 30.0 * tokens)]
        return AttemptEnd(result)

    monkeypatch.setattr(stream_attempt, "_send_and_forward", send)
    anyio.run(bed.run)
    assert bed.pending == [(0, 0.0), (0, 0.0)]


def test_count_ends_with_a_failure_or_a_caller_that_leaves(monkeypatch: pytest.MonkeyPatch) -> None:
    bed = Bed(monkeypatch)

    async def send(*_: object) -> AttemptEnd:
        raise OSError

    monkeypatch.setattr(stream_attempt, "_send_and_forward", send)
    with pytest.raises(OSError):
        anyio.run(bed.run)
    assert bed.pending == [(0, 0.0), (0, 0.0)]


def test_count_ends_at_the_first_event_of_each_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Also at that of a resumed stream, which is not the first event of the caller."""
    bed = Bed(monkeypatch)
    seen: list[list[int]] = []
    parts: list[bytes] = []

    async def read(*_: object) -> bytes | None:
        seen.append([item.pending_prompts for item in bed.engines])
        return parts.pop(0) if parts else None

    async def write(*_: object) -> None:
        return None

    monkeypatch.setattr(stream_events, "read_part", read)
    answer: Any = SimpleNamespace(head=h11.Response(status_code=200, headers=[]), connection=None)
    exchange: Any = SimpleNamespace(begin=write, send=write, end=write)

    async def send(*_: object) -> AttemptEnd:
        await stream_events.forward_events(bed.state, exchange, bed.session, bed.attempt, answer)
        return AttemptEnd(AttemptResult.COMPLETE)

    monkeypatch.setattr(stream_attempt, "_send_and_forward", send)
    for number in (1, 2):
        parts[:] = [f"id: {number}\n".encode(), b"data: a\n\n"]
        anyio.run(bed.run)
    assert [item[0] for item in seen] == [1, 1, 0, 1, 1, 0]
    assert bed.pending == [(0, 0.0), (0, 0.0)]
