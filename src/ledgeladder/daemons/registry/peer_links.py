"""Serves the links of a registry process to other control boxes and to entry boxes.

Periodic messages are sent by `telling`.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.engine_orders import record_reported_order
from ...coordination.hold_receipts import forget_box, open_broadcast, record_receipt
from ...coordination.loss_evidence import record_report, should_broadcast
from ...coordination.registrations import list_liveness, merge_ages, merge_liveness
from ...coordination.upstream_order import (
    UpstreamIndex,
    apply_index_change,
    unpack_ages,
    unpack_loads,
)
from ...links import post_to_all
from ...links.messages import (
    CommandReply,
    CommandRequest,
    ContentServed,
    CrashReport,
    DemandReport,
    DemandShare,
    DocumentPull,
    DocumentPush,
    FullNotice,
    FullReport,
    GrantRequest,
    HoldReceipt,
    IndexChangePush,
    JoinRequest,
    LoadReport,
    LoadShare,
    LogMessage,
    LossReport,
    LossUpdate,
    OrderUpdate,
    PeerHint,
    PeerRole,
    RateLimitUpdate,
    RegistrationAges,
    RegistrationUpdate,
    RetryQuotaRequest,
    UpstreamIndexPush,
    VersionQuery,
    VersionReply,
)
from ...storage import box_of
from .. import clock
from ..content_judge import handle_content_served, handle_crash_report, post_contents
from ..peers import LINK_INACTIVITY_SECONDS, add_peers, record_hint
from ..rate_lender import apply_limits, handle_grant_request, limit_update
from ..supervisor import run_contained
from .demand_totals import forget_demand, record_demand_report, record_demand_share
from .full_notices import handle_full_notice, handle_full_report
from .lending import handle_quota_request
from .published_version import (
    handle_command_reply,
    handle_command_request,
    handle_version_query,
    handle_version_reply,
)
from .state import ReportedLoad, ReportedShare, quarantine_controller_of, rate_granter_of
from .telling import add_entries, broadcast_registration, build_peer_hint
from .upstream_ends import begin_due_checks

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from ...coordination.raft import Envelope
    from ...links import Link
    from ...links.messages import LinkMessage
    from .state import RegistryState

logger = logging.getLogger(__name__)

JOIN_INTERVAL_SECONDS: Final = 0.3
"""Interval at which a box that is not a member of the log requests membership."""

LEADER_INACTIVITY_SECONDS: Final = 1.5
"""A member without contact to a leader for this long may have been removed from the log, and
requests membership again."""


def send_log_message(state: RegistryState, envelope: Envelope) -> None:
    """Send a message of the replicated log to its target's box, or drop it if there is no link."""
    link = state.peers.links.get(box_of(envelope.target))
    if link is not None:
        link.post(LogMessage(envelope=envelope))


async def serve_control_link(state: RegistryState, address: str, link: Link) -> None:
    """Serve a link that this box opened to another control box.

    Args:
        state: State of the process.
        address: IP address of the other box.
        link: The link.
    """
    known = list_liveness(state.table, anyio.current_time())
    link.post(RegistrationUpdate(reported=known, number=open_broadcast(state.receipts)))
    link.post(UpstreamIndexPush(index=state.upstream_index))
    link.post(build_peer_hint(state))
    try:
        await _receive_from_control(state, address, link)
    finally:
        forget_box(state.receipts, address)
        # Waiting departures may be left with too few links.
        state.receipt_arrived.set()


