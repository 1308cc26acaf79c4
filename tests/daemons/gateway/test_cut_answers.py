"""Sound answers that end at any of their bytes, by a close or a reset of their connections.

Callers are never told that such an answer is whole, nor that its request was not run.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest

from ledgeladder.model import Execution, ResultCode
from ledgeladder.model.traffic import RequestKind

from .failing_upstream import EVENTS, HEAD, REFUSAL, WHOLE, Play
from .odd_upstream import odd_play

CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
UNFRAMED_HEAD = HEAD + b"Connection: close\r\n\r\n"


class Answer(NamedTuple):
    """A sound answer."""

    data: bytes
    """Its bytes."""

    proved_at: int
    """Number of bytes from which on it may be taken for what it is, if it is then closed."""


ANSWERS = {
    "with a length": Answer(WHOLE, len(WHOLE)),
    "in chunks": Answer(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
        len(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS),
    ),
    "until the end": Answer(UNFRAMED_HEAD + EVENTS, len(UNFRAMED_HEAD) + 1),
    "with line feeds": Answer(WHOLE.replace(b"\r\n", b"\n"), len(WHOLE.replace(b"\r\n", b"\n"))),
    "without a body": Answer(
        HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n",
        len(HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n"),
    ),
    "refusal": Answer(
        REFUSAL.replace(b"Length: 0\r\n\r\n", b"Length: 4\r\n\r\nfull"), len(REFUSAL)
    ),
}
HEAD_END = b"\r\n\r\n"
FRAMED = ["with a length", "in chunks", "until the end"]
RELAYED = ["with a length", "until the end", "refusal"]
"""Answers that are cut at each byte by relay, which knows nothing of what it copies."""


@pytest.fixture(params=[False, True], ids=["direct", "relayed"])
def relayed(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


@pytest.fixture(params=[False, True], ids=["closes", "resets"])
def resets(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


def line_cuts(answer: Answer) -> list[int]:
    """Return the cuts right before, at and after the end of each line."""
    ends = [place for place, byte in enumerate(answer.data) if byte == ord("\n")]
    near = {end + offset for end in ends for offset in (0, 1, 2)}
    return sorted(cut for cut in near | {0} if cut < answer.proved_at)


def check_unknown(play: Play, cut: int) -> None:
    """Check that the caller has no whole answer, and no promise that nothing was run."""
    assert not play.caller.complete, cut
    problem = play.caller.problem
    if problem is not None:
        assert problem.code is ResultCode.UPSTREAM_LOST, cut
        assert problem.known_execution is Execution.UNKNOWN, cut
    else:
        # The head of a stream went out with its first event; its connection is closed then.
        assert play.caller.status == 200, cut
        assert EVENTS.startswith(play.caller.body), cut


@pytest.mark.parametrize(
    ("name", "relayed"),
    [(name, False) for name in ANSWERS] + [(name, True) for name in RELAYED],
)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
def test_cut_answer_is_neither_whole_nor_a_promise(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, name: str, *, resets: bool, relayed: bool
) -> None:
    """Failure: a caller got a 200 with an empty body, framed as whole."""
    answer = ANSWERS[name]
    for cut in range(answer.proved_at):
        play = odd_play(monkeypatch, answer.data[:cut], resets=resets, relayed=relayed)
        play.run(kind)
        assert play.received == [1, 0], cut
        check_unknown(play, cut)


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.REPEATABLE])
def test_request_with_a_cut_answer_is_answered_by_another_upstream(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, name: str, *, resets: bool, relayed: bool
) -> None:
    """Failure: a cut answer ended a request that may be repeated."""
    answer = ANSWERS[name]
    for cut in line_cuts(answer):
        play = odd_play(monkeypatch, answer.data[:cut], resets=resets, relayed=relayed)
        play.run(kind, resumable=True)
        assert play.received == [1, 1], cut
        caller = play.caller
        assert (caller.status, caller.body, caller.complete) == (200, EVENTS, True), cut


@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"], ids=["CRLF", "LF"])
@pytest.mark.parametrize("name", FRAMED)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE])
def test_head_that_ends_early_on_an_empty_line_is_no_answer(
    monkeypatch: pytest.MonkeyPatch,
    kind: RequestKind,
    name: str,
    line_end: bytes,
    *,
    resets: bool,
    relayed: bool,
) -> None:
    """Failure: the fields that frame a body were missing, and an empty body counted as whole."""
    lines = ANSWERS[name].data.partition(HEAD_END)[0].split(b"\r\n")
    for count in range(len(lines) + 1):
        data = line_end.join([*lines[:count], b"", b""])
        play = odd_play(monkeypatch, data, resets=resets, relayed=relayed)
        play.run(kind)
        assert play.received == [1, 0], data
        check_unknown(play, count)


@pytest.mark.parametrize("name", FRAMED)
@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.ONCE, RequestKind.REPEATABLE])
def test_sound_answer_is_forwarded(
    monkeypatch: pytest.MonkeyPatch, kind: RequestKind, name: str, *, relayed: bool
) -> None:
    play = odd_play(monkeypatch, ANSWERS[name].data, relayed=relayed)
    play.run(kind)
    assert play.received == [1, 0]
    caller = play.caller
    assert (caller.status, caller.body, caller.complete) == (200, EVENTS, True)
