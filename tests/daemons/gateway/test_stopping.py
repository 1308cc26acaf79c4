"""Which requests a planned stop lets a box send, and how it ends those in progress."""

from __future__ import annotations

import random

import anyio
import pytest

from ledgeladder.daemons.gateway.checks import ends_with_stop, explain_stop_refusal
from ledgeladder.daemons.gateway.stopping import (
    end_requests,
    explain_unsendable,
    plan_stop,
    usual_time,
)
from ledgeladder.model.traffic import RequestKind
from ledgeladder.routing.attempt_counts import AttemptCounts
from ledgeladder.routing.pace import Pace, record_gap

from .builders import gateway_state
from .failing_upstream import permit

SCHEDULES = 2000
"""Random orders of a stop, arrivals and waits."""


def test_times_of_a_stop_are_in_order() -> None:
    """Guards against a stop that refuses or exits before it ends requests."""
    for seconds in (0.0, 0.1, 0.3, 0.5, 1.0, 4.0, 8.0, 60.0):
        window = plan_stop(100.0, seconds)
        assert 100.0 <= window.refuses_at <= window.ends_at <= window.exits_at
        assert window.exits_at <= 100.0 + seconds


def test_nothing_is_refused_before_a_stop() -> None:
    """Guards against refusals of long requests while no stop is planned."""
    reason = explain_unsendable(None, 5.0, deadline=1000.0, may_repeat=False, usual_seconds=500.0)
    assert reason == ""


@pytest.mark.parametrize(
    ("deadline", "may_repeat", "usual", "is_sent"),
    [
        (3.0, False, 60.0, True),
        (3.0, True, 60.0, True),
        (20.0, False, 0.01, False),
        (20.0, True, 0.5, True),
        (20.0, True, 9.0, False),
    ],
)
def test_only_requests_that_fit_are_sent(
    deadline: float, may_repeat: bool, usual: float, is_sent: bool
) -> None:
    """Guards against requests that are sent in a stop which ends before they do."""
    window = plan_stop(0.0, 8.0)
    reason = explain_unsendable(
        window, 0.5, deadline=deadline, may_repeat=may_repeat, usual_seconds=usual
    )
    assert (reason == "") is is_sent


def test_no_order_of_events_lets_a_request_that_runs_once_outlast_the_stop() -> None:
    """Guards against orders of stop, arrival and wait in which such a request is sent."""
    rng = random.Random(58)
    for _ in range(SCHEDULES):
        stop_at, seconds = rng.uniform(0, 10), rng.uniform(0, 10)
        arrived_at = stop_at + rng.uniform(-2, seconds)
        sent_at = arrived_at + rng.choice([0.0, rng.uniform(0, 3)])
        deadline = arrived_at + rng.uniform(0, 20)
        # Decided by what the box knows when the request is sent.
        window = plan_stop(stop_at, seconds) if sent_at >= stop_at else None
        is_sent = not explain_unsendable(
            window, sent_at, deadline=deadline, may_repeat=False, usual_seconds=rng.uniform(0, 5)
        )
        assert is_sent == (window is None or deadline <= window.ends_at)


def test_time_left_shrinks_what_may_be_sent() -> None:
    """Guards against a repeatable request that is sent late because it would have fit earlier."""
    rng = random.Random(59)
    for _ in range(SCHEDULES):
        window = plan_stop(0.0, rng.uniform(0.5, 30))
        usual, deadline = rng.uniform(0, 10), rng.uniform(0, 60)
        answers = [
            bool(
                explain_unsendable(
                    window, now, deadline=deadline, may_repeat=True, usual_seconds=usual
                )
            )
            for now in sorted(rng.uniform(0, window.ends_at) for _ in range(6))
        ]
        assert answers == sorted(answers)


def test_usual_time_is_at_least_the_target_latency() -> None:
    """Guards against a stop that takes requests of which no answer time is known as short."""
    assert usual_time(Pace(), 0.5) == 0.5
    pace = Pace()
    for seconds in (6.0, 6.0, 7.0):
        record_gap(pace, seconds)
    assert usual_time(pace, 0.5) > 7.0


@pytest.mark.parametrize(
    ("kind", "resumable", "is_sent"),
    [
        (RequestKind.ONCE, False, False),
        (RequestKind.STREAM, False, False),
        (RequestKind.STREAM, True, True),
        (RequestKind.REPEATABLE, False, True),
    ],
)
def test_route_decides_whether_a_long_deadline_is_taken(
    kind: RequestKind, resumable: bool, is_sent: bool
) -> None:
    """Guards against a stop that treats streams which may run once only as repeatable."""

    async def run() -> None:
        state, now = gateway_state(), anyio.current_time()
        long = permit(now, kind, resumable=resumable, seconds=60.0)
        assert explain_stop_refusal(state, long, counts=AttemptCounts()) == ""
        state.stop_window = plan_stop(now, 8.0)
        assert (explain_stop_refusal(state, long, counts=AttemptCounts()) == "") is is_sent
        # A request that may have run goes on; one that an upstream refused has not run.
        assert explain_stop_refusal(state, long, counts=AttemptCounts(sent=1)) == ""
        refused = AttemptCounts(sent=1, refused=1)
        assert (explain_stop_refusal(state, long, counts=refused) == "") is is_sent

    anyio.run(run)


def test_stop_that_ends_cancels_what_is_being_sent() -> None:
    """Guards against requests in progress that get no answer at the end of a stop."""

    async def run() -> None:
        state = gateway_state()
        ended = []

        async def wait(number: int) -> None:
            with anyio.CancelScope() as scope, ends_with_stop(state, scope):
                await anyio.sleep_forever()
            ended.append(number)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait, 1)
            tasks.start_soon(wait, 2)
            await anyio.wait_all_tasks_blocked()
            end_requests(state)
            # One that begins to be sent afterwards ends too.
            tasks.start_soon(wait, 3)
        assert sorted(ended) == [1, 2, 3]
        assert state.refusing
        assert not state.stop_scopes

    anyio.run(run)
