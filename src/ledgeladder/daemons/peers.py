"""Maintains links to control boxes, which are discovered from a few seeds.

Control boxes announce each other. `coordination/link_choice.py` chooses the links: a control box
links to all others; an entry box links to a few, or to all while those few do not keep it up to
date.
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
    from ..links.messages import PeerHint, PeerRole
    from ..settings import DiscoveredBox, DiscoveredCluster
    from .reloading import SeedList

logger = logging.getLogger(__name__)

MAX_PEERS: Final = 64
"""Maximum number of known control boxes. A cluster has at most eight; the rest is room for replaced
ones."""

UNREACHABLE_EXPIRY_SECONDS: Final = 60.0
"""How long an unreachable control box is tried, since it may have been removed."""

LINK_INACTIVITY_SECONDS: Final = 3.0
"""A link on which nothing arrives for this long is closed. Entry boxes poll once a second, and
control boxes send each other ages or hints once a second."""

CHECK_INTERVAL_SECONDS: Final = 0.5
"""Interval at which the choice of links is updated."""

CONNECT_GRACE_SECONDS: Final = 1.0
"""How long a link may take to be established before another one is opened in parallel: a connection
and a handshake, with room for one lost packet."""

ServeLink = Callable[[str, "Link"], Awaitable[None]]
"""Serves the link to one control box until it closes."""


def own_identity(box: DiscoveredBox, cluster: DiscoveredCluster, role: PeerRole) -> LinkIdentity:
    """Return the identity of a process on its links, with a random instance name.

    Args:
        box: Box on which the process runs.
        cluster: Cluster of the box.
        role: Role of the process.
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
    """Known control boxes, and the links to them."""

    identity: LinkIdentity
    """Identity of this process on its links."""

    own_address: str
    """IP address of this box, to which no link is opened."""

    link_port: int
    """Port for links on every box."""

    serve: ServeLink
    """Serves each link."""

    known: dict[str, float] = msgspec.field(default_factory=dict)
    """When the link to each control box was last up, or when the box was added if it never was, on
    the monotonic clock, by IP address."""

    links: dict[str, Link] = msgspec.field(default_factory=dict)
    """Established links by IP address."""

    max_links: int | None = None
    """Maximum number of links; None for a link to each known control box."""

    is_stale: Callable[[], bool] = lambda: False
    """Returns whether the established links fail to keep this process up to date. All known control
    boxes are then tried."""

    domains: dict[str, str] = msgspec.field(default_factory=dict)
    """Failure domains of control boxes by IP address, where known."""

    demand_readers: set[str] = msgspec.field(default_factory=set)
    """IP addresses of control boxes whose peer hint said that they read demand."""

    part_readers: set[str] = msgspec.field(default_factory=set)
    """IP addresses of control boxes whose peer hint said that they read crashes by part."""

    scopes: dict[str, anyio.CancelScope] = msgspec.field(default_factory=dict)
    """Cancel scopes of the tasks that maintain the links, by IP address."""

    started_at: dict[str, float] = msgspec.field(default_factory=dict)
    """When each of those tasks was started, on the monotonic clock."""

    ranked: list[str] = msgspec.field(default_factory=list)
    """IP addresses of known control boxes, in order of preference."""

    tasks: TaskGroup | None = None
    """Runs one task for each link; None until `run_peers` starts."""


def seed_addresses(seeds: Iterable[str]) -> list[str]:
    """Return the IP addresses of seeds.

    >>> seed_addresses(["10.0.0.1:80"])
    ['10.0.0.1']
    """
    return [split_address(seed)[0] for seed in seeds]


def add_peers(
    peers: Peers, addresses: Iterable[str], domains: Mapping[str, str] | None = None
) -> None:
    """Add control boxes, and open links to the chosen ones.

    Args:
        peers: The links.
        addresses: IP addresses of control boxes. The address of this box and those beyond
            `MAX_PEERS` are ignored. Until `run_peers` starts, all are ignored.
        domains: Failure domains of control boxes by IP address, where known.
    """
    peers.domains.update(domains or {})
    if peers.tasks is None:
        return
    for address in addresses:
        if address == peers.own_address or address in peers.known:
            continue
        if len(peers.known) >= MAX_PEERS:
            break
        peers.known[address] = anyio.current_time()
    _update_links(peers)


def demand_links(peers: Peers) -> list[Link]:
    """Return the links to control boxes that read demand."""
    return [link for address, link in peers.links.items() if address in peers.demand_readers]


