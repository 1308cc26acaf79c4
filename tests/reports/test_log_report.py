"""Tables of aggregated log lines, and the timeline of one request."""

from __future__ import annotations

from typing import Any

import pytest

from ledgeladder.reports import (
    LogLine,
    LogReport,
    ReadCounts,
    RequestTimeline,
    add_line,
    add_to_timeline,
    format_report,
    format_timeline,
)
from ledgeladder.reports.bounds import MAX_BUCKETS, MAX_NAMES
from ledgeladder.reports.request_course import MAX_LINES


def line(at: float, message: str, box: str = "a-1", **fields: Any) -> LogLine:
    return LogLine(at=at, box=box, message=message, fields=fields)


def report_of(*lines: LogLine) -> LogReport:
    report = LogReport()
    for item in lines:
        add_line(report, item)
    return report


def test_requests_are_counted_by_time_and_outcome() -> None:
    report = report_of(
        line(100.0, "request", outcome="answered"),
        line(101.0, "request", outcome="NO_ROUTE: no path over p"),
        line(104.5, "request", outcome="answered"),
    )
    assert {index: dict(found) for index, found in report.outcomes.items()} == {
        0: {"answered": 1, "NO_ROUTE": 1},
        2: {"answered": 1},
    }
    text = format_report(report, ReadCounts(lines=3))
    assert "second  answered  NO_ROUTE" in text
    assert "4              1         0" in text


def test_requests_under_a_rate_limit_are_summed_and_listed_by_box() -> None:
    """The sums show whether all boxes together kept to the rate limit of an upstream."""
    report = report_of(
        line(100.0, "sent under a limit", box="a-1", upstream="i", rate=2.0, sent=2, lent=3),
        line(101.0, "sent under a limit", box="a-2", upstream="i", rate=2.0, sent=1, lent=1),
        line(102.5, "sent under a limit", box="a-1", upstream="i", rate=2.0, sent=4, lent=4),
        line(102.5, "sent under a limit", box="a-1", upstream="i", sent="many"),
    )
    assert {index: dict(found) for index, found in report.rate_limited.items()} == {
        0: {"i": 3},
        1: {"i": 4},
    }
    assert dict(report.rate_limited_by_box) == {("i", "a-1"): 6, ("i", "a-2"): 1}
    text = "\n".join(format_report(report, ReadCounts(lines=4)))
    assert "Requests sent under a limit, by box" in text


def test_rate_limited_upstreams_beyond_the_maximum_are_summed() -> None:
    lines = [
        line(100.0, "sent under a limit", upstream=f"i-{number}", sent=1)
        for number in range(MAX_NAMES + 10)
    ]
    report = report_of(*lines)
    assert len(report.rate_limited_by_box) == MAX_NAMES + 1
    assert report.rate_limited_by_box["others", "others"] == 10


def test_gaps_are_listed_by_inter_domain_hops() -> None:
    fields = {"outcome": "answered", "path": ["i=0-80"], "first_event": 0.1}
    report = report_of(
        line(1.0, "request", crossings=0, longest_gap=0.05, **fields),
        line(1.0, "request", crossings=2, longest_gap=0.5, **fields),
        line(1.0, "request", crossings=2, outcome="broken-off"),
    )
    assert report.paths[0].longest_gaps.get_value_at_percentile(50) == pytest.approx(
        50_000, rel=0.02
    )
    assert report.paths[2].longest_gaps.get_value_at_percentile(50) == pytest.approx(
        500_000, rel=0.02
    )
    assert (report.paths[2].streams, report.paths[2].not_completed) == (1, 1)


def test_refusals_are_counted_by_upstream_up_to_a_maximum() -> None:
    ended = {"end": "refused"}
    report = report_of(
        line(1.0, "run ended early", detail="status 503 at i-1", **ended),
        line(1.0, "run ended early", detail="status 503 at i-1", **ended),
        line(1.0, "run ended early", end="lost", detail="silent for 1.00 s"),
        *(line(1.0, "run ended early", detail=f"at i-{n}", **ended) for n in range(2 * MAX_NAMES)),
    )
    assert report.refusals["i-1"] == 3
    assert report.attempt_ends == {"refused": 2 + 2 * MAX_NAMES, "lost": 1}
    assert len(report.refusals) <= MAX_NAMES + 1
    assert report.refusals["others"] > 0


def test_number_of_time_buckets_is_bounded() -> None:
    report = report_of(
        *(line(1000.0 * n, "engine does not answer") for n in range(MAX_BUCKETS + 5))
    )
    assert len(report.state_changes) == MAX_BUCKETS
    assert report.overflow == 5
    assert "5 outside of the spans shown" in format_report(report, ReadCounts())[0]


def test_fields_of_wrong_types_are_ignored() -> None:
    report = report_of(
        line(1.0, "request", outcome=7, crossings="many", path=3),
        line(1.0, "request", outcome="answered", crossings=-4, path=3, first_event="x"),
        line(1.0, "run ended early", end=None, detail=["x"]),
    )
    assert format_report(report, ReadCounts())


def test_empty_logs_give_empty_tables() -> None:
    text = format_report(LogReport(), ReadCounts())
    assert text[0] == "0 lines of 0 boxes; nothing left out"
    assert "(none)" in text


def test_timeline_of_a_request_is_ordered_by_time_over_all_boxes() -> None:
    timeline = RequestTimeline(request="r")
    for item in (
        line(5.5, "request", request="r", outcome="answered"),
        line(5.0, "run ended early", "b-1", request="r", end="refused"),
        line(5.2, "request", request="other"),
    ):
        add_to_timeline(timeline, item)
    text = format_timeline(timeline)
    assert text == [
        "request r",
        '+0.000 s  b-1  run ended early  {"end": "refused"}',
        '+0.500 s  a-1  request  {"outcome": "answered"}',
    ]


def test_lines_of_a_reused_request_id_are_bounded() -> None:
    timeline = RequestTimeline(request="r")
    for number in range(MAX_LINES + 3):
        add_to_timeline(timeline, line(float(number), "request", request="r"))
    assert len(timeline.lines) == MAX_LINES
    assert format_timeline(timeline)[-1] == "3 further lines left out"


def test_unknown_request_gives_a_message() -> None:
    assert format_timeline(RequestTimeline(request="r")) == ["no line of request r"]
