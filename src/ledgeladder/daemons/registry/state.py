"""What all parts of a registry process share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from ...coordination.engine_orders import OrderLedger
from ...coordination.freshness import Freshness
from ...coordination.loss_evidence import LossEvidence
from ...coordination.registrations import RegistrationTable
from ...coordination.rests import Backoffs
from ...coordination.upstream_order import UpstreamIndex
from ...model.registration import Liveness
from ..content_judge import QuarantineController
from ..rate_lender import RateGranter

if TYPE_CHECKING:
    from ...coordination.upstream_order import LoadFigures
    from ...links import Link
    from ...links.messages import CommandReply, VersionQuery
    from ...model.registration import Registration
    from ...model.traffic import TrafficConfiguration
    from ...routing.repeat_loans import LoanBook
    from ...settings import RegistrySettings
    from ..control.node import ControlNode
    from ..peers import Peers


class CommandWaiter(msgspec.Struct, kw_only=True):
    """Somebody who waits for the leader's answer to a command that was passed on."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once the answer is here."""

    reply: CommandReply | None = None
    """The answer; None if none came in time. The end of the link does not wake who waits."""


class ReportedLoad(msgspec.Struct, kw_only=True):
    """What one entry box said of its requests."""

    loads: dict[str, LoadFigures]
    """Load by run of the upstream."""

    reported_at: float
    """When it said so, on the monotonic clock."""


class ReportedShare(msgspec.Struct, kw_only=True):
    """What another control box said of the entry boxes that report to it."""

    loads: dict[str, LoadFigures]
    """Their load by run of the upstream."""

    entries: int
    """Their number."""

    reported_at: float
    """When it said so, on the monotonic clock."""


class PendingUpdates(msgspec.Struct, kw_only=True):
    """What upstreams said that other boxes have not been told yet."""

    sent_at: float = float("-inf")
    """When news was told last, on the monotonic clock."""

    registrations: dict[str, Registration] = msgspec.field(default_factory=dict)
    """Newest news by run of the upstream."""

    received_at: dict[str, float] = msgspec.field(default_factory=dict)
    """When it came, on the monotonic clock."""

    received_here: set[str] = msgspec.field(default_factory=set)
    """Runs that told this box, of which the other control boxes must hear."""

    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when there is news that waits."""

    def add(self, registration: Registration, now: float, *, to_peers: bool) -> None:
        """Add news; of one run only the newest is told."""
        self.registrations[registration.instance] = registration
        self.received_at[registration.instance] = now
        if to_peers:
            self.received_here.add(registration.instance)

    def pop_all(self, now: float) -> tuple[tuple[Liveness, ...], tuple[Liveness, ...]]:
        """Take all news out.

        Args:
            now: Monotonic time.

        Returns:
            What entry boxes are told, and what other control boxes are told, with ages in seconds.
        """
        told = {
            name: Liveness(registration=item, age=max(0.0, now - self.received_at[name]))
            for name, item in self.registrations.items()
        }
        to_peers = tuple(item for name, item in told.items() if name in self.received_here)
        self.registrations.clear()
        self.received_at.clear()
        self.received_here.clear()
        self.sent_at = now
        return tuple(told.values()), to_peers


class RegistryState(msgspec.Struct, kw_only=True):
    """State of one registry process."""

    settings: RegistrySettings
    """Its settings."""

    node: ControlNode
    """Its member of the replicated log."""

    peers: Peers
    """Links to the other control boxes."""

    table: RegistrationTable = msgspec.field(default_factory=RegistrationTable)
    """Upstreams that registered."""

    entry_links: dict[int, Link] = msgspec.field(default_factory=dict)
    """Links that entry boxes opened, by `id` of the link."""

    accepted_control_links: dict[int, Link] = msgspec.field(default_factory=dict)
    """Links that other control boxes opened, by `id` of the link."""

    pending_updates: PendingUpdates = msgspec.field(default_factory=PendingUpdates)
    """What upstreams said and others have not been told yet."""

    loads: dict[int, ReportedLoad] = msgspec.field(default_factory=dict)
    """Newest load report of each entry box that reports here, by `id` of its link."""

    shares: dict[int, ReportedShare] = msgspec.field(default_factory=dict)
    """Newest share of each other control box, by `id` of its link."""

    upstream_index: UpstreamIndex = UpstreamIndex()
    """Order in which figures of upstreams are told to other boxes."""

    peer_indexes: dict[int, UpstreamIndex] = msgspec.field(default_factory=dict)
    """The order in which each other control box tells them, by `id` of its link."""

    freshness: Freshness = msgspec.field(default_factory=Freshness)
    """What the leader said of the newest version; not used while this box is sure itself."""

    pending_queries: dict[int, VersionQuery] = msgspec.field(default_factory=dict)
    """Newest question of each entry box that came while this box was sure of nothing, by `id` of
    its link."""

    waiters: dict[int, CommandWaiter] = msgspec.field(default_factory=dict)
    """Commands that were passed on to the leader."""

    next_call: int = 1
    """Number of the next command that is passed on."""

    quota_ledgers: dict[str, LoanBook] = msgspec.field(default_factory=dict)
    """Repeats that this box has lent, by pool."""

    voter_since: float | None = None
    """Since when it is a voter, on the monotonic clock; None while it is none."""

    ledger: OrderLedger = msgspec.field(default_factory=OrderLedger)
    """Open orders to engines, of this box or of the one that leads."""

    configuration: TrafficConfiguration | None = None
    """The published document, decoded."""

    published_changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once a newer document was applied."""

    backoffs: Backoffs = msgspec.field(default_factory=Backoffs)
    """Engines that asked this box for rest, by run."""

    losses: LossEvidence = msgspec.field(default_factory=LossEvidence)
    """Reports of entry boxes on engines that they found dead."""

    sent_version: int = 0
    """Version of the document that was last sent to entry boxes."""

    quarantine_controller: QuarantineController | None = None
    """What it knows of contents under which upstreams end; None before the state is built."""

    rate_granter: RateGranter | None = None
    """Limits that upstreams name, and what it lends of them; None before the state is built."""

    stopping: bool = False
    """True once a planned stop has begun."""


def controls_last_seen(state: RegistryState) -> float | None:
    """Return the moment up to which all other control boxes were heard, on the monotonic clock.

    An engine that sends its heartbeats to a box that is cut off without a word is silent here from
    then on. Links to such a box are given up seconds later, and until then its engines, which
    live, would be taken for lost and others moved to take over their layers.

    Returns:
        None while one of them is out of reach.
    """
    if len(state.peers.links) < len(state.peers.known):
        return None
    heard = {link.peer_box: link.received_at for link in state.accepted_control_links.values()}
    never = float("-inf")
    return min((heard.get(address, never) for address in state.peers.known), default=float("inf"))


def quarantine_controller_of(state: RegistryState) -> QuarantineController:
    """Return what a process knows of contents under which upstreams end."""
    assert state.quarantine_controller is not None
    return state.quarantine_controller


def rate_granter_of(state: RegistryState) -> RateGranter:
    """Return what a process knows of limits that upstreams name."""
    assert state.rate_granter is not None
    return state.rate_granter
