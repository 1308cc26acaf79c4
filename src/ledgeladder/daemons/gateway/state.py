"""What all parts of a gateway process share."""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from ...coordination.content_watch import ContentWatch
from ...coordination.freshness import Freshness, is_fresh
from ...http1 import ConnectionPool
from ...model.traffic import CallerLimits
from ...routing.forwarding_table import (
    DomainDoubts,
    ForwardedUpstream,
    ForwardingTable,
    attach_limit,
)
from ...routing.link_doubts import LinkDoubts
from ...routing.link_load import LinkLoad
from ...routing.pace import Pace
from ...routing.repeat_window import RepeatWindow
from ...routing.route_index import RouteIndex
from ...routing.wait_queue import WaitQueue
from .. import clock
from ..limit_keeper import LimitKeeper

if TYPE_CHECKING:
    from ...model.traffic import TrafficConfiguration
    from ...settings import GatewaySettings
    from ..peers import Peers

FRESHNESS_SHARE: Final = 0.85
"""Part of the revocation bound for which a belief is used; the rest is room for the request's way
here and on to the upstream."""

ENTRY_COUNT_SECONDS: Final = 20.0
"""How long a number of entry boxes counts. A control box that is cut off, or that few have reached
yet, tells too few for some seconds; one tells too many while boxes change whom they report to."""

MIN_MICROSECONDS: Final = 100
"""Shortest duration that histograms tell from shorter ones."""

MAX_MICROSECONDS: Final = 60_000_000
"""Longest duration that histograms tell from longer ones."""

SIGNIFICANT_DIGITS: Final = 2
"""Decimal digits to which histograms are exact."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


class GatewayMetrics(msgspec.Struct, kw_only=True):
    """What a gateway counts and times."""

    counters: Counter[str] = msgspec.field(default_factory=Counter)
    """Answers by code, repeats, lost engines and the like."""

    answer: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time to whole answers of plain services."""

    first_event: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time to the first event of streams."""

    gap: HdrHistogram = msgspec.field(default_factory=_histogram)
    """Time between events of streams."""


def record_duration(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration in seconds, cut to the histogram's range; it holds microseconds."""
    value = int(seconds * 1e6)
    histogram.record_value(min(max(value, MIN_MICROSECONDS), MAX_MICROSECONDS))


class PendingQuotaRequest(msgspec.Struct, kw_only=True):
    """A question for repeats that is under way."""

    pool: str
    """Pool that they are for."""

    asked_at: float
    """When it was first asked, on the monotonic clock."""

    lenders: list[str]
    """IP numbers of the control boxes that are to be asked yet, in this order."""

    wanted: int = 0
    """Repeats that are wanted."""

    call: int = 0
    """Number of the newest question; 0 before the first was sent."""

    count: int = 0
    """Repeats that were lent."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once it is answered for good."""


class AdmissionQueue(msgspec.Struct, kw_only=True):
    """Requests that wait until they can be served."""

    queue: WaitQueue
    """Who waits, and who goes first."""

    turns: dict[int, anyio.Event] = msgspec.field(default_factory=dict)
    """Set when a request may go on, by its ticket."""

    filled: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set while somebody waits."""

    filled_at: float = 0.0
    """When the first of those that wait came, on the monotonic clock."""

    turn_at: float = 0.0
    """When a request last went on, likewise."""

    turn_pace: Pace = msgspec.field(default_factory=Pace)
    """Times between two that go on while others wait, in seconds."""

    looked: dict[str, tuple[float, bool]] = msgspec.field(default_factory=dict)
    """When each pool was last looked at, on the monotonic clock, and whether it took requests."""


class BackoffWatch(msgspec.Struct, kw_only=True):
    """Upstreams whose rest is yet to be logged as over."""

    upstreams: dict[str, ForwardedUpstream] = msgspec.field(default_factory=dict)
    """The upstreams, by run."""

    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when one was added or asked for longer."""


