"""Supervisor tree: tasks that are restarted when they fail, and the signals that end it."""

from __future__ import annotations

import logging
import signal
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final

import anyio
import msgspec

from ..model import ResultCode, find_problem

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

logger = logging.getLogger(__name__)

RESTART_DELAY_SECONDS: Final = 0.05
"""Delay before the first restart; doubled after each further failure."""

MAX_RESTART_DELAY_SECONDS: Final = 2.0
"""Longest delay before a restart."""

STABLE_SECONDS: Final = 10.0
"""A child that has run for this long counts as recovered, and its next delay is the first again."""

SETTLING_SECONDS: Final = 0.5
"""How long a restarted child still counts as failing, since it may fail again at once."""

FATAL_CODES: Final = frozenset(
    {
        ResultCode.JOURNAL_CORRUPT,
        ResultCode.JOURNAL_FORMAT,
        ResultCode.FOLDER_FOREIGN,
        ResultCode.SYNC_FAILED,
    }
)
"""Problems of a disk that would break a promise if the process went on."""


STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
"""Signals that begin a planned stop."""


class Restart(StrEnum):
    """When a child is restarted."""

    ALWAYS = "always"
    """Whenever it returns or raises."""

    ON_ERROR = "on-error"
    """Only when it raises."""

    NEVER = "never"
    """Never; its error stops the whole tree."""


class Child(msgspec.Struct, frozen=True, kw_only=True):
    """A supervised task, which may be a supervisor itself."""

    name: str
    """Name in the log."""

    run: Callable[[], Awaitable[None]]
    """Runs the child; called again for each restart."""

    restart: Restart = Restart.ON_ERROR
    """When the child is restarted."""


class ChildState(msgspec.Struct, kw_only=True):
    """What a supervisor knows of a child."""

    total_failures: int = 0
    """Number of its failures since the start of the process."""

    failures: int = 0
    """Number of its failures since it last ran for `STABLE_SECONDS`."""

    started_at: float | None = None
    """Time of its latest start; None while it waits for a restart."""


async def supervise(
    children: Sequence[Child],
    *,
    states: dict[str, ChildState] | None = None,
    clock: Callable[[], float] = anyio.current_time,
) -> None:
    """Run children concurrently, and restart each of them independently.

    A child that keeps failing is restarted forever, and ends neither its siblings nor the process.

    Args:
        children: The children.
        states: Filled with the state of each child by name, for metrics.
        clock: Monotonic time in seconds.

    Raises:
        ExceptionGroup: With the error of a child that is never restarted, or a `ProblemError` with
            one of the `FATAL_CODES`.
    """
    known = {} if states is None else states
    async with anyio.create_task_group() as tasks:
        for child in children:
            state = known.setdefault(child.name, ChildState())
            tasks.start_soon(_run_child, child, state, clock, name=child.name)


async def _run_child(child: Child, state: ChildState, clock: Callable[[], float]) -> None:
    while True:
        state.started_at = started_at = clock()
        try:
            await child.run()
        except Exception as error:
            if child.restart is Restart.NEVER or _is_fatal(error):
                raise
            delay = _record_failure(state, clock() - started_at)
            logger.exception(
                "child failed",
                extra={"child": child.name, "failures": state.failures, "retry_seconds": delay},
            )
        else:
            if child.restart is not Restart.ALWAYS:
                return
            delay = _record_failure(state, clock() - started_at)
        await anyio.sleep(delay)


async def run_contained(work: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Run a task on which nothing else depends, and log its failure.

    Args:
        work: Function to run.
        arguments: Arguments of the function.
    """
    try:
        await work(*arguments)
    except Exception:
        logger.exception(
            "background task failed", extra={"task": getattr(work, "__name__", repr(work))}
        )


def _is_fatal(error: Exception) -> bool:
    problem = find_problem(error)
    return problem is not None and problem.code in FATAL_CODES


def _record_failure(state: ChildState, ran_seconds: float) -> float:
    """Count a failure, and return the delay before the restart in seconds."""
    if ran_seconds >= STABLE_SECONDS:
        state.failures = 0
    state.failures += 1
    state.total_failures += 1
    state.started_at = None
    return restart_delay(state.failures)


def restart_delay(failures: int) -> float:
    """Return the delay before a restart, in seconds.

    Args:
        failures: Number of failures in a row, at least 1.

    >>> [restart_delay(failures) for failures in (1, 2, 6, 7, 5000)]
    [0.05, 0.1, 1.6, 2.0, 2.0]
    """
    doublings = min(failures - 1, 16)
    return min(RESTART_DELAY_SECONDS * 2**doublings, MAX_RESTART_DELAY_SECONDS)


def failing_children(states: dict[str, ChildState], now: float) -> list[str]:
    """Return the names of children that wait for a restart, or have just been restarted.

    Args:
        states: States of the children by name.
        now: Monotonic time.
    """
    return [
        name
        for name, state in states.items()
        if state.failures
        and (state.started_at is None or now - state.started_at < SETTLING_SECONDS)
    ]


async def on_stop_signal(action: Callable[[], Awaitable[None]], scope: anyio.CancelScope) -> None:
    """Wait for SIGTERM or SIGINT, then run the planned stop and end the process.

    Args:
        action: Performs the planned stop; called once. If it fails, the process ends all the same.
        scope: Cancelled once the action is done.
    """
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for _ in signals:
            try:
                await action()
            except Exception:
                logger.exception("planned stop failed")
            # The receiver restores the default action, with which a second signal would end the
            # process before its last line.
            signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
            scope.cancel()
            return
