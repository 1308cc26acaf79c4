"""Accepts links, and opens links that reconnect automatically."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Final

import anyio

from ..model import ProblemError
from .accepting import AcceptQueue, accept_connections
from .link import HANDSHAKE_TIMEOUT_SECONDS, accept_handshake, initiate_handshake
from .tcp import connect_tcp, listen_tcp, socket_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import SocketStream

    from .link import Link, LinkIdentity

    LinkHandler = Callable[[Link], Awaitable[None]]
    """Serves one link until it returns or raises."""

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of the first attempt to connect; doubled after each failure, for long round trips. It is
shorter than the kernel's SYN retransmission timeout of 1 s, which would delay links to boxes that
are just starting."""

MAX_CONNECT_TIMEOUT_SECONDS: Final = 2.0
"""Longest timeout of an attempt, which leaves time for one retransmission of a lost SYN."""

RECONNECT_DELAY_SECONDS: Final = 0.1
"""Delay before the second attempt."""

MAX_RECONNECT_DELAY_SECONDS: Final = 2.0
"""Longest delay between two attempts; the delay doubles with each failure."""

STABLE_LINK_SECONDS: Final = 10.0
"""A link that lasted for this long ends a series of links that an unexpected error ended."""

MAX_DOUBLINGS: Final = 16
"""Number of failed attempts after which delays and timeouts no longer grow in any case."""

RESET: Final = "reset"
"""Logged in the place of the address of a peer whose connection was reset."""

LINK_ERRORS: Final = (
    OSError,
    TimeoutError,
    ProblemError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""Errors that end a link without a fault of this process."""


async def serve_links(address: str, identity: LinkIdentity, handler: LinkHandler) -> None:
    """Accept links until cancelled.

    Args:
        address: `host:port` to listen on.
        identity: Identity of the accepting process.
        handler: Serves each link.
    """
    listener = await listen_tcp(address)

    async def serve_one(stream: SocketStream) -> None:
        remote = _remote_address(stream)
        try:
            async with stream:
                link = await accept_handshake(stream, identity)
                await _run_link(link, handler)
        except* LINK_ERRORS as errors:
            logger.info("link ended", extra={"remote": remote, "reason": describe_error(errors)})

    # A peer waits for the challenge as long as for the rest of the handshake.
    queue = AcceptQueue(max_wait_seconds=HANDSHAKE_TIMEOUT_SECONDS)
    async with listener, anyio.create_task_group() as connections:
        await accept_connections(listener, queue, serve_one, connections)


def _remote_address(stream: SocketStream) -> str:
    """Return the address of a peer, for the log."""
    raw = socket_of(stream)
    try:
        return str(raw.getpeername()) if raw is not None else RESET
    except OSError:
        return RESET


async def keep_link(
    address: str, identity: LinkIdentity, handler: LinkHandler, *, rng: random.Random
) -> None:
    """Keep an outgoing link connected until cancelled.

    Args:
        address: `host:port` of the peer.
        identity: Identity of the connecting process.
        handler: Serves the link after each connect.
        rng: Random source of jitter, which spreads the reconnections to a restarted process.
    """
    failures = faults = 0
    linked_at = float("inf")

    async def serve(link: Link) -> None:
        nonlocal failures, linked_at
        failures, linked_at = 0, anyio.current_time()
        await handler(link)

    while True:
        has_failed = False
        try:
            await open_link(address, identity, serve, seconds=connect_timeout(failures))
        except* LINK_ERRORS as errors:
            logger.debug(
                "connecting failed or link lost",
                extra={"remote": address, "reason": describe_error(errors)},
            )
        except* Exception as errors:
            # Raised further, it would end the links to all other boxes.
            logger.error("link failed", extra={"remote": address}, exc_info=errors)
            has_failed = True
        if anyio.current_time() - linked_at >= STABLE_LINK_SECONDS:
            faults = 0
        if has_failed:
            # Not reset by the next handshake: the same message may fail again on each link.
            faults = min(faults + 1, MAX_DOUBLINGS)
        delay = reconnect_delay(max(failures, faults))
        failures, linked_at = min(failures + 1, MAX_DOUBLINGS), float("inf")
        await anyio.sleep(delay * rng.uniform(0.5, 1.0))


def reconnect_delay(failures: int) -> float:
    """Return the longest delay before the next attempt to connect, in seconds.

    Args:
        failures: Number of consecutive failures, at most `MAX_DOUBLINGS`.

    >>> [reconnect_delay(failures) for failures in (0, 1, 4, 5, 16)]
    [0.1, 0.2, 1.6, 2.0, 2.0]
    """
    return min(RECONNECT_DELAY_SECONDS * 2**failures, MAX_RECONNECT_DELAY_SECONDS)


def connect_timeout(failures: int) -> float:
    """Return the timeout of an attempt to connect, in seconds.

    Args:
        failures: Number of consecutive failed attempts before it.

    >>> [connect_timeout(failures) for failures in range(5)]
    [0.25, 0.5, 1.0, 2.0, 2.0]
    """
    return min(CONNECT_TIMEOUT_SECONDS * 2**failures, MAX_CONNECT_TIMEOUT_SECONDS)


async def open_link(
    address: str,
    identity: LinkIdentity,
    handler: LinkHandler,
    *,
    seconds: float = MAX_CONNECT_TIMEOUT_SECONDS,
) -> None:
    """Connect once and serve the link until it ends.

    Args:
        address: `host:port` of the peer.
        identity: Identity of the connecting process.
        handler: Serves the link.
        seconds: Timeout for opening the connection.
    """
    with anyio.fail_after(seconds):
        stream = await connect_tcp(address, identity.source_address)
    async with stream:
        link = await initiate_handshake(stream, identity)
        await _run_link(link, handler)


async def _run_link(link: Link, handler: LinkHandler) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_write_and_close, link)
        try:
            await handler(link)
        finally:
            link.close()
            tasks.cancel_scope.cancel()


async def _write_and_close(link: Link) -> None:
    try:
        await link.run_writer()
    finally:
        link.closed = True
    # The peer did not read; closing the stream makes the handler's read fail.
    await link.stream.aclose()


def describe_error(error: BaseException) -> str:
    """Describe an error, or the first one of a group, for the log."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"
