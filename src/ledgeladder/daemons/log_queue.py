"""Bounded queue of log lines, which are written only when the output does not block."""

from __future__ import annotations

import logging
import os
import select
import time
from collections import deque
from typing import Final

import anyio
import msgspec

MAX_QUEUED_LINES: Final = 2000
"""Maximum number of queued lines: about 1 MB."""

MAX_WRITE_BYTES: Final = 4096
"""Maximum size of a single write; a writable pipe accepts PIPE_BUF bytes without blocking."""

BATCH_DELAY_SECONDS: Final = 0.05
"""How long lines are collected before they are written together."""

MAX_INFO_LINES_PER_SECOND: Final = 100
"""Maximum number of lines per second below level WARNING; further ones are dropped."""

FLUSH_TIMEOUT_SECONDS: Final = 0.2
"""How long an exiting process waits for a blocked output."""


class LogQueue(msgspec.Struct, kw_only=True):
    """Queued lines of one output."""

    descriptor: int
    """File descriptor of the output."""

    lines: deque[bytes] = msgspec.field(default_factory=deque)
    """Lines in order, with line ends; the first one may be the rest of a partially written line."""

    dropped: int = 0
    """Lines dropped because the queue was full, since a line last reported the number."""

    sampled_out: int = 0
    """Lines dropped by the rate limit, since a line last reported the number."""

    rate_second: int = 0
    """Current second of the rate limit, on the monotonic clock."""

    info_lines: int = 0
    """Lines below level WARNING in that second."""

    wake: anyio.Event | None = None
    """Set when lines are queued; None while no background writer runs."""

    output_failed: bool = False
    """True once a write has failed, for example since the reader has closed the pipe."""


def admit(queue: LogQueue, level: int, now: float) -> bool:
    """Return True if a line should be queued; otherwise count it as dropped.

    Args:
        queue: The queue.
        level: Level of the line.
        now: Monotonic time.
    """
    if len(queue.lines) >= MAX_QUEUED_LINES:
        queue.dropped += 1
        return False
    if level >= logging.WARNING:
        return True
    if int(now) != queue.rate_second:
        queue.rate_second, queue.info_lines = int(now), 0
    queue.info_lines += 1
    if queue.info_lines > MAX_INFO_LINES_PER_SECOND:
        queue.sampled_out += 1
        return False
    return True


def write_ready(queue: LogQueue) -> bool:
    """Write queued lines until the output would block.

    Returns:
        True if the queue is empty.
    """
    poller = select.poll()
    poller.register(queue.descriptor, select.POLLOUT)
    while queue.lines:
        if not poller.poll(0):
            return False
        chunk = bytearray()
        while queue.lines and len(chunk) < MAX_WRITE_BYTES:
            chunk += queue.lines.popleft()
        try:
            written = os.write(queue.descriptor, chunk[:MAX_WRITE_BYTES])
        except OSError:
            # The reader has closed the pipe; the lines cannot be written anywhere.
            queue.output_failed = True
            queue.lines.clear()
            return True
        if written < len(chunk):
            queue.lines.appendleft(bytes(chunk[written:]))
    return True


def flush_at_exit(queue: LogQueue) -> None:
    """Write the remaining lines when the process exits, for at most `FLUSH_TIMEOUT_SECONDS`."""
    deadline = time.monotonic() + FLUSH_TIMEOUT_SECONDS
    while not write_ready(queue) and time.monotonic() < deadline:
        time.sleep(0.01)


def write_last_line(queue: LogQueue, line: bytes, *, fallback: int) -> None:
    """Write the last line of the process, regardless of the bound of the queue.

    Args:
        queue: The queue, which is flushed first.
        line: The line with its end.
        fallback: File descriptor for the line if the output is blocked or closed.
    """
    flush_at_exit(queue)
    if not queue.lines and not queue.output_failed:
        queue.lines.append(line)
        flush_at_exit(queue)
    if queue.lines or queue.output_failed:
        write_ready(LogQueue(descriptor=fallback, lines=deque([line])))


class QueueHandler(logging.Handler):
    """Formats records into a `LogQueue`.

    Without a background writer, that is before and after the event loop runs, lines are written
    immediately unless the output would block.
    """

    def __init__(self, queue: LogQueue) -> None:
        super().__init__()
        self.queue = queue

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        queue = self.queue
        if not admit(queue, record.levelno, time.monotonic()):
            return
        if queue.dropped or queue.sampled_out:
            record.lines_dropped = queue.dropped
            record.lines_sampled_out = queue.sampled_out
            queue.dropped = queue.sampled_out = 0
        try:
            line = self.format(record)
        except (TypeError, ValueError):
            self.handleError(record)
            return
        queue.lines.append(line.encode() + b"\n")
        if queue.wake is None:
            write_ready(queue)
        else:
            queue.wake.set()


async def run_log_writer(queue: LogQueue) -> None:
    """Write queued lines in the background until cancelled."""
    try:
        while True:
            queue.wake = anyio.Event()
            if not queue.lines:
                await queue.wake.wait()
            await anyio.sleep(BATCH_DELAY_SECONDS)
            write_ready(queue)
    finally:
        queue.wake = None
