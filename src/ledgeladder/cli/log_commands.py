"""The `logs` command: tables, plots and timelines of requests from log files."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Final

from ..reports import (
    LogReport,
    ReadCounts,
    RequestTimeline,
    add_line,
    add_to_timeline,
    format_report,
    format_timeline,
    read_lines,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence
    from typing import BinaryIO

    from ..reports import LogLine

STANDARD_INPUT: Final = "-"
"""File name that means standard input."""


def print_report(files: Sequence[str], *, bucket_seconds: float, plots: str | None) -> None:
    """Print tables about log files, and draw plots if a folder is given.

    Args:
        files: Paths; `-` is standard input.
        bucket_seconds: Length of a time bucket, in seconds.
        plots: Output folder of plots, or None to draw none.

    Raises:
        OSError: If a file cannot be read.
        ImportError: If plots are requested and matplotlib is not installed.
    """
    report, counts = LogReport(bucket_seconds=bucket_seconds), ReadCounts()
    _read_all(files, counts, lambda line: add_line(report, line))
    print("\n".join(format_report(report, counts)))
    if plots is not None:
        from ..reports.plots import write_plots

        for path in write_plots(report, Path(plots)):
            print(f"plot written to {path}")


def print_timeline(files: Sequence[str], request: str) -> bool:
    """Print the timeline of a request.

    Returns:
        False if no file contains a line of it.

    Raises:
        OSError: If a file cannot be read.
    """
    timeline = RequestTimeline(request=request)
    _read_all(files, ReadCounts(), lambda line: add_to_timeline(timeline, line))
    print("\n".join(format_timeline(timeline)))
    return bool(timeline.lines)


def _read_all(
    files: Sequence[str], counts: ReadCounts, handle_line: Callable[[LogLine], None]
) -> None:
    for name in files:
        with _open_log(name) as stream:
            for line in read_lines(stream, counts):
                handle_line(line)


@contextmanager
def _open_log(name: str) -> Iterator[BinaryIO]:
    if name == STANDARD_INPUT:
        yield sys.stdin.buffer
        return
    with Path(name).open("rb") as stream:
        yield stream
