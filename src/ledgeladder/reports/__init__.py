"""Reports from log files: requests, paths, refusals, state changes and timelines of requests.

Lines of several boxes are read once, in any order, and aggregated one by one. Memory does not grow
with their number.
"""

from __future__ import annotations

from .log_lines import LogLine, ReadCounts, read_lines
from .log_report import LogReport, add_line, format_report
from .request_course import RequestTimeline, add_to_timeline, format_timeline

__all__ = [
    "LogLine",
    "LogReport",
    "ReadCounts",
    "RequestTimeline",
    "add_line",
    "add_to_timeline",
    "format_report",
    "format_timeline",
    "read_lines",
]
