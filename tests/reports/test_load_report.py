"""Tables of who got the room: by priority, client account, failure domain and time."""

from __future__ import annotations

import random
from typing import Any

import pytest

from ledgeladder.reports import LogLine, LogReport, ReadCounts, add_line, format_report
from ledgeladder.reports.bounds import MAX_BUCKETS, MAX_NAMES, MAX_ROWS
from ledgeladder.reports.load_report import (
    MAX_ACCOUNTS,
    MAX_CLASSES,
    OTHER_PRIORITIES,
    OTHERS,
    StreamCounts,
)


def line(message: str, at: float = 100.0, **fields: Any) -> LogLine:
    return LogLine(at=at, box="a-1", message=message, fields=fields)


def stream(outcome: str = "answered", **fields: Any) -> LogLine:
    usual = {"pool": "p", "priority": 1, "account": "acme", "failure_domain": "a"}
    return line("request", outcome=outcome, **(usual | fields))


def report_of(*lines: LogLine) -> LogReport:
    report = LogReport()
    for item in lines:
        add_line(report, item)
    return report


def table(report: LogReport, title: str) -> list[list[str]]:
    """Return the cells of a table, which contain no spaces in these tests."""
    text = format_report(report, ReadCounts())
    rows = text[text.index(title) + 2 :]
    return (
        [row.split() for row in rows[: rows.index("")] if row]
        if "" in rows
        else [row.split() for row in rows]
    )


def test_priorities_that_are_refused_under_load_are_told_apart() -> None:
    """A burst of one priority takes the room; the operator sees which priorities paid for it."""
    report = report_of(
        stream(priority=0, first_event=0.1, crossings=1),
        stream(priority=0, first_event=0.1, waited=0.2),
        stream("caller-left", priority=0),
        stream("QUEUE_FULL: no room", priority=2, account="bulk", failure_domain="b"),
        stream("QUEUE_FULL: no room", priority=2, account="bulk", failure_domain="b"),
        stream("broken-off: no path", priority=2, account=None, first_event=0.3),
    )
    assert table(report, "Streams by priority, seconds") == [
        ["p", "0", "3", "2", "0.100", "0.100", "1", "0", "0"],
        ["p", "2", "3", "0", "0.301", "0.301", "0", "2", "1"],
    ]
    assert table(report, "Refused streams by priority and code") == [["2", "QUEUE_FULL", "2"]]
    assert table(report, "Streams by client account") == [
        ["acme", "3", "2", "0"],
        ["bulk", "2", "0", "2"],
        ["(none)", "1", "0", "0"],
    ]
    assert table(report, "Streams by failure domain of the gateway") == [
        ["a", "4", "2", "0", "1"],
        ["b", "2", "0", "2", "0"],
    ]


def test_admission_is_listed_by_time_with_the_least_free_room() -> None:
    report = report_of(
        line("admission", 100.0, priority=1, decision="waited", reason="short", free=3.5),
        line("admission", 101.0, priority=2, decision="refused", reason="share", free=1.0),
        line("admission", 105.0, priority=2, decision="refused", reason="share"),
    )
    assert table(report, "Admission over time") == [
        ["0", "1", "1", "1.000"],
        ["4", "1", "0", "-"],
    ]
    text = "\n".join(format_report(report, ReadCounts()))
    assert "second  refused 2  waited 1  least free" in text
    assert table(report, "Decisions of admission by reason") == [
        ["refused", "share", "2"],
        ["waited", "short", "1"],
    ]


def test_full_engines_and_retries_are_listed() -> None:
    report = report_of(
        line("engine full", upstream="i-1", in_flight=8, kv=0.9),
        line("engine full", upstream="i-1", in_flight=8, kv=None),
        line("retry quota received", pool="p", purpose="interrupted", wanted=8, count=3),
        line("retry quota received", pool="p", wanted=8, count=3),
    )
    assert table(report, "Engines found full") == [["i-1", "2"]]
    assert table(report, "Requested retries by purpose") == [["interrupted", "8", "3"]]


