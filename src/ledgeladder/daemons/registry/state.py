"""State that the modules of a registry process share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from ...coordination.engine_orders import OrderLedger
from ...coordination.freshness import Freshness
from ...coordination.full_notices import NoticeRelay, build_relay
from ...coordination.hold_receipts import HoldReceipts
from ...coordination.loss_evidence import LossEvidence
from ...coordination.registrations import RegistrationTable
from ...coordination.rests import Backoffs
from ...coordination.upstream_order import UpstreamIndex
from ...model.registration import Liveness
from ...routing.full_engines import NOTICE_INTERVAL_SECONDS
from ..content_judge import QuarantineController
from ..rate_lender import RateGranter
from ..supervisor import ChildState

if TYPE_CHECKING:
    from ...coordination.upstream_order import LoadFigures
    from ...links import Link
    from ...links.messages import CommandReply, VersionQuery
    from ...model.demand import PoolDemand
    from ...model.registration import Registration
    from ...model.traffic import TrafficConfiguration
    from ...routing.repeat_loans import QuotaLedger
    from ...settings import RegistrySettings
    from ..control.node import ControlNode
    from ..peers import Peers


class CommandWaiter(msgspec.Struct, kw_only=True):
    """A task that waits for the leader's reply to a forwarded command."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once the reply has arrived."""

    reply: CommandReply | None = None
    """The reply, or None if none arrived in time. A lost link does not set `done`."""


class ReportedLoad(msgspec.Struct, kw_only=True):
    """Load report of one entry box."""

    loads: dict[str, LoadFigures]
    """Load by instance id of the upstream."""

    reported_at: float
    """When the report arrived, on the monotonic clock."""


class ReportedShare(msgspec.Struct, kw_only=True):
    """Summed load of the entry boxes that report to another control box."""

    loads: dict[str, LoadFigures]
    """Their load by instance id of the upstream."""

    entries: int
    """Number of these entry boxes."""

    reported_at: float
    """When the report arrived, on the monotonic clock."""


class ReportedDemand(msgspec.Struct, kw_only=True):
    """Demand report of one entry box."""

    link: Link
    """Link on which the report arrived, and on which totals are sent."""

    failure_domain: str
    """Failure domain of the entry box."""

    pools: dict[str, PoolDemand]
    """Demand by pool."""

    reported_at: float
    """When the report arrived, on the monotonic clock."""


class ReportedDemandShare(msgspec.Struct, kw_only=True):
    """Summed demand at the entry boxes that report to another control box."""

    link: Link
    """Link on which the share arrived."""

    domains: dict[str, dict[str, PoolDemand]]
    """Demand by failure domain of the entry boxes and by pool."""

    entries: int
    """Number of these entry boxes."""

    reported_at: float
    """When the share arrived, on the monotonic clock."""


