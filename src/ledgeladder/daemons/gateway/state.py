"""State that all parts of a gateway process share."""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from ...coordination.content_watch import EntryQuarantine
from ...coordination.freshness import Freshness, is_fresh
from ...http1 import ConnectionPool
from ...links import AcceptQueue
from ...model.traffic import CallerLimits
from ...routing.fleet_demand import FleetDemand
from ...routing.forwarding_table import (
    ForwardedUpstream,
    ForwardingTable,
    SuspectedDomains,
    set_limit,
)
from ...routing.link_load import LinkLoad
from ...routing.pace import Pace
from ...routing.repeat_window import RetryWindow
from ...routing.route_index import RouteIndex
from ...routing.suspected_links import SuspectedLinks
from ...routing.upstream_reach import RelayPeers, UpstreamReach
from ...routing.wait_queue import WaitQueue
from .. import clock
from ..limit_keeper import RateLimiter
from ..supervisor import ChildState

if TYPE_CHECKING:
    from ...coordination.full_notices import NoticeThrottle
    from ...http1.byte_account import ByteAccount
    from ...model.demand import PoolDemand
    from ...model.traffic import TrafficConfiguration
    from ...routing.admission_level import AdmissionLevel
    from ...routing.admission_view import SettledRoom
    from ...routing.planned_stop import StopWindow
    from ...routing.pool_room import PoolRoom
    from ...routing.return_times import ReturnBook
    from ...settings import GatewaySettings
    from ..peers import Peers
    from .probing import RunningProbe
    from .reaching import ReachCheck
    from .stream_session import RunningStream

FRESHNESS_SHARE: Final = 0.85
"""Share of the revocation bound during which a confirmed document may be used. The rest covers the
request's transit time to this box and on to the upstream."""

ENTRY_COUNT_SECONDS: Final = 20.0
"""Window over which the largest reported number of entry boxes is used. A partitioned or newly
started control box reports too few for some seconds; others report too many while boxes change the
control box that they report to."""

MIN_MICROSECONDS: Final = 100
"""Lower bound of the histograms' range."""

MAX_MICROSECONDS: Final = 60_000_000
"""Upper bound of the histograms' range."""

SIGNIFICANT_DIGITS: Final = 2
"""Precision of the histograms, in decimal digits."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


class GatewayMetrics(msgspec.Struct, kw_only=True):
    """Counters and histograms of a gateway."""

    counters: Counter[str] = msgspec.field(default_factory=Counter)
    """Answers by code, retries, lost engines and similar events."""

    answer: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time to complete answers of plain services."""

    first_event: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time to the first event of streams."""

    gap: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time between events of streams."""


