"""Decides which of the concurrent attempts of a request is forwarded to the caller.

A silent upstream may be sound, so an overdue attempt is not ended. Another attempt runs beside it
(a hedged request), and the first that makes progress is forwarded; the others are stopped. A
stream makes progress with each event, a plain request with its whole answer. An attempt whose
engine accepts no connections either is stopped once an engine has refused another one, which may
need the room that it takes.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from .attempt_counts import AttemptCounts
    from .paths import ChosenPath


LATE_CHECK_SECONDS: Final = 0.1
"""Lateness of a check for silence above which this process was stalled itself, so that answers may
be waiting to be read. The check is then repeated after the same time, which is also the shortest
interval between checks."""


class StopReason(StrEnum):
    """Why an attempt is stopped before its upstream ends it."""

    SUPERSEDED = "another attempt made progress first"
    """Another attempt made progress first."""

    EXITED = "an engine of the path has exited"
    """The process of an engine of its path has exited."""

    UNREACHABLE = "an engine of the path is unreachable"
    """An engine of its path accepts no connections, and another attempt needs its room."""


class RunningAttempt(msgspec.Struct, kw_only=True, eq=False):
    """One attempt of a request while it runs."""

    path: ChosenPath
    """Engines that it uses, or the one service."""

    started_at: float
    """When it began, on the monotonic clock."""

    stop: Callable[[], None] = lambda: None
    """Ends the attempt unless it has ended."""

    end_prompt: Callable[[], None] = lambda: None
    """Ends the count of its prompt as pending."""

    was_sent: bool = False
    """Whether its request may have been written to an upstream."""

    holds_room: bool = False
    """Whether its tokens count as reserved on the engines of its path."""

    is_relayed: bool = False
    """Whether another box relays its connection."""

    events: int = 0
    """Events that it received."""

    is_writing: bool = False
    """Whether events that count as delivered are being written to the caller."""

    check_at: float = math.inf
    """When it is checked for silence next, on the monotonic clock; infinite if other means find it
    overdue."""

    overdue: str = ""
    """Why it is overdue; empty if it is not."""

    kept: str = ""
    """Why no other attempt was begun beside it when that was last decided."""

    stopped: StopReason | None = None
    """Why it was stopped; None if it was not. No event of a stopped attempt may be forwarded."""


class AttemptRace(msgspec.Struct, kw_only=True):
    """Concurrent attempts of one request."""

    running: list[RunningAttempt] = msgspec.field(default_factory=list)
    """Attempts that have not ended, oldest first."""

    @property
    def needs_attempt(self) -> bool:
        """Whether another attempt would be useful: none runs, or all that run are overdue."""
        return all(item.overdue and not item.is_writing for item in self.running)

    @property
    def next_check(self) -> float:
        """When an attempt is checked for silence next, on the monotonic clock."""
        return min((item.check_at for item in self.running), default=math.inf)


def begin_attempt(race: AttemptRace, attempt: RunningAttempt) -> None:
    """Add an attempt that begins."""
    race.running.append(attempt)


def end_attempt(race: AttemptRace, attempt: RunningAttempt) -> None:
    """Remove an attempt that has ended."""
    race.running.remove(attempt)


def record_overdue(attempt: RunningAttempt, reason: str) -> None:
    """Record that an attempt makes no progress, or that its engines appear lost."""
    attempt.overdue = reason


def take_silent(race: AttemptRace, now: float, interval: float) -> list[RunningAttempt]:
    """Return the attempts whose check for silence is due, and set the time of their next one.

    Args:
        race: The attempts.
        now: Monotonic time.
        interval: Time until the next check, in seconds; at least `LATE_CHECK_SECONDS` is used.

    Returns:
        The attempts, without those whose check is so late that it proves no silence.
    """
    silent: list[RunningAttempt] = []
    for attempt in race.running:
        if attempt.check_at > now:
            continue
        is_late = now - attempt.check_at > LATE_CHECK_SECONDS
        attempt.check_at = now + (
            LATE_CHECK_SECONDS if is_late else max(interval, LATE_CHECK_SECONDS)
        )
        if not is_late:
            silent.append(attempt)
    return silent


def record_progress(race: AttemptRace, attempt: RunningAttempt) -> bool:
    """Let an attempt continue with what it received, and stop the others.

    Returns:
        Whether that may be forwarded; False if it was stopped before.
    """
    if attempt.stopped is not None:
        return False
    attempt.overdue = attempt.kept = ""
    for other in race.running:
        if other is not attempt:
            stop_attempt(other, StopReason.SUPERSEDED)
    return True


def stop_attempt(attempt: RunningAttempt, reason: StopReason) -> None:
    """Stop an attempt; one that is writing to the caller stops after the write.

    Interrupting a write would lose events that no other attempt sends again.
    """
    if attempt.stopped is None:
        attempt.stopped = reason
    if not attempt.is_writing:
        attempt.stop()


def record_broken(attempt: RunningAttempt) -> None:
    """Record that its upstream ended an attempt; it is not stopped while the cause is determined.

    Whether an upstream exited is evidence against the request, also if another attempt continues
    the stream meanwhile.
    """
    attempt.stop = lambda: None


def explain_no_further_attempt(
    counts: AttemptCounts,
    *,
    may_repeat: bool,
    max_attempts: int,
    refusals_limit: int,
    unsent: int = 0,
) -> str:
    """Return why a request may not be sent again; empty if it may.

    Args:
        counts: Attempts so far.
        may_repeat: Whether it may run more than once.
        max_attempts: Attempts that the route allows.
        refusals_limit: Refusals after which it is given up.
        unsent: Running attempts that were not sent yet.

    >>> from ledgeladder.routing.attempt_counts import AttemptCounts
    >>> explain_no_further_attempt(
    ...     AttemptCounts(sent=1), may_repeat=False, max_attempts=2, refusals_limit=3
    ... )
    'it may run once only'
    """
    if counts.refused >= refusals_limit:
        return f"{counts.refused} paths refused"
    if not (counts.may_have_run or unsent):
        return ""
    if not may_repeat:
        return "it may run once only"
    if counts.counted + unsent >= max_attempts:
        return f"sent {counts.counted} times, as often as the route allows"
    return ""
