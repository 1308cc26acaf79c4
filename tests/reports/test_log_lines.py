"""Reading of log files that are truncated, mixed or not logs at all."""

from __future__ import annotations

import io
import json

from ledgeladder.reports import LogLine, ReadCounts, read_lines
from ledgeladder.reports.log_lines import MAX_LINE_BYTES


def line(
    at: str = "12:00:00,000", box: str = "a-1", message: str = "request", **more: object
) -> bytes:
    content = {"time": f"2026-01-28 {at}", "box": box, "message": message, **more}
    return json.dumps(content).encode() + b"\n"


def read(*lines: bytes) -> tuple[list[LogLine], ReadCounts]:
    counts = ReadCounts()
    return list(read_lines(io.BytesIO(b"".join(lines)), counts)), counts


def test_prefixes_of_log_collectors_are_ignored() -> None:
    parsed, counts = read(b"  12.5 a-1 " + line(outcome="answered"), line(box="b-1"))
    assert [item.box for item in parsed] == ["a-1", "b-1"]
    assert parsed[0].fields == {"outcome": "answered"}
    assert counts.lines == 2


def test_truncated_lines_and_other_text_are_counted_and_skipped() -> None:
    whole = line()
    parsed, counts = read(whole[:40] + b"\n", b"no json\n", b"\n", b"[1]\n", whole, whole[:-5])
    assert len(parsed) == 1
    assert counts.not_json == 4


def test_lines_with_infinite_values_are_read() -> None:
    """A box that never heard of a document or of demand writes its age so."""
    parsed, counts = read(
        line(version_age=float("inf"), first_event=float("nan"), free=-float("inf")),
        line()[:-3] + b', "x": Infinit}\n',
        b'{"x": ' + b"[" * 100_000 + b"\n",
    )
    assert [item.fields["version_age"] for item in parsed] == [float("inf")]
    assert counts.not_json == 2


def test_lines_without_time_box_or_message_are_counted() -> None:
    _, counts = read(
        b'{"box": "a", "message": "m"}\n',
        b'{"time": 5, "box": "a", "message": "m"}\n',
        b'{"time": "2026-01-28 12:00:00,000", "message": "m"}\n',
    )
    assert counts.incomplete == 3


def test_too_long_line_is_skipped_and_the_next_one_is_read() -> None:
    parsed, counts = read(b"x" * (3 * MAX_LINE_BYTES) + b"\n", line())
    assert len(parsed) == 1
    assert counts.too_long == 1


def test_backward_clock_jumps_are_counted_by_box() -> None:
    _, counts = read(
        line("12:00:10,000"),
        line("12:00:09,900"),
        line("12:00:02,000"),
        line("12:00:01,000", box="b-1"),
        line("12:00:02,500"),
    )
    assert counts.clock_jumps == {"a-1": 1}


def test_lines_dropped_by_processes_are_summed() -> None:
    _, counts = read(line(lines_dropped=3), line(lines_sampled_out=4))
    assert counts.dropped == 7
