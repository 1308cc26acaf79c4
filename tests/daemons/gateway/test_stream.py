"""How often a stream is sent again, and for which purpose its retries are."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.gateway import admission, stream, stream_paths
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.daemons.gateway.stream_session import AttemptResult, StreamSession, begun_streams
from ledgeladder.model import ProblemError
from ledgeladder.routing.contention import REFUSALS_LIMIT

from ...routing.sample_site import PROFILE
from .builders import engine, gateway_state, path_over

POOL = "engines"
PRIORITIES = (0, 1, 5)


def permit(now: float, priority: int, resume_after: int | None = None) -> Any:
    return SimpleNamespace(
        route=SimpleNamespace(target_latency=0.5, gap_target=0.2, repeatable=True, max_attempts=3),
        pool=SimpleNamespace(name=POOL, engine=PROFILE),
        facts=SimpleNamespace(
            attempt_id="a1",
            host="h",
            path="/",
            resume_after=resume_after,
            prompt_tokens=10,
            answer_tokens=10,
            prompt_parts=(),
        ),
        account=None,
        priority=priority,
        deadline=now + 5.0,
    )


class Play:
    """Runs streams whose attempts have given results, and records how they were sent."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *results: AttemptResult) -> None:
        self.results = results
        self.state = gateway_state()
        self.sent = 0
        self.purposes: list[bool] = []
        self.begun: list[int] = []
        self.admissions = 0
        monkeypatch.setattr(stream_paths, "count_crashes", lambda *_args: 0)
        monkeypatch.setattr(stream, "choose_attempt_path", lambda *_args: path_over(engine()))
        monkeypatch.setattr(admission, "admit_stream", self._admit)
        monkeypatch.setattr(stream, "run_attempt", self._attempt)
        monkeypatch.setattr(stream_paths, "acquire_retry", self._acquire)
        monkeypatch.setattr(stream, "record_answered", lambda *_args: None)

    async def _admit(self, *_args: Any) -> None:
        """Count calls; admission has tests of its own."""
        self.admissions += 1

    async def _acquire(self, _state: GatewayState, _pool: str, *, started: bool) -> Any:
        self.purposes.append(started)
        return SimpleNamespace(quota_until=None, started=started)

    async def _attempt(
        self, state: GatewayState, _permit: Any, _request: Any, _exchange: Any, *rest: Any
    ) -> AttemptResult:
        session: StreamSession = rest[0]
        result = self.results[min(self.sent, len(self.results) - 1)]
        self.sent += 1
        rest[1].was_sent = True
        session.attempts.record_sent()
        if result is AttemptResult.REFUSED:
            session.attempts.record_refused()
        else:
            session.started = True
        self.begun.append(len(begun_streams(state, POOL)))
        return result

    def run(self, priority: int, resume_after: int | None = None) -> None:
        async def run() -> None:
            now = anyio.current_time()
            request: Any = SimpleNamespace(arrived_at=now)
            exchange: Any = None
            trace: Any = SimpleNamespace(give_up_reason="")
            await stream.forward_stream(
                self.state, permit(now, priority, resume_after), request, exchange, trace
            )

        try:
            anyio.run(run)
        except ProblemError:
            assert self.results[-1] is AttemptResult.REFUSED


@pytest.mark.parametrize(("priority", "limit"), [(0, REFUSALS_LIMIT), (1, 3), (5, 2)])
def test_less_urgent_new_requests_give_up_after_fewer_refusals(
    monkeypatch: pytest.MonkeyPatch, priority: int, limit: int
) -> None:
    play = Play(monkeypatch, AttemptResult.REFUSED)
    play.state.contended = frozenset({POOL})
    play.state.index.ranks = {POOL: PRIORITIES}
    play.run(priority)
    assert play.sent == limit


def test_pools_without_priorities_have_the_same_limit_for_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch, AttemptResult.REFUSED)
    play.run(5)
    assert play.sent == REFUSALS_LIMIT


@pytest.mark.parametrize("contended", [True, False])
def test_only_contended_pools_ask_for_admission(
    monkeypatch: pytest.MonkeyPatch, *, contended: bool
) -> None:
    """Gateways whose pools are all uncontended never load the modules of admission."""
    play = Play(monkeypatch, AttemptResult.COMPLETE)
    if contended:
        play.state.contended = frozenset({POOL})
    play.run(0)
    assert play.sent == 1
    assert play.admissions == int(contended)


def test_resumed_streams_have_the_limit_of_urgent_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch, AttemptResult.REFUSED)
    play.state.contended = frozenset({POOL})
    play.state.index.ranks = {POOL: PRIORITIES}
    play.run(5, resume_after=7)
    assert play.sent == REFUSALS_LIMIT
    assert play.purposes == [True] * (REFUSALS_LIMIT - 1)


def test_purpose_of_a_retry_changes_once_the_stream_has_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    results = (AttemptResult.REFUSED, AttemptResult.LOST, AttemptResult.COMPLETE)
    play = Play(monkeypatch, *results)
    play.run(0)
    assert play.purposes == [False, True]
    assert play.begun == [0, 1, 1]
    assert play.state.running_streams == {}
