"""Restarts of supervised children, and the restart limit."""

from __future__ import annotations

import anyio
import pytest

from ledgeladder.daemons import supervisor
from ledgeladder.daemons.supervisor import (
    Child,
    Restart,
    RestartLimit,
    RestartLimitExceededError,
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


def test_exceeded_restart_limit_stops_the_tree() -> None:
    async def broken() -> None:
        raise ValueError("always")

    async def forever() -> None:
        await anyio.sleep(3600)

    children = [Child(name="broken", run=broken), Child(name="forever", run=forever)]
    limit = RestartLimit(count=3, seconds=1000.0)
    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(lambda: supervise(children, limit=limit))
    assert caught.group_contains(RestartLimitExceededError)


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
