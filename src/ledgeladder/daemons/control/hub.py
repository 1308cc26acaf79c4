"""Links of a control box to other control boxes and to the entry boxes that follow it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from returns.result import Success

from ...coordination.commands import ClaimCommand, CompleteCommand, ReleaseCommand
from ...coordination.raft import holds_lease
from ...coordination.rate_limit import LEADER_CONTACT_SECONDS
from ...coordination.rests import Backoffs
from ...coordination.state_machine import deltas_after
from ...links import post_to_all
from ...links.messages import (
    CommandReply,
    CommandRequest,
    ContentServed,
    CrashReport,
    DeltaPush,
    FullPush,
    GrantRequest,
    InForce,
    InForceReport,
    JoinRequest,
    LogMessage,
    OrderOutcome,
    PeerRole,
    Pull,
    RateLimitUpdate,
    TermQuery,
    TermReply,
    VersionHead,
)
from ...model import ResultCode, digest
from ...storage import box_of
from .. import clock
from ..clock import wall_clock_ms
from ..content_judge import (
    QuarantineController,
    broadcast_quarantine,
    handle_content_served,
    handle_crash_report,
    post_contents,
)
from ..rate_lender import RateGranter, apply_limits, handle_grant_request, limit_update
from ..supervisor import ChildState, run_contained
from .node import submit

if TYPE_CHECKING:
    from ...coordination.raft import Envelope
    from ...links import Link
    from ...links.messages import LinkMessage
    from .node import ControlNode

logger = logging.getLogger(__name__)

HEAD_INTERVAL_SECONDS: Final = 2.0
"""Interval at which followers receive the newest version, which recovers from lost pushes."""

JOIN_INTERVAL_SECONDS: Final = 0.5
"""Interval at which a box that is not a member requests to become one."""

ENTRY_COMMANDS: Final = (ClaimCommand, CompleteCommand, ReleaseCommand)
"""Commands that an entry box may request."""

REPORT_TTL_SECONDS: Final = 10.0
"""How long a box counts as connected after its last report."""


class KnownBox(msgspec.Struct, kw_only=True):
    """Last report of one entry box."""

    in_force: InForce
    """The report."""

    seen_at: float
    """When it was received, on the monotonic clock."""


class Hub(msgspec.Struct, kw_only=True):
    """All links of one control box."""

    peers: dict[str, Link] = msgspec.field(default_factory=dict)
    """Outgoing links to other control boxes, by box. They are only used for sending."""

    follower_links: dict[int, Link] = msgspec.field(default_factory=dict)
    """Links of entry boxes that follow this box's configuration, by `id()` of the link."""

    children: dict[str, ChildState] = msgspec.field(default_factory=dict)
    """States of the supervised tasks by name."""

    order_outcomes: list[OrderOutcome] = msgspec.field(default_factory=list)
    """Outcomes of orders that gates reported and that are not handled yet."""

    backoffs: Backoffs = msgspec.field(default_factory=Backoffs)
    """Back-off that engines requested from this box, by engine name."""

    boxes: dict[str, KnownBox] = msgspec.field(default_factory=dict)
    """Entry boxes by name, connected here or reported by another control box."""

    quarantine_controller: QuarantineController | None = None
    """Quarantines request contents that crash upstreams; None until the node is built."""

    rate_granter: RateGranter | None = None
    """Rate limits of upstreams, and this box's grants; None until the node is built."""

    local_boxes: dict[str, InForce] = msgspec.field(default_factory=dict)
    """Entry boxes connected here."""


def send_to_member(hub: Hub, envelope: Envelope) -> None:
    """Send a message of the replicated log to its target's box, or drop it if there is no link."""
    link = hub.peers.get(box_of(envelope.target))
    if link is not None:
        link.post(LogMessage(envelope=envelope))


def quarantine_controller_of(hub: Hub) -> QuarantineController:
    """Return the quarantine controller, which must have been built."""
    assert hub.quarantine_controller is not None
    return hub.quarantine_controller


