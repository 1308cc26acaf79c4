"""Bounds on what all callers of a listener take together: bytes, connections and time."""

from __future__ import annotations

import logging
import os
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Final

import anyio
import h11
import msgspec

from ..links.accepting import MIN_CONNECTIONS, most_connections
from ..links.tcp import RECEIVE_BUFFER_BYTES, socket_of
from .byte_account import ByteAccount, Holder, close_holder, give_back, open_holder, take

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream

logger = logging.getLogger(__name__)

UNCOUNTED_BYTES: Final = 4096
"""Longest body that is not held in the account if it was read at once with its head."""

MIN_BODY_BYTES_PER_SECOND: Final = 8192
"""Least pace of a body. The whole of it may take this long besides one pause."""

MAX_EVENTS_PER_PASS: Final = 64
"""Protocol events after which other tasks run. A single read may hold thousands of chunks."""

MAX_FRAMING_BYTES: Final = 131072
"""Bytes besides the body that a body in chunks may have in any case, such as trailer fields."""

MAX_FRAMING_RATIO: Final = 8
"""Bytes besides the body that each byte of it adds to that bound. A chunk of one byte needs five;
long chunk extensions exceed it."""

PART_BYTES: Final = 16384
"""Size up to which small chunks of a body are put together."""

CALLERS_SHARE: Final = 5 / 8
"""Part of the descriptors for connections of callers; the rest is for upstreams, other boxes, the
disk and the other listeners."""

MONITORS_SHARE: Final = 1 / 32
"""Part of the descriptors for connections to a page that only monitoring reads."""

RECEIVE_SHARE: Final = 1 / 8
"""Part of the account's limit that the receive buffers of all connections may have besides."""

MIN_RECEIVE_BYTES: Final = 16384
"""Receive buffer of a connection in any case, the longest head of most platforms."""

NO_ROOM_STATUS: Final = 503
"""Status hint of a request for which the process has no memory."""

LOG_INTERVAL_SECONDS: Final = 1.0
"""Minimum interval between two log lines on connections that made way."""

ACCOUNT_SHARE: Final = 1 / 8
"""Part of the memory that bytes held for others may use. The rest is for the program, its state,
the buffers of sockets and copies that last for a pass of the event loop."""

MIN_ACCOUNT_BYTES: Final = 8 * 1024 * 1024
"""Least limit, so that a single request of the usual longest size has room on any machine."""

DEFAULT_MACHINE_BYTES: Final = 1024 * 1024 * 1024
"""Memory that is assumed if the machine shows none."""

MEMORY_PAGE: Final = Path("/proc/meminfo")
"""Where the machine shows its memory."""

CONTROL_GROUP_LIMITS: Final = (
    Path("/sys/fs/cgroup/memory.max"),
    Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)
"""Where a container shows its limit, by the version of its control groups."""

BYTES_PER_MB: Final = 1024 * 1024
"""Bytes of a megabyte."""


class ConnectionCounts(msgspec.Struct, kw_only=True):
    """Connections that were closed because the listener has a bound, and what was logged."""

    share: float = CALLERS_SHARE
    """Part of the descriptors of the process that connections of this listener may use."""

    made_way: int = 0
    """Idle or incomplete ones that were closed for new ones."""

    refused: int = 0
    """New ones that were closed because all others were being answered."""

    logged: int = 0
    """Sum of both at the last log line."""

    logged_at: float = float("-inf")
    """When that line was written, on the monotonic clock."""


def machine_bytes() -> int:
    """Return the memory of the machine or of the container, whichever is less, in bytes."""
    found: list[int] = []
    for line in _read(MEMORY_PAGE).splitlines():
        if line.startswith("MemTotal:"):
            found.append(int(line.split()[1]) * 1024)
    for path in CONTROL_GROUP_LIMITS:
        text = _read(path).strip()
        if text.isdigit():
            found.append(int(text))
    return min(found, default=DEFAULT_MACHINE_BYTES)


def build_account(memory_mb: int) -> ByteAccount:
    """Build the account of a process.

    Args:
        memory_mb: Memory by the settings, in MB; 0 for what the machine shows.
    """
    memory = memory_mb * BYTES_PER_MB if memory_mb else machine_bytes()
    return ByteAccount(limit_bytes=max(MIN_ACCOUNT_BYTES, int(memory * ACCOUNT_SHARE)))


def _read(path: Path) -> str:
    if not os.path.exists(path):
        return ""
    try:
        return path.read_text()
    except OSError as error:
        logger.warning("memory not known", extra={"path": str(path), "reason": str(error)})
        return ""


def make_room(
    counts: ConnectionCounts,
    open_connections: int,
    idle: dict[anyio.CancelScope, None],
    reading: dict[anyio.CancelScope, None],
) -> bool:
    """Close the connection that has been idle for longest if the listener has too many.

    Without an idle one, that whose request has been incomplete for longest is closed. None is
    closed whose request is being answered.

    Args:
        counts: Counts of the listener.
        open_connections: Connections that it serves, with the new one.
        idle: Those that wait for a request, longest first.
        reading: Those whose request is incomplete, longest first.

    Returns:
        False if there is no room for the new one.
    """
    if open_connections <= MIN_CONNECTIONS or open_connections <= most_connections(counts.share):
        return True
    for scopes in (idle, reading):
        if scopes:
            scope = next(iter(scopes))
            del scopes[scope]
            scope.cancel()
            counts.made_way += 1
            _log_counts(counts)
            return True
    counts.refused += 1
    _log_counts(counts)
    return False


