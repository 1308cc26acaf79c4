"""Counts upstream crashes by request fingerprint and decides which requests are to blame.

A crash of an upstream interrupts every request on it, and does not show which one caused it. The
request that caused it is present in every such crash, while others are present by chance, or
because they were retried on the same upstream. Several crashes are therefore required.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

CRASH_LIMIT: Final = 3
"""Crashes after which a fingerprint is to blame. With two, requests that share an upstream with the
cause by chance are blamed far more often; each further crash interrupts all streams of one more
upstream (`tests/routing/crash_bed.py` compares two to four)."""

UNCONFIRMED_QUARANTINE_SECONDS: Final = 10.0
"""How long content is quarantined after `CRASH_LIMIT` unconfirmed crashes. This is longer than the
control boxes need to confirm a crash; unconfirmed crashes come from a partition that refuses
connections, and their content is released."""

MAX_SINGLE_CRASHES: Final = 4096
"""Fingerprints with one crash that are kept, the newest. This exceeds the number of requests that
are in progress in a large failure domain when it is lost."""

MAX_SUSPECTS: Final = 1024
"""Fingerprints with several crashes that are kept, the newest."""

PART_TAG: Final = b"p"
"""First byte of the fingerprint of a prompt's part."""

PART_FINGERPRINT_BYTES: Final = 9
"""Length of such a fingerprint, one byte more than that of a whole content."""


class CrashTable(msgspec.Struct, kw_only=True):
    """Crashed instances of upstreams by fingerprint of the requests that were on them."""

    single_crashes: dict[bytes, str] = msgspec.field(default_factory=dict)
    """The crashed instance by fingerprint, where there is only one; oldest first."""

    suspects: dict[bytes, set[str]] = msgspec.field(default_factory=dict)
    """The crashed instances by fingerprint, where there are several; oldest first."""


def is_part_fingerprint(fingerprint: bytes) -> bool:
    """Return whether a fingerprint is that of a prompt's part and not of a whole content."""
    return len(fingerprint) == PART_FINGERPRINT_BYTES


def record_crash(table: CrashTable, fingerprint: bytes, instance: str) -> bool:
    """Record that an upstream crashed while a request was on it.

    Args:
        table: The table.
        fingerprint: Fingerprint of the request.
        instance: Instance of the upstream; it counts once, even if several attempts were on it.

    Returns:
        True if it was not recorded before.
    """
    crashes = table.suspects.get(fingerprint)
    if crashes is not None:
        if instance in crashes:
            return False
        crashes.add(instance)
        return True
    single = table.single_crashes.get(fingerprint)
    if single is None:
        table.single_crashes[fingerprint] = instance
        evict_oldest(table.single_crashes, MAX_SINGLE_CRASHES)
        return True
    if single == instance:
        return False
    del table.single_crashes[fingerprint]
    table.suspects[fingerprint] = {single, instance}
    evict_oldest(table.suspects, MAX_SUSPECTS)
    return True


def evict_oldest(entries: dict[bytes, Any], max_entries: int) -> None:
    """Drop the oldest entries beyond a maximum number."""
    while len(entries) > max_entries:
        del entries[next(iter(entries))]


def crash_count(table: CrashTable, fingerprint: bytes) -> int:
    """Return how many upstreams crashed under a fingerprint."""
    if fingerprint in table.suspects:
        return len(table.suspects[fingerprint])
    return 1 if fingerprint in table.single_crashes else 0


def clear_crashes(table: CrashTable, fingerprint: bytes) -> bool:
    """Clear the crashes under a fingerprint whose request was answered and is not to blame.

    Returns:
        False if none was recorded.
    """
    single = table.single_crashes.pop(fingerprint, None)
    several = table.suspects.pop(fingerprint, None)
    return single is not None or several is not None


def forgive_crashes(table: CrashTable, instances: Collection[str]) -> None:
    """Remove crashes for which something else is to blame."""
    for fingerprint, single in list(table.single_crashes.items()):
        if single in instances:
            del table.single_crashes[fingerprint]
    for fingerprint, several in list(table.suspects.items()):
        several.difference_update(instances)
        if not several:
            del table.suspects[fingerprint]


def blamed_fingerprints(table: CrashTable, has_exited: Callable[[str], bool]) -> Iterator[bytes]:
    """Yield the fingerprints that are to blame.

    Args:
        table: The table.
        has_exited: Returns whether the exit of an instance is confirmed. A box behind a partition
            that refuses connections considers every upstream beyond it crashed.
    """
    for fingerprint, crashes in table.suspects.items():
        if len(crashes) >= CRASH_LIMIT and sum(map(has_exited, crashes)) >= CRASH_LIMIT:
            yield fingerprint
