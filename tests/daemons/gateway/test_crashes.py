"""Requests that crash upstreams are reported, and quarantined ones refused."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination.crash_book import (
    CRASH_LIMIT,
    UNCONFIRMED_QUARANTINE_SECONDS,
    crash_count,
)
from ledgeladder.daemons.gateway.crashes import (
    count_crashes,
    handle_quarantine_update,
    handle_suspect_update,
    record_answered,
    record_crash,
    refuse_quarantined,
)
from ledgeladder.daemons.gateway.notes import RequestTrace, content_fingerprint
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.links.messages import ContentServed, CrashReport, QuarantineUpdate, SuspectUpdate
from ledgeladder.model import Execution, ProblemError, ResultCode

from .builders import engine, gateway_state

PERMIT: Any = SimpleNamespace(
    facts=SimpleNamespace(attempt_id="a", key="k", prompt_parts=()), account="account"
)


def request(body: bytes = b"body") -> Any:
    return SimpleNamespace(method=b"POST", target=b"/x", body=body)


def fingerprint(body: bytes = b"body") -> bytes:
    return content_fingerprint(RequestTrace(), request(body), PERMIT)


def collect_reports(state: GatewayState) -> list[Any]:
    reports: list[Any] = []
    links = {"10.0.0.1": SimpleNamespace(post=reports.append)}
    state.peers = SimpleNamespace(links=links, ranked=["10.0.0.1"])  # type: ignore[assignment]
    return reports


def fail_attempt(
    state: GatewayState, instance: str, *, exited: bool, body: bytes = b"body"
) -> None:
    upstream = engine(instance)
    if exited:
        upstream.exited_at = anyio.current_time()
    started_at = anyio.current_time() - 0.1
    record_crash(state, PERMIT, request(body), RequestTrace(), [upstream], started_at)


def test_content_that_crashes_upstreams_is_refused_with_retry_after() -> None:
    async def play() -> None:
        state = gateway_state()
        reports = collect_reports(state)
        for number in range(CRASH_LIMIT):
            refuse_quarantined(state, PERMIT, request(), RequestTrace())
            assert count_crashes(state, PERMIT, request(), RequestTrace()) == number
            fail_attempt(state, f"i-{number}", exited=True)
        expected = [
            CrashReport(fingerprint=fingerprint(), instance=f"i-{item}") for item in range(3)
        ]
        assert reports == expected
        with pytest.raises(ProblemError) as caught:
            refuse_quarantined(state, PERMIT, request(), RequestTrace())
        problem = caught.value.problem
        assert problem.code is ResultCode.QUARANTINED
        assert problem.known_execution is Execution.NOT_RUN
        assert problem.retry_after == pytest.approx(UNCONFIRMED_QUARANTINE_SECONDS, abs=1.0)
        # Requests with other content are still served.
        refuse_quarantined(state, PERMIT, request(b"another"), RequestTrace())

    anyio.run(play)


def test_partitioned_box_records_no_crash() -> None:
    """Connections that time out in a partition are no evidence that a process has exited."""

    async def play() -> None:
        state = gateway_state()
        reports = collect_reports(state)
        for number in range(2 * CRASH_LIMIT):
            fail_attempt(state, f"i-{number}", exited=False)
        assert reports == []
        assert count_crashes(state, PERMIT, request(), RequestTrace()) == 0

    anyio.run(play)


def test_exit_before_the_attempt_is_not_counted() -> None:
    async def play() -> None:
        state = gateway_state()
        upstream = engine("i-1")
        upstream.exited_at = anyio.current_time()
        started_at = upstream.exited_at + 1.0
        record_crash(state, PERMIT, request(), RequestTrace(), [upstream], started_at)
        assert crash_count(state.quarantine.crashes, fingerprint()) == 0

    anyio.run(play)


def test_answer_clears_suspicion_at_all_boxes() -> None:
    async def play() -> None:
        state = gateway_state()
        reports = collect_reports(state)
        fail_attempt(state, "i-1", exited=True)
        handle_suspect_update(state, SuspectUpdate(fingerprint=fingerprint(), crashes=2))
        assert count_crashes(state, PERMIT, request(), RequestTrace()) == 2
        record_answered(state, PERMIT, request(), RequestTrace())
        assert count_crashes(state, PERMIT, request(), RequestTrace()) == 0
        assert reports[-1] == ContentServed(fingerprint=fingerprint())

    anyio.run(play)


def test_updates_of_control_boxes_are_applied() -> None:
    async def play() -> None:
        state = gateway_state()
        handle_suspect_update(
            state, SuspectUpdate(fingerprint=fingerprint(b"1"), crashes=CRASH_LIMIT)
        )
        handle_quarantine_update(
            state, QuarantineUpdate(seconds_left={fingerprint(b"2"): 100.0, fingerprint(b"3"): 0.0})
        )
        for body, seconds in ((b"1", UNCONFIRMED_QUARANTINE_SECONDS), (b"2", 100.0)):
            with pytest.raises(ProblemError) as caught:
                refuse_quarantined(state, PERMIT, request(body), RequestTrace())
            assert caught.value.problem.retry_after == pytest.approx(seconds, abs=1.0)
        refuse_quarantined(state, PERMIT, request(b"3"), RequestTrace())
        assert fingerprint(b"3") not in state.quarantine.quarantined_until

    anyio.run(play)


def test_no_fingerprint_is_computed_without_suspects() -> None:
    trace = RequestTrace()
    state = gateway_state()
    refuse_quarantined(state, PERMIT, request(), trace)
    assert count_crashes(state, PERMIT, request(), trace) == 0
    assert trace.fingerprint is None
