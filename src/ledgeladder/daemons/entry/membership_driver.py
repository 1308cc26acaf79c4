"""Runs the membership protocol of an entry box over UDP."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination import membership as protocol
from ...links import split_address
from ...links.datagrams import seal, unseal
from ...model import ProblemError
from ..clock import now, wall_clock_ms
from .watching import apply_reports

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import UDPSocket

    from ...coordination.membership import Datagram, Membership
    from .context import EntryContext

    Send = Callable[[list[Datagram]], Awaitable[None]]
    """Sends datagrams in order."""

logger = logging.getLogger(__name__)

MIN_TICK_SECONDS: Final = 0.02
"""Minimum interval between two steps of the protocol."""

MAX_TICK_SECONDS: Final = 0.25
"""Maximum interval between two steps; bounds the delay until a planned stop is announced."""


def build_membership(context: EntryContext) -> Membership:
    """Build the membership state of a box that has just started.

    Args:
        context: The entry's state.

    Returns:
        A state that contains no other box.
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
        membership: The membership state.
    """
    host, port = split_address(context.settings.entry.link_address)
    async with await anyio.create_udp_socket(local_host=host, local_port=port) as socket:
        send = _make_send(context, socket)
        await send(protocol.join(membership))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_receive, context, membership, socket, send)
            while True:
                await send(protocol.tick(membership, now(), context.rng))
                if context.stopping and not membership.left:
                    await send(protocol.leave(membership))
                wait = protocol.next_due(membership) - now()
                await anyio.sleep(min(max(wait, MIN_TICK_SECONDS), MAX_TICK_SECONDS))


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
        try:
            replies = protocol.receive(membership, message, now())
            if membership.reports != reports:
                apply_reports(context, membership)
        except Exception:
            # Raised further, it would end the membership of this box, again with each repetition.
            logger.exception("datagram failed", extra={"source": source[0]})
            continue
        await send(replies)


def _make_send(context: EntryContext, socket: UDPSocket) -> Send:
    """Return a function that sends datagrams; it serializes calls, as the socket requires."""
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
                    logger.debug("datagram not sent", extra={"reason": str(error)})

    return send
