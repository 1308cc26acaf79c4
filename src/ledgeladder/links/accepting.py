"""Accepts connections, and closes those that would wait too long to be read.

A box that gets more connections than it can serve would otherwise read each of them after its
caller has given up, and serve nobody. A caller whose connection is closed unread tries another box.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import anyio
import anyio.lowlevel
import msgspec
from anyio.abc import SocketAttribute

from .tcp import tune_socket, wrap_socket

if TYPE_CHECKING:
    from anyio.abc import SocketListener, SocketStream, TaskGroup

logger = logging.getLogger(__name__)

MAX_WAIT_SECONDS: Final = 0.1
"""How long an accepted connection waits to be read, unless its queue says otherwise. A small part
of the time after which callers give up, and longer than the pauses of a box that is not
overloaded."""

ACCEPT_BATCH: Final = 64
"""Maximum number of connections that are accepted before one is served."""

LOG_INTERVAL_SECONDS: Final = 1.0
"""Minimum interval between two log lines on closed connections."""

EXHAUSTED_PAUSE_SECONDS: Final = 0.05
"""Pause after the process ran out of descriptors or memory for another connection."""

EXHAUSTION_ERRORS: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of accepting that last until resources are released."""

CONNECTION_ERRORS: Final = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
"""Errors of accepting that concern only the connection (accept(2), section "Error handling")."""

Serve = Callable[["SocketStream"], Awaitable[None]]
"""Serves an accepted connection, and closes it. An error that it raises ends only this one."""


class WaitingConnection(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted connection that no task serves yet."""

    raw: socket.socket
    """Its socket."""

    accepted_at: float
    """When it was accepted, on the monotonic clock."""


class AcceptQueue(msgspec.Struct, kw_only=True):
    """Accepted connections that wait to be served, oldest first."""

    max_wait_seconds: float = MAX_WAIT_SECONDS
    """How long one of them waits to be read."""

    waiting: deque[WaitingConnection] = msgspec.field(default_factory=deque)
    """The connections."""

    shed: int = 0
    """Number of connections that were closed unread."""

    shed_logged: int = 0
    """Value of `shed` at the last log line."""

    logged_at: float = float("-inf")
    """When that line was written, on the monotonic clock."""


def remove_expired(queue: AcceptQueue, now: float) -> list[WaitingConnection]:
    """Remove and return the connections that have waited for too long."""
    expired: list[WaitingConnection] = []
    while queue.waiting and now - queue.waiting[0].accepted_at > queue.max_wait_seconds:
        expired.append(queue.waiting.popleft())
    queue.shed += len(expired)
    return expired


async def accept_connections(
    listener: SocketListener,
    queue: AcceptQueue,
    serve: Serve,
    tasks: TaskGroup,
    *,
    tuned: bool = False,
) -> None:
    """Accept connections until cancelled, and start a task for each that does not wait too long.

    One task is started in each pass of the event loop, so that a longer pass, which means that the
    process is busy, admits fewer connections.

    Args:
        listener: The listener.
        queue: Queue of the listener.
        serve: Serves a connection, and closes it.
        tasks: Runs `serve`.
        tuned: True to set the timeouts of `tune_socket` on each connection.
    """
    raw = listener.extra(SocketAttribute.raw_socket)
    try:
        while True:
            if not await _accept_pending(raw, queue) and not queue.waiting:
                await anyio.wait_readable(raw)
                continue
            _shed_expired(queue)
            if queue.waiting:
                tasks.start_soon(_serve_one, queue.waiting.popleft().raw, serve, tuned)
            await anyio.lowlevel.checkpoint()
    finally:
        # A planned stop serves what it has accepted.
        while queue.waiting:
            tasks.start_soon(_serve_one, queue.waiting.popleft().raw, serve, tuned)


async def _accept_pending(raw: socket.socket, queue: AcceptQueue) -> int:
    """Accept the pending connections, and return their number."""
    now = anyio.current_time()
    for accepted in range(ACCEPT_BATCH):
        try:
            connection, _ = raw.accept()
        except BlockingIOError:
            return accepted
        except OSError as error:
            if error.errno in CONNECTION_ERRORS:
                logger.debug(
                    "connection ended before it was accepted", extra={"reason": str(error)}
                )
                continue
            if error.errno not in EXHAUSTION_ERRORS:
                raise
            logger.warning("connection not accepted", extra={"reason": str(error)})
            await anyio.sleep(EXHAUSTED_PAUSE_SECONDS)
            return accepted
        connection.setblocking(False)
        queue.waiting.append(WaitingConnection(raw=connection, accepted_at=now))
    return ACCEPT_BATCH


def _shed_expired(queue: AcceptQueue) -> None:
    """Close the connections that have waited too long."""
    now = anyio.current_time()
    for item in remove_expired(queue, now):
        item.raw.close()
    if queue.shed == queue.shed_logged or now - queue.logged_at < LOG_INTERVAL_SECONDS:
        return
    logger.warning(
        "connections closed unread, box is overloaded",
        extra={"closed": queue.shed - queue.shed_logged, "waiting": len(queue.waiting)},
    )
    queue.shed_logged, queue.logged_at = queue.shed, now


async def _serve_one(raw: socket.socket, serve: Serve, tuned: bool) -> None:
    """Serve an accepted connection, unless its caller has left."""
    try:
        if tuned:
            tune_socket(raw)
        stream = await wrap_socket(raw)
    except OSError as error:
        logger.debug("connection ended before it was served", extra={"reason": str(error)})
        raw.close()
        return
    except BaseException:
        raw.close()
        raise
    try:
        await serve(stream)
    except Exception:
        # Raised further, it would cancel the tasks of all other connections of the listener.
        logger.exception("connection failed")
