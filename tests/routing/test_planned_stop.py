"""Which requests a planned stop lets a box send, over orders of events."""

from __future__ import annotations

import itertools
import random

import pytest

from ledgeladder.routing.pace import Pace, record_gap
from ledgeladder.routing.planned_stop import explain_unsendable, plan_stop, usual_time

SCHEDULES = 2000
"""Random orders of a stop, arrivals and waits."""


def test_times_of_a_stop_are_in_order() -> None:
    """Guards against a stop that refuses or exits before it ends requests."""
    for seconds, notice in itertools.product(
        (0.0, 0.1, 0.3, 0.5, 1.0, 4.0, 8.0, 60.0), (0.0, 0.3, 9.0)
    ):
        window = plan_stop(100.0, seconds, notice_seconds=notice)
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
    window = plan_stop(0.0, 8.0, notice_seconds=3.0)
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
        window = plan_stop(stop_at, seconds, notice_seconds=1.0) if sent_at >= stop_at else None
        is_sent = not explain_unsendable(
            window, sent_at, deadline=deadline, may_repeat=False, usual_seconds=rng.uniform(0, 5)
        )
        assert is_sent == (window is None or deadline <= window.ends_at)


def test_time_left_shrinks_what_may_be_sent() -> None:
    """Guards against a repeatable request that is sent late because it would have fit earlier."""
    rng = random.Random(59)
    for _ in range(SCHEDULES):
        window = plan_stop(0.0, rng.uniform(0.5, 30), notice_seconds=1.0)
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
