"""Links to control boxes: the published document, its freshness, registrations and load reports."""

from __future__ import annotations

import logging
import zlib
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure

from ...coordination.freshness import handle_reply, open_query
from ...coordination.upstream_order import (
    LoadFigures,
    UpstreamIndex,
    apply_index_change,
    unpack_ages,
    unpack_loads,
)
from ...links.messages import (
    DemandTotals,
    DocumentPull,
    DocumentPush,
    FullNotice,
    GrantReply,
    IndexChangePush,
    LoadReport,
    LoadTotals,
    LossUpdate,
    PeerHint,
    QuarantineUpdate,
    RateLimitUpdate,
    RegistrationAges,
    RegistrationUpdate,
    RetryQuotaReply,
    SuspectUpdate,
    UpstreamIndexPush,
    VersionQuery,
    VersionReply,
)
from ...model.registration import UpstreamState
from ...platform.configuration import decode_configuration
from ...routing.forwarding_table import (
    apply_peer_load,
    drop_upstream,
    other_instance,
    put_registration,
    record_exit,
    record_loss,
)
from ...routing.load_sharing import is_report_due, report_interval
from ...routing.route_index import build_index
from ...routing.upstream_reach import record_relay_peers
from ..limit_keeper import handle_limit_message
from ..peers import LINK_INACTIVITY_SECONDS, primary_of, record_hint
from ..supervisor import run_contained
from .borrowing import handle_quota_reply
from .crashes import handle_quarantine_update, handle_suspect_update
from .demand_reports import handle_demand_totals, report_demand
from .state import rate_limiter_of, record_entry_count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...links import Link
    from ...model.registration import Liveness
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

VERSION_POLL_SECONDS: Final = 1.0
"""Interval at which each linked control box is polled for the newest version. Well below the bound
within which a revoked key must stop working."""

UPSTREAM_EXPIRY_SECONDS: Final = 15.0
"""An upstream is dropped if no control box has received a heartbeat for this long."""

MAX_EXITED_INSTANCES: Final = 4096
"""Exited instances that are remembered, which prevents delayed updates from restoring them."""


async def serve_control_link(state: GatewayState, address: str, link: Link) -> None:
    """Serve the link to one control box.

    Args:
        state: State of the process.
        address: IP address of the control box.
        link: The link.
    """
    order = UpstreamIndex()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_poll_version, state, link)
        tasks.start_soon(_report_load, state, address, link)
        tasks.start_soon(report_demand, state, address, link)
        while True:
            with anyio.fail_after(LINK_INACTIVITY_SECONDS):
                message = await link.receive()
            match message:
                case VersionReply():
                    _handle_version_reply(state, link, message)
                case DocumentPush():
                    apply_document(state, message)
                case RegistrationUpdate():
                    apply_registrations(state, message.reported)
                case UpstreamIndexPush():
                    order = message.index
                case IndexChangePush():
                    order = apply_index_change(order, message.change)
                case RegistrationAges():
                    _apply_ages(state, unpack_ages(order, message.index_number, message.ages))
                case LossUpdate():
                    # Imported here because few boxes get one soon after their start.
                    from .loss_updates import confirm_loss, handle_loss_update

                    engine = handle_loss_update(state, message.instance)
                    if engine is not None:
                        tasks.start_soon(run_contained, confirm_loss, state, engine)
                case SuspectUpdate():
                    handle_suspect_update(state, message)
                case QuarantineUpdate():
                    handle_quarantine_update(state, message)
                case RetryQuotaReply():
                    handle_quota_reply(state, message)
                case RateLimitUpdate() | GrantReply():
                    handle_limit_message(rate_limiter_of(state), message)
                case LoadTotals():
                    _apply_load_totals(
                        state, unpack_loads(order, message.index_number, message.loads)
                    )
                case FullNotice():
                    # Imported here because few boxes get one soon after their start.
                    from .full_notices import handle_full_notice

                    handle_full_notice(state, message)
                case DemandTotals():
                    handle_demand_totals(state, message)
                case PeerHint():
                    record_relay_peers(
                        state.relay_peers,
                        message.entries,
                        state.settings.box.address,
                        anyio.current_time(),
                    )
                    if state.peers is not None:
                        record_hint(state.peers, address, message)
                case _:
                    logger.warning("message of the wrong kind", extra={"peer": address})


async def _poll_version(state: GatewayState, link: Link) -> None:
    """Request a control box's document once, then poll for the newest version until cancelled."""
    link.post(DocumentPull(version=state.version))
    while True:
        link.post(VersionQuery(call=open_query(state.freshness, anyio.current_time())))
        await anyio.sleep(VERSION_POLL_SECONDS)


