"""Following control boxes: the published document, its freshness, and registrations."""

from __future__ import annotations

import logging
import zlib
from typing import TYPE_CHECKING, Final

import anyio
from returns.result import Failure

from ...coordination.freshness import ask, take_answer
from ...coordination.upstream_order import (
    LoadFigures,
    UpstreamOrder,
    apply_change,
    unpack_ages,
    unpack_loads,
)
from ...links.messages import (
    ChangedOrder,
    DocumentPull,
    DocumentPush,
    GrantReply,
    LoadReport,
    LoadTotals,
    LoanReply,
    LossNews,
    OrderOfUpstreams,
    PeerHint,
    QuarantineNews,
    RateLimitNews,
    RegistrationAges,
    RegistrationNews,
    SuspectNews,
    VersionQuery,
    VersionReply,
)
from ...model.registration import UpstreamState
from ...platform.configuration import decode_configuration
from ...routing.forwarding_table import (
    drop_upstream,
    note_ended,
    note_lost,
    other_run,
    put_registration,
    take_others,
)
from ...routing.load_sharing import is_report_due, load_interval
from ...routing.route_index import build_index
from ..limit_keeper import take_limit_message
from ..peers import SILENCE_SECONDS, add_peers, primary_of
from .borrowing import handle_quota_reply
from .crashes import handle_quarantine_update, handle_suspect_update
from .loss_updates import confirm_loss, handle_loss_update
from .state import limit_keeper_of, record_entry_count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...links import Link
    from ...model.registration import Liveness
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

VERSION_POLL_SECONDS: Final = 1.0
"""How often each linked control box is asked for the newest version: three of them answer a dozen
times within the bound after which a key that was taken away must not work."""

UPSTREAM_EXPIRY_SECONDS: Final = 15.0
"""An upstream that no control box has heard for this long is dropped here too."""

MAX_EXITED_INSTANCES: Final = 4096
"""Runs of ended upstreams that are remembered, so that late news does not bring one back."""


async def serve_control_link(state: GatewayState, address: str, link: Link) -> None:
    """Serve the link to one control box.

    Args:
        state: The process's state.
        address: IP number of the control box.
        link: The link.
    """
    order = UpstreamOrder()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_poll_version, state, link)
        tasks.start_soon(_report_load, state, address, link)
        while True:
            with anyio.fail_after(SILENCE_SECONDS):
                message = await link.receive()
            match message:
                case VersionReply():
                    _handle_version_reply(state, link, message)
                case DocumentPush():
                    apply_document(state, message)
                case RegistrationNews():
                    apply_registrations(state, message.told)
                case OrderOfUpstreams():
                    order = message.order
                case ChangedOrder():
                    order = apply_change(order, message.change)
                case RegistrationAges():
                    _apply_ages(state, unpack_ages(order, message.order, message.ages))
                case LossNews():
                    engine = handle_loss_update(state, message.instance)
                    if engine is not None:
                        tasks.start_soon(confirm_loss, state, engine)
                case SuspectNews():
                    handle_suspect_update(state, message)
                case QuarantineNews():
                    handle_quarantine_update(state, message)
                case LoanReply():
                    handle_quota_reply(state, message)
                case RateLimitNews() | GrantReply():
                    take_limit_message(limit_keeper_of(state), message)
                case LoadTotals():
                    _apply_load_totals(state, unpack_loads(order, message.order, message.loads))
                case PeerHint():
                    if state.peers is not None:
                        add_peers(state.peers, message.addresses, message.domains)
                case _:
                    logger.warning("message of the wrong kind", extra={"peer": address})


async def _poll_version(state: GatewayState, link: Link) -> None:
    """Ask a control box for its document once and for the newest version again and again."""
    link.post(DocumentPull(version=state.version))
    while True:
        link.post(VersionQuery(call=ask(state.freshness, anyio.current_time())))
        await anyio.sleep(VERSION_POLL_SECONDS)


