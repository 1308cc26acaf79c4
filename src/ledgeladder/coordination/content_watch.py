"""Contents of requests as one entry box sees them: marks, ends of upstreams, what is sent nowhere.

Each attempt of a caller carries another id, so that ids tell nothing of requests that come again.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import msgspec

from .crash_book import CRASH_LIMIT, CrashBook, count_ends, forget_content, note_end

if TYPE_CHECKING:
    from collections.abc import Mapping

MARK_BYTES: Final = 8
"""Length of a mark. Of 4,096 marks that are remembered, one in 4e15 requests matches by chance."""

UNCONFIRMED_SECONDS: Final = 10.0
"""How long a content is sent nowhere after `CRASH_LIMIT` ends that are not confirmed yet. Control
boxes confirm them within 5 s, three missed heartbeats and a look; what they do not confirm was a
cut that refuses connections, and is let go."""

SUSPECTS_REMEMBERED: Final = 1024
"""Suspects of other boxes that are remembered, the newest."""


class ContentWatch(msgspec.Struct, kw_only=True):
    """What one entry box knows of contents under which upstreams end."""

    book: CrashBook = msgspec.field(default_factory=CrashBook)
    """Ends under requests of this box."""

    told: dict[bytes, int] = msgspec.field(default_factory=dict)
    """Ends under a content at all boxes together, as control boxes told, oldest first."""

    held_until: dict[bytes, float] = msgspec.field(default_factory=dict)
    """Until when a content is sent to no upstream, on the monotonic clock."""

    @property
    def is_calm(self) -> bool:
        """True while nothing is suspected, so that no request needs a mark."""
        return not (self.held_until or self.told or self.book.singles or self.book.suspects)


def mark_content(caller: str, method: bytes, target: bytes, body: bytes) -> bytes:
    """Return the mark of a request: the same for each attempt, at every box.

    Args:
        caller: Client account, or the caller's key where it has none.
        method: Method.
        target: Path and query.
        body: The body, in full. Hashing 800 bytes takes 2 microseconds, 4 MB 5 ms, so that marks
            are made only of requests that something was noted of.

    >>> mark_content("a", b"GET", b"/x", b"") == mark_content("b", b"GET", b"/x", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=MARK_BYTES)
    for part in (caller.encode(), method, target):
        # Lengths keep parts from running into each other.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()


def seconds_held(watch: ContentWatch, content: bytes, now: float) -> float:
    """Return for how many more seconds a content is sent nowhere; 0 if it may be sent."""
    until = watch.held_until.get(content)
    if until is None:
        return 0.0
    if until <= now:
        del watch.held_until[content]
        return 0.0
    return until - now


def ends_under(watch: ContentWatch, content: bytes, now: float) -> int:
    """Return how many upstreams ended under a content; at least `CRASH_LIMIT` if it is held."""
    if seconds_held(watch, content, now) > 0.0:
        return CRASH_LIMIT
    return max(watch.told.get(content, 0), count_ends(watch.book, content))


def note_own_end(watch: ContentWatch, content: bytes, instance: str, now: float) -> int:
    """Note that an upstream ended under a request of this box.

    Args:
        watch: What this box knows.
        content: Mark of the request's content.
        instance: Run of the upstream.
        now: Monotonic time.

    Returns:
        Ends under the content at this box, of which the control boxes must be told; 0 if this one
        was known.
    """
    if not note_end(watch.book, content, instance):
        return 0
    ends = count_ends(watch.book, content)
    if ends >= CRASH_LIMIT:
        _hold(watch, content, now)
    return ends


def _hold(watch: ContentWatch, content: bytes, now: float) -> None:
    """Send a content nowhere until the control boxes have confirmed that it is to blame."""
    forget_content(watch.book, content)
    watch.told.pop(content, None)
    until = now + UNCONFIRMED_SECONDS
    watch.held_until[content] = max(until, watch.held_until.get(content, until))


def note_answered(watch: ContentWatch, content: bytes) -> bool:
    """Note that a request was answered in full: the ends under its content had other causes.

    Returns:
        True if any were known, so that the control boxes must be told.
    """
    was_told = watch.told.pop(content, None) is not None
    return forget_content(watch.book, content) or was_told


def take_suspect(watch: ContentWatch, content: bytes, ends: int, now: float) -> None:
    """Take in that several upstreams have ended under a content, at this box or others."""
    if ends >= CRASH_LIMIT:
        _hold(watch, content, now)
        return
    watch.told[content] = ends
    while len(watch.told) > SUSPECTS_REMEMBERED:
        del watch.told[next(iter(watch.told))]


def take_held(watch: ContentWatch, seconds_left: Mapping[bytes, float], now: float) -> list[bytes]:
    """Take in which contents are sent nowhere, and for how many seconds.

    Returns:
        Those that were not known to be.
    """
    added = [content for content in seconds_left if content not in watch.held_until]
    for content, seconds in seconds_left.items():
        watch.held_until[content] = now + seconds
    return added
