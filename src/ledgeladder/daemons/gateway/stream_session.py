"""State of one caller's stream across all of its attempts."""

from __future__ import annotations

from contextlib import contextmanager
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import anyio
import msgspec

from ...routing.attempt_counts import AttemptCounts
from ...routing.attempt_race import AttemptRace, RunningAttempt, record_overdue
from ...routing.pace import Pace
from ...routing.paths import release, reserve
from .notes import RequestTrace

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ...routing.event_stream import EventOrder
    from ...routing.paths import ChosenPath, NoPathReason
    from ...routing.repeat_window import Retry
    from ...routing.stream_patience import StreamTimeouts
    from .state import GatewayState
    from .upstream_call import OpenAnswer


class AttemptResult(StrEnum):
    """Result of one attempt of a stream."""

    COMPLETE = "complete"
    """The last event was forwarded."""

    REFUSED = "refused"
    """An engine refused the request before executing any of it."""

    NOT_SENT = "not-sent"
    """Nothing was sent: the first engine was unreachable or applied back-pressure, or the attempt
    was cancelled before."""

    LOST = "lost"
    """The attempt broke off, possibly after some events were forwarded; or the engine answered with
    an error, which is forwarded if no other attempt succeeds."""

    SUPERSEDED = "superseded"
    """Another attempt continued the stream."""


class EndedBy(StrEnum):
    """Who ended an attempt."""

    UPSTREAM = "upstream"
    """The engine: by its answer, or by closing or resetting the connection."""

    BOX = "box"
    """This box, by what it concluded about the engines of the path."""

    CALLER = "caller"
    """The caller, who disconnected or whose deadline passed."""


class AttemptEnd(NamedTuple):
    """How one attempt ended."""

    result: AttemptResult
    """Its result."""

    detail: str = ""
    """Reason for the log."""

    ended_by: EndedBy = EndedBy.UPSTREAM
    """Who ended it."""


class PlannedAttempt(NamedTuple):
    """An attempt that may begin."""

    attempt: RunningAttempt
    """The attempt, which holds room since it was planned: the attempts of other streams, planned in
    the same pass of the event loop, would choose the same engines."""

    retry: Retry | None = None
    """Retry that was taken for it; None for the first attempt."""


class StreamSession(msgspec.Struct, kw_only=True):
    """One caller's stream across all of its attempts."""

    order: EventOrder
    """Position of the caller in the stream."""

    timeouts: StreamTimeouts
    """Stall timeouts."""

    tokens: int
    """Expected number of prompt and answer tokens; each occupies KV cache in every layer."""

    excluded: set[str] = msgspec.field(default_factory=set)
    """Instances of engines that failed or refused this request; reused only if no path exists
    without them."""

    failed_domains: set[str] = msgspec.field(default_factory=set)
    """Other failure domains whose engines failed or refused this request."""

    dead: set[str] = msgspec.field(default_factory=set)
    """Instances of engines that were found dead while serving this request; never reused."""

    tried: set[str] = msgspec.field(default_factory=set)
    """Instances of engines on the paths of all attempts."""

    attempts: AttemptCounts = msgspec.field(default_factory=AttemptCounts)
    """Attempts so far, by how they ended."""

    trace: RequestTrace = msgspec.field(default_factory=RequestTrace)
    """Collects data on the request for its log line."""

    started: bool = False
    """True once the response head was sent to the caller."""

    resumed: bool = False
    """True if the caller has part of the answer from an earlier request."""

    complete: bool = False
    """True once the last event was sent to the caller."""

    missing: NoPathReason | None = None
    """Why the last search for a path failed; None if none failed."""

    stop_reason: str = ""
    """Why a planned stop forbids to send it; empty if it does not."""

    failure: OpenAnswer | None = None
    """Error response of an engine."""

    failure_body: bytes | bytearray = b""
    """Body of `failure`."""

    race: AttemptRace = msgspec.field(default_factory=AttemptRace)
    """Attempts that run now."""

    next_attempt: PlannedAttempt | None = None
    """Attempt that begins once the current one, which was stopped for it, has ended."""

    was_hedge_refused: bool = False
    """Whether an engine refused the newest attempt while another one ran."""

    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when an attempt ends or is overdue."""

    pace: Pace = msgspec.field(default_factory=Pace)
    """Gaps between events, in seconds; its floor is `gap_probe` of `timeouts`."""

    last_progress_at: float = 0.0
    """When the newest event was forwarded, or else when the request arrived, on the monotonic
    clock."""

    record_prompt_answered: Callable[[], None] = lambda: None
    """Called once in each attempt, when its upstreams have begun to answer."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has part of the answer, which an end now would break off."""
        return self.started or self.resumed

    def __post_init__(self) -> None:
        self.pace = Pace(floor=self.timeouts.gap_probe)


def plan_attempt(session: StreamSession, path: ChosenPath) -> RunningAttempt:
    """Return an attempt over a path, which holds room on its engines."""
    attempt = RunningAttempt(path=path, started_at=anyio.current_time())
    reserve_room(session, attempt)
    return attempt


def report_overdue(
    session: StreamSession, attempt: RunningAttempt, reason: str, *, frees_room: bool = False
) -> None:
    """Record that an attempt is overdue, so that another one may be begun beside it.

    Args:
        session: The caller's stream.
        attempt: The attempt.
        reason: Why it is overdue, for the log.
        frees_room: Whether its room on the engines counts as free, since it appears lost: other
            attempts, which replace it and those beside it, need the room at the same time.
    """
    record_overdue(attempt, reason)
    if frees_room:
        release_room(session, attempt)
    session.changed.set()


def reserve_room(session: StreamSession, attempt: RunningAttempt) -> None:
    """Reserve room for an attempt on the engines of its path unless it holds it."""
    if not attempt.holds_room:
        reserve(attempt.path, session.tokens)
        attempt.holds_room = True


def release_room(session: StreamSession, attempt: RunningAttempt) -> None:
    """Release the room that an attempt holds on the engines of its path."""
    if attempt.holds_room:
        release(attempt.path, session.tokens)
        attempt.holds_room = False


class RunningStream(NamedTuple):
    """One stream that this box runs."""

    opened_at: float
    """When its request arrived, on the monotonic clock."""

    session: StreamSession
    """The stream."""


@contextmanager
def track_stream(
    state: GatewayState, pool: str, session: StreamSession, opened_at: float
) -> Iterator[None]:
    """Count a stream as run by this box until the block ends."""
    streams = state.running_streams.setdefault(pool, {})
    streams[id(session)] = RunningStream(opened_at, session)
    try:
        yield
    finally:
        del streams[id(session)]
        if not streams:
            # A document may name other pools later.
            state.running_streams.pop(pool, None)


def begun_streams(state: GatewayState, pool: str) -> list[RunningStream]:
    """Return the streams of a pool whose callers have part of the answer."""
    streams = state.running_streams.get(pool, {})
    return [item for item in streams.values() if item.session.has_begun]
