"""Restarts and their limits."""

from __future__ import annotations

import anyio
import pytest

from ledgeladder.daemons import supervisor
from ledgeladder.daemons.supervisor import (
    Child,
    Restart,
    RestartLimit,
    SupervisorGaveUpError,
    supervise,
)
from ledgeladder.model import Problem, ProblemError, ResultCode


@pytest.fixture(autouse=True)
def no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(supervisor, "RESTART_PAUSE_SECONDS", 0.0)


def test_child_is_restarted_on_its_own() -> None:
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


def test_limit_ends_the_tree() -> None:
    async def broken() -> None:
        raise ValueError("always")

    async def forever() -> None:
        await anyio.sleep(3600)

    children = [Child(name="broken", run=broken), Child(name="forever", run=forever)]
    limit = RestartLimit(count=3, seconds=1000.0)
    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(lambda: supervise(children, limit=limit))
    assert caught.group_contains(SupervisorGaveUpError)


def test_numbered_problem_is_not_restarted() -> None:
    starts = []

    async def disk() -> None:
        starts.append(1)
        raise ProblemError(Problem(code=ResultCode.SYNC_FAILED))

    children = [Child(name="disk", run=disk, restart=Restart.ALWAYS)]
    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(lambda: supervise(children))
    assert caught.group_contains(ProblemError)
    assert len(starts) == 1
