"""Links to control boxes, of which only a few seeds are known at the start.

Control boxes tell of each other. Which of them a process keeps links to is decided in
`coordination/link_choice.py`: a control box all, an entry box a few, or all while those few do not
keep it up to date.
"""

from __future__ import annotations

import logging
import random
import secrets
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ..coordination.link_choice import choose_controls, rank_controls
from ..links import LinkIdentity, keep_link, split_address

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from anyio.abc import TaskGroup

    from ..links import Link
    from ..links.messages import PeerRole
    from ..settings import DiscoveredBox, DiscoveredCluster
    from .reloading import SeedList

logger = logging.getLogger(__name__)

PEERS_LIMIT: Final = 64
"""Control boxes that are remembered; eight are set aside at most, and some are replaced."""

FORGET_SECONDS: Final = 60.0
"""How long a control box that cannot be reached is tried; it may be gone for good."""

SILENCE_SECONDS: Final = 3.0
"""A link on which nothing arrives for this long is given up. Entry boxes ask, and are answered,
once a second; control boxes tell each other ages or hints once a second."""

LOOK_SECONDS: Final = 0.5
"""How often the choice of links is looked at again."""

START_SECONDS: Final = 1.0
"""How long a link may take to come up before another one is opened beside it: a connection and a
handshake, with room for one lost packet."""

ServeLink = Callable[[str, "Link"], Awaitable[None]]
"""Serves the link to one control box until it ends."""


def own_identity(box: DiscoveredBox, cluster: DiscoveredCluster, role: PeerRole) -> LinkIdentity:
    """Return how a process presents itself on its links; each run has a random name.

    Args:
        box: Where it runs.
        cluster: What it belongs to.
        role: What it is.
    """
    return LinkIdentity(
        cluster=cluster.name,
        role=role,
        box=box.address,
        failure_domain=box.failure_domain,
        instance=secrets.token_hex(8),
        secret=cluster.secret,
        source_address=box.address,
    )


class Peers(msgspec.Struct, kw_only=True):
    """Control boxes that are known, and the links to them."""

    identity: LinkIdentity
    """How this process presents itself."""

    own_address: str
    """IP number of this box, to which no link is kept."""

    link_port: int
    """Port for links on every box."""

    serve: ServeLink
    """Serves each link."""

    known: dict[str, float] = msgspec.field(default_factory=dict)
    """IP numbers of control boxes, with the time at which each was last up, or first named if it
    has not been up yet, on the monotonic clock."""

    links: dict[str, Link] = msgspec.field(default_factory=dict)
    """Links that are up, by IP number."""

    limit: int | None = None
    """How many links are wanted; None for one to each known control box."""

    is_stale: Callable[[], bool] = lambda: False
    """Tells whether the links that are up do not keep this process up to date, so that all known
    control boxes are to be tried."""

    domains: dict[str, str] = msgspec.field(default_factory=dict)
    """Failure domains of control boxes by IP number, as far as they were told."""

    scopes: dict[str, anyio.CancelScope] = msgspec.field(default_factory=dict)
    """Ends the task that keeps a link, by IP number."""

    started: dict[str, float] = msgspec.field(default_factory=dict)
    """When each of those tasks was started, on the monotonic clock."""

    ranked: list[str] = msgspec.field(default_factory=list)
    """IP numbers of known control boxes, the preferred ones first."""

    tasks: TaskGroup | None = None
    """Runs one task for each link; None before the links are run."""


def seed_addresses(seeds: Iterable[str]) -> list[str]:
    """Return the IP numbers of seeds.

    >>> seed_addresses(["10.0.0.1:80"])
    ['10.0.0.1']
    """
    return [split_address(seed)[0] for seed in seeds]


