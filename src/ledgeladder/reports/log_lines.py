"""Reading the JSON lines that processes logged, and counting what cannot be read."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from typing import BinaryIO

LINE_LIMIT_BYTES: Final = 1024 * 1024
"""Longest line that is read. The longest that processes write, a path of 32 engines with its
request, has 3 KB; longer ones are a file that is no log."""

JUMP_SECONDS: Final = 1.0
"""How far the clock of a box must step back from one line to the next to count as a jump: lines are
written in order, and a queue delays them by less."""

TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"
"""How processes write the time."""


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line, with what every line has."""

    at: float
    """Wall clock of the box that wrote it, in seconds since 1970."""

    box: str
    """Box that wrote it."""

    message: str
    """What it is about."""

    fields: dict[str, Any]
    """Everything else that stands in it."""


class ReadCounts(msgspec.Struct, kw_only=True):
    """What was read and what was left out."""

    lines: int = 0
    """Lines that were understood."""

    not_json: int = 0
    """Lines without a JSON object, or with a broken one, as at the end of a file that was cut."""

    incomplete: int = 0
    """Objects without a time, a box or a message."""

    too_long: int = 0
    """Lines over `LINE_LIMIT_BYTES`."""

    dropped: int = 0
    """Lines that the processes said they left out themselves."""

    jumps: dict[str, int] = msgspec.field(default_factory=dict)
    """How often the clock of each box stepped back."""

    newest: dict[str, float] = msgspec.field(default_factory=dict)
    """Time of the newest line of each box."""


def read_lines(stream: BinaryIO, counts: ReadCounts) -> Iterator[LogLine]:
    """Read lines one by one; those that cannot be read are counted and passed over.

    Args:
        stream: The lines. What stands before the first brace of a line is passed over, since
            collectors write the time or the box there.
        counts: Takes what was read and left out.

    Yields:
        The lines, in their order.
    """
    for raw in _split(stream, counts):
        line = _parse(raw, counts)
        if line is None:
            continue
        counts.lines += 1
        _note_clock(line, counts)
        yield line


def _split(stream: BinaryIO, counts: ReadCounts) -> Iterable[bytes]:
    """Yield the lines of a stream that are not empty, and pass over those that are too long."""
    while raw := stream.readline(LINE_LIMIT_BYTES):
        if len(raw) < LINE_LIMIT_BYTES or raw.endswith(b"\n"):
            if raw.strip():
                yield raw
            continue
        counts.too_long += 1
        while raw and not raw.endswith(b"\n"):
            raw = stream.readline(LINE_LIMIT_BYTES)


def _parse(raw: bytes, counts: ReadCounts) -> LogLine | None:
    try:
        content = msgspec.json.decode(raw[max(0, raw.find(b"{")) :])
    except msgspec.DecodeError:
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
        left_out = content.get(key, 0)
        counts.dropped += left_out if isinstance(left_out, int) else 0
    return LogLine(at=at, box=box, message=message, fields=content)


def _read_time(text: Any) -> float | None:
    """Read a time as processes write it; None if it is none.

    >>> _read_time("1970-01-01 00:00:02,500")
    2.5
    """
    try:
        return datetime.strptime(text, TIME_FORMAT).replace(tzinfo=UTC).timestamp()
    except (TypeError, ValueError):
        return None


def _note_clock(line: LogLine, counts: ReadCounts) -> None:
    newest = counts.newest.get(line.box, line.at)
    if line.at < newest - JUMP_SECONDS:
        counts.jumps[line.box] = counts.jumps.get(line.box, 0) + 1
        counts.newest[line.box] = line.at
        return
    counts.newest[line.box] = max(newest, line.at)