async def _receive_from_control(state: RegistryState, address: str, link: Link) -> None:
    """Handle what another control box sends on a link that this box opened."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_request_membership, state, link)
        while True:
            with anyio.fail_after(LINK_INACTIVITY_SECONDS):
                message = await link.receive()
            match message:
                case HoldReceipt():
                    record_receipt(state.receipts, address, message.number)
                    state.receipt_arrived.set()
                case VersionReply():
                    handle_version_reply(state, message)
                case CommandReply():
                    handle_command_reply(state, message)
                case PeerHint():
                    record_hint(state.peers, address, message)
                case _:
                    logger.warning("message of the wrong kind", extra={"peer": address})


async def _request_membership(state: RegistryState, link: Link) -> None:
    """Request membership while this box is not a member or has no leader; runs until cancelled."""
    replica = state.node.replica
    while True:
        has_leader = clock.now() - replica.leader_last_seen_at < LEADER_INACTIVITY_SECONDS
        is_member = replica.member_id in replica.log.members.all_ids
        if not replica.is_leader and not (is_member and has_leader):
            link.post(JoinRequest(member_id=replica.member_id))
        await anyio.sleep(JOIN_INTERVAL_SECONDS)


async def serve_accepted_link(state: RegistryState, link: Link) -> None:
    """Serve a link that another process opened.

    Args:
        state: State of the process.
        link: The link.
    """
    is_control = link.peer is not None and link.peer.role is PeerRole.CONTROL
    if is_control:
        add_peers(state.peers, [link.peer_box])
        state.accepted_control_links[id(link)] = link
    else:
        state.entry_links[id(link)] = link
        link.post(RegistrationUpdate(reported=list_liveness(state.table, anyio.current_time())))
        link.post(UpstreamIndexPush(index=state.upstream_index))
        post_contents(quarantine_controller_of(state), link)
        link.post(limit_update(rate_granter_of(state)))
    hint = build_peer_hint(state)
    link.post(hint if is_control else add_entries(state, hint))
    async with anyio.create_task_group() as tasks:
        try:
            while True:
                with anyio.fail_after(LINK_INACTIVITY_SECONDS):
                    message = await link.receive()
                _handle_message(state, tasks, link, message, is_control=is_control)
        finally:
            state.entry_links.pop(id(link), None)
            state.loads.pop(id(link), None)
            state.accepted_control_links.pop(id(link), None)
            state.shares.pop(id(link), None)
            state.peer_indexes.pop(id(link), None)
            state.pending_queries.pop(id(link), None)
            forget_demand(state, link)


def _handle_message(
    state: RegistryState, tasks: TaskGroup, link: Link, message: LinkMessage, *, is_control: bool
) -> None:
    """Handle a message; those of the log, registrations and hints only from control boxes."""
    match message:
        case LogMessage() if is_control:
            state.node.receive(message.envelope)
        case JoinRequest() if is_control and box_of(message.member_id) == link.peer_box:
            state.node.record_applicant(message.member_id)
        case CommandRequest() if is_control:
            tasks.start_soon(run_contained, handle_command_request, state, link, message)
        case RegistrationUpdate() if is_control:
            for registration in merge_liveness(state.table, message.reported, anyio.current_time()):
                broadcast_registration(state, registration, to_peers=False)
            if message.number:
                link.post(HoldReceipt(number=message.number))
        case UpstreamIndexPush() if is_control:
            state.peer_indexes[id(link)] = message.index
        case IndexChangePush() if is_control:
            state.peer_indexes[id(link)] = apply_index_change(
                _peer_index(state, link), message.change
            )
        case RegistrationAges() if is_control:
            ages = unpack_ages(_peer_index(state, link), message.index_number, message.ages)
            merge_ages(state.table, ages, anyio.current_time())
        case PeerHint() if is_control:
            add_peers(state.peers, message.addresses, message.domains)
        case LoadReport():
            state.loads[id(link)] = ReportedLoad(
                loads=message.loads, reported_at=anyio.current_time()
            )
        case LoadShare() if is_control:
            loads = unpack_loads(_peer_index(state, link), message.index_number, message.loads)
            state.shares[id(link)] = ReportedShare(
                loads=dict(loads),
                entries=message.entries,
                reported_at=anyio.current_time(),
            )
        case DemandReport() if not is_control:
            record_demand_report(state, link, message, anyio.current_time())
        case DemandShare() if is_control:
            record_demand_share(state, link, message, anyio.current_time())
        case OrderUpdate() if is_control:
            record_reported_order(
                state.order_ledger,
                message.instance,
                message.holding,
                message.load_seconds,
                anyio.current_time(),
            )
        case RetryQuotaRequest():
            handle_quota_request(state, link, message)
        case RateLimitUpdate():
            apply_limits(rate_granter_of(state), message.limits, to_peers=not is_control)
        case GrantRequest():
            handle_grant_request(rate_granter_of(state), link, message)
        case CrashReport():
            handle_crash_report(quarantine_controller_of(state), message, to_peers=not is_control)
        case ContentServed():
            handle_content_served(quarantine_controller_of(state), message, to_peers=not is_control)
        case FullReport() if not is_control:
            handle_full_report(state, link, message)
        case FullNotice() if is_control:
            handle_full_notice(state, message)
        case LossReport():
            _handle_loss_report(state, link, message.instance)
        case VersionQuery():
            handle_version_query(state, link, message)
        case DocumentPull():
            published = state.node.state.published
            if published.version > message.version:
                link.post(DocumentPush(version=published.version, body=published.body))
        case _:
            logger.warning("message of the wrong kind", extra={"peer": link.peer_box})


def _peer_index(state: RegistryState, link: Link) -> UpstreamIndex:
    """Return the index by which a control box names upstreams in its ages and loads."""
    return state.peer_indexes.get(id(link), UpstreamIndex())


def _handle_loss_report(state: RegistryState, link: Link, instance: str) -> None:
    """Record that an entry box found an engine unreachable; broadcast the loss once confirmed."""
    known = state.table.known.get(instance)
    if known is None or link.peer is None:
        return
    now = anyio.current_time()
    record_report(state.losses, instance, link.peer_box, link.peer.failure_domain, now)
    begin_due_checks(state, [instance])
    domain = known.registration.failure_domain
    if not should_broadcast(state.losses, instance, domain, known.last_seen_at, now):
        return
    logger.warning(
        "engine lost",
        extra={
            "upstream": instance,
            "witnesses": len(state.losses.reports[instance]),
            "heard_before": round(now - known.last_seen_at, 3),
        },
    )
    post_to_all(state.entry_links.values(), LossUpdate(instance=instance))