def test_logs_without_streams_and_admission_have_no_new_tables() -> None:
    """Plain requests and lines of earlier versions have no priority."""
    before = format_report(LogReport(), ReadCounts())
    report = report_of(line("request", outcome="answered", pool="p", account="acme"))
    titles = {item for item in format_report(report, ReadCounts()) if item.startswith("Streams")}
    assert titles == {item for item in before if item.startswith("Streams")}


def test_fields_of_wrong_types_are_ignored() -> None:
    report = report_of(
        stream(priority="high"),
        stream(7, pool=None, account=["x"], failure_domain=3, crossings="many"),  # type: ignore[arg-type]
        stream(first_event="soon", waited="long"),
        line("admission", decision=None, reason=["x"], priority="x", free="much"),
        stream(first_event=float("inf")),
        stream(first_event=float("nan")),
        stream(first_event=-(10**400)),
        line("admission", decision="refused", priority=1, free=float("inf")),
        line("admission", decision="refused", priority=1, free=10**400),
        line("engine full", upstream=None),
        line("retry quota received", purpose=None, wanted="x", count=-4),
    )
    assert sum(stats.counts.asked for stats in report.load.classes.values()) == 5
    assert format_report(report, ReadCounts())


@pytest.mark.parametrize("seed", range(5))
def test_sums_agree_and_memory_is_bounded(seed: int) -> None:
    """Whatever the lines name: each stream counts once in each table, and tables don't grow."""
    rng = random.Random(seed)
    outcomes = ("answered", "caller-left", "broken-off: x", "QUEUE_FULL: x", "NO_ROUTE: y")
    lines = [
        stream(
            rng.choice(outcomes),
            pool=f"p-{rng.randrange(40)}",
            priority=rng.randrange(10),
            account=f"c-{number}" if rng.random() < 0.9 else None,
            failure_domain=f"d-{rng.randrange(2 * MAX_CLASSES)}",
        )
        for number in range(MAX_ACCOUNTS + 1000)
    ]
    lines += [
        line(
            "admission",
            at=1000.0 * number,
            decision="refused",
            reason=f"r-{number}",
            priority=number,
        )
        for number in range(MAX_BUCKETS + 5)
    ]
    lines += [line("admission", at=0.0, decision="waited", priority=n) for n in range(200)]
    rng.shuffle(lines)
    report = report_of(*lines)
    load = report.load
    counted: list[list[StreamCounts]] = [
        [stats.counts for stats in load.classes.values()],
        list(load.accounts.values()),
        list(load.domains.values()),
    ]
    streams = MAX_ACCOUNTS + 1000
    for found in counted:
        assert sum(item.asked for item in found) == streams
        ended = [item.answered + item.refused + item.broken_off for item in found]
        assert all(end <= item.asked for end, item in zip(ended, found, strict=True))
    assert len({sum(item.refused for item in found) for found in counted}) == 1
    assert sum(load.refusals.values()) == sum(item.refused for item in counted[0])
    assert len(load.classes) == len(load.domains) == MAX_CLASSES + 1
    assert load.classes[OTHERS, OTHER_PRIORITIES].counts.asked > 0
    assert len(load.accounts) == MAX_ACCOUNTS + 1
    assert len(load.admission) == MAX_BUCKETS
    assert len(load.reasons) <= MAX_NAMES + 1
    assert all(len(item.decisions) <= MAX_CLASSES + 1 for item in load.admission.values())
    shown = sum(item.decisions.total() for item in load.admission.values())
    assert shown + report.overflow == MAX_BUCKETS + 205


def test_accounts_beyond_the_maximum_are_shown_after_the_largest() -> None:
    """Their sum is no account, and must not be cut off as a small one would be."""
    lines = [stream(account=f"c-{number}") for number in range(MAX_ACCOUNTS)]
    lines += [stream(account="last"), *(stream(account=f"c-{n}") for n in range(2 * MAX_ROWS))]
    rows = table(report_of(*lines), "Streams by client account")
    assert len(rows) == MAX_ROWS + 1
    assert rows[-1] == [OTHERS, "1", "1", "0"]
    many = [stream(account=f"more-{number}") for number in range(100)]
    rows = table(report_of(*lines, *many), "Streams by client account")
    assert rows[-1] == [OTHERS, "101", "101", "0"]
    assert rows[0] == ["c-0", "2", "2", "0"]
