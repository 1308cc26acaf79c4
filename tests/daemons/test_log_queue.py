"""Logging never blocks, and its queue stays bounded."""

from __future__ import annotations

import contextlib
import json
import logging
import os

import pytest

from ledgeladder.daemons.log_queue import (
    MAX_INFO_LINES_PER_SECOND,
    MAX_QUEUED_LINES,
    LogQueue,
    QueueHandler,
    admit,
    write_last_line,
    write_ready,
)


def test_blocked_output_drops_lines_without_blocking() -> None:
    reading, writing = os.pipe()
    queue = LogQueue(descriptor=writing)
    handler = QueueHandler(queue)
    handler.setFormatter(logging.Formatter("%(message)s"))
    try:
        for number in range(5000):
            message = f"{number:05d}" + "x" * 200
            handler.emit(logging.LogRecord("n", logging.WARNING, "", 0, message, (), None))
        assert len(queue.lines) <= MAX_QUEUED_LINES
        assert queue.dropped > 0
        received = b""
        while not write_ready(queue):
            received += os.read(reading, 1 << 20)
        os.close(writing)
        while chunk := os.read(reading, 1 << 20):
            received += chunk
        lines = received.split(b"\n")[:-1]
        assert all(len(line) == 205 for line in lines)
        numbers = [int(line[:5]) for line in lines]
        assert numbers == sorted(numbers)
    finally:
        os.close(reading)


def test_info_lines_are_rate_limited_and_warnings_are_not() -> None:
    queue = LogQueue(descriptor=1)
    kept = sum(admit(queue, logging.INFO, 5.5) for _ in range(500))
    assert kept == MAX_INFO_LINES_PER_SECOND
    assert queue.sampled_out == 400
    assert all(admit(queue, logging.WARNING, 5.5) for _ in range(500))
    assert admit(queue, logging.INFO, 6.0)


def test_next_line_reports_the_number_of_dropped_lines() -> None:
    reading, writing = os.pipe()
    queue = LogQueue(descriptor=writing, dropped=3, sampled_out=4)
    handler = QueueHandler(queue)

    class CounterFormatter(logging.Formatter):
        def format(self, record: logging.LogRecord) -> str:
            counters = {"dropped": getattr(record, "lines_dropped", 0)}
            return json.dumps(counters | {"sampled": getattr(record, "lines_sampled_out", 0)})

    handler.setFormatter(CounterFormatter())
    handler.emit(logging.LogRecord("n", logging.WARNING, "", 0, "m", (), None))
    os.close(writing)
    assert json.loads(os.read(reading, 1000)) == {"dropped": 3, "sampled": 4}
    os.close(reading)
    assert queue.dropped == 0


def fill_pipe(writing: int) -> None:
    """Write to a pipe until it is full."""
    os.set_blocking(writing, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writing, b"x" * 4096)


def test_last_line_is_written_although_the_queue_is_full() -> None:
    reading, writing = os.pipe()
    queue = LogQueue(descriptor=writing)
    queue.lines.extend([b"line\n"] * MAX_QUEUED_LINES)
    write_last_line(queue, b"last\n", fallback=writing)
    os.close(writing)
    with os.fdopen(reading, "rb") as file:
        assert file.read().endswith(b"line\nlast\n")


@pytest.mark.parametrize("closed", [True, False])
def test_last_line_goes_to_the_fallback_if_the_output_is_closed_or_blocked(closed: bool) -> None:
    reading, writing = os.pipe()
    other, fallback = os.pipe()
    if closed:
        os.close(reading)
    else:
        fill_pipe(writing)
    write_last_line(LogQueue(descriptor=writing), b"last\n", fallback=fallback)
    assert os.read(other, 100) == b"last\n"
    for descriptor in (writing, other, fallback):
        os.close(descriptor)
    if not closed:
        os.close(reading)
