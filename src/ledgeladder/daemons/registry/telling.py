"""Broadcasts of a registry process: documents, registrations, heartbeat ages, peers and loads."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...coordination.hold_receipts import open_broadcast, record_departure
from ...coordination.loss_evidence import retain_engines
from ...coordination.registrations import drop_inactive, heartbeat_ages, reported_at
from ...coordination.upstream_order import (
    AGE_BYTES,
    LOAD_BYTES,
    apply_index_change,
    diff_index,
    pack_ages,
    pack_loads,
)
from ...links import post_to_all
from ...links.messages import (
    DocumentPush,
    IndexChangePush,
    LoadShare,
    LoadTotals,
    PeerHint,
    RegistrationAges,
    RegistrationUpdate,
)
from ...model.registration import UpstreamState
from ...routing.load_sharing import is_report_due, report_interval
from ...storage import box_of
from ..peers import add_peers
from .lending import update_voter_status
from .load_totals import count_entries, drop_expired_reports, local_loads, sum_loads

if TYPE_CHECKING:
    from ...coordination.upstream_order import UpstreamIndex
    from ...model.registration import Registration
    from .state import RegistryState

logger = logging.getLogger(__name__)

AGES_INTERVAL_SECONDS: Final = 1.0
"""Interval at which heartbeat ages are sent to other boxes, about one heartbeat."""

MAX_AGES_BYTES_PER_SECOND: Final = 2000.0
"""Bandwidth limit of ages on the link of an entry box. It is an eighth of the bandwidth for control
traffic, since each entry box has three links. With many upstreams, ages are sent less often."""

HINT_INTERVAL_SECONDS: Final = 5.0
"""Interval at which the peer hint is sent to entry boxes while it does not change. A new link gets
it immediately."""

MAX_HINTED_ENTRIES: Final = 16
"""Entry boxes that a peer hint names."""

MIN_UPDATE_INTERVAL_SECONDS: Final = 0.05
"""Minimum interval between two frames of registrations. Registrations that arrive within it share a
frame, since each frame goes over every link. Departures are acknowledged only after their frame has
been confirmed, so none is lost with this box."""

UPSTREAM_EXPIRY_SECONDS: Final = 12.0
"""An upstream is dropped if no control box has received a heartbeat for this long."""


def push_document(state: RegistryState) -> None:
    """Send the published document to the entry boxes that report their load to this box.

    Each entry box has links to further control boxes and reports to one of them, so it gets one
    copy instead of one per link. If the push is lost, its next version poll finds the newer
    document. Before any box has reported, as after a start, the document goes to all.
    """
    published = state.node.state.published
    push = DocumentPush(version=published.version, body=published.body)
    link_ids = state.loads or state.entry_links
    post_to_all(
        [state.entry_links[link_id] for link_id in link_ids if link_id in state.entry_links], push
    )


def broadcast_registration(
    state: RegistryState, registration: Registration, *, to_peers: bool
) -> None:
    """Send what the table holds of an instance: immediately, or batched after a recent update.

    Departures that another control box reported are sent to all of them again: it may have been
    lost before it reached the others. This ends once every box knows of the departure.

    Args:
        state: State of the process.
        registration: The registration that changed the table. A late heartbeat of an upstream that
            drains does not make it ready again, so the table is what counts.
        to_peers: True if it was received by this box and must be sent to the other control boxes.
    """
    now = anyio.current_time()
    instance = registration.instance
    known = state.table.known.get(instance)
    current = registration if known is None else known.registration
    if current.state is not UpstreamState.READY:
        record_departure(state.receipts, instance)
        to_peers = True
    seen_at = reported_at(state.table, instance, now)
    state.pending_updates.add(current, seen_at, to_peers=to_peers)
    if now - state.pending_updates.sent_at >= MIN_UPDATE_INTERVAL_SECONDS:
        send_pending_updates(state, now)
    else:
        state.pending_updates.wake.set()


def send_pending_updates(state: RegistryState, now: float) -> None:
    """Send all registrations that wait to be sent."""
    updates = state.pending_updates
    to_entries, to_peers = updates.pop_all(now)
    if to_entries:
        post_to_all(state.entry_links.values(), RegistrationUpdate(reported=to_entries))
    if to_peers:
        number = open_broadcast(state.receipts)
        update = RegistrationUpdate(reported=to_peers, number=number)
        post_to_all(state.peers.links.values(), update)


async def broadcast_updates(state: RegistryState) -> None:
    """Send the registrations that were batched after a recent update; runs until cancelled."""
    while True:
        await state.pending_updates.wake.wait()
        state.pending_updates.wake = anyio.Event()
        await anyio.sleep(
            max(
                0.0,
                state.pending_updates.sent_at + MIN_UPDATE_INTERVAL_SECONDS - anyio.current_time(),
            )
        )
        send_pending_updates(state, anyio.current_time())


def _update_index(state: RegistryState) -> UpstreamIndex:
    """Bring the upstream index up to date, and send its changes over all links.

    Ages and loads name upstreams by position in this index, so it must be sent before them.
    """
    change = diff_index(state.upstream_index, state.table.known)
    if change is not None:
        state.upstream_index = apply_index_change(state.upstream_index, change)
        links = [*state.peers.links.values(), *state.entry_links.values()]
        post_to_all(links, IndexChangePush(change=change))
    return state.upstream_index


def _known_controls(state: RegistryState) -> tuple[str, ...]:
    """Return the IP addresses of the log's members, of linked control boxes, and of this box."""
    members = {box_of(member) for member in state.node.replica.log.members.all_ids}
    return tuple(sorted(members | set(state.peers.links) | {state.peers.own_address}))


