"""Timeline of one request over all boxes that logged it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from .log_lines import LogLine

MAX_LINES: Final = 1000
"""Maximum number of lines kept for one request. A request has one line for each attempt and one at
its end; more lines mean that callers reuse its id."""

OMITTED_FIELDS: Final = frozenset({"level", "logger", "failure_domain", "request"})
"""Fields that are constant for a request or not relevant to its timeline."""


class RequestTimeline(msgspec.Struct, kw_only=True):
    """Log lines of one request."""

    request: str
    """Id of the request."""

    lines: list[LogLine] = msgspec.field(default_factory=list)
    """Lines found so far."""

    omitted: int = 0
    """Number of lines beyond `MAX_LINES`."""


def add_to_timeline(timeline: RequestTimeline, line: LogLine) -> None:
    """Add a line if it belongs to the request."""
    if line.fields.get("request") != timeline.request:
        return
    if len(timeline.lines) >= MAX_LINES:
        timeline.omitted += 1
        return
    timeline.lines.append(line)


def format_timeline(timeline: RequestTimeline) -> list[str]:
    """Format the lines by time, relative to the first one.

    Returns:
        Lines of text; a message if there are no lines of the request.
    """
    if not timeline.lines:
        return [f"no line of request {timeline.request}"]
    ordered = sorted(timeline.lines, key=lambda line: line.at)
    started_at = ordered[0].at
    output = [f"request {timeline.request}"]
    for line in ordered:
        fields = {key: value for key, value in line.fields.items() if key not in OMITTED_FIELDS}
        output.append(
            f"+{line.at - started_at:.3f} s  {line.box}  {line.message}  {json.dumps(fields)}"
        )
    if timeline.omitted:
        output.append(f"{timeline.omitted} further lines left out")
    return output
