"""Aggregates log lines: outcomes, paths, refusals and state changes over time."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final

import msgspec
from hdrh.histogram import HdrHistogram

from .bounds import MAX_BUCKETS, MAX_NAMES, MAX_ROWS, new_histogram, record_seconds
from .load_report import LoadReport, add_admission, add_load_line
from .load_tables import format_load
from .tables import format_table

if TYPE_CHECKING:
    from .log_lines import LogLine, ReadCounts

STATE_CHANGE_MESSAGES: Final = {
    "engine does not answer": "engine dead",
    "engine works slowly": "engine slow",
    "links between failure domains avoided": "links avoided",
    "engine moved": "engine moved",
    "layers without an engine": "layers lacking",
    "dependency lost": "control box lost",
    "upstream not heard": "upstream silent",
    "probe says nothing": "own box held up",
}
"""Messages that log a change of state as seen by a box, with their column headers."""


class PathStats(msgspec.Struct, kw_only=True):
    """Statistics of streams with the same number of inter-domain hops on their paths."""

    streams: int = 0
    """Completed streams."""

    not_completed: int = 0
    """Streams that were sent but not completed."""

    engines: int = 0
    """Total number of engines on the paths of completed streams."""

    first_event_times: HdrHistogram = msgspec.field(default_factory=new_histogram)
    """Times to the first event, in microseconds."""

    longest_gaps: HdrHistogram = msgspec.field(default_factory=new_histogram)
    """Longest gap between events of each stream, in microseconds."""


class LogReport(msgspec.Struct, kw_only=True):
    """Aggregates of the lines read so far."""

    bucket_seconds: float = 2.0
    """Length of a time bucket, in seconds."""

    started_at: float | None = None
    """Start of the first bucket, in seconds since 1970; None before the first line."""

    outcomes: dict[int, Counter[str]] = msgspec.field(default_factory=dict)
    """Requests by bucket and outcome."""

    state_changes: dict[int, Counter[str]] = msgspec.field(default_factory=dict)
    """State changes by bucket and kind."""

    paths: dict[int, PathStats] = msgspec.field(default_factory=dict)
    """Streams by the number of inter-domain hops on their last path."""

    refusals: Counter[str] = msgspec.field(default_factory=Counter)
    """Refused attempts by upstream."""

    rate_limited: dict[int, Counter[str]] = msgspec.field(default_factory=dict)
    """Requests that all boxes sent to rate-limited upstreams, by bucket and upstream."""

    rate_limited_by_box: Counter[tuple[str, str]] = msgspec.field(default_factory=Counter)
    """Requests sent to rate-limited upstreams, by upstream and box."""

    attempt_ends: Counter[str] = msgspec.field(default_factory=Counter)
    """Stream attempts that did not complete, by result."""

    load: LoadReport = msgspec.field(default_factory=LoadReport)
    """Streams and admission by priority, client account and failure domain."""

    overflow: int = 0
    """Lines outside of the buckets."""


def add_line(report: LogReport, line: LogLine) -> None:
    """Add a line to the report; ignore lines that no table uses."""
    add_load_line(report.load, line)
    if line.message == "request":
        _add_request(report, line)
    elif line.message == "run ended early":
        _add_attempt(report, line.fields)
    elif line.message == "sent under a limit":
        _add_rate_limited(report, line)
    elif line.message == "admission":
        report.overflow += not add_admission(report.load, line.fields, _bucket(report, line.at))
    elif line.message in STATE_CHANGE_MESSAGES:
        _count(report, report.state_changes, line.at, STATE_CHANGE_MESSAGES[line.message])


def _bucket(report: LogReport, at: float) -> int:
    """Return the index of the time bucket; the first line starts the first bucket."""
    if report.started_at is None:
        report.started_at = at - at % report.bucket_seconds
    return int((at - report.started_at) // report.bucket_seconds)


def _count(
    report: LogReport, buckets: dict[int, Counter[str]], at: float, name: str, count: int = 1
) -> None:
    index = _bucket(report, at)
    if index not in buckets and len(buckets) >= MAX_BUCKETS:
        report.overflow += 1
        return
    buckets.setdefault(index, Counter())[name] += count


def _add_request(report: LogReport, line: LogLine) -> None:
    outcome = str(line.fields.get("outcome", "?")).split(":")[0]
    _count(report, report.outcomes, line.at, outcome)
    hops = line.fields.get("crossings")
    if not isinstance(hops, int):
        return
    stats = report.paths.setdefault(min(max(hops, 0), 32), PathStats())
    if outcome != "answered":
        stats.not_completed += 1
        return
    stats.streams += 1
    stats.engines += len(_as_list(line.fields.get("path")))
    record_seconds(stats.first_event_times, line.fields.get("first_event"))
    record_seconds(stats.longest_gaps, line.fields.get("longest_gap"))


def _add_attempt(report: LogReport, fields: dict[str, Any]) -> None:
    end, detail = str(fields.get("end", "?")), str(fields.get("detail", ""))
    report.attempt_ends[end] += 1
    if end != "refused":
        return
    upstream = detail.rpartition(" ")[2] or "?"
    if upstream not in report.refusals and len(report.refusals) >= MAX_NAMES:
        upstream = "others"
    report.refusals[upstream] += 1


def _add_rate_limited(report: LogReport, line: LogLine) -> None:
    upstream, sent = str(line.fields.get("upstream", "?")), line.fields.get("sent")
    if not isinstance(sent, int):
        return
    key = (upstream, line.box)
    if key not in report.rate_limited_by_box and len(report.rate_limited_by_box) >= MAX_NAMES:
        upstream, key = "others", ("others", "others")
    _count(report, report.rate_limited, line.at, upstream, sent)
    report.rate_limited_by_box[key] += sent


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []


def format_report(report: LogReport, counts: ReadCounts) -> list[str]:
    """Format the report as text.

    Args:
        report: The report.
        counts: Counts of read and skipped lines.

    Returns:
        Lines of text.
    """
    sections = [
        _format_counts(report, counts),
        _format_over_time("Requests by outcome", report, report.outcomes),
        _format_over_time("Changes of belief", report, report.state_changes),
        _format_paths(report),
        format_table(
            "Runs of streams that did not complete",
            ["end", "runs"],
            _most_common_rows(report.attempt_ends),
        ),
        format_table(
            "Refused runs by upstream", ["upstream", "runs"], _most_common_rows(report.refusals)
        ),
        _format_over_time("Requests sent under a limit, by all boxes", report, report.rate_limited),
        format_table(
            "Requests sent under a limit, by box",
            ["upstream", "box", "requests"],
            [(*key, count) for key, count in report.rate_limited_by_box.most_common(MAX_ROWS)],
        ),
        *format_load(report.load, report.bucket_seconds),
    ]
    return [line for section in sections for line in [*section, ""]][:-1]


def _most_common_rows(counter: Counter[str]) -> list[tuple[str, int]]:
    return counter.most_common(MAX_ROWS)


def _format_counts(report: LogReport, counts: ReadCounts) -> list[str]:
    skipped = {
        "not JSON or cut": counts.not_json,
        "without time, box or message": counts.incomplete,
        "too long": counts.too_long,
        "left out by the processes": counts.dropped,
        "outside of the spans shown": report.overflow,
    }
    text = ", ".join(f"{count} {name}" for name, count in skipped.items() if count)
    lines = [f"{counts.lines} lines of {len(counts.newest_at)} boxes; {text or 'nothing left out'}"]
    lines += [
        f"clock of {box} stepped back {times} times" for box, times in counts.clock_jumps.items()
    ]
    return lines


def _format_over_time(title: str, report: LogReport, buckets: dict[int, Counter[str]]) -> list[str]:
    total: Counter[str] = Counter()
    for counter in buckets.values():
        total.update(counter)
    names = [name for name, _count in total.most_common()]
    rows = [
        [f"{index * report.bucket_seconds:g}", *(buckets[index][name] for name in names)]
        for index in sorted(buckets)
    ]
    return format_table(title, ["second", *names], rows)


def _format_paths(report: LogReport) -> list[str]:
    rows = [
        [
            hops,
            stats.streams,
            stats.not_completed,
            stats.engines / max(1, stats.streams),
            stats.first_event_times.get_value_at_percentile(50) / 1e6,
            stats.longest_gaps.get_value_at_percentile(50) / 1e6,
            stats.longest_gaps.get_value_at_percentile(95) / 1e6,
        ]
        for hops, stats in sorted(report.paths.items())
    ]
    headers = ["crossings", "whole", "other", "engines", "first p50", "pause p50", "pause p95"]
    return format_table("Streams by crossings between failure domains, seconds", headers, rows)
