"""Links to control boxes of which only a few seeds are known at the start."""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import anyio

from ..links import keep_link, split_address

if TYPE_CHECKING:
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from ..links import Link, LinkIdentity
    from .reloading import SeedList

logger = logging.getLogger(__name__)

PEERS_LIMIT: Final = 64
"""Control boxes that are remembered; eight are set aside at most, and some are replaced."""

FORGET_SECONDS: Final = 60.0
"""How long a control box that cannot be reached is tried; it may be gone for good."""

SILENCE_SECONDS: Final = 3.0
"""A link on which nothing arrives for this long is given up. Entry boxes ask, and are answered,
twice a second; control boxes tell each other ages or hints once a second."""

ServeLink = Callable[[str, "Link"], Awaitable[None]]
"""Serves the link to one control box until it ends."""


@dataclass(kw_only=True)
class Peers:
    """Control boxes that are known, and the links to them."""

    identity: LinkIdentity
    """How this process presents itself."""

    own_address: str
    """IP number of this box, to which no link is kept."""

    link_port: int
    """Port for links on every box."""

    serve: ServeLink
    """Serves each link."""

    known: dict[str, float] = field(default_factory=dict)
    """IP numbers of control boxes, with the time at which each was last up, or first named if it
    has not been up yet, on the monotonic clock."""

    links: dict[str, Link] = field(default_factory=dict)
    """Links that are up, by IP number."""

    tasks: TaskGroup | None = None
    """Runs one task for each known control box; None before the links are run."""


def seed_addresses(seeds: Iterable[str]) -> list[str]:
    """Return the IP numbers of seeds.

    >>> seed_addresses(["10.0.0.1:80"])
    ['10.0.0.1']
    """
    return [split_address(seed)[0] for seed in seeds]


def add_peers(peers: Peers, addresses: Iterable[str]) -> None:
    """Start to keep a link to each control box that is not known yet.

    Args:
        peers: The links.
        addresses: IP numbers of control boxes. The own one is passed over, and so are those beyond
            `PEERS_LIMIT`.
    """
    for address in addresses:
        if address == peers.own_address or address in peers.known:
            continue
        if len(peers.known) >= PEERS_LIMIT or peers.tasks is None:
            return
        peers.known[address] = anyio.current_time()
        peers.tasks.start_soon(_keep, peers, address)


async def _keep(peers: Peers, address: str) -> None:
    """Keep the link to one control box up until it has been out of reach for too long."""

    async def serve(link: Link) -> None:
        peers.links[address] = link
        logger.info("dependency regained", extra={"peer": address})
        try:
            await peers.serve(address, link)
        finally:
            if peers.links.get(address) is link:
                del peers.links[address]
            peers.known[address] = anyio.current_time()
            logger.warning("dependency lost", extra={"peer": address})

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_forget_when_silent, peers, address, tasks.cancel_scope)
        await keep_link(f"{address}:{peers.link_port}", peers.identity, serve, rng=random.Random())


async def _forget_when_silent(peers: Peers, address: str, scope: anyio.CancelScope) -> None:
    while True:
        await anyio.sleep(FORGET_SECONDS / 4)
        if address in peers.links:
            peers.known[address] = anyio.current_time()
        elif anyio.current_time() - peers.known[address] > FORGET_SECONDS:
            del peers.known[address]
            logger.info("control box forgotten", extra={"peer": address})
            scope.cancel()


async def run_peers(peers: Peers, seeds: SeedList) -> None:
    """Keep links up until cancelled; without any, the seeds are looked at again.

    Args:
        peers: The links.
        seeds: Seeds that are in the settings now.
    """
    # A restart of this task begins anew: the tasks that kept the links ended with the one before.
    peers.known.clear()
    async with anyio.create_task_group() as tasks:
        peers.tasks = tasks
        while True:
            if not peers.links:
                add_peers(peers, seed_addresses(seeds.seeds))
            await anyio.sleep(SILENCE_SECONDS)
