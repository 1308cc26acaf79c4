"""Upstreams that are silent for a while at each point of an answer, and then go on."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from ledgeladder.daemons.gateway import plain
from ledgeladder.model.traffic import RequestKind

from .failing_upstream import EVENTS, HEAD, WHOLE, Play, Upstream

TARGET_SECONDS = 0.04
"""Target latency and gap of the route; attempts are overdue after 0.08 s and 0.2 s."""

SILENCE_SECONDS = 0.4
"""How long the upstream is silent."""

POLL_SECONDS = 0.01
"""Interval at which an upstream checks whether it may go on."""

DEADLINE_SECONDS = 3.0
"""Deadline of the requests."""

HEAD_SIZE = len(WHOLE) - len(EVENTS)

STATES = {
    "before the head": 0,
    "inside the head": len(HEAD),
    "before the first event": HEAD_SIZE,
    "between events": HEAD_SIZE + len(EVENTS) // 2,
    "before the last byte": len(WHOLE) - 1,
}
"""Bytes that the upstream sends before it is silent, by the state of the answer."""

ERROR_BODY = b"failed"
ERROR_ANSWER = (
    b"HTTP/1.1 500 Failed\r\nAttempt-Id: a1\r\nReplica-Seal: s\r\nContent-Length: 6\r\n\r\n"
)


class Pausing(Upstream):
    """An upstream that is silent in the middle of its answer."""

    def __init__(self, name: str, parts: list[bytes]) -> None:
        super().__init__(name, "answers")
        self.parts = parts
        self.hedge: Upstream | None = None
        """Upstream of the hedge; once it has the request, this one goes on."""

    async def answer(self, connection: SocketStream) -> None:
        first, last = self.parts
        if first:
            await connection.send(first)
        await anyio.sleep(SILENCE_SECONDS)
        while self.hedge is not None and not self.hedge.received:
            await anyio.sleep(POLL_SECONDS)
        await connection.send(last)


def pausing(state: str, name: str = "i-1") -> Pausing:
    return Pausing(name, [WHOLE[: STATES[state]], WHOLE[STATES[state] :]])


@pytest.fixture(params=[False, True], ids=["one-domain", "two-domains"])
def crosses_domains(request: pytest.FixtureRequest) -> bool:
    """Whether paths cross failure domains."""
    return request.param


@pytest.mark.parametrize("state", list(STATES))
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
def test_request_that_may_run_once_only_waits_for_a_silent_upstream(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, state: str, *, crosses_domains: bool
) -> None:
    """Failure: a stream that may run once only was broken off after a second of silence."""
    play = Play(monkeypatch, pausing(state))
    play.crosses_domains = crosses_domains
    play.allow_hedges(monkeypatch)
    play.run(kind, seconds=DEADLINE_SECONDS, target=TARGET_SECONDS)
    assert play.received == [1, 0]
    assert (play.caller.status, play.caller.body, play.caller.complete) == (200, EVENTS, True)


@pytest.mark.parametrize("state", list(STATES))
def test_resumable_stream_waits_if_nothing_can_replace_the_attempt(
    monkeypatch: pytest.MonkeyPatch, state: str, *, crosses_domains: bool
) -> None:
    """Failure: a silent attempt was ended, and no path was left for another one."""
    play = Play(monkeypatch, pausing(state))
    play.crosses_domains = crosses_domains
    play.run(RequestKind.STREAM, resumable=True, seconds=DEADLINE_SECONDS, target=TARGET_SECONDS)
    assert play.received == [1, 0]
    assert (play.caller.body, play.caller.complete) == (EVENTS, True)


@pytest.mark.parametrize("state", list(STATES))
def test_resumable_stream_is_continued_by_a_sound_upstream(
    monkeypatch: pytest.MonkeyPatch, state: str
) -> None:
    first = pausing(state)
    play = Play(monkeypatch, first)
    first.hedge = play.upstreams[1]
    play.allow_hedges(monkeypatch)
    play.run(RequestKind.STREAM, resumable=True, seconds=DEADLINE_SECONDS, target=TARGET_SECONDS)
    assert play.received == [1, 1]
    assert (play.caller.body, play.caller.complete) == (EVENTS, True)
    # The silent one is not blamed.
    assert not play.upstreams[0].record.failures


@pytest.mark.parametrize("second", ["refuses", "closes", "exits", "is closed", "is silent"])
@pytest.mark.parametrize("state", ["before the head", "between events"])
def test_silent_attempt_goes_on_if_its_hedge_fails(
    monkeypatch: pytest.MonkeyPatch, state: str, second: str
) -> None:
    """Failure: engines were full with the runs that had been ended, and refused the next ones."""
    play = Play(monkeypatch, pausing(state))
    play.upstreams[1] = Upstream("i-2", second)
    play.allow_hedges(monkeypatch)
    play.run(RequestKind.STREAM, resumable=True, seconds=DEADLINE_SECONDS, target=TARGET_SECONDS)
    assert (play.caller.body, play.caller.complete) == (EVENTS, True)


@pytest.mark.parametrize("state", list(STATES))
def test_repeatable_request_is_answered_by_a_sound_upstream(
    monkeypatch: pytest.MonkeyPatch, state: str
) -> None:
    monkeypatch.setattr(plain, "has_alternative", lambda *_: True)
    play = Play(monkeypatch, pausing(state))
    play.run(RequestKind.REPEATABLE, seconds=DEADLINE_SECONDS, target=TARGET_SECONDS)
    assert (play.caller.body, play.caller.complete) == (EVENTS, True)


@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
def test_error_answer_whose_body_is_late_reaches_the_caller(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind
) -> None:
    """Failure: the body of an error answer was given up, and the caller got another status."""
    play = Play(monkeypatch, Pausing("i-1", [ERROR_ANSWER, ERROR_BODY]))
    play.run(kind, seconds=DEADLINE_SECONDS, target=TARGET_SECONDS)
    assert play.received == [1, 0]
    assert (play.caller.status, play.caller.body) == (500, ERROR_BODY)
