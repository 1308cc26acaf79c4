"""The first plan must include all engines, which register over several seconds."""

from __future__ import annotations

import pytest

from ledgeladder.coordination.gathering import InitialDiscovery
from ledgeladder.daemons.registry.placement import PLACEMENT_POLL_SECONDS

HEARTBEAT = 1.2
"""Time between two heartbeats of an engine, in seconds."""

REGISTRATION_TIMES = [
    *(0.0, 0.038, 0.79, 0.79, 0.79, 0.87, 0.91, 0.93, 1.0, 1.13, 1.17, 1.2, 1.3, 1.31, 1.45, 1.45),
    *(1.68, 1.69, 1.71, 1.79, 1.82, 1.87, 1.89, 2.1, 2.1, 2.26, 2.28, 2.42, 2.42, 2.42, 2.47, 2.52),
    2.61,
]
"""Times at which engines register, in seconds after the first. A plan over the first two alone
would leave every failure domain without a copy of the model."""


def planned_with(
    times: list[float],
    *,
    enough: int,
    serving: bool = False,
    first_poll: float = 0.0,
    heartbeat: float = HEARTBEAT,
) -> tuple[int, float]:
    """Return how many engines were registered when the first plan was made, and when.

    Args:
        times: When engines register, in seconds.
        enough: Number of engines that can hold the model together.
        serving: True if some hold layers already.
        first_poll: When the first poll is, in seconds.
        heartbeat: Time between two heartbeats, in seconds.
    """
    discovery = InitialDiscovery(heartbeat=heartbeat)
    # The monotonic clock does not start at 0.
    began = 100.0
    now = began + first_poll
    while True:
        count = sum(at <= now - began for at in times)
        if discovery.is_complete(count, now, is_serving=serving, can_hold_model=count >= enough):
            return count, now - began
        now += PLACEMENT_POLL_SECONDS


@pytest.mark.parametrize("first_poll", [0.02, 0.06, 0.1, 0.14, 0.18])
def test_late_engines_are_in_the_first_plan(first_poll: float) -> None:
    count, at = planned_with(REGISTRATION_TIMES, enough=5, first_poll=first_poll)
    assert count == len(REGISTRATION_TIMES)
    assert at < 4.0


def test_engines_that_register_together_are_planned_a_heartbeat_later() -> None:
    count, at = planned_with([0.0] * 20, enough=5)
    assert count == 20
    assert at == pytest.approx(HEARTBEAT, abs=PLACEMENT_POLL_SECONDS)


def test_plan_waits_for_engines_that_hold_the_model_together() -> None:
    """Nothing can be served before, and ordered layers are not divided again."""
    count, _ = planned_with([0.0, 0.1, 5.0, 5.1], enough=3)
    assert count == 4


def test_insufficient_engines_are_planned_after_the_maximum_wait() -> None:
    count, at = planned_with([0.0, 0.1], enough=3)
    assert count == 2
    assert at < 20.0


def test_new_leader_does_not_wait_for_a_heartbeat() -> None:
    """Engines that hold layers serve requests, and a gap among them must be closed soon."""
    _, at = planned_with([0.0] * 20, enough=5, serving=True)
    assert at < HEARTBEAT / 1.5


def test_short_heartbeats_do_not_shorten_the_minimum_wait() -> None:
    count, _ = planned_with([0.0, 0.0, 0.5, 0.5], enough=2, heartbeat=0.3)
    assert count == 4
