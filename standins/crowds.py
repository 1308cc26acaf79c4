"""Callers that do not behave: many connections at once that send without end, slowly or nothing."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

ESTABLISHED = "01"
"""State of an open connection in /proc/net/tcp."""

STALLED_SECONDS = 5.0
"""Time without progress on any connection after which the rest counts as not accepted."""

SETTLE_SECONDS = 20.0
"""Time after which a crowd that still keeps the process busy is left at that."""

SAMPLE_SECONDS = 0.2
"""Interval at which the process' progress is looked at."""

RECEIVE_BYTES = 4096
"""Receive buffer of a connection, so that few unread answers fill it."""

PIECE_BYTES = 65536
"""Most bytes of one write."""


class Crowd:
    """Connections that are kept open until the end, whatever the process does with them."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sockets: list[socket.socket] = []

    def connect(self, count: int) -> list[socket.socket]:
        """Open connections; those that are refused or reset at once are left out."""
        opened: list[socket.socket] = []
        for _ in range(count):
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            connection.settimeout(STALLED_SECONDS)
            try:
                connection.connect(self.address)
            except OSError:
                connection.close()
                continue
            connection.setblocking(False)
            opened.append(connection)
        self.sockets += opened
        return opened

    def send(self, payloads: Iterable[tuple[socket.socket, bytes]]) -> int:
        """Send to all connections at once, and read nothing.

        Returns:
            The number of bytes that were accepted until all was sent, connections were closed or
            nothing moved any more.
        """
        selector = selectors.DefaultSelector()
        connection: socket.socket
        for connection, payload in payloads:
            selector.register(connection, selectors.EVENT_WRITE, memoryview(payload))
        sent = 0
        moved_at = time.monotonic()
        while selector.get_map() and time.monotonic() - moved_at < STALLED_SECONDS:
            for key, _ in selector.select(0.1):
                assert isinstance(key.fileobj, socket.socket)
                connection = key.fileobj
                try:
                    count = connection.send(key.data[:PIECE_BYTES])
                except BlockingIOError:
                    continue
                except OSError:
                    selector.unregister(connection)
                    continue
                sent += count
                moved_at = time.monotonic()
                rest = key.data[count:]
                if rest:
                    selector.modify(connection, selectors.EVENT_WRITE, rest)
                else:
                    selector.unregister(connection)
        selector.close()
        return sent

    def close(self) -> None:
        """Close all connections."""
        for connection in self.sockets:
            connection.close()


@contextlib.contextmanager
def crowd_at(address: tuple[str, int]) -> Iterator[Crowd]:
    """Yield a crowd without connections, and close them at the end."""
    crowd = Crowd(address)
    try:
        yield crowd
    finally:
        crowd.close()


def unread_bytes(address: tuple[str, int]) -> int:
    """Return the bytes that have arrived for a process and that it has not read.

    Args:
        address: Where it listens.
    """
    host = "".join(f"{int(part):02X}" for part in reversed(address[0].split(".")))
    local = f"{host}:{address[1]:04X}"
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    # Fields: number, local address, remote address, state, tx_queue:rx_queue, ...
    return sum(
        int(item[4].partition(":")[2], 16)
        for item in fields
        if item[1] == local and item[3] == ESTABLISHED
    )


def wait_settled(address: tuple[str, int], descriptors: Callable[[], int]) -> None:
    """Wait until a process has read everything, or reads no more, or is busy for too long.

    Args:
        address: Where it listens.
        descriptors: Returns the number of its descriptors, which changes while it accepts.
    """
    last: tuple[int, int] | None = None
    same = 0
    for _ in range(int(SETTLE_SECONDS / SAMPLE_SECONDS)):
        now = (unread_bytes(address), descriptors())
        same = same + 1 if now == last else 0
        last = now
        if same * SAMPLE_SECONDS >= (STALLED_SECONDS if now[0] else 1.0):
            return
        time.sleep(SAMPLE_SECONDS)


def chunked(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a body in chunks without the last one, which would end it."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    return chunk * (body_bytes // chunk_bytes)