async def broadcast_ages(state: RegistryState) -> None:
    """Broadcast heartbeat ages and peer hints, and drop expired upstreams, until cancelled."""
    sent_hint: PeerHint | None = None
    hint_sent_at = 0.0
    ages_sent_at = float("-inf")
    while True:
        await anyio.sleep(AGES_INTERVAL_SECONDS)
        now = anyio.current_time()
        for instance in drop_inactive(state.table, now, UPSTREAM_EXPIRY_SECONDS):
            logger.warning(
                "upstream not heard",
                extra={"upstream": instance, "seconds": UPSTREAM_EXPIRY_SECONDS},
            )
        retain_engines(state.losses, set(state.table.known))
        add_peers(state.peers, _known_controls(state))
        update_voter_status(state)
        index = _update_index(state)
        message = RegistrationAges(
            index_number=index.number, ages=pack_ages(index, heartbeat_ages(state.table, now))
        )
        post_to_all(state.peers.links.values(), message)
        if now - ages_sent_at >= _ages_interval(len(index.instances)):
            post_to_all(state.entry_links.values(), message)
            ages_sent_at = now
        hint = build_peer_hint(state)
        # Keeps the links that other control boxes opened from timing out for inactivity.
        post_to_all(state.accepted_control_links.values(), hint)
        if hint != sent_hint or now - hint_sent_at >= HINT_INTERVAL_SECONDS:
            post_to_all(state.entry_links.values(), add_entries(state, hint))
            sent_hint, hint_sent_at = hint, now


def _ages_interval(upstreams: int) -> float:
    """Return the minimum interval between ages sent to an entry box, in seconds.

    It is a tenth shorter than the bandwidth limit requires; otherwise jitter of the loop would skip
    a round.
    """
    return 0.9 * max(AGES_INTERVAL_SECONDS, upstreams * AGE_BYTES / MAX_AGES_BYTES_PER_SECOND)


def build_peer_hint(state: RegistryState) -> PeerHint:
    """Return the known control boxes with their failure domains, and what this box can read."""
    domains = {state.peers.own_address: state.peers.identity.failure_domain}
    for link in state.accepted_control_links.values():
        if link.peer is not None:
            domains[link.peer_box] = link.peer.failure_domain
    return PeerHint(
        addresses=_known_controls(state), domains=domains, reads_demand=True, reads_parts=True
    )


def add_entries(state: RegistryState, hint: PeerHint) -> PeerHint:
    """Return a peer hint that also names some linked entry boxes, others each time."""
    linked = sorted({link.peer_box for link in state.entry_links.values()})
    named = random.sample(linked, min(len(linked), MAX_HINTED_ENTRIES))
    return msgspec.structs.replace(hint, entries=tuple(named))


async def broadcast_loads(state: RegistryState) -> None:
    """Broadcast the summed load on each upstream until cancelled.

    The entry boxes that report to this box get the load of all entry boxes; the other control boxes
    get the share of those that report to this box.
    """
    sent: tuple[bytes, bytes] = (b"", b"")
    sent_at = 0.0
    while True:
        message_bytes = LOAD_BYTES * len(state.upstream_index.instances)
        controls = len(state.peers.known) + 1
        await anyio.sleep(report_interval(count_entries(state), controls, message_bytes))
        now = anyio.current_time()
        drop_expired_reports(state, now)
        if not state.loads:
            continue
        index = _update_index(state)
        own = pack_loads(index, local_loads(state, now))
        sums = pack_loads(index, sum_loads(state, now))
        if not is_report_due((own, sums) != sent, now - sent_at):
            continue
        sent, sent_at = (own, sums), now
        share = LoadShare(index_number=index.number, loads=own, entries=len(state.loads))
        post_to_all(state.peers.links.values(), share)
        totals = LoadTotals(index_number=index.number, loads=sums)
        post_to_all((state.entry_links[link_id] for link_id in state.loads), totals)