def add_peers(
    peers: Peers, addresses: Iterable[str], domains: Mapping[str, str] | None = None
) -> None:
    """Take in control boxes, and open links to those of them that are wanted.

    Args:
        peers: The links.
        addresses: IP numbers of control boxes. The own one is passed over, and so are those beyond
            `PEERS_LIMIT`. Before the links are run, all are.
        domains: Failure domains of control boxes by IP number, as far as they are known.
    """
    peers.domains.update(domains or {})
    if peers.tasks is None:
        return
    for address in addresses:
        if address == peers.own_address or address in peers.known:
            continue
        if len(peers.known) >= PEERS_LIMIT:
            break
        peers.known[address] = anyio.current_time()
    _balance(peers)


def _balance(peers: Peers) -> None:
    """Open the links that are wanted, and close the others once enough are up."""
    if peers.tasks is None:
        return
    now = anyio.current_time()
    limit = len(peers.known) if peers.limit is None or peers.is_stale() else peers.limit

    def is_available(address: str) -> bool:
        if address in peers.links or address not in peers.scopes:
            return True
        return now - peers.started[address] < START_SECONDS

    peers.ranked = rank_controls(
        peers.known,
        peers.domains,
        own=peers.own_address,
        own_domain=peers.identity.failure_domain,
        limit=limit,
    )
    chosen = choose_controls(peers.ranked, is_available, limit)
    for address in chosen:
        if address not in peers.scopes:
            peers.scopes[address] = anyio.CancelScope()
            peers.started[address] = now
            peers.tasks.start_soon(_keep, peers, address)
    if sum(address in peers.links for address in chosen) >= limit:
        for address in [item for item in peers.scopes if item not in chosen]:
            peers.scopes[address].cancel()


def primary_of(peers: Peers) -> str | None:
    """Return the IP number of the control box that is told what only one of them needs to be told.

    It is the preferred one of those whose links are up; None if none is.
    """
    return next((address for address in peers.ranked if address in peers.links), None)


async def _keep(peers: Peers, address: str) -> None:
    """Keep the link to one control box up until it is not wanted any more.

    Its scope is cancelled when enough preferred links are up, or when the box has been out of reach
    for too long.
    """

    async def serve(link: Link) -> None:
        peers.links[address] = link
        logger.info("dependency regained", extra={"peer": address})
        try:
            await peers.serve(address, link)
        finally:
            if peers.links.get(address) is link:
                del peers.links[address]
            peers.known[address] = anyio.current_time()
            if peers.scopes[address].cancel_called:
                logger.info("link not needed any more", extra={"peer": address})
            else:
                logger.warning("dependency lost", extra={"peer": address})

    scope = peers.scopes[address]
    try:
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_forget_when_silent, peers, address)
                await keep_link(
                    f"{address}:{peers.link_port}", peers.identity, serve, rng=random.Random()
                )
    finally:
        if peers.scopes.get(address) is scope:
            del peers.scopes[address]
            del peers.started[address]


async def _forget_when_silent(peers: Peers, address: str) -> None:
    """Forget a control box that has had no link for `FORGET_SECONDS`, and end its task."""
    while True:
        await anyio.sleep(FORGET_SECONDS / 4)
        if address in peers.links:
            peers.known[address] = anyio.current_time()
        elif anyio.current_time() - peers.known[address] > FORGET_SECONDS:
            del peers.known[address]
            logger.info("control box forgotten", extra={"peer": address})
            peers.scopes[address].cancel()


async def run_peers(peers: Peers, seeds: SeedList) -> None:
    """Keep the wanted links up until cancelled.

    Args:
        peers: The links.
        seeds: Seeds that are in the settings now; tried for as long as no link is up.
    """
    # A restart of this task begins anew: the tasks that kept the links ended with the one before.
    peers.known.clear()
    peers.scopes.clear()
    peers.started.clear()
    async with anyio.create_task_group() as tasks:
        peers.tasks = tasks
        while True:
            if not peers.links:
                add_peers(peers, seed_addresses(seeds.seeds))
            _balance(peers)
            await anyio.sleep(LOOK_SECONDS)