def part_links(peers: Peers) -> list[Link]:
    """Return the links to control boxes that read crashes by part of the prompts."""
    return [link for address, link in peers.links.items() if address in peers.part_readers]


def record_hint(peers: Peers, address: str, hint: PeerHint) -> None:
    """Record what a control box says of the others and of itself.

    Args:
        peers: The links.
        address: IP address of the control box that sent the hint.
        hint: The hint.
    """
    add_peers(peers, hint.addresses, hint.domains)
    for readers, reads in (
        (peers.demand_readers, hint.reads_demand),
        (peers.part_readers, hint.reads_parts),
    ):
        if reads:
            readers.add(address)
        else:
            readers.discard(address)


def _update_links(peers: Peers) -> None:
    """Open links to the chosen boxes, and close the others once enough are established."""
    if peers.tasks is None:
        return
    now = anyio.current_time()
    max_links = len(peers.known) if peers.max_links is None or peers.is_stale() else peers.max_links

    def is_available(address: str) -> bool:
        if address in peers.links or address not in peers.scopes:
            return True
        return now - peers.started_at[address] < CONNECT_GRACE_SECONDS

    peers.ranked = rank_controls(
        peers.known,
        peers.domains,
        own=peers.own_address,
        own_domain=peers.identity.failure_domain,
        limit=max_links,
    )
    chosen = choose_controls(peers.ranked, is_available, max_links)
    for address in chosen:
        if address not in peers.scopes:
            peers.scopes[address] = anyio.CancelScope()
            peers.started_at[address] = now
            peers.tasks.start_soon(_maintain_link, peers, address)
    if sum(address in peers.links for address in chosen) >= max_links:
        for address in [item for item in peers.scopes if item not in chosen]:
            peers.scopes[address].cancel()


def primary_of(peers: Peers) -> str | None:
    """Return the IP address of the control box that receives reports which only one of them needs.

    It is the most preferred one with an established link; None if there is none.
    """
    return next((address for address in peers.ranked if address in peers.links), None)


async def _maintain_link(peers: Peers, address: str) -> None:
    """Maintain the link to one control box until its scope is cancelled.

    The scope is cancelled once enough preferred links are established, or when the box has been
    unreachable for too long.
    """

    async def serve(link: Link) -> None:
        peers.links[address] = link
        # A restarted box may be of another version; its first hint tells.
        peers.demand_readers.discard(address)
        peers.part_readers.discard(address)
        logger.info("dependency regained", extra={"peer": address})
        try:
            await peers.serve(address, link)
        finally:
            if peers.links.get(address) is link:
                del peers.links[address]
            peers.known[address] = anyio.current_time()
            if peers.scopes[address].cancel_called:
                logger.info("link closed, no longer needed", extra={"peer": address})
            else:
                logger.warning("dependency lost", extra={"peer": address})

    scope = peers.scopes[address]
    try:
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_expire_unreachable, peers, address)
                await keep_link(
                    f"{address}:{peers.link_port}", peers.identity, serve, rng=random.Random()
                )
    except Exception:
        # Raised further, it would end the links to all other boxes. The choice starts it again.
        logger.exception("task of a link failed", extra={"peer": address})
    finally:
        if peers.scopes.get(address) is scope:
            del peers.scopes[address]
            del peers.started_at[address]


async def _expire_unreachable(peers: Peers, address: str) -> None:
    """Remove a control box without a link for `UNREACHABLE_EXPIRY_SECONDS`, and cancel its task."""
    while True:
        await anyio.sleep(UNREACHABLE_EXPIRY_SECONDS / 4)
        if address in peers.links:
            peers.known[address] = anyio.current_time()
        elif anyio.current_time() - peers.known[address] > UNREACHABLE_EXPIRY_SECONDS:
            del peers.known[address]
            logger.info("unreachable control box removed", extra={"peer": address})
            peers.scopes[address].cancel()


async def run_peers(peers: Peers, seeds: SeedList) -> None:
    """Maintain the chosen links until cancelled.

    Args:
        peers: The links.
        seeds: Seeds in the current settings, which are tried while no link is established.
    """
    # After a restart of this task, the tasks that maintained the links no longer run.
    peers.known.clear()
    peers.scopes.clear()
    peers.started_at.clear()
    async with anyio.create_task_group() as tasks:
        peers.tasks = tasks
        while True:
            try:
                if not peers.links:
                    add_peers(peers, seed_addresses(seeds.seeds))
                _update_links(peers)
            except Exception:
                # Raised further, it would end the established links.
                logger.exception("choice of links failed")
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
