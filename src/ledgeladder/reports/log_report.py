"""What many lines say together: outcomes, paths, refusals and beliefs over time."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final

import msgspec
from hdrh.histogram import HdrHistogram

from .tables import table

if TYPE_CHECKING:
    from .log_lines import LogLine, ReadCounts

BUCKETS_LIMIT: Final = 2000
"""Spans of time that are told apart: at 2 s each, more than an hour. Lines beyond are added up
together, so that a clock that jumps does not fill the memory."""

NAMES_LIMIT: Final = 500
"""Upstreams that are told apart in one table; further ones are added up as `others`."""

ROWS_SHOWN: Final = 20
"""Rows of tables that begin with the most frequent."""

LONGEST_MICROSECONDS: Final = 60_000_000
"""Longest pause that is told from longer ones."""

BELIEFS: Final = {
    "engine does not answer": "engine dead",
    "engine works slowly": "engine slow",
    "links between failure domains avoided": "links avoided",
    "engine moved": "engine moved",
    "layers without an engine": "layers lacking",
    "dependency lost": "control box lost",
    "upstream not heard": "upstream silent",
    "probe says nothing": "own box held up",
}
"""Lines that tell of a change of belief, with the words for the table."""


def _pauses() -> HdrHistogram:
    return HdrHistogram(100, LONGEST_MICROSECONDS, 2)


class PathKind(msgspec.Struct, kw_only=True):
    """Streams whose paths cross the same number of times between failure domains."""

    streams: int = 0
    """Streams that were answered whole."""

    broken: int = 0
    """Streams that ended otherwise after they were sent."""

    engines: int = 0
    """Sum of the engines on their paths."""

    first_events: HdrHistogram = msgspec.field(default_factory=_pauses)
    """Times to the first event, in microseconds."""

    pauses: HdrHistogram = msgspec.field(default_factory=_pauses)
    """Longest pause of each, in microseconds."""


class LogReport(msgspec.Struct, kw_only=True):
    """Sums over the lines read so far."""

    bucket_seconds: float = 2.0
    """Length of the spans of time that are told apart."""

    began: float | None = None
    """Start of the first span, in seconds since 1970."""

    outcomes: dict[int, Counter[str]] = msgspec.field(default_factory=dict)
    """Requests by span and outcome."""

    beliefs: dict[int, Counter[str]] = msgspec.field(default_factory=dict)
    """Changes of belief by span and kind."""

    paths: dict[int, PathKind] = msgspec.field(default_factory=dict)
    """Streams by the crossings of their last path."""

    refusals: Counter[str] = msgspec.field(default_factory=Counter)
    """Refused runs by the upstream that refused."""

    limited: dict[int, Counter[str]] = msgspec.field(default_factory=dict)
    """Requests that all boxes sent to upstreams with a limit, by span and upstream."""

    limited_boxes: Counter[tuple[str, str]] = msgspec.field(default_factory=Counter)
    """The same by upstream and box."""

    run_ends: Counter[str] = msgspec.field(default_factory=Counter)
    """Runs of streams that did not complete, by how they ended."""

    overflow: int = 0
    """Lines outside of the spans that are told apart."""


def add_line(report: LogReport, line: LogLine) -> None:
    """Take in one line; lines that no table needs are passed over."""
    if line.message == "request":
        _add_request(report, line)
    elif line.message == "run ended early":
        _add_run(report, line.fields)
    elif line.message == "sent under a limit":
        _add_limited(report, line)
    elif line.message in BELIEFS:
        _count(report, report.beliefs, line.at, BELIEFS[line.message])


def _count(
    report: LogReport, table_of: dict[int, Counter[str]], at: float, name: str, count: int = 1
) -> None:
    if report.began is None:
        report.began = at - at % report.bucket_seconds
    index = int((at - report.began) // report.bucket_seconds)
    if index not in table_of and len(table_of) >= BUCKETS_LIMIT:
        report.overflow += 1
        return
    table_of.setdefault(index, Counter())[name] += count


def _add_request(report: LogReport, line: LogLine) -> None:
    outcome = str(line.fields.get("outcome", "?")).split(":")[0]
    _count(report, report.outcomes, line.at, outcome)
    crossings = line.fields.get("crossings")
    if not isinstance(crossings, int):
        return
    kind = report.paths.setdefault(min(max(crossings, 0), 32), PathKind())
    if outcome != "answered":
        kind.broken += 1
        return
    kind.streams += 1
    kind.engines += len(_list(line.fields.get("path")))
    _record(kind.first_events, line.fields.get("first_event"))
    _record(kind.pauses, line.fields.get("longest_gap"))


def _record(histogram: HdrHistogram, seconds: Any) -> None:
    if isinstance(seconds, int | float):
        histogram.record_value(min(max(int(seconds * 1e6), 100), LONGEST_MICROSECONDS))


def _add_run(report: LogReport, fields: dict[str, Any]) -> None:
    end, detail = str(fields.get("end", "?")), str(fields.get("detail", ""))
    report.run_ends[end] += 1
    if end != "refused":
        return
    upstream = detail.rpartition(" ")[2] or "?"
    if upstream not in report.refusals and len(report.refusals) >= NAMES_LIMIT:
        upstream = "others"
    report.refusals[upstream] += 1


def _add_limited(report: LogReport, line: LogLine) -> None:
    upstream, sent = str(line.fields.get("upstream", "?")), line.fields.get("sent")
    if not isinstance(sent, int):
        return
    place = (upstream, line.box)
    if place not in report.limited_boxes and len(report.limited_boxes) >= NAMES_LIMIT:
        upstream, place = "others", ("others", "others")
    _count(report, report.limited, line.at, upstream, sent)
    report.limited_boxes[place] += sent


def _list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []


def write_report(report: LogReport, counts: ReadCounts) -> list[str]:
    """Lay the report out as text.

    Args:
        report: The sums.
        counts: What was read and left out.

    Returns:
        Lines.
    """
    sections = [
        _written_counts(report, counts),
        _over_time("Requests by outcome", report, report.outcomes),
        _over_time("Changes of belief", report, report.beliefs),
        _written_paths(report),
        table("Runs of streams that did not complete", ["end", "runs"], _most(report.run_ends)),
        table("Refused runs by upstream", ["upstream", "runs"], _most(report.refusals)),
        _over_time("Requests sent under a limit, by all boxes", report, report.limited),
        table(
            "Requests sent under a limit, by box",
            ["upstream", "box", "requests"],
            [(*place, count) for place, count in report.limited_boxes.most_common(ROWS_SHOWN)],
        ),
    ]
    return [line for section in sections for line in [*section, ""]][:-1]


def _most(counter: Counter[str]) -> list[tuple[str, int]]:
    return counter.most_common(ROWS_SHOWN)


def _written_counts(report: LogReport, counts: ReadCounts) -> list[str]:
    left_out = {
        "not JSON or cut": counts.not_json,
        "without time, box or message": counts.incomplete,
        "too long": counts.too_long,
        "left out by the processes": counts.dropped,
        "outside of the spans shown": report.overflow,
    }
    text = ", ".join(f"{count} {name}" for name, count in left_out.items() if count)
    lines = [f"{counts.lines} lines of {len(counts.newest)} boxes; {text or 'nothing left out'}"]
    lines += [f"clock of {box} stepped back {times} times" for box, times in counts.jumps.items()]
    return lines


def _over_time(title: str, report: LogReport, spans: dict[int, Counter[str]]) -> list[str]:
    total: Counter[str] = Counter()
    for counter in spans.values():
        total.update(counter)
    names = [name for name, _count in total.most_common()]
    rows = [
        [f"{index * report.bucket_seconds:g}", *(spans[index][name] for name in names)]
        for index in sorted(spans)
    ]
    return table(title, ["second", *names], rows)


def _written_paths(report: LogReport) -> list[str]:
    rows = [
        [
            crossings,
            kind.streams,
            kind.broken,
            kind.engines / max(1, kind.streams),
            kind.first_events.get_value_at_percentile(50) / 1e6,
            kind.pauses.get_value_at_percentile(50) / 1e6,
            kind.pauses.get_value_at_percentile(95) / 1e6,
        ]
        for crossings, kind in sorted(report.paths.items())
    ]
    heads = ["crossings", "whole", "other", "engines", "first p50", "pause p50", "pause p95"]
    return table("Streams by crossings between failure domains, seconds", heads, rows)
