"""A bounded queue of log lines that are written when the output takes them, and never before."""

from __future__ import annotations

import logging
import os
import select
import time
from collections import deque
from typing import Final

import anyio
import msgspec

QUEUE_LINES: Final = 2000
"""Lines that wait for the output at most: about 1 MB, a second of the busiest box."""

WRITE_BYTES: Final = 4096
"""Longest single write: a pipe that is ready takes as much without blocking (PIPE_BUF)."""

GATHER_SECONDS: Final = 0.05
"""How long lines gather before they are written together."""

ORDINARY_LINES_PER_SECOND: Final = 100
"""Lines below level WARNING that are kept a second; refusals, repeats and losses are warnings."""

LAST_SECONDS: Final = 0.2
"""How long a process that ends waits for its output."""


class LogQueue(msgspec.Struct, kw_only=True):
    """Lines that wait for one output."""

    descriptor: int
    """File descriptor of the output."""

    lines: deque[bytes] = msgspec.field(default_factory=deque)
    """Lines in order, each with its line end; the first may be what is left of one."""

    dropped: int = 0
    """Lines that found the queue full since the last one that says so."""

    sampled_out: int = 0
    """Ordinary lines over the rate since the last one that says so."""

    second: int = 0
    """Whole second of the monotonic clock in which ordinary lines are being counted."""

    ordinary: int = 0
    """Ordinary lines in that second."""

    wake: anyio.Event | None = None
    """Set when there is something to write; None while nobody writes in the background."""


def admit(queue: LogQueue, level: int, now: float) -> bool:
    """Tell whether a line is to be written; those that are not are counted.

    Args:
        queue: The queue.
        level: Level of the line.
        now: Monotonic time.
    """
    if len(queue.lines) >= QUEUE_LINES:
        queue.dropped += 1
        return False
    if level >= logging.WARNING:
        return True
    if int(now) != queue.second:
        queue.second, queue.ordinary = int(now), 0
    queue.ordinary += 1
    if queue.ordinary > ORDINARY_LINES_PER_SECOND:
        queue.sampled_out += 1
        return False
    return True


def write_ready(queue: LogQueue) -> bool:
    """Write lines for as long as the output takes them without blocking.

    Returns:
        True if nothing is left.
    """
    poller = select.poll()
    poller.register(queue.descriptor, select.POLLOUT)
    while queue.lines:
        if not poller.poll(0):
            return False
        chunk = bytearray()
        while queue.lines and len(chunk) < WRITE_BYTES:
            chunk += queue.lines.popleft()
        try:
            written = os.write(queue.descriptor, chunk[:WRITE_BYTES])
        except OSError:
            # The reader is gone; there is nobody to tell.
            queue.lines.clear()
            return True
        if written < len(chunk):
            queue.lines.appendleft(bytes(chunk[written:]))
    return True


def write_last(queue: LogQueue) -> None:
    """Write what is left when the process ends, for a bounded time."""
    deadline = time.monotonic() + LAST_SECONDS
    while not write_ready(queue) and time.monotonic() < deadline:
        time.sleep(0.01)


class QueueHandler(logging.Handler):
    """Formats records into a `LogQueue`.

    Without a writer in the background, before the loop runs and after it ends, lines are written at
    once for as long as the output takes them.
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
    """Write lines in the background, for ever."""
    try:
        while True:
            queue.wake = anyio.Event()
            if not queue.lines:
                await queue.wake.wait()
            await anyio.sleep(GATHER_SECONDS)
            write_ready(queue)
    finally:
        queue.wake = None