def build_quarantine_controller(hub: Hub, node: ControlNode) -> QuarantineController:
    """Build the quarantine controller with the links of a control box.

    It counts each reported crash as confirmed: entry boxes report every crash under a unique
    instance name, and only if the upstream's address refused connections.
    """
    return QuarantineController(
        node=node,
        broadcast_to_entries=lambda message: post_to_all(hub.follower_links.values(), message),
        broadcast_to_peers=lambda message: post_to_all(hub.peers.values(), message),
        has_exited=lambda _instance: True,
    )


def rate_granter_of(hub: Hub) -> RateGranter:
    """Return the rate granter, which must have been built."""
    assert hub.rate_granter is not None
    return hub.rate_granter


def build_rate_granter(hub: Hub, node: ControlNode) -> RateGranter:
    """Build the rate granter with the links of a control box."""
    return RateGranter(
        parts=lambda: len(node.replica.log.members.voters),
        may_grant=lambda: _may_grant(node),
        broadcast_to_entries=lambda message: post_to_all(hub.follower_links.values(), message),
        broadcast_to_peers=lambda message: post_to_all(hub.peers.values(), message),
    )


def _may_grant(node: ControlNode) -> bool:
    """Return whether this box leads under a lease, or is a voter with recent leader contact."""
    replica = node.replica
    if replica.is_leader:
        return holds_lease(replica, clock.now())
    return replica.is_voter and clock.now() - replica.leader_last_seen_at <= LEADER_CONTACT_SECONDS


def push_configuration(hub: Hub, node: ControlNode) -> None:
    """Send the newest change and the quarantined contents to every follower."""
    if hub.quarantine_controller is not None:
        broadcast_quarantine(hub.quarantine_controller)
    for link in hub.follower_links.values():
        link.post(DeltaPush(deltas=tuple(node.state.deltas[-1:])))


async def send_heads(hub: Hub, node: ControlNode) -> None:
    """Send the newest version to followers, and their reported versions to other control boxes.

    Runs until cancelled.
    """
    last_configuration, last_digest = None, b""
    while True:
        await anyio.sleep(HEAD_INTERVAL_SECONDS)
        configuration = node.state.configuration
        if configuration is not last_configuration:
            last_configuration, last_digest = configuration, digest(configuration)
        head = VersionHead(version=configuration.version, digest=last_digest)
        for link in hub.follower_links.values():
            link.post(head)
        report = InForceReport(boxes=tuple(hub.local_boxes.values()))
        for link in hub.peers.values():
            link.post(report)


async def serve_peer_link(hub: Hub, node: ControlNode, box: str, link: Link) -> None:
    """Serve an outgoing link to another control box, and request membership over it if needed."""
    hub.peers[box] = link
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_request_membership, node, link)
            while True:
                await link.receive()
    finally:
        if hub.peers.get(box) is link:
            del hub.peers[box]


async def _request_membership(node: ControlNode, link: Link) -> None:
    while True:
        if node.replica.member_id not in node.replica.log.members.all_ids:
            link.post(JoinRequest(member_id=node.replica.member_id))
        await anyio.sleep(JOIN_INTERVAL_SECONDS)


async def serve_accepted_link(
    hub: Hub, node: ControlNode, control_names: set[str], link: Link
) -> None:
    """Serve a link that another process opened, until it closes.

    Args:
        hub: The links.
        node: The node.
        control_names: Names of the cluster's control boxes.
        link: The link.
    """
    async with anyio.create_task_group() as tasks:
        try:
            while True:
                message = await link.receive()
                if isinstance(message, CommandRequest):
                    tasks.start_soon(run_contained, _handle_command_request, node, link, message)
                else:
                    _handle_message(hub, node, control_names, link, message)
        finally:
            _remove_link(hub, link)


