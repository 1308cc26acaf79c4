"""Supervisor tree: tasks that are restarted when they fail, up to a limit."""

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

RESTART_DELAY_SECONDS: Final = 0.05


class Restart(StrEnum):
    """When a child is restarted."""

    ALWAYS = "always"
    """Whenever it returns or raises."""

    ON_ERROR = "on-error"
    """Only when it raises."""

    NEVER = "never"
    """Never; its error stops the whole tree."""


class RestartLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Restarts within a period after which the supervisor gives up."""

    count: int = 5
    """Maximum number of restarts."""

    seconds: float = 10.0
    """Period in which restarts are counted."""


class Child(msgspec.Struct, frozen=True, kw_only=True):
    """A supervised task, which may be a supervisor itself."""

    name: str
    """Name in the log."""

    run: Callable[[], Awaitable[None]]
    """Runs the child; called again for each restart."""

    restart: Restart = Restart.ON_ERROR
    """When the child is restarted."""


class RestartLimitExceededError(Exception):
    """A child exceeded its restart limit."""


async def supervise(
    children: Sequence[Child],
    *,
    limit: RestartLimit = RestartLimit(),  # noqa: B008
    clock: Callable[[], float] = anyio.current_time,
) -> None:
    """Run children concurrently, and restart each of them independently.

    Args:
        children: The children.
        limit: Restart limit of each child.
        clock: Monotonic time in seconds.

    Raises:
        RestartLimitExceededError: If a child exceeds the restart limit.
        ProblemError: If a child raises it; such a child is never restarted.
    """
    async with anyio.create_task_group() as tasks:
        for child in children:
            tasks.start_soon(_run_child, child, limit, clock, name=child.name)


async def _run_child(child: Child, limit: RestartLimit, clock: Callable[[], float]) -> None:
    failures: deque[float] = deque()
    while True:
        try:
            await child.run()
        except Exception as error:
            if child.restart is Restart.NEVER or isinstance(error, ProblemError):
                raise
            logger.exception("child failed", extra={"child": child.name})
            _record_failure(child, failures, limit, clock())
        else:
            if child.restart is not Restart.ALWAYS:
                return
            _record_failure(child, failures, limit, clock())
        await anyio.sleep(RESTART_DELAY_SECONDS)


def _record_failure(child: Child, failures: deque[float], limit: RestartLimit, now: float) -> None:
    failures.append(now)
    while failures and failures[0] < now - limit.seconds:
        failures.popleft()
    if len(failures) > limit.count:
        raise RestartLimitExceededError(
            f"{child.name} ended {len(failures)} times in {limit.seconds} seconds"
        )
