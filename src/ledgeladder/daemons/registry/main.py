"""Registry process: builds its state and supervises its tasks."""

from __future__ import annotations

import logging
import random
import zlib
from collections import Counter
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Success

from ...coordination import raft
from ...coordination.voters import next_voters
from ...http1 import serve_http1
from ...links import Link, serve_links
from ...links.messages import PeerRole
from ...model import ResultCode
from ...platform.configuration import decode_configuration
from ...settings import load_registry_settings
from ...storage import StorageError, box_of, create_identity, member_id, read_identity
from ..content_judge import broadcast_quarantine, run_quarantine_controller
from ..control.node import ControlNode, open_node, run_log
from ..logs import log_child
from ..metrics_page import metrics_child
from ..peers import Peers, own_identity, run_peers, seed_addresses
from ..rate_lender import run_limit_broadcasts
from ..reloading import SeedList, reload_seeds
from ..signals import on_stop_signal
from ..supervisor import Child, Restart, supervise
from .demand_totals import broadcast_demand
from .http_api import build_site
from .lending import build_rate_granter
from .metrics import metrics_lines
from .peer_links import send_log_message, serve_accepted_link, serve_control_link
from .placement import run_placement
from .published_version import poll_leader
from .state import RegistryState, quarantine_controller_of, rate_granter_of
from .telling import broadcast_ages, broadcast_loads, broadcast_updates, push_document
from .upstream_ends import build_quarantine_controller, run_liveness_checks

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from ...coordination.raft import Envelope
    from ...settings import RegistrySettings

logger = logging.getLogger(__name__)

LEASE_SHARE: Final = 0.8
"""Lease as a share of the election timeout; the rest allows for clock drift."""

LEADERSHIP_TRANSFER_TIMEOUT_SECONDS: Final = 1.5
"""How long a planned stop waits for the leadership transfer."""

START_RETRY_SECONDS: Final = 1.0
"""Interval at which the start is retried while the disk is full."""

INITIAL_INCARNATION: Final = "initial"
"""Incarnation of the initial voters of a cluster."""


def build_state(settings: RegistrySettings) -> RegistryState:
    """Open the data folder and build the state of the process.

    The seeds become the initial voters only when the cluster is bootstrapped. At any other time, a
    box with an empty folder gets a new identity and joins as a learner: a voter whose disk was
    replaced could otherwise deny entries that it had acknowledged.

    Args:
        settings: Settings of the process.

    Returns:
        The state.

    Raises:
        StorageError: If the folder is unreadable or corrupt.
    """
    built: list[RegistryState] = []

    async def serve(address: str, link: Link) -> None:
        await serve_control_link(built[0], address, link)

    def send(envelope: Envelope) -> None:
        send_log_message(built[0], envelope)

    def on_change() -> None:
        built[0].published_changed.set()

    own = settings.box.address
    peers = Peers(
        identity=own_identity(settings.box, settings.cluster, PeerRole.CONTROL),
        own_address=own,
        link_port=settings.cluster.link_port,
        serve=serve,
    )
    node = _open_node(settings, send, on_change)
    state = RegistryState(settings=settings, node=node, peers=peers)
    state.quarantine_controller = build_quarantine_controller(state)
    state.rate_granter = build_rate_granter(state)
    state.table.heartbeat = settings.bounds.heartbeat_ms / 1000.0
    built.append(state)
    apply_published(state)
    return state


def _open_node(
    settings: RegistrySettings,
    send: Callable[[Envelope], None],
    on_change: Callable[[], None],
) -> ControlNode:
    folder, cluster, own = (
        settings.registry.data_folder,
        settings.cluster.name,
        settings.box.address,
    )
    seeds = seed_addresses(settings.cluster.seeds)
    identity = read_identity(folder, cluster=cluster, box=own)
    if identity is None:
        initial = settings.cluster.bootstrap and own in seeds
        identity = create_identity(folder, cluster=cluster, box=own, initial=initial)
        logger.info(
            "created a new identity", extra={"member": identity.member_id, "initial": initial}
        )
    voters: tuple[str, ...] = ()
    if identity.incarnation == INITIAL_INCARNATION:
        voters = tuple(sorted(member_id(seed, INITIAL_INCARNATION) for seed in seeds))
    election = settings.registry.election_seconds
    voter_count = 2 * settings.cluster.tolerated_losses + 1
    node = open_node(
        identity=identity,
        folder=folder,
        initial_members=raft.Members(voters=voters),
        timing=raft.Timing(
            heartbeat_interval=settings.registry.heartbeat_seconds,
            election_timeout=election,
            lease_duration=election * LEASE_SHARE,
        ),
        snapshot_entries=settings.registry.snapshot_entries,
        send=send,
        on_change=on_change,
        rng=random.Random(),
    )
    node.choose_members = lambda replica, applicants, now: next_voters(
        replica, applicants, now, wanted=voter_count, box_of=box_of
    )
    return node


