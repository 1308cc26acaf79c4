"""Follows the configuration on control boxes, and on neighbours while those are unreachable.

Neighbours are the other entry boxes of the failure domain.
"""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...coordination.state_machine import apply_delta
from ...links import keep_link, post_to_all
from ...links.messages import (
    DeltaPush,
    FencedOrder,
    FullPush,
    InForce,
    LinkMessage,
    PeerRole,
    Pull,
    VersionHead,
)
from ..limit_keeper import handle_limit_message
from .context import apply_configuration, rate_limiter_of, run_in_background
from .crashes import handle_quarantine_message
from .gate import forward_order

if TYPE_CHECKING:
    from ...links import Link, LinkIdentity
    from .context import EntryContext

logger = logging.getLogger(__name__)

FIRST_SYNC_TIMEOUT_SECONDS: Final = 1.5
"""Timeout after which a starting box no longer waits for every source to answer."""

ANNOUNCE_INTERVAL_SECONDS: Final = 2.0
"""Interval at which a box announces its version to neighbours and control boxes."""


class Follower(msgspec.Struct, kw_only=True):
    """Links to the boxes whose configuration is followed."""

    links: dict[str, Link] = msgspec.field(default_factory=dict)
    """Established links by box at the other end."""

    controls: set[str] = msgspec.field(default_factory=set)
    """Control boxes to which a link was ever established."""

    answered: set[str] = msgspec.field(default_factory=set)
    """Boxes that have reported their version since this process started."""


async def follow(
    context: EntryContext,
    follower: Follower,
    box: str,
    address: str,
    identity: LinkIdentity,
    *,
    control: bool,
) -> None:
    """Follow the configuration of another box; runs until cancelled.

    Args:
        context: The entry's state.
        follower: The links.
        box: The other box.
        address: Its link address.
        identity: Identity of this process.
        control: True if it is a control box.
    """

    async def serve(link: Link) -> None:
        follower.links[box] = link
        if control:
            follower.controls.add(box)
        link.post(Pull(version=context.configuration.version))
        link.post(own_version(context))
        try:
            while True:
                message = await link.receive()
                if isinstance(message, FencedOrder) and control:
                    run_in_background(context, forward_order, context, context.gate, link, message)
                    continue
                if control and handle_quarantine_message(context, message):
                    continue
                if control and handle_limit_message(rate_limiter_of(context), message):
                    continue
                handle_version_message(context, link, message)
                follower.answered.add(box)
        finally:
            if follower.links.get(box) is link:
                del follower.links[box]

    await keep_link(address, identity, serve, rng=random.Random())


def send_to_controls(follower: Follower, message: LinkMessage) -> None:
    """Send a message to all connected control boxes."""
    post_to_all(control_links(follower), message)


def control_links(follower: Follower) -> list[Link]:
    """Return the established links to control boxes."""
    return [link for box, link in follower.links.items() if box in follower.controls]


def own_version(context: EntryContext) -> InForce:
    """Return the message that reports which version this box has in force."""
    box = context.settings.box
    return InForce(
        box=box.name,
        failure_domain=box.failure_domain,
        instance=context.instance,
        version=context.configuration.version,
    )


def handle_version_message(context: EntryContext, link: Link, message: LinkMessage) -> None:
    """Handle a message about the configuration of another box.

    Args:
        context: The entry's state.
        link: Link to the other box.
        message: The message.
    """
    previous_version = context.configuration.version
    match message:
        case DeltaPush():
            _apply_deltas(context, link, message)
        case FullPush():
            apply_configuration(context, message.configuration)
        case VersionHead():
            _compare_versions(context, link, message)
        case _:
            logger.warning("message of the wrong kind", extra={"peer": link.peer_box})
    if context.configuration.version != previous_version:
        logger.info("configuration in force", extra={"version": context.configuration.version})
        link.post(own_version(context))


def _apply_deltas(context: EntryContext, link: Link, push: DeltaPush) -> None:
    for delta in push.deltas:
        if delta.version <= context.configuration.version:
            continue
        next_configuration = apply_delta(context.configuration, delta)
        if next_configuration is None:
            link.post(Pull(version=context.configuration.version))
            return
        apply_configuration(context, next_configuration)
    if not context.digest:
        apply_configuration(context, context.configuration)


def _compare_versions(context: EntryContext, link: Link, head: VersionHead) -> None:
    version = context.configuration.version
    if head.version > version:
        link.post(Pull(version=version))
        return
    # A box that has just started has no digest yet.
    both_known = bool(context.digest) and bool(head.digest)
    if both_known and head.version == version and head.digest != context.digest:
        logger.error("configurations of the same version differ", extra={"version": version})


async def announce(context: EntryContext, follower: Follower) -> None:
    """Announce the own version to all followed boxes; runs until cancelled."""
    while True:
        await anyio.sleep(ANNOUNCE_INTERVAL_SECONDS)
        for link in list(follower.links.values()):
            link.post(own_version(context))


async def first_sync(context: EntryContext, follower: Follower, sources: int) -> None:
    """Wait until the newest version known to the reachable boxes is in force.

    Every control box and every neighbour is queried. The box is synced once all have answered, or
    once any has answered and the timeout has passed.

    Args:
        context: The entry's state.
        follower: The links.
        sources: Number of boxes that are followed.
    """
    started_at = anyio.current_time()
    while True:
        await anyio.sleep(0.02)
        elapsed = anyio.current_time() - started_at
        all_answered = len(follower.answered) >= sources
        some_answered = bool(follower.answered) and elapsed >= FIRST_SYNC_TIMEOUT_SECONDS
        if (all_answered or some_answered) and context.configuration.version > 0:
            context.synced.set()
            return


async def serve_neighbour(context: EntryContext, link: Link) -> None:
    """Serve a link on which a neighbour follows this box's configuration.

    Args:
        context: The entry's state.
        link: The link.
    """
    if link.peer is None or link.peer.role is not PeerRole.ENTRY:
        return
    while True:
        message = await link.receive()
        if isinstance(message, Pull):
            _answer_pull(context, link, message)
        elif isinstance(message, InForce) and message.version < context.configuration.version:
            link.post(VersionHead(version=context.configuration.version, digest=context.digest))


def _answer_pull(context: EntryContext, link: Link, pull: Pull) -> None:
    configuration = context.configuration
    if pull.version < configuration.version:
        link.post(FullPush(configuration=configuration))
    else:
        link.post(VersionHead(version=configuration.version, digest=context.digest))
