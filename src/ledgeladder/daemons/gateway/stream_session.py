"""State of one caller's stream over all of its runs."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from ...routing.pace import Pace
from .notes import RequestTrace

if TYPE_CHECKING:
    from ...routing.event_stream import EventOrder
    from ...routing.paths import MissingPath
    from ...routing.stream_patience import StreamPatience
    from .upstream_call import OpenAnswer


class AttemptResult(StrEnum):
    """How one run of a stream ended."""

    COMPLETE = "complete"
    """The last event was passed on."""

    REFUSED = "refused"
    """An engine refused before anything ran."""

    NOT_SENT = "not-sent"
    """The first engine could not be reached."""

    LOST = "lost"
    """The run broke off, of which some may have been passed on; or the engine answered with a
    failure of its own, which is kept for the case that no other run succeeds."""


class StreamSession(msgspec.Struct, kw_only=True):
    """One caller's stream over all of its runs."""

    order: EventOrder
    """Which events the caller has."""

    timeouts: StreamPatience
    """How long its silence is borne."""

    tokens: int
    """Tokens of prompt and answer that the request is likely to have; each takes KV cache for each
    layer."""

    excluded: set[str] = msgspec.field(default_factory=set)
    """Runs of engines that failed or refused this request; used again only if no path is left
    without them."""

    failed_domains: set[str] = msgspec.field(default_factory=set)
    """Other failure domains whose engines failed or refused this request."""

    dead: set[str] = msgspec.field(default_factory=set)
    """Runs of engines that were found dead while they carried this request; never used again."""

    tried: set[str] = msgspec.field(default_factory=set)
    """Runs of engines on the paths that it was sent over."""

    sent: int = 0
    """Times it was sent, refused ones included."""

    attempts: int = 0
    """Runs that count towards the most attempts: those on first engines that are not dead."""

    refusals: int = 0
    """Times that a path refused it."""

    trace: RequestTrace = msgspec.field(default_factory=RequestTrace)
    """Takes what is learnt, for the log line at the end."""

    started: bool = False
    """True once the caller has a head."""

    missing: MissingPath | None = None
    """Why no further path was found; None if one was found each time."""

    failure: OpenAnswer | None = None
    """Failure that an engine answered with."""

    failure_body: bytes = b""
    """Its body."""

    pace: Pace = msgspec.field(default_factory=Pace)
    """Gaps between events, in seconds; its floor is the shortest gap of `patience`."""

    last_progress_at: float = 0.0
    """When the newest event was passed on, or when the request arrived, on the monotonic clock."""

    emitting: bool = False
    """True while events that count as passed on are being written to the caller."""

    interrupted: bool = False
    """True if an engine of the current run was found dead; it passes on nothing more."""

    def __post_init__(self) -> None:
        self.pace = Pace(floor=self.timeouts.gap_look)
