"""Opening and accepting links: addresses, listening, reconnecting."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Final

import anyio
from anyio.abc import SocketAttribute

from ..model import ProblemError
from .link import accept, greet
from .tcp import connect_tcp, listen_tcp

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import SocketStream

    from .link import Link, LinkIdentity

    LinkHandler = Callable[[Link], Awaitable[None]]
    """Serves one link until it returns or raises."""

logger = logging.getLogger(__name__)

CONNECT_SECONDS: Final = 0.25
"""How long the first try to connect may take. A box without power drops the packet that opens a
connection, and the kernel sends it again after 1 s only: where all boxes start together, most links
came up a second late. Doubled with each try, for links with long round trips."""

CONNECT_LIMIT_SECONDS: Final = 2.0
"""Longest time for one try: the packet and one repeat of it, on a link that loses some."""

RECONNECT_SECONDS: Final = 0.1
"""Pause before the second try."""

RECONNECT_LIMIT_SECONDS: Final = 2.0
"""Longest pause between two tries; pauses double from one to the next."""

LINK_ENDED: Final = (
    OSError,
    TimeoutError,
    ProblemError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""What may end a link without being a fault of this process."""


async def serve_links(address: str, identity: LinkIdentity, handler: LinkHandler) -> None:
    """Accept links until cancelled.

    Args:
        address: `host:port` to listen on.
        identity: Who accepts.
        handler: Serves each link.
    """
    listener = await listen_tcp(address)

    async def serve_one(stream: SocketStream) -> None:
        remote = stream.extra(SocketAttribute.remote_address, None)
        try:
            async with stream:
                link = await accept(stream, identity)
                await _run_link(link, handler)
        except* LINK_ENDED as ended:
            logger.info("link ended", extra={"remote": str(remote), "reason": reason(ended)})

    async with listener:
        await listener.serve(serve_one)


async def keep_link(
    address: str, identity: LinkIdentity, handler: LinkHandler, *, rng: random.Random
) -> None:
    """Keep one outgoing link up until cancelled.

    Args:
        address: `host:port` of the peer.
        identity: Who connects.
        handler: Serves the link each time it is up.
        rng: Spreads reconnects, so that a restarted peer is not met by all at once.
    """
    failures = 0

    async def serve(link: Link) -> None:
        nonlocal failures
        failures = 0
        await handler(link)

    while True:
        try:
            await open_link(address, identity, serve, seconds=connect_patience(failures))
        except* LINK_ENDED as ended:
            logger.debug("link lost", extra={"remote": address, "reason": reason(ended)})
        pause = min(RECONNECT_SECONDS * 2**failures, RECONNECT_LIMIT_SECONDS)
        failures += 1
        await anyio.sleep(pause * rng.uniform(0.5, 1.0))


def connect_patience(failures: int) -> float:
    """Return how long a try to connect may take, in seconds.

    Args:
        failures: Tries in a row that have failed before it.

    >>> [connect_patience(failures) for failures in range(5)]
    [0.25, 0.5, 1.0, 2.0, 2.0]
    """
    return min(CONNECT_SECONDS * 2**failures, CONNECT_LIMIT_SECONDS)


async def open_link(
    address: str,
    identity: LinkIdentity,
    handler: LinkHandler,
    *,
    seconds: float = CONNECT_LIMIT_SECONDS,
) -> None:
    """Connect once and serve the link until it ends.

    Args:
        address: `host:port` of the peer.
        identity: Who connects.
        handler: Serves the link.
        seconds: How long the connection may take to come up.
    """
    with anyio.fail_after(seconds):
        stream = await connect_tcp(address, identity.source_address)
    async with stream:
        link = await greet(stream, identity)
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
    # The peer did not read; ending the stream wakes the handler.
    await link.stream.aclose()


def reason(group: BaseExceptionGroup[BaseException]) -> str:
    """Describe in a few words why a link ended."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"
