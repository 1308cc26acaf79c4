"""Counts upstream crashes by part of the prompts, and decides which part is to blame.

Requests share the parts of their prompts: a crash interrupts many requests and implicates all of
their parts. A part is to blame if it is present in several crashes, under several requests, and no
request with it has been answered since. A part that was answered shortly before is sound in all
likelihood, so more is needed to blame it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from .crash_book import CRASH_LIMIT, MAX_SINGLE_CRASHES, MAX_SUSPECTS, evict_oldest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

SOUND_CRASH_LIMIT: Final = 5
"""Crashes after which a part is to blame that was answered shortly before the first of them."""

MOMENT_SECONDS: Final = 0.1
"""Crashes within this time of each other count once: a rack that fails takes many upstreams, and
implicates every part in use."""

SETTLE_SECONDS: Final = 0.2
"""Time after the deciding crash in which an answer still clears a part."""

SOUND_SETTLE_SECONDS: Final = 1.0
"""The same for a part that was answered shortly before."""

MIN_CONTENTS: Final = 2
"""Requests under which upstreams must have crashed before a part is to blame rather than the one
request, which is watched as a whole."""

MAX_INSTANCES: Final = 16
"""Crashed instances that are kept for each part."""

MAX_CONTENTS: Final = 16
"""Fingerprints of requests that are kept for each part."""


class PartCrashes(msgspec.Struct, kw_only=True):
    """Crashes under requests whose prompts have one part."""

    instances: dict[str, float] = msgspec.field(default_factory=dict)
    """When each crashed instance was first reported, on the monotonic clock, oldest first."""

    contents: set[bytes] = msgspec.field(default_factory=set)
    """Fingerprints of the whole requests."""

    answered_lately: bool = False
    """Whether a request with the part had been answered shortly before a crash, at any box."""


class PartCrashTable(msgspec.Struct, kw_only=True):
    """Crashes by fingerprint of the part."""

    single_crashes: dict[bytes, PartCrashes] = msgspec.field(default_factory=dict)
    """Parts with one crash, oldest first. They are dropped first, so that parts made up by the
    thousand displace none that has several crashes."""

    suspects: dict[bytes, PartCrashes] = msgspec.field(default_factory=dict)
    """Parts with several crashes, oldest first."""


def record_part_crash(
    table: PartCrashTable,
    part: bytes,
    instance: str,
    content: bytes,
    now: float,
    *,
    answered_lately: bool,
) -> bool:
    """Record that an upstream crashed before it answered a request with a part.

    Args:
        table: The table.
        part: Fingerprint of the part.
        instance: Instance of the upstream.
        content: Fingerprint of the whole request.
        now: Monotonic time.
        answered_lately: Whether the reporting box saw a request with the part answered shortly
            before.

    Returns:
        True if the instance was not recorded for the part.
    """
    crashes = table.suspects.get(part) or table.single_crashes.get(part)
    if crashes is None:
        crashes = table.single_crashes[part] = PartCrashes()
    crashes.answered_lately |= answered_lately
    if len(crashes.contents) < MAX_CONTENTS:
        crashes.contents.add(content)
    if instance in crashes.instances or len(crashes.instances) >= MAX_INSTANCES:
        return False
    crashes.instances[instance] = now
    if len(crashes.instances) > 1 and part in table.single_crashes:
        table.suspects[part] = table.single_crashes.pop(part)
    evict_oldest(table.single_crashes, MAX_SINGLE_CRASHES)
    evict_oldest(table.suspects, MAX_SUSPECTS)
    return True


def part_crash_count(table: PartCrashTable, part: bytes) -> int:
    """Return how many upstreams crashed under requests with a part since one was answered."""
    crashes = table.suspects.get(part) or table.single_crashes.get(part)
    return len(crashes.instances) if crashes is not None else 0


def clear_part(table: PartCrashTable, part: bytes) -> bool:
    """Clear a part under which a request was answered; return False if it had no crash."""
    single = table.single_crashes.pop(part, None)
    several = table.suspects.pop(part, None)
    return single is not None or several is not None


def blame_parts(
    table: PartCrashTable, now: float, has_exited: Callable[[str], bool] = lambda _instance: True
) -> list[bytes]:
    """Return the parts that are to blame.

    The crashes that one of them explains count for no other part. New parts come first, those with
    most crashes before the others; among parts that were answered shortly before, those of the
    fewest requests, since what all requests share is present in every crash.

    Args:
        table: The table, in which the explained crashes are removed from the other parts.
        now: Monotonic time.
        has_exited: Returns whether the exit of an instance is confirmed.
    """
    blamed: list[bytes] = []
    while True:
        candidates = [
            part
            for part, crashes in table.suspects.items()
            if part not in blamed and _is_blamed(crashes, now, has_exited)
        ]
        if not candidates:
            return blamed
        part = min(candidates, key=lambda item: _rank(table.suspects[item]))
        blamed.append(part)
        explain_crashes(table, part, set(table.suspects[part].instances))


def _is_blamed(crashes: PartCrashes, now: float, has_exited: Callable[[str], bool]) -> bool:
    limit = SOUND_CRASH_LIMIT if crashes.answered_lately else CRASH_LIMIT
    settle = SOUND_SETTLE_SECONDS if crashes.answered_lately else SETTLE_SECONDS
    if len(crashes.instances) < limit or len(crashes.contents) < MIN_CONTENTS:
        return False
    confirmed = (at for instance, at in crashes.instances.items() if has_exited(instance))
    moments = _moments(confirmed)
    return len(moments) >= limit and now - moments[limit - 1] >= settle


def _moments(times: Iterable[float]) -> list[float]:
    """Return the times of crashes that are `MOMENT_SECONDS` apart at least.

    >>> _moments([1.0, 1.05, 1.2, 3.0])
    [1.0, 1.2, 3.0]
    """
    moments: list[float] = []
    for at in sorted(times):
        if not moments or at - moments[-1] >= MOMENT_SECONDS:
            moments.append(at)
    return moments


def _rank(crashes: PartCrashes) -> tuple[bool, int, int]:
    """Return the sort key of a part, the most likely to blame first."""
    coverage, contents = len(crashes.instances), len(crashes.contents)
    if crashes.answered_lately:
        return True, contents, -coverage
    return False, -coverage, contents


def explain_crashes(table: PartCrashTable, part: bytes, instances: set[str]) -> None:
    """Remove crashes that one part explains from all other parts.

    Args:
        table: The table.
        part: Fingerprint of the part.
        instances: Instances that crashed under it.
    """
    for entries in (table.single_crashes, table.suspects):
        for other, crashes in list(entries.items()):
            if other == part:
                continue
            for instance in instances & crashes.instances.keys():
                del crashes.instances[instance]
            if not crashes.instances:
                del entries[other]