class PendingUpdates(msgspec.Struct, kw_only=True):
    """Registrations that have not been sent to other boxes yet."""

    sent_at: float = float("-inf")
    """When updates were last sent, on the monotonic clock."""

    registrations: dict[str, Registration] = msgspec.field(default_factory=dict)
    """Newest registration by instance id of the upstream."""

    reported_at: dict[str, float] = msgspec.field(default_factory=dict)
    """When the instance reported it to any box, on the monotonic clock, by instance id."""

    for_peers: set[str] = msgspec.field(default_factory=set)
    """Instances that must be sent to the other control boxes as well."""

    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when a registration is waiting to be sent."""

    def add(self, registration: Registration, reported_at: float, *, to_peers: bool) -> None:
        """Add a registration; only the newest of each instance is sent."""
        self.registrations[registration.instance] = registration
        self.reported_at[registration.instance] = reported_at
        if to_peers:
            self.for_peers.add(registration.instance)

    def pop_all(self, now: float) -> tuple[tuple[Liveness, ...], tuple[Liveness, ...]]:
        """Remove and return all pending registrations.

        Args:
            now: Monotonic time.

        Returns:
            The registrations for entry boxes and those for other control boxes, with their ages in
            seconds.
        """
        updates = {
            instance: Liveness(registration=item, age=max(0.0, now - self.reported_at[instance]))
            for instance, item in self.registrations.items()
        }
        to_peers = tuple(item for instance, item in updates.items() if instance in self.for_peers)
        self.registrations.clear()
        self.reported_at.clear()
        self.for_peers.clear()
        self.sent_at = now
        return tuple(updates.values()), to_peers


class RegistryState(msgspec.Struct, kw_only=True):
    """State of one registry process."""

    settings: RegistrySettings
    """Settings of the process."""

    node: ControlNode
    """This box's member of the replicated log."""

    peers: Peers
    """Links to the other control boxes."""

    table: RegistrationTable = msgspec.field(default_factory=RegistrationTable)
    """Registered upstreams."""

    entry_links: dict[int, Link] = msgspec.field(default_factory=dict)
    """Links that were opened by entry boxes, by `id` of the link."""

    accepted_control_links: dict[int, Link] = msgspec.field(default_factory=dict)
    """Links that were opened by other control boxes, by `id` of the link."""

    pending_updates: PendingUpdates = msgspec.field(default_factory=PendingUpdates)
    """Registrations that have not been sent to other boxes yet."""

    receipts: HoldReceipts = msgspec.field(default_factory=HoldReceipts)
    """Which other control boxes hold the departures of upstreams."""

    receipt_arrived: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set with the next receipt."""

    waiting_departures: int = 0
    """Calls of upstreams that wait until enough other control boxes hold their departure."""

    loads: dict[int, ReportedLoad] = msgspec.field(default_factory=dict)
    """Newest load report of each entry box that reports to this box, by `id` of its link."""

    shares: dict[int, ReportedShare] = msgspec.field(default_factory=dict)
    """Newest load share of each other control box, by `id` of its link."""

    demands: dict[str, ReportedDemand] = msgspec.field(default_factory=dict)
    """Newest demand report of each entry box that reports to this box, by instance of its process,
    so that a box with two links counts once."""

    demand_shares: dict[str, ReportedDemandShare] = msgspec.field(default_factory=dict)
    """Newest demand share of each other control box, by its IP address."""

    upstream_index: UpstreamIndex = UpstreamIndex()
    """Positions of upstreams in the ages and loads that this box sends."""

    peer_indexes: dict[int, UpstreamIndex] = msgspec.field(default_factory=dict)
    """Positions of upstreams in those of each other control box, by `id` of its link."""

    freshness: Freshness = msgspec.field(default_factory=Freshness)
    """Freshness confirmed by the leader; unused while this box is an up-to-date leader itself."""

    pending_queries: dict[int, VersionQuery] = msgspec.field(default_factory=dict)
    """Newest version query of each entry box that arrived while the newest version was unknown, by
    `id` of its link."""

    waiters: dict[int, CommandWaiter] = msgspec.field(default_factory=dict)
    """Tasks that wait for the leader's reply to a forwarded command, by call number."""

    next_call: int = 1
    """Call number of the next forwarded command."""

    quota_ledgers: dict[str, QuotaLedger] = msgspec.field(default_factory=dict)
    """Retry quota that this box has granted, by pool."""

    voter_since: float | None = None
    """When this box became a voter, on the monotonic clock; None while it is not one."""

    order_ledger: OrderLedger = msgspec.field(default_factory=OrderLedger)
    """Open orders to engines, of this box or of the leader."""

    configuration: TrafficConfiguration | None = None
    """The published document, decoded."""

    published_changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once a newer document has been applied."""

    backoffs: Backoffs = msgspec.field(default_factory=Backoffs)
    """Engines that requested back-off from this box."""

    losses: LossEvidence = msgspec.field(default_factory=LossEvidence)
    """Reports of entry boxes about unreachable engines, and this box's checks of them."""

    begun_checks: list[str] = msgspec.field(default_factory=list)
    """Instances of engines whose checks were begun and not carried out yet."""

    checks_begun: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once there are any."""

    notices: NoticeRelay = msgspec.field(
        default_factory=lambda: build_relay(NOTICE_INTERVAL_SECONDS)
    )
    """Notices of full engines that pass this box."""

    sent_version: int = 0
    """Version of the document that was last sent to the entry boxes."""

    quarantine_controller: QuarantineController | None = None
    """Quarantines request contents that crash upstreams; None until `build_state` sets it."""

    rate_granter: RateGranter | None = None
    """Grants requests to rate-limited upstreams; None until `build_state` sets it."""

    children: dict[str, ChildState] = msgspec.field(default_factory=dict)
    """States of the supervised tasks by name."""

    stopping: bool = False
    """True once a planned stop has begun."""


def controls_last_seen(state: RegistryState) -> float | None:
    """Return the oldest moment at which any other control box was last seen.

    Heartbeats that engines send to another control box arrive here over its links. If that box is
    partitioned, they stop at once, but its links time out only seconds later. Inactivity of engines
    is therefore measured up to this moment; otherwise engines that are running would be presumed
    lost, and others moved to take over their layers.

    Returns:
        Monotonic time, infinite without other control boxes; None while one of them is unreachable.
    """
    if len(state.peers.links) < len(state.peers.known):
        return None
    last_seen = {link.peer_box: link.received_at for link in state.accepted_control_links.values()}
    never = float("-inf")
    return min(
        (last_seen.get(address, never) for address in state.peers.known), default=float("inf")
    )


def quarantine_controller_of(state: RegistryState) -> QuarantineController:
    """Return the quarantine controller of a process whose state is built."""
    assert state.quarantine_controller is not None
    return state.quarantine_controller


def rate_granter_of(state: RegistryState) -> RateGranter:
    """Return the rate granter of a process whose state is built."""
    assert state.rate_granter is not None
    return state.rate_granter
