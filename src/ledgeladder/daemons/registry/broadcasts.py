"""What a registry process tells on its links again and again, and when there is news."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.loss_evidence import retain_engines
from ...coordination.registrations import drop_inactive, heartbeat_ages
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
    ChangedOrder,
    DocumentPush,
    LoadShare,
    LoadTotals,
    PeerHint,
    RegistrationAges,
    RegistrationNews,
)
from ...routing.load_sharing import is_report_due, load_interval
from ...storage import box_of
from ..peers import add_peers
from .load_totals import count_entries, drop_expired_reports, local_loads, sum_loads
from .quota_grants import update_voter_status

if TYPE_CHECKING:
    from ...coordination.upstream_order import UpstreamIndex
    from ...model.registration import Registration
    from .state import RegistryState

logger = logging.getLogger(__name__)

AGES_INTERVAL_SECONDS: Final = 1.0
"""How often other boxes are told when each upstream was last heard, about one heartbeat."""

MAX_AGES_BYTES_PER_SECOND: Final = 2000.0
"""Bytes of ages on one link of an entry box a second at most: an eighth of what control may take,
on each of three links. 3,000 upstreams are told every 3 s by each of three control boxes."""

HINT_INTERVAL_SECONDS: Final = 5.0
"""How often entry boxes are told who serves control while that does not change. One that has just
connected is told at once."""

MIN_UPDATE_INTERVAL_SECONDS: Final = 0.05
"""Least time between two frames of news. Upstreams that register together are told together, since
each frame goes over every link. Those that leave are told in time to get nothing new: they serve on
for seconds."""

UPSTREAM_EXPIRY_SECONDS: Final = 12.0
"""An upstream that nobody heard for this long, ten heartbeats, is dropped."""


def push_document(state: RegistryState) -> None:
    """Send the published document to the entry boxes that report their load here.

    Each of them has links to two further control boxes, and learns there within a second that there
    is a newer one if this push does not arrive. Pushed over all links, documents were three fifths
    of the bytes between failure domains where two dozen came in half a minute. Before anybody has
    reported, as after a start, all are sent it.
    """
    published = state.node.state.published
    push = DocumentPush(version=published.version, body=published.body)
    numbers = state.loads or state.entry_links
    post_to_all(
        [state.entry_links[number] for number in numbers if number in state.entry_links], push
    )


def broadcast_registration(
    state: RegistryState, registration: Registration, *, to_peers: bool
) -> None:
    """Tell others what an upstream has just said: at once, or with what comes right after it.

    Args:
        state: The process's state.
        registration: The news.
        to_peers: True if it was heard here, so that the other control boxes must be told.
    """
    now = anyio.current_time()
    state.pending_updates.add(registration, now, to_peers=to_peers)
    if now - state.pending_updates.sent_at >= MIN_UPDATE_INTERVAL_SECONDS:
        _send_pending_updates(state, now)
    else:
        state.pending_updates.wake.set()


def _send_pending_updates(state: RegistryState, now: float) -> None:
    news = state.pending_updates
    told, to_peers = news.pop_all(now)
    if told:
        post_to_all(state.entry_links.values(), RegistrationNews(told=told))
    if to_peers:
        post_to_all(state.peers.links.values(), RegistrationNews(told=to_peers))


async def broadcast_updates(state: RegistryState) -> None:
    """Tell what upstreams said too soon after the news before it, for ever."""
    while True:
        await state.pending_updates.wake.wait()
        state.pending_updates.wake = anyio.Event()
        await anyio.sleep(
            max(
                0.0,
                state.pending_updates.sent_at + MIN_UPDATE_INTERVAL_SECONDS - anyio.current_time(),
            )
        )
        _send_pending_updates(state, anyio.current_time())


def _update_index(state: RegistryState) -> UpstreamIndex:
    """Bring the own order up to date, and tell all who are told figures what changed in it."""
    change = diff_index(state.upstream_index, state.table.known)
    if change is not None:
        state.upstream_index = apply_index_change(state.upstream_index, change)
        links = [*state.peers.links.values(), *state.entry_links.values()]
        post_to_all(links, ChangedOrder(change=change))
    return state.upstream_index


def _known_controls(state: RegistryState) -> tuple[str, ...]:
    """Return the IP numbers of the log's members, of the boxes with a link up, and of this one."""
    members = {box_of(member) for member in state.node.replica.log.members.everyone}
    return tuple(sorted(members | set(state.peers.links) | {state.peers.own_address}))


async def broadcast_ages(state: RegistryState) -> None:
    """Tell others when upstreams were last heard and who serves control, for ever."""
    hinted: PeerHint | None = None
    hinted_at = 0.0
    entries_told_at = float("-inf")
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
        order = _update_index(state)
        told = RegistrationAges(
            order=order.number, ages=pack_ages(order, heartbeat_ages(state.table, now))
        )
        post_to_all(state.peers.links.values(), told)
        if now - entries_told_at >= _ages_interval(len(order.instances)):
            post_to_all(state.entry_links.values(), told)
            entries_told_at = now
        hint = build_peer_hint(state)
        # Other control boxes may hear nothing else on the links that they opened.
        post_to_all(state.accepted_control_links.values(), hint)
        if hint != hinted or now - hinted_at >= HINT_INTERVAL_SECONDS:
            post_to_all(state.entry_links.values(), hint)
            hinted, hinted_at = hint, now


def _ages_interval(upstreams: int) -> float:
    """Return how often an entry box is told ages, in seconds.

    A tenth less than it takes, so that a round that begins late is not left out.
    """
    return 0.9 * max(AGES_INTERVAL_SECONDS, upstreams * AGE_BYTES / MAX_AGES_BYTES_PER_SECOND)


def build_peer_hint(state: RegistryState) -> PeerHint:
    """Return the control boxes that are known, with their failure domains."""
    domains = {state.peers.own_address: state.peers.identity.failure_domain}
    for link in state.accepted_control_links.values():
        if link.peer is not None:
            domains[link.peer_box] = link.peer.failure_domain
    return PeerHint(addresses=_known_controls(state), domains=domains)


async def broadcast_loads(state: RegistryState) -> None:
    """Tell entry boxes what the requests of all of them take on each upstream, for ever.

    The other control boxes are told the share of those that report here.
    """
    told: tuple[bytes, bytes] = (b"", b"")
    told_at = 0.0
    while True:
        told_bytes = LOAD_BYTES * len(state.upstream_index.instances)
        controls = len(state.peers.known) + 1
        await anyio.sleep(load_interval(count_entries(state), controls, told_bytes))
        now = anyio.current_time()
        drop_expired_reports(state, now)
        if not state.loads:
            continue
        order = _update_index(state)
        own = pack_loads(order, local_loads(state, now))
        sums = pack_loads(order, sum_loads(state, now))
        if not is_report_due((own, sums) != told, now - told_at):
            continue
        told, told_at = (own, sums), now
        share = LoadShare(order=order.number, loads=own, entries=len(state.loads))
        post_to_all(state.peers.links.values(), share)
        totals = LoadTotals(order=order.number, loads=sums)
        post_to_all((state.entry_links[number] for number in state.loads), totals)
