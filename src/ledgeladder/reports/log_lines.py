"""Reads the JSON lines that processes logged, and counts unreadable ones."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from typing import BinaryIO

MAX_LINE_BYTES: Final = 1024 * 1024
"""Maximum length of a line. Processes write far shorter ones; a longer line shows that the file is
not a log."""

CLOCK_JUMP_SECONDS: Final = 1.0
"""Minimum backward step of a box's clock between two lines that counts as a jump. Lines are written
in order, and queueing delays them by less."""

TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"
"""Time format of log lines."""


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """A parsed log line."""

    at: float
    """Wall clock time of the box, in seconds since 1970."""

    box: str
    """Name of the box that wrote it."""

    message: str
    """Log message."""

    fields: dict[str, Any]
    """All other fields."""


class ReadCounts(msgspec.Struct, kw_only=True):
    """Counts of lines that were read and skipped."""

    lines: int = 0
    """Parsed lines."""

    not_json: int = 0
    """Lines without a valid JSON object, such as the last line of a truncated file."""

    incomplete: int = 0
    """Objects without a time, a box or a message."""

    too_long: int = 0
    """Lines longer than `MAX_LINE_BYTES`."""

    dropped: int = 0
    """Lines that processes reported as dropped or sampled out."""

    clock_jumps: dict[str, int] = msgspec.field(default_factory=dict)
    """Number of backward clock jumps by box."""

    newest_at: dict[str, float] = msgspec.field(default_factory=dict)
    """Time of the newest line by box."""


def read_lines(stream: BinaryIO, counts: ReadCounts) -> Iterator[LogLine]:
    """Read lines one by one; count and skip those that cannot be parsed.

    Args:
        stream: The lines. Text before the first brace of a line is ignored, since log collectors
            write the time or the box there.
        counts: Counts of read and skipped lines, which are updated.

    Yields:
        The parsed lines, in order.
    """
    for raw in _read_raw_lines(stream, counts):
        line = _parse(raw, counts)
        if line is None:
            continue
        counts.lines += 1
        _record_clock(line, counts)
        yield line


def _read_raw_lines(stream: BinaryIO, counts: ReadCounts) -> Iterable[bytes]:
    """Yield the lines of a stream, except for empty and too long ones."""
    while raw := stream.readline(MAX_LINE_BYTES):
        if len(raw) < MAX_LINE_BYTES or raw.endswith(b"\n"):
            if raw.strip():
                yield raw
            continue
        counts.too_long += 1
        while raw and not raw.endswith(b"\n"):
            raw = stream.readline(MAX_LINE_BYTES)


def _parse(raw: bytes, counts: ReadCounts) -> LogLine | None:
    try:
        content = _decode(raw[max(0, raw.find(b"{")) :])
    except (ValueError, RecursionError):
        counts.not_json += 1
        return None
    if not isinstance(content, dict):
        counts.not_json += 1
        return None
    at = _read_time(content.pop("time", None))
    box, message = content.pop("box", None), content.pop("message", None)
    if at is None or not isinstance(box, str) or not isinstance(message, str):
        counts.incomplete += 1
        return None
    for key in ("lines_dropped", "lines_sampled_out"):
        dropped = content.get(key, 0)
        counts.dropped += dropped if isinstance(dropped, int) else 0
    return LogLine(at=at, box=box, message=message, fields=content)


def _decode(raw: bytes) -> Any:
    """Decode a line; also one with `Infinity`, which processes write and JSON does not define.

    Raises:
        ValueError: If it is not JSON otherwise.
        RecursionError: If it is nested too deeply.
    """
    try:
        return msgspec.json.decode(raw)
    except msgspec.DecodeError:
        return json.loads(raw)


def _read_time(text: Any) -> float | None:
    """Parse the time of a log line; return None if it is malformed.

    >>> _read_time("1970-01-01 00:00:02,500")
    2.5
    """
    try:
        return datetime.strptime(text, TIME_FORMAT).replace(tzinfo=UTC).timestamp()
    except (TypeError, ValueError):
        return None


def _record_clock(line: LogLine, counts: ReadCounts) -> None:
    newest = counts.newest_at.get(line.box, line.at)
    if line.at < newest - CLOCK_JUMP_SECONDS:
        counts.clock_jumps[line.box] = counts.clock_jumps.get(line.box, 0) + 1
        counts.newest_at[line.box] = line.at
        return
    counts.newest_at[line.box] = max(newest, line.at)
