"""A supervisor tree: children that are restarted, and limits after which the tree gives up."""

from __future__ import annotations

import logging
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ..model import ProblemError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

logger = logging.getLogger(__name__)

RESTART_PAUSE_SECONDS: Final = 0.05


class Restart(StrEnum):
    """When a child is started again."""

    ALWAYS = "always"
    """Whenever it ends."""

    ON_ERROR = "on-error"
    """Only when it raises; its normal end is accepted."""

    NEVER = "never"
    """Never; its error ends the whole tree."""


class RestartLimit(msgspec.Struct, frozen=True, kw_only=True):
    """How many restarts within a time are borne before the supervisor gives up."""

    count: int = 5
    """Restarts."""

    seconds: float = 10.0
    """Period in which they are counted."""


class Child(msgspec.Struct, frozen=True, kw_only=True):
    """One supervised task, or a whole supervisor as a task."""

    name: str
    """Name in the log."""

    run: Callable[[], Awaitable[None]]
    """Starts the child's work; called anew for each restart."""

    restart: Restart = Restart.ON_ERROR
    """When it is started again."""


class SupervisorGaveUpError(Exception):
    """A child failed more often than its supervisor bears."""


async def supervise(
    children: Sequence[Child],
    *,
    limit: RestartLimit = RestartLimit(),  # noqa: B008
    clock: Callable[[], float] = anyio.current_time,
) -> None:
    """Run children side by side; each is restarted on its own.

    Args:
        children: What to run.
        limit: Restarts that are borne per child.
        clock: Monotonic time in seconds.

    Raises:
        SupervisorGaveUpError: If a child fails beyond the limit.
        ProblemError: If a child that is never restarted ends with a numbered problem.
    """
    async with anyio.create_task_group() as tasks:
        for child in children:
            tasks.start_soon(_keep, child, limit, clock, name=child.name)


async def _keep(child: Child, limit: RestartLimit, clock: Callable[[], float]) -> None:
    failures: deque[float] = deque()
    while True:
        try:
            await child.run()
        except Exception as error:
            if child.restart is Restart.NEVER or isinstance(error, ProblemError):
                raise
            logger.exception("child failed", extra={"child": child.name})
            _note_failure(child, failures, limit, clock())
        else:
            if child.restart is not Restart.ALWAYS:
                return
            _note_failure(child, failures, limit, clock())
        await anyio.sleep(RESTART_PAUSE_SECONDS)


def _note_failure(child: Child, failures: deque[float], limit: RestartLimit, now: float) -> None:
    failures.append(now)
    while failures and failures[0] < now - limit.seconds:
        failures.popleft()
    if len(failures) > limit.count:
        raise SupervisorGaveUpError(
            f"{child.name} ended {len(failures)} times in {limit.seconds} seconds"
        )
