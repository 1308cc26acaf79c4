"""Answers whose status is none, from an upstream with a working one beside it."""

from __future__ import annotations

import pytest

from ledgeladder.model import Execution, ResultCode
from ledgeladder.model.traffic import RequestKind

from .failing_upstream import EVENTS, HEAD, REFUSAL, WHOLE
from .odd_upstream import odd_play

STATUSES = ["000", "099", "100", "101", "199", "600", "999", "2OO", "20", "2000", "-20", ""]
"""What stands for the status; 1xx are no final answers."""

ANSWERS = {
    "with a length": WHOLE,
    "in chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
    "until the end": HEAD + b"Connection: close\r\n\r\n" + EVENTS,
    "refusal": REFUSAL.replace(b"503", b"200"),
}


@pytest.fixture(params=[False, True], ids=["direct", "relayed"])
def relayed(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


def with_status(answer: bytes, status: str) -> bytes:
    return answer.replace(b"200", status.encode(), 1)


@pytest.mark.parametrize("framing", ANSWERS)
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
def test_caller_is_told_that_the_request_may_have_run(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, status: str, framing: str, *, relayed: bool
) -> None:
    """Failure: the caller got an answer with the status 600 or 999, or a promise with it."""
    play = odd_play(monkeypatch, with_status(ANSWERS[framing], status), relayed=relayed)
    play.run(kind)
    assert play.received == [1, 0]
    assert (play.caller.status, play.caller.body) == (0, b"")
    assert play.caller.problem is not None
    assert play.caller.problem.code is ResultCode.UPSTREAM_LOST
    assert play.caller.problem.known_execution is Execution.UNKNOWN
    assert not any(play.state.connections.idle.values())


@pytest.mark.parametrize("framing", ANSWERS)
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.REPEATABLE])
def test_repeatable_request_is_answered_by_another_upstream(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, status: str, framing: str, *, relayed: bool
) -> None:
    """Failure: an answer that has no status ends a request that may be repeated."""
    play = odd_play(monkeypatch, with_status(ANSWERS[framing], status), relayed=relayed)
    play.run(kind, resumable=True)
    assert play.received == [1, 1]
    assert (play.caller.status, play.caller.body, play.caller.complete) == (200, EVENTS, True)