async def _report_load(state: GatewayState, address: str, link: Link) -> None:
    """Tell one control box what the own requests take on each upstream, for ever.

    Only the preferred one is told; it adds up what it was told and passes the sum on to the others.
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
        await anyio.sleep(load_interval(state.entry_count, len(peers.known)))


def _build_load_report(state: GatewayState) -> LoadReport:
    return LoadReport(
        loads={
            instance: LoadFigures(item.in_flight, item.kv_reserved)
            for instance, item in state.table.upstreams.items()
            if item.in_flight
        }
    )


def _record_reported(state: GatewayState) -> None:
    """Note that a report has been sent: the sums that come back contain these own loads."""
    for item in state.table.upstreams.values():
        item.reported_in_flight, item.reported_kv = item.in_flight, item.kv_reserved


def _apply_load_totals(state: GatewayState, updates: Iterable[tuple[str, LoadFigures]]) -> None:
    """Take in the load of all entry boxes."""
    now = anyio.current_time()
    for instance, load in updates:
        item = state.table.upstreams.get(instance)
        if item is not None:
            take_others(item, load.in_flight, load.kv_reserved, now)


def _handle_version_reply(state: GatewayState, link: Link, reply: VersionReply) -> None:
    take_answer(state.freshness, reply.call, reply.version, reply.age)
    record_entry_count(state, reply.entries, anyio.current_time())
    if reply.version > state.version:
        link.post(DocumentPull(version=state.version))


def apply_document(state: GatewayState, push: DocumentPush) -> None:
    """Put a document in force if it is newer than the one that is.

    Args:
        state: The process's state.
        push: The document, compressed. One that cannot be decoded is logged and changes nothing.
    """
    if push.version <= state.version:
        return
    decoded = decode_configuration(zlib.decompress(push.body))
    if isinstance(decoded, Failure):
        logger.error(
            "document unreadable",
            extra={"version": push.version, "detail": decoded.failure().detail},
        )
        return
    before = state.version
    configuration = decoded.unwrap()
    state.index = build_index(configuration)
    state.configuration = configuration
    logger.info(
        "document in force",
        extra={"version": push.version, "before": before, "routes": len(configuration.routes)},
    )


def apply_registrations(state: GatewayState, updates: tuple[Liveness, ...]) -> None:
    """Take in what upstreams said of themselves.

    Args:
        state: The process's state.
        updates: Registrations with their ages. One that is not newer than what is known is passed
            over; ages alone come with `RegistrationAges`.
    """
    now = anyio.current_time()
    for item in updates:
        registration = item.registration
        instance = registration.instance
        if instance in state.exited_instances:
            continue
        other = other_run(state.table, registration)
        if other is not None and registration.state is not UpstreamState.GONE:
            if other.registration.born_ms >= registration.born_ms:
                # A late word of an earlier run.
                continue
            _retire_instance(state, other, now)
        known = state.table.upstreams.get(instance)
        if registration.state is UpstreamState.GONE:
            _record_exited(state, instance)
        elif known is not None and registration.sequence <= known.registration.sequence:
            continue
        put_registration(state.table, registration, now - item.age)
        if known is None or known.registration.state is not registration.state:
            logger.info(
                "upstream known",
                extra={
                    "upstream": instance,
                    "state": registration.state.value,
                    "sequence": registration.sequence,
                },
            )


def _retire_instance(state: GatewayState, upstream: ForwardedUpstream, now: float) -> None:
    """Take in that an upstream runs anew: the run before has ended, with all that was on it."""
    instance = upstream.registration.instance
    _record_exited(state, instance)
    note_ended(upstream, now)
    note_lost(upstream, now)
    drop_upstream(state.table, instance)
    logger.info("upstream runs anew", extra={"upstream": instance})


def _record_exited(state: GatewayState, instance: str) -> None:
    state.exited_instances[instance] = None
    while len(state.exited_instances) > MAX_EXITED_INSTANCES:
        del state.exited_instances[next(iter(state.exited_instances))]


def _apply_ages(state: GatewayState, updates: Iterable[tuple[str, float]]) -> None:
    """Note when upstreams were last heard, in seconds before now, and drop the silent ones."""
    now = anyio.current_time()
    for instance, age in updates:
        known = state.table.upstreams.get(instance)
        if known is not None:
            known.heard_at = max(known.heard_at, now - age)
    expired = [
        instance
        for instance, known in state.table.upstreams.items()
        if now - known.heard_at > UPSTREAM_EXPIRY_SECONDS
    ]
    for instance in expired:
        drop_upstream(state.table, instance)
        logger.warning(
            "upstream not heard", extra={"upstream": instance, "seconds": UPSTREAM_EXPIRY_SECONDS}
        )
