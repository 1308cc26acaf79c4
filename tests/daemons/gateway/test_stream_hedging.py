"""What a stream's attempt that is overdue may be hedged by."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from ledgeladder.daemons.gateway import stream_hedging, stream_paths
from ledgeladder.daemons.gateway.state import retry_budget
from ledgeladder.daemons.gateway.stream_hedging import plan_hedge
from ledgeladder.daemons.gateway.stream_session import StreamSession, report_overdue
from ledgeladder.routing.attempt_counts import AttemptCounts
from ledgeladder.routing.attempt_race import (
    RunningAttempt,
    StopReason,
    begin_attempt,
    record_progress,
)
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.repeat_window import add_quota
from ledgeladder.routing.stream_patience import stream_timeouts

from .builders import engine, gateway_state, path_over

TIMEOUTS = stream_timeouts(
    target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1
)


class Bed:
    """A stream with one attempt that is overdue."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        *,
        attempts: int = 1,
        retries: int = 1,
        other_path: bool = True,
        repeatable: bool = True,
    ) -> None:
        self.session = StreamSession(
            order=EventOrder(last_id=None),
            timeouts=TIMEOUTS,
            tokens=10,
            attempts=AttemptCounts(sent=attempts),
        )
        self.permit = SimpleNamespace(
            route=SimpleNamespace(repeatable=repeatable, max_attempts=2),
            pool=SimpleNamespace(name="p"),
            facts=SimpleNamespace(host="h", path="/", attempt_id="a1", prompt_parts=()),
            version=1,
        )
        self.attempt = RunningAttempt(path=path_over(engine("i-1")), started_at=0.0)
        self.attempt.was_sent = attempts > 0
        self.retries = retries
        self.state = gateway_state()
        self.other = engine("i-9")
        path = path_over(self.other) if other_path else None
        monkeypatch.setattr(stream_hedging, "choose_hedge_path", lambda *_: path)

    async def plan(self) -> bool:
        """Return whether the overdue attempt is hedged."""
        begin_attempt(self.session.race, self.attempt)
        report_overdue(self.session, self.attempt, "stalled")
        budget = retry_budget(self.state, "p")
        add_quota(budget, self.retries, anyio.current_time() + 60.0)
        planned = await plan_hedge(self.state, self.permit, None, self.session)
        is_planned = planned is not None or self.session.next_attempt is not None
        # A retry is taken for another attempt only, and room.
        assert len(budget.quota) == self.retries - is_planned
        assert self.other.in_flight == int(is_planned)
        return is_planned


@pytest.mark.parametrize(
    ("attempts", "other_path", "retries", "expected"),
    [(1, True, 1, True), (2, True, 1, False), (1, False, 1, False), (1, True, 0, False)],
)
def test_a_hedge_needs_an_attempt_a_path_and_a_retry(
    monkeypatch: pytest.MonkeyPatch,
    attempts: int,
    retries: int,
    *,
    other_path: bool,
    expected: bool,
) -> None:
    bed = Bed(monkeypatch, attempts=attempts, other_path=other_path, retries=retries)
    assert anyio.run(bed.plan) is expected
    # The overdue attempt goes on in any case.
    assert bed.attempt.stopped is None


@pytest.mark.parametrize("attempts", [0, 1])
def test_a_stream_that_may_run_once_only_is_not_hedged(
    monkeypatch: pytest.MonkeyPatch, attempts: int
) -> None:
    """Failure: an attempt that is still connecting is sent after its hedge, and runs twice."""
    assert not anyio.run(Bed(monkeypatch, attempts=attempts, repeatable=False).plan)


def test_a_stalled_attempt_between_failure_domains_is_kept_without_replacement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: streams whose path crosses failure domains were ended after a second of silence,
    whether or not anything could replace them."""
    bed = Bed(monkeypatch, other_path=False)
    engines = engine("i-1"), engine("i-2", "127.0.0.1:2")
    engines[1].registration = msgspec.structs.replace(
        engines[1].registration, failure_domain="other"
    )
    bed.attempt.path = path_over(*engines)
    assert not anyio.run(bed.plan)
    assert bed.attempt.stopped is None


@pytest.mark.parametrize(
    ("other_path", "repeatable", "was_refused", "is_stopped"),
    [
        (True, True, True, True),
        (True, True, False, False),
        (False, True, True, False),
        (True, False, True, False),
    ],
)
def test_attempt_with_an_unreachable_engine_is_stopped_only_if_another_one_needs_its_room(
    monkeypatch: pytest.MonkeyPatch,
    *,
    other_path: bool,
    repeatable: bool,
    was_refused: bool,
    is_stopped: bool,
) -> None:
    """Failure: the room of the attempt was held until its engines gave it up, which the next one
    needed; or all engines were suspended, and nothing could begin in its place."""
    bed = Bed(monkeypatch, other_path=other_path, repeatable=repeatable)
    bed.session.dead.add("i-1")
    bed.session.was_hedge_refused = was_refused
    assert anyio.run(bed.plan) is (other_path and repeatable)
    assert bed.attempt.stopped is (StopReason.UNREACHABLE if is_stopped else None)
    assert (bed.session.next_attempt is not None) is is_stopped


def test_attempt_whose_first_engine_appears_lost_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: suspended engines, whose probes failed, ran a stream more often than allowed."""
    bed = Bed(monkeypatch, attempts=2)
    bed.session.dead.add("i-1")
    assert not anyio.run(bed.plan)


def test_attempt_that_makes_progress_while_quota_is_requested_is_not_hedged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bed = Bed(monkeypatch)
    acquire = stream_paths.acquire_retry

    async def acquire_late(*args: object, **options: object) -> object:
        retry = await acquire(*args, **options)
        record_progress(bed.session.race, bed.attempt)
        return retry

    monkeypatch.setattr(stream_paths, "acquire_retry", acquire_late)
    assert not anyio.run(bed.plan)