def _log_counts(counts: ConnectionCounts) -> None:
    now = anyio.current_time()
    if now - counts.logged_at < LOG_INTERVAL_SECONDS:
        return
    logger.warning(
        "connections closed, too many are open",
        extra={
            "closed": counts.made_way + counts.refused - counts.logged,
            "most": most_connections(counts.share),
        },
    )
    counts.logged, counts.logged_at = counts.made_way + counts.refused, now


def limit_receive_buffer(stream: SocketStream, limit_bytes: int, connections: int) -> None:
    """Bound what the kernel keeps for a connection, all of which the event loop reads at once.

    Args:
        stream: The connection.
        limit_bytes: Limit of the account.
        connections: Open connections of the listener. The more there are, the less each may have.
    """
    share = int(limit_bytes * RECEIVE_SHARE) // max(1, connections)
    if share >= RECEIVE_BUFFER_BYTES:
        return
    raw = socket_of(stream)
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, max(MIN_RECEIVE_BYTES, share))


class RequestBytes(msgspec.Struct, kw_only=True):
    """What the account has for the requests of one connection.

    That is an incomplete one, or one that is being answered and those sent ahead of their answers.
    """

    account: ByteAccount | None
    """Account of the process; None to count nothing."""

    close: Callable[[], None] = lambda: None
    """Closes the connection, or ends the reading of the request."""

    holder: Holder | None = None
    """Holder in the account, if anything is held."""

    def hold(self, size: int) -> bool:
        """Bring what is held to a size; False if there is no room."""
        if self.account is None:
            return True
        now = anyio.current_time()
        if self.holder is None:
            self.holder = open_holder(self.account, "request", now, self._make_way)
        self.holder.moved_at = now
        if size <= self.holder.bytes:
            give_back(self.account, self.holder, self.holder.bytes - size)
            return True
        return take(self.account, self.holder, size - self.holder.bytes, now)

    def hold_more(self, count: int) -> bool:
        """Hold further bytes; False if there is no room."""
        return self.hold(count + (self.holder.bytes if self.holder is not None else 0))

    def require(self, size: int) -> None:
        """Bring what is held to a size.

        Raises:
            h11.RemoteProtocolError: If there is no room.
        """
        if not self.hold(size):
            raise h11.RemoteProtocolError(
                f"no memory for {size} bytes", error_status_hint=NO_ROOM_STATUS
            )

    def pin(self) -> None:
        """Keep the request, which is complete and will be answered, from making way."""
        if self.holder is not None:
            self.holder.pinned = True

    def keep(self, size: int) -> None:
        """Give back what was answered, and keep what the next requests have."""
        if size == 0:
            self.release()
        elif self.holder is not None:
            self.holder.pinned = False
            self.hold(min(size, self.holder.bytes))

    def release(self) -> None:
        """Give everything back."""
        if self.holder is not None and self.account is not None:
            close_holder(self.account, self.holder)
        self.holder = None

    def _make_way(self) -> None:
        logger.warning("incomplete request dropped to free memory")
        self.close()


class IncomingBody(msgspec.Struct, kw_only=True):
    """A body that is being read."""

    announced: int = 0
    """Length by the head, in bytes; 0 if it is not announced."""

    began_at: float = 0.0
    """When the wait for its rest began, on the monotonic clock."""

    received: int = 0
    """Bytes that were received since, with their framing."""

    size: int = 0
    """Bytes of the body so far."""

    parts: list[bytes | bytearray] = msgspec.field(default_factory=list)
    """The body so far. A single buffer that grows would be copied to larger and larger ones, and
    the heap would keep the room of those that it left."""

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.size += len(data)
        last = self.parts[-1] if self.parts else None
        if isinstance(last, bytearray) and len(last) + len(data) <= PART_BYTES:
            last += data
        else:
            self.parts.append(bytearray(data) if len(data) < PART_BYTES else data)

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.parts)

    def seconds_left(self, now: float, idle_seconds: float) -> float:
        """Return how long the next byte may take.

        Args:
            now: Time on the monotonic clock.
            idle_seconds: Longest pause.
        """
        return min(idle_seconds, self.began_at + self.whole_seconds(idle_seconds) - now)

    def whole_seconds(self, pause_seconds: float) -> float:
        """Return how long the whole body may take, by its announced length or what has arrived.

        Args:
            pause_seconds: Time besides that for its size.

        >>> IncomingBody(announced=81920).whole_seconds(15.0)
        25.0
        """
        return pause_seconds + max(self.size, self.announced) / MIN_BODY_BYTES_PER_SECOND

    def check_framing(self) -> None:
        """Reject a body whose chunks consist of little but framing.

        Raises:
            h11.RemoteProtocolError: If it has too much of it.
        """
        if self.received - self.size > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self.size:
            raise h11.RemoteProtocolError(f"{self.received} bytes for a body of {self.size}")
