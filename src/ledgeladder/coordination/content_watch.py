"""Tracks request content at one entry box by fingerprint: crashes, suspects and quarantine.

Content is a whole request or a part of its prompt, which other requests share. Every attempt of a
caller carries a new id, so retries by the caller are matched by content instead.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import msgspec

from .crash_book import (
    CRASH_LIMIT,
    PART_FINGERPRINT_BYTES,
    PART_TAG,
    UNCONFIRMED_QUARANTINE_SECONDS,
    CrashTable,
    clear_crashes,
    crash_count,
    record_crash,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .part_crashes import PartCrashTable

FINGERPRINT_BYTES: Final = 8
"""Length of a fingerprint. With 4,096 fingerprints stored, accidental matches are negligible."""

ANSWERED_LATELY_SECONDS: Final = 30.0
"""How long after an answer a part of a prompt is sound in all likelihood."""

MAX_ANSWERED_PARTS: Final = 4096
"""Answered parts that are remembered, the newest."""

MAX_REPORTED_SUSPECTS: Final = 1024
"""Suspects reported by other boxes that are kept, the newest."""


class EntryQuarantine(msgspec.Struct, kw_only=True):
    """What one entry box knows of request content under which upstreams crashed."""

    crashes: CrashTable = msgspec.field(default_factory=CrashTable)
    """Crashes under requests of this box."""

    part_crashes: PartCrashTable | None = None
    """Crashes under requests of this box, by part of their prompts; None before the first."""

    parts_answered_at: dict[bytes, float] = msgspec.field(default_factory=dict)
    """When a request of this box was last answered, on the monotonic clock, by part of its prompt,
    longest ago first."""

    reported: dict[bytes, int] = msgspec.field(default_factory=dict)
    """Crashes by fingerprint over all boxes, as reported by control boxes, oldest first."""

    quarantined_until: dict[bytes, float] = msgspec.field(default_factory=dict)
    """When the quarantine of each fingerprint ends, on the monotonic clock."""

    @property
    def is_empty(self) -> bool:
        """True while nothing is suspected, in which case requests need no fingerprint."""
        return not (
            self.quarantined_until
            or self.reported
            or self.crashes.single_crashes
            or self.crashes.suspects
        )


def compute_fingerprint(caller: str, method: bytes, target: bytes, body: bytes) -> bytes:
    """Return the fingerprint of a request: the same for each attempt, on every box.

    Args:
        caller: Client account, or the caller's key where it has none.
        method: Method.
        target: Path and query.
        body: The whole body. Hashing a large one takes milliseconds, which callers can avoid while
            nothing is suspected.

    >>> compute_fingerprint("a", b"GET", b"/x", b"") == compute_fingerprint("b", b"GET", b"/x", b"")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (caller.encode(), method, target):
        # Length prefixes keep the boundaries between the parts unambiguous.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()


def compute_part_fingerprint(pool: str, part: str) -> bytes:
    """Return the fingerprint of a prompt's part in one pool, the same on every box.

    >>> compute_part_fingerprint("a", "1") == compute_part_fingerprint("b", "1")
    False
    """
    content = f"{pool}\0{part}".encode()
    size = PART_FINGERPRINT_BYTES - len(PART_TAG)
    return PART_TAG + hashlib.blake2b(content, digest_size=size).digest()


def quarantine_seconds_left(quarantine: EntryQuarantine, fingerprint: bytes, now: float) -> float:
    """Return how many seconds the quarantine of a fingerprint lasts; 0 if there is none."""
    until = quarantine.quarantined_until.get(fingerprint)
    if until is None:
        return 0.0
    if until <= now:
        del quarantine.quarantined_until[fingerprint]
        return 0.0
    return until - now


def count_crashes_under(quarantine: EntryQuarantine, fingerprint: bytes, now: float) -> int:
    """Return how many upstreams crashed under a fingerprint, or `CRASH_LIMIT` in quarantine."""
    if quarantine_seconds_left(quarantine, fingerprint, now) > 0.0:
        return CRASH_LIMIT
    return max(
        quarantine.reported.get(fingerprint, 0), crash_count(quarantine.crashes, fingerprint)
    )


def record_own_crash(
    quarantine: EntryQuarantine, fingerprint: bytes, instance: str, now: float
) -> int:
    """Record that an upstream crashed under a request of this box.

    Args:
        quarantine: What this box knows.
        fingerprint: Fingerprint of the request.
        instance: Instance of the upstream.
        now: Monotonic time.

    Returns:
        Number of crashes under the fingerprint at this box, to be reported to the control boxes; 0
        if this crash was recorded before.
    """
    if not record_crash(quarantine.crashes, fingerprint, instance):
        return 0
    crashes = crash_count(quarantine.crashes, fingerprint)
    if crashes >= CRASH_LIMIT:
        _quarantine(quarantine, fingerprint, now)
    return crashes


