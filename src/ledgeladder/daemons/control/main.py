"""The control process: one member of the replicated log, a link server and an operator server."""

from __future__ import annotations

import logging
import random
import secrets
from typing import TYPE_CHECKING

import anyio

from ...coordination import raft
from ...links import LinkIdentity, keep_link, serve_links
from ...links.messages import PeerRole
from ...storage import INITIAL_INCARNATION, create_identity, member_id, read_identity
from ..content_judge import run_quarantine_controller
from ..http import serve_http, upstream_client
from ..logs import log_child
from ..rate_lender import run_limit_broadcasts
from ..signals import on_stop_signal
from ..supervisor import Child, Restart, supervise
from .hub import (
    Hub,
    build_quarantine_controller,
    build_rate_granter,
    push_configuration,
    send_heads,
    send_to_member,
    serve_accepted_link,
)
from .hub import serve_peer_link as serve_peer
from .leadership_transfer import start_leadership_transfer
from .node import ControlNode, open_node, run_log
from .operator_api import build_operator_app
from .ordering import run_orders

if TYPE_CHECKING:
    from ...links import Link
    from ...settings import ControlPeer, ControlSettings

logger = logging.getLogger(__name__)

LEASE_FRACTION = 0.8
"""Lease as a fraction of the election timeout. The rest is a margin for clock drift."""

LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 2.0
"""How long a planned stop waits for the leadership transfer."""


def format_folder(settings: ControlSettings) -> None:
    """Create the data folder of a control box of a new cluster.

    Args:
        settings: Settings of the box.

    Raises:
        StorageError: If the folder is in use.
    """
    folder, cluster = settings.control.data_folder, settings.cluster.name
    create_identity(folder, cluster=cluster, box=settings.box.name, initial=True)


def build_node(settings: ControlSettings, hub: Hub) -> ControlNode:
    """Open the data folder and build the node.

    A box with an empty folder is new or has lost its disk. It gets a new identity and joins as a
    learner. Only `control format` creates an initial voter.

    Args:
        settings: Settings of the box.
        hub: Links of the box.

    Returns:
        The node.

    Raises:
        StorageError: If the folder is damaged or belongs to another box, or the disk fails.
    """
    folder = settings.control.data_folder
    cluster, box = settings.cluster.name, settings.box.name
    identity = read_identity(folder, cluster=cluster, box=box)
    if identity is None:
        identity = create_identity(folder, cluster=cluster, box=box, initial=False)
        logger.warning(
            "data folder is empty; joining as a learner", extra={"member": identity.member_id}
        )
    voters: tuple[str, ...] = ()
    if identity.incarnation == INITIAL_INCARNATION:
        voters = tuple(member_id(peer.name, INITIAL_INCARNATION) for peer in settings.controls)
    election = settings.control.election_seconds
    timing = raft.Timing(
        heartbeat_interval=settings.control.heartbeat_seconds,
        election_timeout=election,
        lease_duration=election * LEASE_FRACTION,
    )
    node = open_node(
        identity=identity,
        folder=folder,
        initial_members=raft.Members(voters=voters),
        timing=timing,
        snapshot_entries=settings.control.snapshot_entries,
        send=lambda envelope: send_to_member(hub, envelope),
        on_change=lambda: push_configuration(hub, node),
        rng=random.Random(),
    )
    return node


async def run_control(settings: ControlSettings) -> None:
    """Run a control process until it receives a stop signal.

    Args:
        settings: Settings of the box.

    Raises:
        StorageError: If the data folder is damaged or belongs to another box, or the disk fails.
    """
    hub = Hub()
    node = build_node(settings, hub)
    quarantine_controller = hub.quarantine_controller = build_quarantine_controller(hub, node)
    rate_granter = hub.rate_granter = build_rate_granter(hub, node)
    stop = anyio.Event()
    identity = LinkIdentity(
        cluster=settings.cluster.name,
        role=PeerRole.CONTROL,
        box=settings.box.name,
        failure_domain=settings.box.failure_domain,
        instance=secrets.token_hex(8),
        secret=settings.cluster.secret,
        source_address=settings.box.source_address,
    )
    own = next(peer for peer in settings.controls if peer.name == settings.box.name)
    others = [peer for peer in settings.controls if peer.name != settings.box.name]
    control_names = {peer.name for peer in settings.controls}
    link_address = settings.control.listen_link_address or own.link_address
    operator_address = settings.control.listen_operator_address or own.operator_address

    async def accepted(link: Link) -> None:
        await serve_accepted_link(hub, node, control_names, link)

    def link_child(peer: ControlPeer) -> Child:
        async def serve(link: Link) -> None:
            await serve_peer(hub, node, peer.name, link)

        rng = random.Random()
        return Child(
            name=f"link to {peer.name}",
            run=lambda: keep_link(peer.link_address, identity, serve, rng=rng),
            restart=Restart.ALWAYS,
        )

    client = upstream_client(settings.box.source_address)
    app = build_operator_app(settings, node, hub)
    children = [
        Child(name="log", run=lambda: run_log(node), restart=Restart.NEVER),
        Child(
            name="links",
            run=lambda: serve_links(link_address, identity, accepted),
            restart=Restart.ALWAYS,
        ),
        Child(name="operators", run=lambda: serve_http(app, operator_address, stop)),
        log_child(),
        Child(name="orders", run=lambda: run_orders(node, hub, client), restart=Restart.ALWAYS),
        Child(
            name="quarantine",
            run=lambda: run_quarantine_controller(quarantine_controller),
            restart=Restart.ALWAYS,
        ),
        Child(
            name="limits", run=lambda: run_limit_broadcasts(rate_granter), restart=Restart.ALWAYS
        ),
        Child(name="heads", run=lambda: send_heads(hub, node), restart=Restart.ALWAYS),
        *(link_child(peer) for peer in others),
    ]
    async with anyio.create_task_group() as tasks:

        async def planned_stop() -> None:
            await _transfer_leadership(node)
            stop.set()

        tasks.start_soon(on_stop_signal, planned_stop, tasks.cancel_scope)
        logger.info("control starts", extra={"member": node.identity.member_id})
        await supervise(children, states=hub.children)
    await client.aclose()
    node.journal.close()
    logger.info("control stopped")


async def _transfer_leadership(node: ControlNode) -> None:
    """Transfer the leadership to another member and wait for it until a timeout."""
    if not node.replica.is_leader or not start_leadership_transfer(node):
        return
    with anyio.move_on_after(LEADERSHIP_TRANSFER_TIMEOUT_SECONDS):
        while node.replica.is_leader:
            await anyio.sleep(0.02)