class GatewayState(msgspec.Struct, kw_only=True):
    """State of one gateway process."""

    settings: GatewaySettings
    """Its settings."""

    started_at: float = msgspec.field(default_factory=clock.now)
    """When the process was built, on the monotonic clock."""

    configuration: TrafficConfiguration | None = None
    """The document in force, decoded; None before the first."""

    index: RouteIndex = msgspec.field(default_factory=RouteIndex)
    """Look-up tables of the document in force."""

    freshness: Freshness = msgspec.field(default_factory=Freshness)
    """Since when the document is known to be the newest."""

    confirmed: bool = False
    """True once a document in force was confirmed as the newest. Until then nothing is served:
    a control box that has just started may have sent an old one."""

    entry_count: int = 1
    """Entry boxes among which shared budgets are split: the most that control boxes told of within
    `ENTRY_COUNT_SECONDS` before the newest answer."""

    entry_counts: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    """Those answers: when each came, on the monotonic clock, and how many it told of."""

    table: ForwardingTable = msgspec.field(default_factory=ForwardingTable)
    """Upstreams that registered."""

    backoff_watch: BackoffWatch = msgspec.field(default_factory=BackoffWatch)
    """Upstreams that asked for rest."""

    suspected_domains: DomainDoubts = msgspec.field(default_factory=DomainDoubts)
    """Failure domains that may be cut off."""

    suspected_links: LinkDoubts = msgspec.field(default_factory=LinkDoubts)
    """Links between failure domains that are avoided."""

    link_load: LinkLoad = msgspec.field(default_factory=LinkLoad)
    """What this box sends over links between failure domains."""

    exited_instances: dict[str, None] = msgspec.field(default_factory=dict)
    """Ids of runs of upstreams that have ended, oldest first."""

    connections: ConnectionPool = msgspec.field(default_factory=ConnectionPool)
    """Idle connections to upstreams."""

    retry_budgets: dict[str, RepeatWindow] = msgspec.field(default_factory=dict)
    """Budget of repeats by pool."""

    batched_quota_requests: dict[str, PendingQuotaRequest] = msgspec.field(default_factory=dict)
    """Questions for repeats that are about to be sent, by pool."""

    pending_quota_requests: dict[int, PendingQuotaRequest] = msgspec.field(default_factory=dict)
    """Those that were sent, by the number of their newest question."""

    quota_denied_until: dict[str, float] = msgspec.field(default_factory=dict)
    """Until when no more is asked for after nothing was lent, by pool, on the monotonic clock."""

    next_quota_call: int = 1
    """Number of the next question for repeats."""

    quarantine: ContentWatch = msgspec.field(default_factory=ContentWatch)
    """Contents under which upstreams end."""

    answer_paces: dict[str, Pace] = msgspec.field(default_factory=dict)
    """Times that plain services took to answer, in seconds, by pool."""

    first_pace: Pace = msgspec.field(default_factory=Pace)
    """Times from the sending of a run to its first event, in seconds."""

    stream_pace: Pace = msgspec.field(default_factory=Pace)
    """Times that whole streams took, in seconds."""

    probe_pace: Pace = msgspec.field(default_factory=Pace)
    """Times that engines took to accept a connection when they were probed, in seconds."""

    rng: random.Random = msgspec.field(default_factory=random.Random)
    """Source of choices and jitter."""

    metrics: GatewayMetrics = msgspec.field(default_factory=GatewayMetrics)
    """Counters and histograms."""

    start_queue: AdmissionQueue
    """Requests that wait until the box can serve."""

    upstream_queue: AdmissionQueue
    """Requests that wait until upstreams want work again."""

    peers: Peers | None = None
    """Links to control boxes."""

    limit_keeper: LimitKeeper | None = None
    """Keeps to the requests a second that upstreams name."""

    stopping: bool = False
    """True once a planned stop has begun."""

    refusing: bool = False
    """True once a planned stop takes no further requests."""

    out_of_time: bool = False
    """True once a planned stop cuts what is still in progress."""

    def __post_init__(self) -> None:
        self.limit_keeper = LimitKeeper(
            table=self.table.limits,
            attach=lambda instance, held: attach_limit(self.table, instance, held),
            controls=lambda: list(self.peers.links.values()) if self.peers is not None else [],
        )

    @property
    def version(self) -> int:
        """Version of the document in force; 0 before the first."""
        return self.configuration.version if self.configuration is not None else 0

    @property
    def limits(self) -> CallerLimits:
        """Bounds for callers."""
        return self.configuration.limits if self.configuration is not None else CallerLimits()


def limit_keeper_of(state: GatewayState) -> LimitKeeper:
    """Return what keeps to the requests a second that upstreams name."""
    assert state.limit_keeper is not None
    return state.limit_keeper


def build_admission_queue(settings: GatewaySettings) -> AdmissionQueue:
    """Return a bounded place for requests that wait."""
    section = settings.gateway
    queue = WaitQueue(
        most_requests=section.wait_queue_requests, most_bytes=section.wait_queue_bytes
    )
    return AdmissionQueue(queue=queue)


def check_freshness(state: GatewayState, now: float) -> bool:
    """Tell whether keys and routes may be judged by the document in force.

    Also sets `confirmed` the first time that they may: whoever reads that asks here before.

    Args:
        state: The process's state.
        now: Monotonic time, read after the request arrived.
    """
    if state.configuration is None:
        return False
    bounds = state.settings.bounds
    seconds = bounds.revocation_ms / 1000.0 * FRESHNESS_SHARE
    if not bounds.strict_revocation and state.confirmed:
        seconds = float("inf")
    holds = is_fresh(state.freshness, state.version, now, seconds)
    state.confirmed = state.confirmed or holds
    return holds


def record_entry_count(state: GatewayState, count: int, now: float) -> None:
    """Take in how many entry boxes a control box knows of."""
    state.entry_counts.append((now, count))
    while now - state.entry_counts[0][0] > ENTRY_COUNT_SECONDS:
        state.entry_counts.popleft()
    state.entry_count = max(told for _at, told in state.entry_counts)


def answer_pace(state: GatewayState, pool: str) -> Pace:
    """Return how long answers of a pool of plain services take."""
    return state.answer_paces.setdefault(pool, Pace(floor=0.0))


def retry_budget(state: GatewayState, pool: str) -> RepeatWindow:
    """Return the budget of repeats of a pool."""
    window = state.retry_budgets.get(pool)
    if window is None:
        bounds = state.settings.bounds
        window = RepeatWindow(
            ratio=bounds.repeat_ratio,
            reserve=bounds.repeat_reserve,
            seconds=bounds.repeat_window_seconds,
        )
        state.retry_budgets[pool] = window
    return window