def record_duration(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration given in seconds, clamped to the histogram's range in microseconds."""
    value = int(seconds * 1e6)
    histogram.record_value(min(max(value, MIN_MICROSECONDS), MAX_MICROSECONDS))


class PendingQuotaRequest(msgspec.Struct, kw_only=True):
    """A request for retry quota that is waiting for answers of control boxes."""

    pool: str
    """Pool whose retries are requested."""

    started: bool
    """Whether they are for streams that have begun."""

    requested_at: float
    """Monotonic time of the first request."""

    remaining_controls: list[str]
    """IP addresses of the control boxes not queried yet, in the order of the queries."""

    requested: int = 0
    """Number of retries requested."""

    call: int = 0
    """Id of the latest request sent; 0 before the first."""

    granted: int = 0
    """Number of retries granted so far."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when no further answer will follow."""


class AdmissionQueue(msgspec.Struct, kw_only=True):
    """A bounded queue of requests that wait until they can be served."""

    queue: WaitQueue
    """The waiting requests and their order."""

    admissions: dict[int, anyio.Event] = msgspec.field(default_factory=dict)
    """Events that are set when a request is admitted, by ticket."""

    has_waiting: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when a request enters the queue."""

    waiting_since: float = 0.0
    """Monotonic time at which the queue last became non-empty."""

    last_admitted_at: float = 0.0
    """Monotonic time of the latest admission."""

    admission_pace: Pace = msgspec.field(default_factory=Pace)
    """Intervals between admissions while requests wait, in seconds."""

    capacity_checks: dict[str, tuple[float, bool]] = msgspec.field(default_factory=dict)
    """Latest capacity check of each pool: its monotonic time, and whether the pool accepts work."""


class RoomView(msgspec.Struct, kw_only=True):
    """Room of a pool and demand for it, as last computed."""

    at: float
    """When they were computed, on the monotonic clock."""

    room: PoolRoom
    """Room of the pool."""

    settled: float
    """Busy room that counts for what ends, see `SettledRoom`."""

    load_age: float
    """Age of the newest load of other boxes at that time, in seconds."""

    demand: PoolDemand
    """Demand for the pool at all entry boxes."""

    taken: float = 0.0
    """Requests of the usual size that this box admitted since."""


class RoomAdmission(msgspec.Struct, kw_only=True):
    """Admission to pools whose room is shared by priority."""

    queue: AdmissionQueue
    """New streams that wait for room."""

    views: dict[str, RoomView] = msgspec.field(default_factory=dict)
    """Latest view of each pool."""

    settled: dict[str, SettledRoom] = msgspec.field(default_factory=dict)
    """Average busy room of each pool."""

    levels: dict[tuple[str, int], AdmissionLevel] = msgspec.field(default_factory=dict)
    """Shares by pool and priority."""

    waiting: Counter[tuple[str, int]] = msgspec.field(default_factory=Counter)
    """Number of waiting requests by pool and priority."""


class BackoffWatch(msgspec.Struct, kw_only=True):
    """Upstreams that are backing off, until the end of the back-off is logged."""

    upstreams: dict[str, ForwardedUpstream] = msgspec.field(default_factory=dict)
    """The upstreams, by instance."""

    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when an upstream is added or extends its back-off."""


class GatewayState(msgspec.Struct, kw_only=True):
    """State of one gateway process."""

    settings: GatewaySettings
    """Settings of the process."""

    started_at: float = msgspec.field(default_factory=clock.now)
    """Monotonic time at which the process started."""

    configuration: TrafficConfiguration | None = None
    """The document in force, decoded; None before the first."""

    index: RouteIndex = msgspec.field(default_factory=RouteIndex)
    """Lookup tables of the document in force."""

    freshness: Freshness = msgspec.field(default_factory=Freshness)
    """When the document was last confirmed as the newest."""

    confirmed: bool = False
    """True once a document in force was confirmed as the newest. Until then nothing is served,
    because a control box that has just started may have sent an old document."""

    entry_count: int = 1
    """Number of entry boxes that share the budgets: the maximum that control boxes reported within
    `ENTRY_COUNT_SECONDS` before the latest answer."""

    entry_counts: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    """Recent reports of that number: monotonic time of arrival and number of entry boxes."""

    table: ForwardingTable = msgspec.field(default_factory=ForwardingTable)
    """Registered upstreams."""

    backoff_watch: BackoffWatch = msgspec.field(default_factory=BackoffWatch)
    """Upstreams that requested back-off."""

    suspected_domains: SuspectedDomains = msgspec.field(default_factory=SuspectedDomains)
    """Failure domains that may be unreachable."""

    suspected_links: SuspectedLinks = msgspec.field(default_factory=SuspectedLinks)
    """Links between failure domains that are avoided for now."""

    reach: UpstreamReach = msgspec.field(default_factory=UpstreamReach)
    """Whether this box opens connections to upstreams itself."""

    reach_check: ReachCheck | None = None
    """Check of this box's reach that waits to be run."""

    reach_wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when such a check is requested."""

    running_probes: dict[str, RunningProbe] = msgspec.field(default_factory=dict)
    """Probes of engines that run, by instance."""

    relay_peers: RelayPeers = msgspec.field(default_factory=RelayPeers)
    """Entry boxes that may relay connections of this one."""

    accept_queue: AcceptQueue = msgspec.field(default_factory=AcceptQueue)
    """Connections of callers that wait to be served."""

    relays_open: int = 0
    """Number of connections to upstreams that this box relays for others."""

    link_load: LinkLoad = msgspec.field(default_factory=LinkLoad)
    """Traffic that this box sends over links between failure domains."""

    exited_instances: dict[str, None] = msgspec.field(default_factory=dict)
    """Ids of upstream instances that have exited, oldest first."""

    connections: ConnectionPool = msgspec.field(default_factory=ConnectionPool)
    """Idle connections to upstreams."""

    contended: frozenset[str] = frozenset()
    """Pools whose room is shared by priority, by the document in force."""

    demand: FleetDemand = msgspec.field(default_factory=FleetDemand)
    """Demand for pools at this box and at all entry boxes."""

    running_streams: dict[str, dict[int, RunningStream]] = msgspec.field(default_factory=dict)
    """Streams that this box runs, by pool and `id` of the session."""

    return_books: dict[str, ReturnBook] = msgspec.field(default_factory=dict)
    """Times at which refused callers were told to return, by contended pool."""

    retry_budgets: dict[str, RetryWindow] = msgspec.field(default_factory=dict)
    """Retry budgets, by pool."""

    batched_quota_requests: dict[tuple[str, bool], PendingQuotaRequest] = msgspec.field(
        default_factory=dict
    )
    """Requests for retry quota that still collect demand before being sent, by pool and whether
    they are for begun streams."""

    pending_quota_requests: dict[int, PendingQuotaRequest] = msgspec.field(default_factory=dict)
    """Sent requests for retry quota, by the id of their latest request."""

    quota_denied_until: dict[tuple[str, bool], float] = msgspec.field(default_factory=dict)
    """Monotonic time until which no retry quota is requested after a denial, by pool and whether it
    would be for begun streams."""

    next_quota_call: int = 1
    """Id of the next request for retry quota."""

    quarantine: EntryQuarantine = msgspec.field(default_factory=EntryQuarantine)
    """Request contents under which upstreams crash, and those that are quarantined."""

    answer_paces: dict[str, Pace] = msgspec.field(default_factory=dict)
    """Answer times of plain services, in seconds, by pool."""

    first_event_pace: Pace = msgspec.field(default_factory=Pace)
    """Times from sending a stream's attempt to its first event, in seconds."""

    stream_pace: Pace = msgspec.field(default_factory=Pace)
    """Durations of complete streams, in seconds."""

    probe_pace: Pace = msgspec.field(default_factory=Pace)
    """Times that probed engines took to accept a connection, in seconds."""

    rng: random.Random = msgspec.field(default_factory=random.Random)
    """Random source for selection and jitter."""

    metrics: GatewayMetrics = msgspec.field(default_factory=GatewayMetrics)
    """Counters and histograms."""

    start_queue: AdmissionQueue
    """Requests that wait until this box has started."""

    upstream_queue: AdmissionQueue
    """Requests that wait until upstreams accept work again."""

    room: RoomAdmission
    """Admission to pools whose room is shared by priority."""

    peers: Peers | None = None
    """Links to control boxes."""

    full_reports: NoticeThrottle | None = None
    """Bounds the reports of engines that refused requests for lack of room; None before the first
    refusal."""

    rate_limiter: RateLimiter | None = None
    """Enforces the rate limits that upstreams advertise, in requests per second."""

    children: dict[str, ChildState] = msgspec.field(default_factory=dict)
    """States of the supervised tasks by name."""

    bytes_held: ByteAccount
    """Bytes that the process holds for others."""

    stopping: bool = False
    """True once a planned stop has begun."""

    refusing: bool = False
    """True once a planned stop refuses new requests."""

    out_of_time: bool = False
    """True once a planned stop has timed out and ends the requests in progress."""

    stop_window: StopWindow | None = None
    """Times of the planned stop; None before one."""

    stop_scopes: set[anyio.CancelScope] = msgspec.field(default_factory=set)
    """Cancel scopes of the requests that are being sent to upstreams."""

    def __post_init__(self) -> None:
        self.rate_limiter = RateLimiter(
            table=self.table.limits,
            attach=lambda instance, limit: set_limit(self.table, instance, limit),
            control_links=lambda: list(self.peers.links.values()) if self.peers is not None else [],
        )

    @property
    def version(self) -> int:
        """Version of the document in force; 0 before the first."""
        return self.configuration.version if self.configuration is not None else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits for callers."""
        return self.configuration.limits if self.configuration is not None else CallerLimits()


def rate_limiter_of(state: GatewayState) -> RateLimiter:
    """Return the rate limiter, which is set once the state is built."""
    assert state.rate_limiter is not None
    return state.rate_limiter


def build_admission_queue(settings: GatewaySettings) -> AdmissionQueue:
    """Build a queue that is bounded by the settings."""
    section = settings.gateway
    queue = WaitQueue(max_requests=section.wait_queue_requests, max_bytes=section.wait_queue_bytes)
    return AdmissionQueue(queue=queue)


def build_room_admission(settings: GatewaySettings) -> RoomAdmission:
    """Build the admission to pools whose room is shared, with a queue bounded by the settings."""
    return RoomAdmission(queue=build_admission_queue(settings))


def check_freshness(state: GatewayState, now: float) -> bool:
    """Return whether the document in force is fresh enough to decide on keys and routes.

    Sets `confirmed` the first time it is. Callers that read `confirmed` must call this first.

    Args:
        state: State of the process.
        now: Monotonic time, read after the request arrived.
    """
    if state.configuration is None:
        return False
    bounds = state.settings.bounds
    seconds = bounds.revocation_ms / 1000.0 * FRESHNESS_SHARE
    if not bounds.strict_revocation and state.confirmed:
        seconds = float("inf")
    fresh = is_fresh(state.freshness, state.version, now, seconds)
    state.confirmed = state.confirmed or fresh
    return fresh


def record_entry_count(state: GatewayState, count: int, now: float) -> None:
    """Record how many entry boxes a control box reports."""
    state.entry_counts.append((now, count))
    while now - state.entry_counts[0][0] > ENTRY_COUNT_SECONDS:
        state.entry_counts.popleft()
    state.entry_count = max(reported for _at, reported in state.entry_counts)


def answer_pace(state: GatewayState, pool: str) -> Pace:
    """Return the statistics of a plain pool's answer times."""
    return state.answer_paces.setdefault(pool, Pace(floor=0.0))


def retry_budget(state: GatewayState, pool: str) -> RetryWindow:
    """Return the retry budget of a pool."""
    window = state.retry_budgets.get(pool)
    if window is None:
        bounds = state.settings.bounds
        window = RetryWindow(
            ratio=bounds.repeat_ratio,
            reserve=bounds.repeat_reserve,
            seconds=bounds.repeat_window_seconds,
        )
        state.retry_budgets[pool] = window
    return window
