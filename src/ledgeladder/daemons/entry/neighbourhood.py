"""Driving the membership protocol of an entry box over UDP."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination import membership as protocol
from ...links import split_address
from ...links.datagrams import seal, unseal
from ...model import ProblemError
from ..clock import now, wall_clock_ms
from .watching import adopt_reports

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import UDPSocket

    from ...coordination.membership import Datagram, Membership
    from .context import EntryContext

    Send = Callable[[list[Datagram]], Awaitable[None]]
    """Sends datagrams in order."""

logger = logging.getLogger(__name__)

TICK_SECONDS: Final = 0.02
"""Shortest pause between two looks at what is due."""

TICK_LIMIT_SECONDS: Final = 0.25
"""Longest pause, within which a planned stop is announced."""


def build_membership(context: EntryContext) -> Membership:
    """Build the beliefs of a box that has just started.

    Args:
        context: The entry's state.

    Returns:
        Beliefs about the own box alone.
    """
    settings = context.settings
    own = next(
        (peer.link_address for peer in settings.entries if peer.name == settings.box.name),
        settings.entry.link_address,
    )
    return protocol.Membership(
        name=settings.box.name,
        failure_domain=settings.box.failure_domain,
        address=own,
        seeds=tuple(peer.link_address for peer in settings.entries),
        incarnation=wall_clock_ms(),
    )


async def run_membership(context: EntryContext, membership: Membership) -> None:
    """Take part in the membership protocol until cancelled.

    Args:
        context: The entry's state.
        membership: The beliefs.
    """
    host, port = split_address(context.settings.entry.link_address)
    async with await anyio.create_udp_socket(local_host=host, local_port=port) as socket:
        send = _sender(context, socket)
        await send(protocol.start(membership))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_receive, context, membership, socket, send)
            while True:
                await send(protocol.tick(membership, now(), context.rng))
                if context.stopping and not membership.left:
                    await send(protocol.leave(membership))
                wait = protocol.next_due(membership) - now()
                await anyio.sleep(min(max(wait, TICK_SECONDS), TICK_LIMIT_SECONDS))


async def _receive(
    context: EntryContext, membership: Membership, socket: UDPSocket, send: Send
) -> None:
    secret = context.settings.cluster.secret
    async for data, source in socket:
        try:
            message = unseal(secret, data)
        except ProblemError as error:
            context.metrics.events["datagrams-refused"] += 1
            logger.warning("datagram refused", extra={"source": source[0], "reason": str(error)})
            continue
        context.metrics.gossip_bytes_received += len(data)
        reports = dict(membership.reports)
        replies = protocol.receive(membership, message, now())
        if membership.reports != reports:
            adopt_reports(context, membership)
        await send(replies)


def _sender(context: EntryContext, socket: UDPSocket) -> Send:
    """Return the one way to send, since a socket takes one sender at a time."""
    secret = context.settings.cluster.secret
    lock = anyio.Lock()

    async def send(datagrams: list[Datagram]) -> None:
        async with lock:
            for datagram in datagrams:
                data = seal(secret, datagram.message)
                context.metrics.gossip_bytes_sent += len(data)
                try:
                    await socket.sendto(data, *split_address(datagram.address))
                except OSError as error:
                    logger.debug("datagram lost", extra={"reason": str(error)})

    return send
