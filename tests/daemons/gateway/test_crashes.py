"""What a gateway makes of upstreams that end under its requests."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination.content_watch import UNCONFIRMED_SECONDS
from ledgeladder.coordination.crash_book import CRASH_LIMIT, count_ends
from ledgeladder.daemons.gateway.crashes import (
    count_crashes,
    handle_quarantine_update,
    handle_suspect_update,
    record_answered,
    record_crash,
    refuse_quarantined,
)
from ledgeladder.daemons.gateway.request_trace import RequestTrace, content_fingerprint
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.links.messages import ContentServed, CrashReport, QuarantineNews, SuspectNews
from ledgeladder.model import Execution, ProblemError, ResultCode

from .builders import engine, gateway_state

PERMIT: Any = SimpleNamespace(facts=SimpleNamespace(attempt_id="a", key="k"), account="account")


def request(body: bytes = b"body") -> Any:
    return SimpleNamespace(method=b"POST", target=b"/x", body=body)


def mark(body: bytes = b"body") -> bytes:
    return content_fingerprint(RequestTrace(), request(body), PERMIT)


def told_by(state: GatewayState) -> list[Any]:
    told: list[Any] = []
    links = {"10.0.0.1": SimpleNamespace(post=told.append)}
    state.peers = SimpleNamespace(links=links, ranked=["10.0.0.1"])  # type: ignore[assignment]
    return told


def end_run(state: GatewayState, instance: str, *, ended: bool, body: bytes = b"body") -> None:
    upstream = engine(instance)
    if ended:
        upstream.ended_at = anyio.current_time()
    started_at = anyio.current_time() - 0.1
    record_crash(state, PERMIT, request(body), RequestTrace(), [upstream], started_at)


def test_content_under_which_upstreams_end_is_refused_with_the_time_to_come_back() -> None:
    async def play() -> None:
        state = gateway_state()
        told = told_by(state)
        for number in range(CRASH_LIMIT):
            refuse_quarantined(state, PERMIT, request(), RequestTrace())
            assert count_crashes(state, PERMIT, request(), RequestTrace()) == number
            end_run(state, f"i-{number}", ended=True)
        expected = [CrashReport(content=mark(), instance=f"i-{item}") for item in range(3)]
        assert told == expected
        with pytest.raises(ProblemError) as caught:
            refuse_quarantined(state, PERMIT, request(), RequestTrace())
        problem = caught.value.problem
        assert problem.code is ResultCode.QUARANTINED
        assert problem.known_execution is Execution.NOT_RUN
        assert problem.retry_after == pytest.approx(UNCONFIRMED_SECONDS, abs=1.0)
        # Others are served, whatever they have in common with it but the content.
        refuse_quarantined(state, PERMIT, request(b"another"), RequestTrace())

    anyio.run(play)


def test_cut_off_box_blames_no_content() -> None:
    """The pattern: connections time out behind a cut; nothing says that a process has ended."""

    async def play() -> None:
        state = gateway_state()
        told = told_by(state)
        for number in range(2 * CRASH_LIMIT):
            end_run(state, f"i-{number}", ended=False)
        assert told == []
        assert count_crashes(state, PERMIT, request(), RequestTrace()) == 0

    anyio.run(play)


def test_end_from_before_the_run_does_not_count() -> None:
    async def play() -> None:
        state = gateway_state()
        upstream = engine("i-1")
        upstream.ended_at = anyio.current_time()
        started_at = upstream.ended_at + 1.0
        record_crash(state, PERMIT, request(), RequestTrace(), [upstream], started_at)
        assert count_ends(state.quarantine.book, mark()) == 0

    anyio.run(play)


def test_answered_request_is_suspected_no_more_anywhere() -> None:
    async def play() -> None:
        state = gateway_state()
        told = told_by(state)
        end_run(state, "i-1", ended=True)
        handle_suspect_update(state, SuspectNews(content=mark(), ends=2))
        assert count_crashes(state, PERMIT, request(), RequestTrace()) == 2
        record_answered(state, PERMIT, request(), RequestTrace())
        assert count_crashes(state, PERMIT, request(), RequestTrace()) == 0
        assert told[-1] == ContentServed(content=mark())

    anyio.run(play)


def test_what_control_boxes_say_holds_here() -> None:
    async def play() -> None:
        state = gateway_state()
        handle_suspect_update(state, SuspectNews(content=mark(b"1"), ends=CRASH_LIMIT))
        handle_quarantine_update(
            state, QuarantineNews(seconds_left={mark(b"2"): 100.0, mark(b"3"): 0.0})
        )
        for body, seconds in ((b"1", UNCONFIRMED_SECONDS), (b"2", 100.0)):
            with pytest.raises(ProblemError) as caught:
                refuse_quarantined(state, PERMIT, request(body), RequestTrace())
            assert caught.value.problem.retry_after == pytest.approx(seconds, abs=1.0)
        refuse_quarantined(state, PERMIT, request(b"3"), RequestTrace())
        assert mark(b"3") not in state.quarantine.held_until

    anyio.run(play)


def test_calm_box_hashes_nothing() -> None:
    trace = RequestTrace()
    state = gateway_state()
    refuse_quarantined(state, PERMIT, request(), trace)
    assert count_crashes(state, PERMIT, request(), trace) == 0
    assert trace.fingerprint is None