def apply_published(state: RegistryState) -> None:
    """Decode a newly published document for the placement, and send it to the entry boxes."""
    published = state.node.state.published
    if published.version == state.sent_version:
        return
    state.sent_version = published.version
    decoded = decode_configuration(zlib.decompress(published.body))
    if isinstance(decoded, Success):
        state.configuration = decoded.unwrap()
    else:
        logger.error("published document is invalid", extra={"version": published.version})
    push_document(state)


async def watch_published(state: RegistryState) -> None:
    """Broadcast new documents and quarantined request contents until cancelled.

    A restart applies the whole log in one step, and only the last of its documents is sent: an
    entry box without a document must not put an outdated one in force.
    """
    while True:
        await state.published_changed.wait()
        state.published_changed = anyio.Event()
        broadcast_quarantine(quarantine_controller_of(state))
        apply_published(state)


async def _build_state_with_retry(settings: RegistrySettings) -> RegistryState:
    """Build the state; retry while the disk is full.

    Raises:
        StorageError: If the folder is unreadable or corrupt, or the disk fails otherwise.
    """
    while True:
        try:
            return build_state(settings)
        except StorageError as error:
            if error.problem.code is not ResultCode.DISK_FULL:
                raise
            logger.error("disk is full", extra={"detail": error.problem.detail})
        await anyio.sleep(START_RETRY_SECONDS)


async def run_registry(settings: RegistrySettings, path: Path) -> None:
    """Run a registry process until it receives a stop signal.

    Args:
        settings: Settings of the process.
        path: Settings file, from which the seeds are reloaded when it changes.

    Raises:
        StorageError: If the data folder is unreadable or corrupt, or the disk fails.
    """
    state = await _build_state_with_retry(settings)
    counters: Counter[str] = Counter()
    seeds = SeedList(path=path, seeds=settings.cluster.seeds)
    site = build_site(state, counters)
    link_address = f"{settings.box.address}:{settings.cluster.link_port}"

    async def on_accepted(link: Link) -> None:
        await serve_accepted_link(state, link)

    children = [
        Child(name="log", run=lambda: run_log(state.node), restart=Restart.NEVER),
        Child(
            name="links",
            run=lambda: serve_links(link_address, state.peers.identity, on_accepted),
            restart=Restart.ALWAYS,
        ),
        Child(name="http", run=lambda: serve_http1(settings.registry.address, site)),
        Child(
            name="peers",
            run=lambda: run_peers(state.peers, seeds),
            restart=Restart.ALWAYS,
        ),
        log_child(),
        metrics_child(
            f"{settings.box.address}:{settings.cluster.metrics_port}",
            lambda: metrics_lines(state, counters),
        ),
        Child(name="ages", run=lambda: broadcast_ages(state), restart=Restart.ALWAYS),
        Child(name="news", run=lambda: broadcast_updates(state), restart=Restart.ALWAYS),
        Child(name="loads", run=lambda: broadcast_loads(state), restart=Restart.ALWAYS),
        Child(name="demand", run=lambda: broadcast_demand(state), restart=Restart.ALWAYS),
        Child(name="newest", run=lambda: poll_leader(state), restart=Restart.ALWAYS),
        Child(name="publishing", run=lambda: watch_published(state), restart=Restart.ALWAYS),
        Child(
            name="quarantine",
            run=lambda: run_quarantine_controller(quarantine_controller_of(state)),
            restart=Restart.ALWAYS,
        ),
        Child(
            name="limits",
            run=lambda: run_limit_broadcasts(rate_granter_of(state)),
            restart=Restart.ALWAYS,
        ),
        Child(
            name="checking",
            run=lambda: run_liveness_checks(state),
            restart=Restart.ALWAYS,
        ),
        Child(name="placing", run=lambda: run_placement(state), restart=Restart.ALWAYS),
        Child(
            name="reload",
            run=lambda: reload_seeds(seeds, state.peers, load_registry_settings),
            restart=Restart.ALWAYS,
        ),
    ]
    async with anyio.create_task_group() as tasks:

        async def planned_stop() -> None:
            state.stopping = True
            site.stopping = True
            logger.info("planned stop", extra={"leads": state.node.replica.is_leader})
            # Imported here because it is needed once.
            from .departures import flush_registrations

            await flush_registrations(state)
            await _transfer_leadership(state.node)

        tasks.start_soon(on_stop_signal, planned_stop, tasks.cancel_scope)
        logger.info("registry starts", extra={"member": state.node.identity.member_id})
        await supervise(children, states=state.children)
    state.node.journal.close()
    logger.info("registry stopped")


async def _transfer_leadership(node: ControlNode) -> None:
    """Transfer the leadership to another member, and wait for it until a timeout."""
    # Imported here because it is needed once.
    from ..control.leadership_transfer import start_leadership_transfer

    if not node.replica.is_leader or not start_leadership_transfer(node):
        return
    with anyio.move_on_after(LEADERSHIP_TRANSFER_TIMEOUT_SECONDS):
        while node.replica.is_leader:
            await anyio.sleep(0.02)
