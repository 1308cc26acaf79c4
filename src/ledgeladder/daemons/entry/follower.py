"""Following the configuration: from control boxes, and from neighbours while those are cut off."""

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
from .context import apply_configuration, limit_keeper_of, run_in_background
from .crashes import handle_quarantine_message
from .gate import pass_order

if TYPE_CHECKING:
    from ...links import Link, LinkIdentity
    from .context import EntryContext

logger = logging.getLogger(__name__)

FIRST_SYNC_SECONDS: Final = 1.5
"""How long a starting box waits for every source before it trusts those that answered."""

HEAD_SECONDS: Final = 2.0
"""How often a box tells its neighbours and control boxes its version."""


class Follower(msgspec.Struct, kw_only=True):
    """Links over which versions are learnt."""

    links: dict[str, Link] = msgspec.field(default_factory=dict)
    """Links that are up, by box at the other end."""

    controls: set[str] = msgspec.field(default_factory=set)
    """Control boxes among them, whether their links are up or not."""

    answered: set[str] = msgspec.field(default_factory=set)
    """Boxes that have told their newest version since this process started."""


async def follow(
    context: EntryContext,
    follower: Follower,
    box: str,
    address: str,
    identity: LinkIdentity,
    *,
    control: bool,
) -> None:
    """Follow the versions of one other box, for ever.

    Args:
        context: The entry's state.
        follower: Its links.
        box: The other box.
        address: Its link address.
        identity: Who connects.
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
                    run_in_background(context, pass_order, context, context.gate, link, message)
                    continue
                if control and handle_quarantine_message(context, message):
                    continue
                if control and handle_limit_message(limit_keeper_of(context), message):
                    continue
                take_version_message(context, link, message)
                follower.answered.add(box)
        finally:
            if follower.links.get(box) is link:
                del follower.links[box]

    await keep_link(address, identity, serve, rng=random.Random())


def send_to_controls(follower: Follower, message: LinkMessage) -> None:
    """Tell all control boxes that are linked."""
    post_to_all(control_links(follower), message)


def control_links(follower: Follower) -> list[Link]:
    """Return the links to control boxes that are up."""
    return [link for box, link in follower.links.items() if box in follower.controls]


def own_version(context: EntryContext) -> InForce:
    """Return the message that tells which version this box has in force."""
    box = context.settings.box
    return InForce(
        box=box.name,
        failure_domain=box.failure_domain,
        instance=context.instance,
        version=context.configuration.version,
    )


def take_version_message(context: EntryContext, link: Link, message: LinkMessage) -> None:
    """Take in what another box tells of its version.

    Args:
        context: The entry's state.
        link: Link to the other box.
        message: What it told.
    """
    before = context.configuration.version
    match message:
        case DeltaPush():
            _take_deltas(context, link, message)
        case FullPush():
            apply_configuration(context, message.configuration)
        case VersionHead():
            _compare(context, link, message)
        case _:
            logger.warning("message of the wrong kind", extra={"peer": link.peer_box})
    if context.configuration.version != before:
        logger.info("in force", extra={"version": context.configuration.version})
        link.post(own_version(context))


def _take_deltas(context: EntryContext, link: Link, push: DeltaPush) -> None:
    for delta in push.deltas:
        if delta.version <= context.configuration.version:
            continue
        following = apply_delta(context.configuration, delta)
        if following is None:
            link.post(Pull(version=context.configuration.version))
            return
        apply_configuration(context, following)
    if not context.digest:
        apply_configuration(context, context.configuration)


def _compare(context: EntryContext, link: Link, head: VersionHead) -> None:
    version = context.configuration.version
    if head.version > version:
        link.post(Pull(version=version))
        return
    # A box that has just started has no digest yet.
    both_known = bool(context.digest) and bool(head.digest)
    if both_known and head.version == version and head.digest != context.digest:
        logger.error("same version, other content", extra={"version": version})


async def announce(context: EntryContext, follower: Follower) -> None:
    """Tell the own version to all boxes that are followed, for ever."""
    while True:
        await anyio.sleep(HEAD_SECONDS)
        for link in list(follower.links.values()):
            link.post(own_version(context))


async def first_sync(context: EntryContext, follower: Follower, sources: int) -> None:
    """Wait until the newest version that this side of a cut knows is in force.

    Every control box and every neighbour is asked. The box is ready once all have answered, or
    once some have and the others stayed silent for a while.

    Args:
        context: The entry's state.
        follower: Its links.
        sources: Number of boxes that are followed.
    """
    started = anyio.current_time()
    while True:
        await anyio.sleep(0.02)
        waited = anyio.current_time() - started
        everybody = len(follower.answered) >= sources
        somebody = bool(follower.answered) and waited >= FIRST_SYNC_SECONDS
        if (everybody or somebody) and context.configuration.version > 0:
            context.synced.set()
            return


async def serve_neighbour(context: EntryContext, link: Link) -> None:
    """Serve a link that a neighbour opened to learn this box's version.

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
