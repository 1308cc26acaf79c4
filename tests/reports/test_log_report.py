"""Tables over many lines, and the course of one request."""

from __future__ import annotations

from typing import Any

import pytest

from ledgeladder.reports import (
    LogLine,
    LogReport,
    ReadCounts,
    RequestCourse,
    add_course_line,
    add_line,
    write_course,
    write_report,
)
from ledgeladder.reports.log_report import BUCKETS_LIMIT, NAMES_LIMIT
from ledgeladder.reports.request_course import LINES_LIMIT


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
    text = write_report(report, ReadCounts(lines=3))
    assert "second  answered  NO_ROUTE" in text
    assert "4              1         0" in text


def test_requests_under_a_limit_are_summed_over_boxes_and_told_by_box() -> None:
    """What tells afterwards how many requests an upstream got that takes so many a second."""
    report = report_of(
        line(100.0, "sent under a limit", box="a-1", upstream="i", rate=2.0, sent=2, lent=3),
        line(101.0, "sent under a limit", box="a-2", upstream="i", rate=2.0, sent=1, lent=1),
        line(102.5, "sent under a limit", box="a-1", upstream="i", rate=2.0, sent=4, lent=4),
        line(102.5, "sent under a limit", box="a-1", upstream="i", sent="many"),
    )
    assert {index: dict(found) for index, found in report.limited.items()} == {
        0: {"i": 3},
        1: {"i": 4},
    }
    assert dict(report.limited_boxes) == {("i", "a-1"): 6, ("i", "a-2"): 1}
    text = "\n".join(write_report(report, ReadCounts(lines=4)))
    assert "Requests sent under a limit, by box" in text


def test_limited_upstreams_beyond_a_number_are_added_up() -> None:
    lines = [
        line(100.0, "sent under a limit", upstream=f"i-{number}", sent=1)
        for number in range(NAMES_LIMIT + 10)
    ]
    report = report_of(*lines)
    assert len(report.limited_boxes) == NAMES_LIMIT + 1
    assert report.limited_boxes["others", "others"] == 10


def test_pauses_are_told_by_crossings() -> None:
    fields = {"outcome": "answered", "path": ["i=0-80"], "first_event": 0.1}
    report = report_of(
        line(1.0, "request", crossings=0, longest_gap=0.05, **fields),
        line(1.0, "request", crossings=2, longest_gap=0.5, **fields),
        line(1.0, "request", crossings=2, outcome="broken-off"),
    )
    assert report.paths[0].pauses.get_value_at_percentile(50) == pytest.approx(50_000, rel=0.02)
    assert report.paths[2].pauses.get_value_at_percentile(50) == pytest.approx(500_000, rel=0.02)
    assert (report.paths[2].streams, report.paths[2].broken) == (1, 1)


def test_refusals_are_counted_by_the_upstream_that_refused_up_to_a_limit() -> None:
    ended = {"end": "refused"}
    report = report_of(
        line(1.0, "run ended early", detail="status 503 at i-1", **ended),
        line(1.0, "run ended early", detail="status 503 at i-1", **ended),
        line(1.0, "run ended early", end="lost", detail="silent for 1.00 s"),
        *(
            line(1.0, "run ended early", detail=f"at i-{n}", **ended)
            for n in range(2 * NAMES_LIMIT)
        ),
    )
    assert report.refusals["i-1"] == 3
    assert report.run_ends == {"refused": 2 + 2 * NAMES_LIMIT, "lost": 1}
    assert len(report.refusals) <= NAMES_LIMIT + 1
    assert report.refusals["others"] > 0


def test_times_far_apart_do_not_fill_the_memory() -> None:
    report = report_of(
        *(line(1000.0 * n, "engine does not answer") for n in range(BUCKETS_LIMIT + 5))
    )
    assert len(report.beliefs) == BUCKETS_LIMIT
    assert report.overflow == 5
    assert "5 outside of the spans shown" in write_report(report, ReadCounts())[0]


def test_fields_of_wrong_types_are_passed_over() -> None:
    report = report_of(
        line(1.0, "request", outcome=7, crossings="many", path=3),
        line(1.0, "request", outcome="answered", crossings=-4, path=3, first_event="x"),
        line(1.0, "run ended early", end=None, detail=["x"]),
    )
    assert write_report(report, ReadCounts())


def test_empty_logs_give_empty_tables() -> None:
    text = write_report(LogReport(), ReadCounts())
    assert text[0] == "0 lines of 0 boxes; nothing left out"
    assert "(none)" in text


def test_course_of_a_request_is_in_the_order_of_time_over_all_boxes() -> None:
    course = RequestCourse(request="r")
    for item in (
        line(5.5, "request", request="r", outcome="answered"),
        line(5.0, "run ended early", "b-1", request="r", end="refused"),
        line(5.2, "request", request="other"),
    ):
        add_course_line(course, item)
    text = write_course(course)
    assert text == [
        "request r",
        '+0.000 s  b-1  run ended early  {"end": "refused"}',
        '+0.500 s  a-1  request  {"outcome": "answered"}',
    ]


def test_id_that_is_used_without_end_does_not_fill_the_memory() -> None:
    course = RequestCourse(request="r")
    for number in range(LINES_LIMIT + 3):
        add_course_line(course, line(float(number), "request", request="r"))
    assert len(course.lines) == LINES_LIMIT
    assert write_course(course)[-1] == "3 further lines left out"


def test_request_that_is_not_in_the_logs_is_said_so() -> None:
    assert write_course(RequestCourse(request="r")) == ["no line of request r"]
