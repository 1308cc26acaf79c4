"""Tables of who got the room of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .bounds import MAX_ROWS
from .load_report import OTHERS
from .tables import format_table

if TYPE_CHECKING:
    from .load_report import ClassStats, LoadReport, StreamCounts


def format_load(load: LoadReport, bucket_seconds: float) -> list[list[str]]:
    """Format the tables that have rows.

    Args:
        load: The aggregates.
        bucket_seconds: Length of a time bucket.

    Returns:
        Lines of each table.
    """
    admission_headers, admission_rows = _admission_rows(load, bucket_seconds)
    tables: list[tuple[str, list[str], list[list[object]]]] = [
        (
            "Streams by priority, seconds",
            ["pool", "priority", "asked", "answered", "first p50", "first p95"]
            + ["waited", "refused", "broken off"],
            [_class_row(*item) for item in sorted(load.classes.items())],
        ),
        (
            "Refused streams by priority and code",
            ["priority", "code", "streams"],
            [[*key, count] for key, count in load.refusals.most_common(MAX_ROWS)],
        ),
        (
            "Streams by client account",
            ["account", "asked", "answered", "refused"],
            [[name, item.asked, item.answered, item.refused] for name, item in _largest(load)],
        ),
        (
            "Streams by failure domain of the gateway",
            ["failure domain", "asked", "answered", "refused", "crossings"],
            [
                [name, item.asked, item.answered, item.refused, item.crossings]
                for name, item in sorted(load.domains.items())
            ],
        ),
        ("Admission over time", admission_headers, admission_rows),
        (
            "Decisions of admission by reason",
            ["decision", "reason", "lines"],
            [[*key, count] for key, count in load.reasons.most_common(MAX_ROWS)],
        ),
        (
            "Engines found full",
            ["upstream", "times"],
            [[*item] for item in load.full.most_common(MAX_ROWS)],
        ),
        (
            "Requested retries by purpose",
            ["purpose", "wanted", "granted"],
            [[name, item["wanted"], item["granted"]] for name, item in sorted(load.quotas.items())],
        ),
    ]
    return [format_table(title, headers, rows) for title, headers, rows in tables if rows]


def _class_row(key: tuple[str, int], stats: ClassStats) -> list[object]:
    counts = stats.counts
    times = stats.first_event_times
    quantiles = (
        [times.get_value_at_percentile(part) / 1e6 for part in (50, 95)]
        if times.get_total_count()
        else ["-", "-"]
    )
    return [*key, counts.asked, counts.answered, *quantiles] + [
        counts.waited,
        counts.refused,
        counts.broken_off,
    ]


def _largest(load: LoadReport) -> list[tuple[str, StreamCounts]]:
    """Return the client accounts with most streams, and `others` after them."""
    accounts = [item for item in load.accounts.items() if item[0] != OTHERS]
    largest = sorted(accounts, key=lambda item: (-item[1].asked, item[0]))[:MAX_ROWS]
    others = load.accounts.get(OTHERS)
    return largest if others is None else [*largest, (OTHERS, others)]


def _admission_rows(
    load: LoadReport, bucket_seconds: float
) -> tuple[list[str], list[list[object]]]:
    keys = sorted({key for found in load.admission.values() for key in found.decisions})
    headers = ["second", *(f"{decision} {priority}" for decision, priority in keys), "least free"]
    rows: list[list[object]] = [
        [
            f"{index * bucket_seconds:g}",
            *(found.decisions[key] for key in keys),
            "-" if found.least_free is None else float(found.least_free),
        ]
        for index, found in sorted(load.admission.items())
    ]
    return headers, rows
