"""Requests that may run once only, sent to upstreams that fail at every point of an attempt."""

from __future__ import annotations

import pytest

from ledgeladder.daemons.gateway.notes import log_fields
from ledgeladder.model import Execution
from ledgeladder.model.traffic import RequestKind

from .failing_upstream import ANSWERS, EVENTS, RAN_NOTHING, Play


@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
@pytest.mark.parametrize("behavior", sorted(set(ANSWERS) - {"answers"} - RAN_NOTHING))
def test_request_that_may_have_run_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch, behavior: str, kind: RequestKind
) -> None:
    """Failure: a stream ran twice, since a lost attempt whose engine had died was not counted."""
    play = Play(monkeypatch, behavior)
    play.run(kind)
    assert play.received == [1, 0]
    assert not play.caller.complete
    if play.caller.body:
        assert EVENTS.startswith(play.caller.body)
        assert play.caller.problem is None
    else:
        assert play.caller.problem is not None
        assert play.caller.problem.known_execution is Execution.UNKNOWN
    assert log_fields(play.trace)["may_have_run"] is True


@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
@pytest.mark.parametrize("behavior", sorted(RAN_NOTHING))
def test_request_that_did_not_run_is_sent_again(
    monkeypatch: pytest.MonkeyPatch, behavior: str, kind: RequestKind
) -> None:
    play = Play(monkeypatch, behavior)
    play.run(kind)
    assert play.received[1] == 1
    assert (play.caller.status, play.caller.body, play.caller.complete) == (200, EVENTS, True)


@pytest.mark.parametrize(
    "behavior", ["closes", "exits", "exits amid events", "is found dead", "is found exited"]
)
def test_resumable_stream_is_carried_on(monkeypatch: pytest.MonkeyPatch, behavior: str) -> None:
    play = Play(monkeypatch, behavior)
    play.allow_hedges(monkeypatch)
    play.run(RequestKind.STREAM, resumable=True)
    assert play.received == [1, 1]
    assert (play.caller.body, play.caller.complete) == (EVENTS, True)


@pytest.mark.parametrize(
    ("kind", "next_kind"),
    [(RequestKind.STREAM, RequestKind.STREAM), (RequestKind.REPEATABLE, RequestKind.ONCE)],
)
def test_request_is_not_sent_again_once_its_route_forbids_it(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, next_kind: RequestKind
) -> None:
    """Failure: only the route that accepted the request decided whether it may run twice."""
    play = Play(monkeypatch, "exits")
    play.change_route(next_kind)
    play.run(kind, resumable=True)
    assert play.received == [1, 0]
    assert play.caller.problem is not None
    assert play.caller.problem.known_execution is Execution.UNKNOWN
