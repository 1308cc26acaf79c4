"""The course of one request over all boxes that logged a line of it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from .log_lines import LogLine

LINES_LIMIT: Final = 1000
"""Lines of one request that are kept. A request has a line for each run and one at its end; more
than this is an id that callers use again and again."""

HIDDEN_FIELDS: Final = frozenset({"level", "logger", "failure_domain", "request"})
"""Fields that are the same in all lines of a request, or say nothing of its course."""


class RequestCourse(msgspec.Struct, kw_only=True):
    """Lines of one request."""

    request: str
    """Its id."""

    lines: list[LogLine] = msgspec.field(default_factory=list)
    """The lines found so far."""

    left_out: int = 0
    """Lines beyond `LINES_LIMIT`."""


def add_course_line(course: RequestCourse, line: LogLine) -> None:
    """Keep a line if it is about the request."""
    if line.fields.get("request") != course.request:
        return
    if len(course.lines) >= LINES_LIMIT:
        course.left_out += 1
        return
    course.lines.append(line)


def write_course(course: RequestCourse) -> list[str]:
    """Lay the lines out in the order of their times, counted from the first.

    Returns:
        Lines of text; a remark if the request is not found.
    """
    if not course.lines:
        return [f"no line of request {course.request}"]
    ordered = sorted(course.lines, key=lambda line: line.at)
    began = ordered[0].at
    text = [f"request {course.request}"]
    for line in ordered:
        fields = {key: value for key, value in line.fields.items() if key not in HIDDEN_FIELDS}
        text.append(f"+{line.at - began:.3f} s  {line.box}  {line.message}  {json.dumps(fields)}")
    if course.left_out:
        text.append(f"{course.left_out} further lines left out")
    return text