async def _report_load(state: GatewayState, address: str, link: Link) -> None:
    """Report this box's load on each upstream to a control box; runs until cancelled.

    Reports are sent only while the control box is the preferred one. It adds up the reports of all
    entry boxes and forwards the totals to the other control boxes.
    """
    peers = state.peers
    assert peers is not None
    sent: LoadReport | None = None
    sent_at = 0.0
    while True:
        if primary_of(peers) != address:
            sent = None
        else:
            report = _build_load_report(state)
            now = anyio.current_time()
            if is_report_due(report != sent, now - sent_at):
                link.post(report)
                _record_reported(state)
                sent, sent_at = report, now
        await anyio.sleep(report_interval(state.entry_count, len(peers.known)))


def _build_load_report(state: GatewayState) -> LoadReport:
    return LoadReport(
        loads={
            instance: LoadFigures(item.in_flight, item.kv_reserved)
            for instance, item in state.table.upstreams.items()
            if item.in_flight
        }
    )


def _record_reported(state: GatewayState) -> None:
    """Record the reported load, which is subtracted from the totals that include it."""
    for item in state.table.upstreams.values():
        item.reported_in_flight, item.reported_kv = item.in_flight, item.kv_reserved


def _apply_load_totals(state: GatewayState, updates: Iterable[tuple[str, LoadFigures]]) -> None:
    """Apply the load totals of all entry boxes."""
    now = anyio.current_time()
    for instance, load in updates:
        item = state.table.upstreams.get(instance)
        if item is not None:
            apply_peer_load(item, load.in_flight, load.kv_reserved, now)


def _handle_version_reply(state: GatewayState, link: Link, reply: VersionReply) -> None:
    handle_reply(state.freshness, reply.call, reply.version, reply.age)
    record_entry_count(state, reply.entries, anyio.current_time())
    if reply.version > state.version:
        link.post(DocumentPull(version=state.version))


def apply_document(state: GatewayState, push: DocumentPush) -> None:
    """Apply a document if it is newer than the current one.

    Args:
        state: State of the process.
        push: The compressed document. If it cannot be decoded, an error is logged and the current
            document stays in use.
    """
    if push.version <= state.version:
        return
    decoded = decode_configuration(zlib.decompress(push.body))
    if isinstance(decoded, Failure):
        logger.error(
            "document could not be decoded",
            extra={"version": push.version, "detail": decoded.failure().detail},
        )
        return
    previous = state.version
    configuration = decoded.unwrap()
    state.index = build_index(configuration)
    state.configuration = configuration
    state.contended = frozenset(state.index.ranks)
    logger.info(
        "document applied",
        extra={"version": push.version, "before": previous, "routes": len(configuration.routes)},
    )


def apply_registrations(state: GatewayState, updates: tuple[Liveness, ...]) -> None:
    """Apply registrations of upstreams.

    Args:
        state: State of the process.
        updates: Registrations with their ages. Those that are not newer than the known ones are
            ignored; ages of unchanged registrations arrive as `RegistrationAges`.
    """
    now = anyio.current_time()
    for item in updates:
        registration = item.registration
        instance = registration.instance
        if instance in state.exited_instances:
            continue
        other = other_instance(state.table, registration)
        if other is not None and registration.state is not UpstreamState.EXITED:
            if other.registration.started_ms >= registration.started_ms:
                # A delayed registration of an earlier instance.
                continue
            _retire_instance(state, other, now)
        known = state.table.upstreams.get(instance)
        if registration.state is UpstreamState.EXITED:
            _record_exited(state, instance)
        elif known is not None and registration.sequence <= known.registration.sequence:
            continue
        put_registration(state.table, registration, now - item.age)
        if known is None or known.registration.state is not registration.state:
            logger.info(
                "upstream state changed",
                extra={
                    "upstream": instance,
                    "state": registration.state.value,
                    "sequence": registration.sequence,
                },
            )


def _retire_instance(state: GatewayState, upstream: ForwardedUpstream, now: float) -> None:
    """Drop an instance whose upstream has restarted, and interrupt the requests on it."""
    instance = upstream.registration.instance
    _record_exited(state, instance)
    record_exit(upstream, now)
    record_loss(upstream, now)
    drop_upstream(state.table, instance)
    logger.info("upstream restarted", extra={"upstream": instance})


def _record_exited(state: GatewayState, instance: str) -> None:
    state.exited_instances[instance] = None
    while len(state.exited_instances) > MAX_EXITED_INSTANCES:
        del state.exited_instances[next(iter(state.exited_instances))]


def _apply_ages(state: GatewayState, updates: Iterable[tuple[str, float]]) -> None:
    """Apply heartbeat ages, in seconds, and drop upstreams whose heartbeats have expired."""
    now = anyio.current_time()
    for instance, age in updates:
        known = state.table.upstreams.get(instance)
        if known is not None:
            known.last_seen_at = max(known.last_seen_at, now - age)
    expired = [
        instance
        for instance, known in state.table.upstreams.items()
        if now - known.last_seen_at > UPSTREAM_EXPIRY_SECONDS
    ]
    for instance in expired:
        drop_upstream(state.table, instance)
        logger.warning(
            "upstream not heard", extra={"upstream": instance, "seconds": UPSTREAM_EXPIRY_SECONDS}
        )