def _handle_message(
    hub: Hub, node: ControlNode, control_names: set[str], link: Link, message: LinkMessage
) -> None:
    from_control = link.peer is not None and link.peer.role is PeerRole.CONTROL
    match message:
        case LogMessage() if from_control:
            receive_log_message(node, message)
        case JoinRequest() if from_control and box_of(message.member_id) in control_names:
            if box_of(message.member_id) == link.peer_box:
                node.record_applicant(message.member_id)
        case InForceReport() if from_control:
            _record_boxes(hub, message.boxes)
        case CrashReport():
            handle_crash_report(quarantine_controller_of(hub), message, to_peers=not from_control)
        case ContentServed():
            handle_content_served(quarantine_controller_of(hub), message, to_peers=not from_control)
        case RateLimitUpdate():
            apply_limits(rate_granter_of(hub), message.limits, to_peers=not from_control)
        case GrantRequest():
            handle_grant_request(rate_granter_of(hub), link, message)
        case Pull():
            _handle_pull(hub, node, link, message)
        case TermQuery():
            _handle_term_query(node, link, message)
        case OrderOutcome():
            hub.order_outcomes.append(message)
        case InForce() if message.box == link.peer_box:
            _handle_in_force(hub, message)
        case _:
            logger.warning("message of the wrong kind", extra={"peer": link.peer_box})


def receive_log_message(node: ControlNode, message: LogMessage) -> None:
    """Pass a message of the replicated log to the node."""
    node.receive(message.envelope)


def _handle_in_force(hub: Hub, in_force: InForce) -> None:
    changed = hub.local_boxes.get(in_force.box) != in_force
    hub.local_boxes[in_force.box] = in_force
    _record_boxes(hub, (in_force,))
    if changed:
        # Reported without delay: an operator may be waiting for the change to arrive.
        for peer in hub.peers.values():
            peer.post(InForceReport(boxes=(in_force,)))


def _record_boxes(hub: Hub, boxes: tuple[InForce, ...]) -> None:
    now = anyio.current_time()
    for in_force in boxes:
        hub.boxes[in_force.box] = KnownBox(in_force=in_force, seen_at=now)


def _handle_pull(hub: Hub, node: ControlNode, link: Link, pull: Pull) -> None:
    if id(link) not in hub.follower_links:
        post_contents(quarantine_controller_of(hub), link)
        link.post(limit_update(rate_granter_of(hub)))
    hub.follower_links[id(link)] = link
    deltas = None if pull.full else deltas_after(node.state, pull.version)
    if deltas is None:
        link.post(FullPush(configuration=node.state.configuration))
    else:
        link.post(DeltaPush(deltas=tuple(deltas)))


def _handle_term_query(node: ControlNode, link: Link, query: TermQuery) -> None:
    replica = node.replica
    reply = TermReply(
        call=query.call,
        term=replica.term,
        voters=len(replica.log.members.voters),
        is_voter=replica.is_voter,
    )
    link.post(reply)


def _remove_link(hub: Hub, link: Link) -> None:
    hub.follower_links.pop(id(link), None)
    hub.local_boxes.pop(link.peer_box, None)


async def _handle_command_request(node: ControlNode, link: Link, request: CommandRequest) -> None:
    if not isinstance(request.command, ENTRY_COMMANDS):
        # Changes and orders originate from operators and the leader, never from a link.
        logger.warning("command refused", extra={"peer": link.peer_box})
        reply = CommandReply(call=request.call, result=None, code=ResultCode.FRAME_INVALID)
        link.post(reply)
        return
    # Uses the leader's clock: an entry box with a wrong clock must not expire keys.
    command = msgspec.structs.replace(request.command, time_ms=wall_clock_ms())
    outcome = await submit(node, command)
    if isinstance(outcome, Success):
        link.post(CommandReply(call=request.call, result=outcome.unwrap()))
        return
    code = outcome.failure().code
    leader = node.leader_box if code is ResultCode.NOT_LEADER else ""
    link.post(CommandReply(call=request.call, result=None, code=code, leader=leader))


def connected_boxes(hub: Hub, now: float) -> dict[str, InForce]:
    """Return the newest report of each entry box connected to any control box."""
    return {
        name: known.in_force
        for name, known in hub.boxes.items()
        if known.seen_at > now - REPORT_TTL_SECONDS
    }
