"""Contents of requests that are sent to no upstream, as a part of the replicated state.

They outlast a loss of power of all boxes: what is forgotten ends three more upstreams.
"""

from __future__ import annotations

from typing import Final

import msgspec

QUARANTINE_MS: Final = 3_600_000
"""How long a content is sent nowhere, in milliseconds. In an hour upstreams are mended or replaced
by another version; if not, a content that comes again ends three of them an hour."""

CONTENTS_REMEMBERED: Final = 4096
"""Contents that are kept, the newest; they take 0.1 MB in a snapshot."""


class Quarantine(msgspec.Struct, kw_only=True):
    """Contents that are sent to no upstream."""

    until_ms: dict[bytes, int] = msgspec.field(default_factory=dict)
    """Until when, in milliseconds since 1970, by mark of the content, oldest first."""

    changes: int = 0
    """Number of contents that were ever added."""


def add_content(quarantine: Quarantine, content: bytes, now_ms: int) -> bool:
    """Send a content nowhere from now on.

    Args:
        quarantine: The contents.
        content: Mark of the content.
        now_ms: Time of the command that says so, in milliseconds since 1970.

    Returns:
        False if it was sent nowhere already.
    """
    drop_expired(quarantine, now_ms)
    if content in quarantine.until_ms:
        return False
    quarantine.until_ms[content] = now_ms + QUARANTINE_MS
    quarantine.changes += 1
    while len(quarantine.until_ms) > CONTENTS_REMEMBERED:
        del quarantine.until_ms[next(iter(quarantine.until_ms))]
    return True


def drop_expired(quarantine: Quarantine, now_ms: int) -> None:
    """Drop the contents whose time is over."""
    expired = [content for content, until in quarantine.until_ms.items() if until <= now_ms]
    for content in expired:
        del quarantine.until_ms[content]


def seconds_left(quarantine: Quarantine, now_ms: int) -> dict[bytes, float]:
    """Return for how many more seconds each content is sent nowhere."""
    return {
        content: (until - now_ms) / 1000.0
        for content, until in quarantine.until_ms.items()
        if until > now_ms
    }
