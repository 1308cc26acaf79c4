"""Answers without end, fast and slow, in every part of an answer."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from ledgeladder.daemons.gateway import plain
from ledgeladder.model import Execution, ResultCode
from ledgeladder.model.exchange import MAX_ANSWER_BYTES
from ledgeladder.model.traffic import RequestKind
from standins.endless_answer import EndlessServer, endless_answers

from .failing_upstream import EVENTS, WHOLE, Play, Upstream

SECONDS = 1.5
"""Deadline of requests whose upstream is slow, which the tests wait for."""

FAST_SECONDS = 8.0
"""Deadline of the others, which end at the bounds of an answer."""
SOCKET_BYTES = 8 * 1024 * 1024
"""Bytes that the buffers of a connection may hold."""

ANSWERS = endless_answers("a1", WHOLE)
WHOLE_ANSWER = "after the answer"
PARTS = sorted(set(ANSWERS) - {WHOLE_ANSWER})
SLOW_PARTS = ("status line", "interim answers", "body with a length", "one event", "comments")
CASES = [(part, False) for part in PARTS] + [(part, True) for part in SLOW_PARTS]


class Endless(Upstream):
    """An upstream whose answer has no end."""

    def __init__(self, part: str, *, slow: bool) -> None:
        super().__init__("i-1", part)
        self.server = EndlessServer(ANSWERS[part], slow=slow)

    async def answer(self, connection: SocketStream) -> None:
        await self.server.send(connection)

    async def check_closed(self) -> None:
        """Check that the connection was closed after a bounded number of bytes."""
        with anyio.fail_after(FAST_SECONDS):
            await self.server.closed.wait()
        assert self.server.sent_bytes < MAX_ANSWER_BYTES + SOCKET_BYTES


def deadline(*, slow: bool) -> float:
    return SECONDS if slow else FAST_SECONDS


@pytest.mark.parametrize(("part", "slow"), CASES)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
def test_caller_of_an_endless_answer_is_told_that_it_may_have_run(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, part: str, *, slow: bool
) -> None:
    """Failure: the answer was read until the deadline, and kept in memory."""
    upstream = Endless(part, slow=slow)
    play = Play(monkeypatch, upstream)
    play.run(kind, seconds=deadline(slow=slow), check=upstream.check_closed)
    assert play.received == [1, 0]
    assert not play.caller.complete
    assert play.caller.problem is not None
    assert play.caller.problem.known_execution is Execution.UNKNOWN
    assert play.state.bytes_held.taken_bytes == 0
    assert not play.state.bytes_held.holders
    assert not any(play.state.connections.idle.values())
    if play.caller.problem.code is ResultCode.UPSTREAM_LOST:
        assert upstream.record.failures


@pytest.mark.parametrize(("part", "slow"), CASES)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.REPEATABLE])
def test_repeatable_request_leaves_an_endless_answer(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, part: str, *, slow: bool
) -> None:
    """Failure: bytes that complete no event counted as progress of a stream."""
    monkeypatch.setattr(plain, "has_alternative", lambda *_: True)
    upstream = Endless(part, slow=slow)
    play = Play(monkeypatch, upstream)
    play.allow_hedges(monkeypatch)
    play.run(kind, resumable=True, seconds=deadline(slow=slow), check=upstream.check_closed)
    assert play.received == [1, 1]
    assert (play.caller.body, play.caller.complete) == (EVENTS, True)


@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.REPEATABLE])
def test_bytes_after_an_answer_belong_to_no_other(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, *, slow: bool
) -> None:
    upstream = Endless(WHOLE_ANSWER, slow=slow)
    play = Play(monkeypatch, upstream)

    async def check() -> None:
        await anyio.sleep(0.1)
        assert await play.state.connections.acquire(upstream.record.registration.address) is None
        await upstream.check_closed()

    play.run(kind, seconds=SECONDS, check=check)
    assert play.received == [1, 0]
    assert (play.caller.body, play.caller.complete) == (EVENTS, True)
