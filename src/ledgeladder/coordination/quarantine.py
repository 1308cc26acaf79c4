"""Quarantined request content, as part of the replicated state.

The quarantine survives a power loss of all boxes; without it, retried content would crash further
upstreams.
"""

from __future__ import annotations

from typing import Final

import msgspec

QUARANTINE_MS: Final = 3_600_000
"""Duration of a quarantine, in milliseconds. It leaves time to repair upstreams or replace their
version; otherwise the content crashes three of them in each such period."""

MAX_FINGERPRINTS: Final = 4096
"""Fingerprints that are kept, the newest."""


class Quarantine(msgspec.Struct, kw_only=True):
    """Fingerprints of request content that is sent to no upstream."""

    until_ms: dict[bytes, int] = msgspec.field(default_factory=dict)
    """When each quarantine ends, in milliseconds since 1970, by fingerprint, oldest first."""

    changes: int = 0
    """Number of fingerprints that were ever added."""


def add_fingerprint(quarantine: Quarantine, fingerprint: bytes, now_ms: int) -> bool:
    """Quarantine a fingerprint.

    Args:
        quarantine: The quarantined fingerprints.
        fingerprint: Fingerprint of the request content.
        now_ms: Time of the command, in milliseconds since 1970.

    Returns:
        False if it was already quarantined.
    """
    drop_expired(quarantine, now_ms)
    if fingerprint in quarantine.until_ms:
        return False
    quarantine.until_ms[fingerprint] = now_ms + QUARANTINE_MS
    quarantine.changes += 1
    while len(quarantine.until_ms) > MAX_FINGERPRINTS:
        del quarantine.until_ms[next(iter(quarantine.until_ms))]
    return True


def drop_expired(quarantine: Quarantine, now_ms: int) -> None:
    """Drop the fingerprints whose quarantine has ended."""
    expired = [fingerprint for fingerprint, until in quarantine.until_ms.items() if until <= now_ms]
    for fingerprint in expired:
        del quarantine.until_ms[fingerprint]


def seconds_left(quarantine: Quarantine, now_ms: int) -> dict[bytes, float]:
    """Return the remaining quarantine of each fingerprint, in seconds."""
    return {
        fingerprint: (until - now_ms) / 1000.0
        for fingerprint, until in quarantine.until_ms.items()
        if until > now_ms
    }
