"""Restarts of supervised children, their delays, and what ends the tree."""

from __future__ import annotations

import anyio
import pytest

from ledgeladder.daemons import supervisor
from ledgeladder.daemons.supervisor import (
    SETTLING_SECONDS,
    STABLE_SECONDS,
    Child,
    ChildState,
    Restart,
    failing_children,
    restart_delay,
    supervise,
)
from ledgeladder.model import Problem, ProblemError, ResultCode


@pytest.fixture(autouse=True)
def no_restart_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(supervisor, "RESTART_DELAY_SECONDS", 0.0)


def test_children_are_restarted_independently() -> None:
    starts = {"flaky": 0, "steady": 0}

    async def flaky() -> None:
        starts["flaky"] += 1
        if starts["flaky"] < 4:
            raise ValueError("not yet")

    async def steady() -> None:
        starts["steady"] += 1
        while starts["flaky"] < 4:
            await anyio.sleep(0)

    children = [Child(name="flaky", run=flaky), Child(name="steady", run=steady)]
    anyio.run(lambda: supervise(children))
    assert starts == {"flaky": 4, "steady": 1}


def test_child_that_keeps_failing_is_visible_and_ends_no_sibling() -> None:
    """Guards against a limit of restarts that ends the process within a fraction of a second."""
    states: dict[str, ChildState] = {}
    steady_starts = []

    async def broken() -> None:
        raise OSError("always")

    async def play() -> None:
        async with anyio.create_task_group() as tasks:

            async def steady() -> None:
                steady_starts.append(1)
                while states["broken"].total_failures < 100:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
                await anyio.sleep_forever()

            children = [Child(name="broken", run=broken), Child(name="steady", run=steady)]
            await supervise(children, states=states)

    anyio.run(play)
    assert len(steady_starts) == 1
    assert states["steady"].total_failures == 0
    assert failing_children(states, 0.0) == ["broken"]


def test_delay_grows_with_failures_in_a_row_and_ends_with_a_stable_run() -> None:
    now, starts, states = [0.0], [], dict[str, ChildState]()
    runs = [0.0] * 8 + [STABLE_SECONDS, 0.0]

    async def flaky() -> None:
        starts.append(states["flaky"].failures)
        if len(starts) > len(runs):
            return
        now[0] += runs[len(starts) - 1]
        raise ValueError("once more")

    children = [Child(name="flaky", run=flaky)]
    anyio.run(lambda: supervise(children, states=states, clock=lambda: now[0]))
    assert starts == [0, 1, 2, 3, 4, 5, 6, 7, 8, 1, 2]
    assert [restart_delay(count) for count in starts[1:9]] == sorted(
        restart_delay(count) for count in starts[1:9]
    )
    assert failing_children(states, now[0] + SETTLING_SECONDS) == []


def test_error_of_a_child_that_is_never_restarted_stops_the_tree() -> None:
    async def broken() -> None:
        raise ValueError("state in memory is not trusted any more")

    children = [
        Child(name="broken", run=broken, restart=Restart.NEVER),
        Child(name="forever", run=anyio.sleep_forever),
    ]
    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(lambda: supervise(children))
    assert caught.group_contains(ValueError)


def test_problem_that_is_not_of_the_disk_ends_nobody() -> None:
    starts = []

    async def reader() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise ProblemError(Problem(code=ResultCode.FRAME_INVALID))

    anyio.run(lambda: supervise([Child(name="reader", run=reader)]))
    assert len(starts) == 3


def test_child_that_raises_a_problem_is_not_restarted() -> None:
    starts = []

    async def disk() -> None:
        starts.append(1)
        raise ProblemError(Problem(code=ResultCode.SYNC_FAILED))

    children = [Child(name="disk", run=disk, restart=Restart.ALWAYS)]
    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(lambda: supervise(children))
    assert caught.group_contains(ProblemError)
    assert len(starts) == 1
