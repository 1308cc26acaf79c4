"""Load: retries and paths are short; what a stalled attempt may be replaced by."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import msgspec
import pytest

from ledgeladder.daemons.gateway import stream_replacement
from ledgeladder.daemons.gateway.state import retry_budget
from ledgeladder.daemons.gateway.stream_replacement import replaceable_attempts
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.routing.attempt_counts import AttemptCounts
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.repeat_window import add_quota
from ledgeladder.routing.stream_patience import stream_timeouts

from .builders import engine, gateway_state, path_over

FACTS = SimpleNamespace(host="h", path="/")

TIMEOUTS = stream_timeouts(
    target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1
)


@pytest.mark.parametrize(
    ("attempts", "other_path", "retries", "expected"),
    [(1, True, 1, True), (2, True, 1, False), (1, False, 1, False), (1, True, 0, False)],
)
def test_a_replacement_needs_an_attempt_a_path_and_a_retry(
    monkeypatch: pytest.MonkeyPatch,
    attempts: int,
    retries: int,
    *,
    other_path: bool,
    expected: bool,
) -> None:
    session = StreamSession(
        order=EventOrder(last_id=None),
        timeouts=TIMEOUTS,
        tokens=10,
        attempts=AttemptCounts(sent=attempts),
    )
    permit = SimpleNamespace(
        route=SimpleNamespace(repeatable=True, max_attempts=2),
        pool=SimpleNamespace(name="p"),
        facts=FACTS,
    )
    monkeypatch.setattr(stream_replacement, "has_other_path", lambda *_: other_path)

    async def run() -> bool:
        state = gateway_state()
        budget = retry_budget(state, "p")
        add_quota(budget, retries, anyio.current_time() + 60.0)
        with replaceable_attempts(state, permit, session):
            secured = await session.may_abort(path_over(engine()), lost_link=False)
            assert (session.reserved_retry is not None) is expected
        # An unused reservation goes back to the budget.
        assert session.reserved_retry is None
        assert len(budget.quota) == retries
        return secured

    assert anyio.run(run) is expected


def test_a_stalled_attempt_between_failure_domains_is_aborted_without_replacement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: the link between two domains is full. Whoever waits for it holds the room of both."""
    session = StreamSession(order=EventOrder(last_id=None), timeouts=TIMEOUTS, tokens=10)
    permit = SimpleNamespace(
        route=SimpleNamespace(repeatable=True, max_attempts=1),
        pool=SimpleNamespace(name="p"),
        facts=FACTS,
    )
    monkeypatch.setattr(stream_replacement, "has_other_path", lambda *_: False)
    engines = engine("i-1"), engine("i-2", "127.0.0.1:2")
    engines[1].registration = msgspec.structs.replace(
        engines[1].registration, failure_domain="other"
    )

    async def run() -> bool:
        with replaceable_attempts(gateway_state(), permit, session):
            return await session.may_abort(path_over(*engines), lost_link=False)

    assert anyio.run(run)
    assert session.reserved_retry is None
