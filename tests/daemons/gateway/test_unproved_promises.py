"""Answers with a status that promises that nothing was run, without the word that proves it."""

from __future__ import annotations

import pytest

from ledgeladder.model import Execution, ResultCode
from ledgeladder.model.traffic import RequestKind

from .failing_upstream import EVENTS, WHOLE
from .odd_upstream import odd_play

STATUSES = ["408", "429", "503"]


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
def test_request_that_may_have_run_gets_no_promise(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, status: str
) -> None:
    """Failure: a request that an upstream ran was refused to its caller as not run."""
    play = odd_play(monkeypatch, WHOLE.replace(b"200 OK", status.encode() + b" X"))
    play.run(kind)
    assert play.received == [1, 0]
    assert play.caller.status == 0
    assert play.caller.problem is not None
    assert play.caller.problem.code is ResultCode.UPSTREAM_LOST
    assert play.caller.problem.known_execution is Execution.UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.REPEATABLE])
def test_repeatable_request_is_answered_by_another_upstream(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, status: str
) -> None:
    """Failure: an unproved refusal ended a request that may be repeated."""
    play = odd_play(monkeypatch, WHOLE.replace(b"200 OK", status.encode() + b" X"))
    play.run(kind, resumable=True)
    assert play.received == [1, 1]
    assert (play.caller.status, play.caller.body, play.caller.complete) == (200, EVENTS, True)