def record_own_part_crash(
    quarantine: EntryQuarantine, part: bytes, instance: str, content: bytes, now: float
) -> bool:
    """Record that an upstream crashed before it answered a request of this box with a part.

    Args:
        quarantine: What this box knows.
        part: Fingerprint of the part.
        instance: Instance of the upstream.
        content: Fingerprint of the whole request.
        now: Monotonic time.

    Returns:
        Whether a request with the part was answered at this box shortly before, for the report to
        the control boxes.
    """
    # Imported here because few boxes see crashes.
    from .part_crashes import PartCrashTable, record_part_crash

    if quarantine.part_crashes is None:
        quarantine.part_crashes = PartCrashTable()
    answered_at = quarantine.parts_answered_at.get(part, float("-inf"))
    answered_lately = now - answered_at < ANSWERED_LATELY_SECONDS
    record_part_crash(
        quarantine.part_crashes, part, instance, content, now, answered_lately=answered_lately
    )
    return answered_lately


def record_own_part_answered(quarantine: EntryQuarantine, part: bytes, now: float) -> bool:
    """Record that a request with a part was answered, so the part did not cause the crashes.

    Returns:
        True if crashes were recorded, which must then be cleared at the control boxes as well.
    """
    answered_at = quarantine.parts_answered_at
    answered_at.pop(part, None)
    answered_at[part] = now
    while len(answered_at) > MAX_ANSWERED_PARTS:
        del answered_at[next(iter(answered_at))]
    was_reported = quarantine.reported.pop(part, None) is not None
    return _clear_part(quarantine, part) or was_reported


def _clear_part(quarantine: EntryQuarantine, part: bytes) -> bool:
    """Clear the crashes of this box under a part; return False if it has none."""
    if quarantine.part_crashes is None:
        return False
    from .part_crashes import clear_part

    return clear_part(quarantine.part_crashes, part)


def blame_own_parts(quarantine: EntryQuarantine, now: float) -> list[bytes]:
    """Quarantine the parts that are to blame by this box's own crashes alone.

    Only for a box that is linked to no control box: those know of answers at other boxes.

    Returns:
        The parts.
    """
    if quarantine.part_crashes is None or not quarantine.part_crashes.suspects:
        return []
    from .part_crashes import blame_parts

    blamed = blame_parts(quarantine.part_crashes, now)
    for part in blamed:
        _quarantine(quarantine, part, now)
    return blamed


def _quarantine(quarantine: EntryQuarantine, fingerprint: bytes, now: float) -> None:
    """Quarantine a fingerprint until the control boxes confirm the crashes."""
    clear_crashes(quarantine.crashes, fingerprint)
    _clear_part(quarantine, fingerprint)
    quarantine.reported.pop(fingerprint, None)
    until = now + UNCONFIRMED_QUARANTINE_SECONDS
    quarantine.quarantined_until[fingerprint] = max(
        until, quarantine.quarantined_until.get(fingerprint, until)
    )


def record_answered(quarantine: EntryQuarantine, fingerprint: bytes) -> bool:
    """Record that a request was answered in full, so its content did not cause the crashes.

    Returns:
        True if crashes were recorded, which must then be cleared at the control boxes as well.
    """
    was_reported = quarantine.reported.pop(fingerprint, None) is not None
    return clear_crashes(quarantine.crashes, fingerprint) or was_reported


def apply_suspect(
    quarantine: EntryQuarantine, fingerprint: bytes, crashes: int, now: float
) -> None:
    """Apply a report that several upstreams crashed under a fingerprint, at any boxes."""
    if crashes >= CRASH_LIMIT:
        _quarantine(quarantine, fingerprint, now)
        return
    quarantine.reported[fingerprint] = crashes
    while len(quarantine.reported) > MAX_REPORTED_SUSPECTS:
        del quarantine.reported[next(iter(quarantine.reported))]


def apply_quarantine(
    quarantine: EntryQuarantine, seconds_left: Mapping[bytes, float], now: float
) -> list[bytes]:
    """Apply a report of which fingerprints are quarantined, and for how many seconds.

    Returns:
        Fingerprints that were not quarantined before.
    """
    added = [
        fingerprint
        for fingerprint in seconds_left
        if fingerprint not in quarantine.quarantined_until
    ]
    for fingerprint, seconds in seconds_left.items():
        quarantine.quarantined_until[fingerprint] = now + seconds
    return added
