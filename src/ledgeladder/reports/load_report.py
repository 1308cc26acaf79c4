"""Tells who got the room of engines: streams by priority, client account and failure domain."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final

import msgspec

from .bounds import MAX_BUCKETS, MAX_NAMES, bounded_key, is_finite, new_histogram, record_seconds

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

    from .log_lines import LogLine

MAX_CLASSES: Final = 64
"""Maximum number of pairs of pool and priority, each with a histogram; further ones are summed."""

MAX_ACCOUNTS: Final = 5000
"""Maximum number of client accounts; more than twice those of the largest planned system."""

OTHERS: Final = "others"
"""Name under which keys beyond a maximum are summed."""

OTHER_PRIORITIES: Final = -1
"""Priority of the row of classes beyond the maximum; priorities of requests are not negative."""


class StreamCounts(msgspec.Struct, kw_only=True):
    """Streams with the same key, by outcome."""

    asked: int = 0
    """All streams."""

    answered: int = 0
    """Streams that were answered in full."""

    waited: int = 0
    """Streams that waited in a queue of their box, whatever became of them."""

    refused: int = 0
    """Streams that were answered with a result code."""

    broken_off: int = 0
    """Streams that ended before their last event."""

    crossings: int = 0
    """Inter-domain hops on the last paths of the answered streams."""


class ClassStats(msgspec.Struct, kw_only=True):
    """Streams of one pool and priority."""

    counts: StreamCounts = msgspec.field(default_factory=StreamCounts)
    """Streams by outcome."""

    first_event_times: HdrHistogram = msgspec.field(default_factory=new_histogram)
    """Times to the first event, in microseconds."""


class AdmissionBucket(msgspec.Struct, kw_only=True):
    """Decisions of admission in one time bucket."""

    decisions: Counter[tuple[str, int]] = msgspec.field(default_factory=Counter)
    """Number of lines by decision and priority."""

    least_free: float | None = None
    """Least free room that a decision found; None if no line named any."""


class LoadReport(msgspec.Struct, kw_only=True):
    """Aggregates of streams and of admission."""

    classes: dict[tuple[str, int], ClassStats] = msgspec.field(default_factory=dict)
    """Streams by pool and priority."""

    accounts: dict[str, StreamCounts] = msgspec.field(default_factory=dict)
    """Streams by client account; `(none)` for routes without keys."""

    domains: dict[str, StreamCounts] = msgspec.field(default_factory=dict)
    """Streams by the failure domain of the gateway."""

    refusals: Counter[tuple[int, str]] = msgspec.field(default_factory=Counter)
    """Refused streams by priority and result code."""

    admission: dict[int, AdmissionBucket] = msgspec.field(default_factory=dict)
    """Decisions of admission by time bucket."""

    reasons: Counter[tuple[str, str]] = msgspec.field(default_factory=Counter)
    """Decisions of admission by decision and reason."""

    full: Counter[str] = msgspec.field(default_factory=Counter)
    """Number of times that boxes found an engine full, by upstream."""

    quotas: dict[str, Counter[str]] = msgspec.field(default_factory=dict)
    """Retries that were wanted and granted, by purpose."""


def add_load_line(load: LoadReport, line: LogLine) -> None:
    """Add a line to all aggregates that have no time buckets; ignore other lines."""
    fields = line.fields
    if line.message == "request":
        _add_stream(load, fields)
    elif line.message == "engine full":
        name = bounded_key(load.full, str(fields.get("upstream", "?")), OTHERS, MAX_NAMES)
        load.full[name] += 1
    elif line.message == "retry quota received" and "purpose" in fields:
        purpose = bounded_key(load.quotas, str(fields["purpose"]), OTHERS, MAX_CLASSES)
        counts = load.quotas.setdefault(purpose, Counter())
        counts["wanted"] += _count_of(fields.get("wanted"))
        counts["granted"] += _count_of(fields.get("count"))


def add_admission(load: LoadReport, fields: dict[str, Any], bucket: int) -> bool:
    """Add an `admission` line.

    Args:
        load: The aggregates.
        fields: Fields of the line.
        bucket: Index of its time bucket.

    Returns:
        False if there are too many time buckets; the line counts in the other aggregates alone.
    """
    decision = str(fields.get("decision", "?"))
    reason = (decision, str(fields.get("reason", "?")))
    load.reasons[bounded_key(load.reasons, reason, (OTHERS, OTHERS), MAX_NAMES)] += 1
    if bucket not in load.admission and len(load.admission) >= MAX_BUCKETS:
        return False
    found = load.admission.setdefault(bucket, AdmissionBucket())
    key = (decision, _priority_of(fields))
    key = bounded_key(found.decisions, key, (OTHERS, OTHER_PRIORITIES), MAX_CLASSES)
    found.decisions[key] += 1
    free = fields.get("free")
    if is_finite(free):
        found.least_free = free if found.least_free is None else min(free, found.least_free)
    return True


def _add_stream(load: LoadReport, fields: dict[str, Any]) -> None:
    priority = fields.get("priority")
    if not isinstance(priority, int):
        return
    key = (str(fields.get("pool", "?")), priority)
    key = bounded_key(load.classes, key, (OTHERS, OTHER_PRIORITIES), MAX_CLASSES)
    stats = load.classes.setdefault(key, ClassStats())
    record_seconds(stats.first_event_times, fields.get("first_event"))
    account = str(fields.get("account") or "(none)")
    account = bounded_key(load.accounts, account, OTHERS, MAX_ACCOUNTS)
    domain = str(fields.get("failure_domain", "?"))
    domain = bounded_key(load.domains, domain, OTHERS, MAX_CLASSES)
    outcome = str(fields.get("outcome", "?")).split(":")[0]
    for counts in (
        stats.counts,
        load.accounts.setdefault(account, StreamCounts()),
        load.domains.setdefault(domain, StreamCounts()),
    ):
        _count_stream(counts, outcome, fields)
    if outcome.isupper():
        refusal = bounded_key(
            load.refusals, (key[1], outcome), (OTHER_PRIORITIES, OTHERS), MAX_NAMES
        )
        load.refusals[refusal] += 1


def _count_stream(counts: StreamCounts, outcome: str, fields: dict[str, Any]) -> None:
    counts.asked += 1
    counts.answered += outcome == "answered"
    counts.broken_off += outcome == "broken-off"
    # Result codes are the only outcomes in capitals.
    counts.refused += outcome.isupper()
    counts.waited += bool(fields.get("waited"))
    if outcome == "answered":
        counts.crossings += _count_of(fields.get("crossings"))


def _count_of(value: Any) -> int:
    return max(0, value) if isinstance(value, int) else 0


def _priority_of(fields: dict[str, Any]) -> int:
    priority = fields.get("priority")
    return priority if isinstance(priority, int) else OTHER_PRIORITIES
