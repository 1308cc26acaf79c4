"""What an entry box knows of each registered upstream.

What it said of itself, the load of this box's requests and of those of others, failures, losses,
and how slowly it works; from these follow whether it may get new work and what that would cost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model.registration import Registration, UpstreamState, run_began
from .backpressure import Backpressure, BackpressureTable, find_backpressure
from .load_sharing import LOAD_BELIEVED_SECONDS
from .rate_grants import GrantedLimit, GrantedLimitTable, grant_wait, has_grant

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..model.exchange import UpstreamLoad

AVOID_SECONDS: Final = 1.0
"""How long an upstream is avoided after a failure; doubled with each further one."""

MAX_AVOID_SECONDS: Final = 8.0
"""Longest time that an upstream is avoided before it gets work again, to find out."""

FULL_AVOID_SECONDS: Final = 0.25
"""How long an upstream that was full is avoided, about one report interval of an engine."""

INACTIVE_SECONDS: Final = 4.0
"""An upstream that nobody has heard for this long, over three heartbeats, is a last resort."""

SUSPECT_SECONDS: Final = 1.0
"""How long failures of a failure domain are held against it; then it gets work again."""

MIN_SUSPECT_UPSTREAMS: Final = 2
"""Upstreams of a failure domain that must fail: one alone is more likely lost itself."""

MAX_KEPT_FAILURES: Final = 16
"""Failures that are remembered for each failure domain."""

SLOWDOWN_VALID_SECONDS: Final = 4.0
"""How long an engine counts as slow from the moment it was asked; then a few requests find out."""

LAST_SEEN_MARGIN_SECONDS: Final = 0.05
"""How much later than its loss an upstream must have been heard to get work again: ages are told in
hundredths of a second, and news of a heartbeat takes a few milliseconds."""

REPORTED_LOAD_VALID_SECONDS: Final = 0.3
"""How long the load that an upstream told is believed."""


class ForwardedUpstream(msgspec.Struct, kw_only=True, eq=False):
    """One run of an upstream, as this box sees it."""

    registration: Registration
    """What it said of itself."""

    last_seen: float
    """When anybody last heard it, on the own monotonic clock."""

    started_at: float = 0.0
    """Estimate of when the run began, on the own monotonic clock."""

    in_flight: int = 0
    """Requests of this box on it."""

    kv_reserved: float = 0.0
    """Tokens x layers that requests of this box take on it."""

    reported_in_flight: int = 0
    """Requests of this box in its newest report."""

    reported_kv: float = 0.0
    """Tokens x layers in that report."""

    peer_in_flight: int = 0
    """Requests of other boxes, as last told."""

    peer_kv: float = 0.0
    """Tokens x layers of other boxes, as last told."""

    peer_load_at: float = float("-inf")
    """When that was told, on the monotonic clock."""

    failures: int = 0
    """Failures in a row."""

    avoid_until: float = 0.0
    """Until when it gets no new work, on the monotonic clock."""

    lost_at: float = float("-inf")
    """When it was found dead, on the monotonic clock; it gets no new work until somebody has heard
    it since."""

    exited_at: float = float("-inf")
    """When its address refused a connection, on the monotonic clock: its process has ended, or a
    cut refuses connections. A machine without power or behind a silent cut refuses none."""

    last_success_at: float = float("-inf")
    """When it last showed that it works: an event came over a path through it, or it accepted a
    probe. On the monotonic clock."""

    slowdown: float = 1.0
    """How many times slower than usual it works, as it last said; 1 until it first answers."""

    slowdown_at: float = float("-inf")
    """When it was last asked for that, on the monotonic clock."""

    load: UpstreamLoad | None = None
    """Load that it told last."""

    load_at: float = 0.0
    """When it told it, on the monotonic clock."""

    backpressure: Backpressure = msgspec.field(default_factory=Backpressure)
    """What it asked of this box in answers."""

    limit: GrantedLimit | None = None
    """Requests a second that it takes from all boxes together; None if it has named none."""

    on_lost: set[Callable[[ForwardedUpstream], None]] = msgspec.field(default_factory=set)
    """Called each time that it is found lost; one for each request that passes it."""

    @property
    def draining(self) -> bool:
        """True if it must get no new work for good."""
        return self.backpressure.draining or self.registration.state is not UpstreamState.READY


class ForwardingTable(msgspec.Struct, kw_only=True):
    """All upstreams that are registered."""

    upstreams: dict[str, ForwardedUpstream] = msgspec.field(default_factory=dict)
    """Upstreams by run."""

    pools: dict[str, list[ForwardedUpstream]] = msgspec.field(default_factory=dict)
    """The same by pool."""

    newest: dict[str, str] = msgspec.field(default_factory=dict)
    """Newest run of each upstream by the id that it keeps over restarts."""

    backpressure: BackpressureTable = msgspec.field(default_factory=BackpressureTable)
    """What they asked of this box, kept while they are not registered."""

    limits: GrantedLimitTable = msgspec.field(default_factory=GrantedLimitTable)
    """Requests a second that they take from all boxes together, likewise."""

    heartbeat: float = 1.0
    """Time between two heartbeats of an upstream, in seconds."""


class SuspectedDomains(msgspec.Struct, kw_only=True):
    """Failure domains that may be cut off from this one or from its engines."""

    failures: dict[str, list[tuple[float, str]]] = msgspec.field(default_factory=dict)
    """Recent failures by failure domain: when, and at which upstream."""


def record_domain_failure(
    suspected: SuspectedDomains, upstream: ForwardedUpstream, now: float
) -> None:
    """Note that an upstream of another failure domain failed or refused."""
    registration = upstream.registration
    recent = suspected.failures.setdefault(registration.failure_domain, [])
    recent.append((now, registration.instance))
    del recent[:-MAX_KEPT_FAILURES]


def is_suspected(suspected: SuspectedDomains, domain: str, now: float) -> bool:
    """Tell whether two upstreams of a failure domain have failed lately, as in a cut."""
    recent = suspected.failures.get(domain, ())
    return len({name for at, name in recent if now - at < SUSPECT_SECONDS}) >= MIN_SUSPECT_UPSTREAMS


def put_registration(
    table: ForwardingTable, registration: Registration, last_seen: float
) -> ForwardedUpstream | None:
    """Take in a registration that is newer than what was known.

    Args:
        table: The table.
        registration: The registration.
        last_seen: When the upstream was heard, on the own monotonic clock.

    Returns:
        The upstream, or None if it has ended.
    """
    upstream = table.upstreams.get(registration.instance)
    if registration.state is UpstreamState.GONE:
        drop_upstream(table, registration.instance)
        return None
    started_at = run_began(registration, last_seen, table.heartbeat)
    if upstream is None:
        # The first message is sent at the beginning: one interval less than for comparing runs.
        backpressure = find_backpressure(
            table.backpressure, registration, started_at + table.heartbeat
        )
        upstream = ForwardedUpstream(
            registration=registration,
            last_seen=last_seen,
            started_at=started_at,
            backpressure=backpressure,
            limit=table.limits.limits.get(registration.instance),
        )
        table.upstreams[registration.instance] = upstream
        table.newest[registration.upstream_id] = registration.instance
        table.pools.setdefault(registration.pool, []).append(upstream)
        return upstream
    if registration.pool != upstream.registration.pool:
        _leave_pool(table, upstream)
        table.pools.setdefault(registration.pool, []).append(upstream)
    upstream.registration = registration
    upstream.started_at = min(upstream.started_at, started_at)
    upstream.last_seen = max(upstream.last_seen, last_seen)
    return upstream


def set_limit(table: ForwardingTable, instance: str, limit: GrantedLimit | None) -> None:
    """Give an upstream its limit, or take it away, if it is registered."""
    upstream = table.upstreams.get(instance)
    if upstream is not None:
        upstream.limit = limit


def pool_limits(table: ForwardingTable, pool: str) -> list[GrantedLimit]:
    """Return the limits of the registered upstreams of a pool that do not leave."""
    return [
        limit
        for instance, limit in table.limits.limits.items()
        if (upstream := table.upstreams.get(instance)) is not None
        and upstream.registration.pool == pool
        and not upstream.draining
    ]


def drop_upstream(table: ForwardingTable, instance: str) -> None:
    """Forget an upstream; requests in progress on it go on."""
    held = table.upstreams.pop(instance, None)
    if held is None:
        return
    _leave_pool(table, held)
    upstream = held.registration.upstream_id
    if table.newest.get(upstream) == instance:
        del table.newest[upstream]


def other_instance(table: ForwardingTable, registration: Registration) -> ForwardedUpstream | None:
    """Return the known run of an upstream if a registration names another one; else None."""
    newest = table.newest.get(registration.upstream_id, registration.instance)
    return None if newest == registration.instance else table.upstreams.get(newest)


def _leave_pool(table: ForwardingTable, upstream: ForwardedUpstream) -> None:
    pool = table.pools.get(upstream.registration.pool, [])
    if upstream in pool:
        pool.remove(upstream)


def record_success(upstream: ForwardedUpstream) -> None:
    """Note that an upstream did its work.

    It is avoided no longer, whether it had failed, was full or was found dead.
    """
    upstream.failures = 0
    upstream.avoid_until = 0.0
    upstream.lost_at = float("-inf")


def record_failure(upstream: ForwardedUpstream, now: float) -> None:
    """Note that an upstream failed, and avoid it for a while, longer with each failure in a row."""
    if now < upstream.avoid_until:
        # Several requests fail together when one upstream is lost; they count once.
        return
    upstream.failures += 1
    seconds = min(AVOID_SECONDS * 2 ** (upstream.failures - 1), MAX_AVOID_SECONDS)
    upstream.avoid_until = now + seconds


def record_loss(upstream: ForwardedUpstream, now: float) -> None:
    """Note that an upstream does not answer at all, and tell the requests that pass it."""
    record_failure(upstream, now)
    upstream.lost_at = now
    for callback in list(upstream.on_lost):
        callback(upstream)


def record_exit(upstream: ForwardedUpstream, now: float) -> None:
    """Note that nobody listens at an upstream's address."""
    upstream.exited_at = now


def record_reported_loss(upstream: ForwardedUpstream, now: float) -> bool:
    """Note that other boxes found an upstream dead; it gets no new work until it is heard.

    Returns:
        False if that was known already.
    """
    if upstream.lost_at > upstream.last_seen:
        return False
    upstream.lost_at = now
    return True


def record_reachable(upstream: ForwardedUpstream) -> None:
    """Note that an upstream which other boxes found dead answers this one."""
    upstream.lost_at = float("-inf")


def record_full(upstream: ForwardedUpstream, now: float) -> None:
    """Note that an upstream had no room."""
    upstream.avoid_until = max(upstream.avoid_until, now + FULL_AVOID_SECONDS)


def record_load(upstream: ForwardedUpstream, load: UpstreamLoad | None, now: float) -> None:
    """Note the load that an upstream told in an answer."""
    if load is not None:
        upstream.load = load
        upstream.load_at = now


def apply_peer_load(
    upstream: ForwardedUpstream, in_flight: int, kv_reserved: float, now: float
) -> None:
    """Take in what the requests of all boxes, this one included, take on an upstream.

    Args:
        upstream: The upstream.
        in_flight: Requests of all boxes.
        kv_reserved: Their tokens x layers.
        now: Monotonic time.
    """
    upstream.peer_in_flight = max(0, in_flight - upstream.reported_in_flight)
    upstream.peer_kv = max(0.0, kv_reserved - upstream.reported_kv)
    upstream.peer_load_at = now


def has_recent_peer_load(upstream: ForwardedUpstream, now: float) -> bool:
    """Tell whether the load of other boxes was told lately."""
    return now - upstream.peer_load_at < LOAD_BELIEVED_SECONDS


def total_in_flight(upstream: ForwardedUpstream, now: float, sharers: float) -> float:
    """Estimate the requests of all boxes on an upstream.

    Args:
        upstream: The upstream.
        now: Monotonic time.
        sharers: Factor from the own requests to those of all boxes. It is used where nothing was
            told, and for what came since the own load was last reported.
    """
    if not has_recent_peer_load(upstream, now):
        return upstream.in_flight * sharers
    growth = _peer_growth(upstream.in_flight - upstream.reported_in_flight, sharers)
    return upstream.in_flight + upstream.peer_in_flight + growth


def total_kv(upstream: ForwardedUpstream, now: float, sharers: float) -> float:
    """Estimate the tokens x layers of all boxes on an engine.

    Args:
        upstream: The engine.
        now: Monotonic time.
        sharers: Factor from the own requests to those of all boxes, as for `total_in_flight`.
    """
    if not has_recent_peer_load(upstream, now):
        return upstream.kv_reserved * sharers
    growth = _peer_growth(upstream.kv_reserved - upstream.reported_kv, sharers)
    return upstream.kv_reserved + upstream.peer_kv + growth


def _peer_growth(own_growth: float, sharers: float) -> float:
    """Estimate how much the load of other boxes grew since they were last heard of.

    They see the same upstreams and choose alike: when an engine is lost, all of them move their
    requests to the same others at the same moment.
    """
    return max(0.0, own_growth) * max(0.0, sharers - 1.0)


def utilization(upstream: ForwardedUpstream, now: float, sharers: int) -> float:
    """Estimate how full a plain service is, in requests per slot.

    Args:
        upstream: The service.
        now: Monotonic time.
        sharers: Entry boxes. Where their load was not told lately and there are others, the own
            requests count one and a half times.
    """
    return estimated_requests(upstream, now, sharers) / max(1, upstream.registration.slots)


def estimated_requests(upstream: ForwardedUpstream, now: float, sharers: int) -> float:
    """Estimate the requests that a plain service holds, those that wait included.

    Args:
        upstream: The service.
        now: Monotonic time.
        sharers: Entry boxes, as for `utilization`.
    """
    estimate = total_in_flight(upstream, now, 1.5 if sharers > 1 else 1.0)
    load = upstream.load
    if load is not None and now - upstream.load_at < REPORTED_LOAD_VALID_SECONDS:
        estimate = max(estimate, load.running + load.waiting)
    return estimate


def is_at_max_requests(upstream: ForwardedUpstream, now: float, sharers: int) -> bool:
    """Tell whether a plain service holds as much as it may, since more had it ask for rest."""
    backpressure = upstream.backpressure
    return (
        now < backpressure.max_requests_until
        and estimated_requests(upstream, now, sharers) >= backpressure.max_requests
    )


def is_backing_off(upstream: ForwardedUpstream, now: float) -> bool:
    """Tell whether an upstream wants nothing from this box right now."""
    return now < upstream.backpressure.backoff_until


def accepts_work(upstream: ForwardedUpstream, now: float) -> bool:
    """Tell whether an upstream has not said that it wants no new work, now or for good."""
    if upstream.draining or is_backing_off(upstream, now):
        return False
    return has_grant(upstream.limit, now)


def remaining_wait(upstream: ForwardedUpstream, now: float) -> float:
    """Return when an upstream that does not leave wants work again, in seconds; 0 if it does."""
    backoff = upstream.backpressure.backoff_until - now
    return max(0.0, backoff, grant_wait(upstream.limit, now))


def min_remaining_wait(upstreams: Iterable[ForwardedUpstream], now: float) -> float | None:
    """Return when the first of some upstreams wants work again, in seconds.

    Returns:
        None if one of them wants some, or there are none. Those that leave count for nothing.
    """
    waits = [remaining_wait(item, now) for item in upstreams if not item.draining]
    return min(waits) if waits and min(waits) > 0 else None


def is_usable(upstream: ForwardedUpstream, now: float) -> bool:
    """Tell whether an upstream may get new work right now."""
    if not accepts_work(upstream, now) or now < upstream.avoid_until:
        return False
    return upstream.last_seen > upstream.lost_at + LAST_SEEN_MARGIN_SECONDS


def has_alternative(
    pool: list[ForwardedUpstream], upstream: ForwardedUpstream, tried: set[str], now: float
) -> bool:
    """Tell whether a request could be tried at another upstream right now.

    Args:
        pool: Upstreams of the pool.
        upstream: Where the request is.
        tried: Runs of upstreams that it was tried at.
        now: Monotonic time.

    Returns:
        False too if the only other one has the same address: that is an older run of it.
    """
    address = upstream.registration.address
    return any(
        is_usable(item, now)
        and item.registration.instance not in tried
        and item.registration.address != address
        for item in pool
    )


def covers_layers(engines: Iterable[ForwardedUpstream], layers: int) -> bool:
    """Tell whether some engines together hold all layers of a model."""
    held: set[int] = set()
    for engine in engines:
        for item in engine.registration.holdings:
            held.update(range(item.first, min(item.end, layers)))
    return len(held) >= layers


def is_inactive(upstream: ForwardedUpstream, now: float) -> bool:
    """Tell whether nobody has heard an upstream for so long that it is likely lost."""
    return now - upstream.last_seen > INACTIVE_SECONDS


def slow_factor(upstream: ForwardedUpstream, now: float) -> float:
    """Return how many times slower than usual an engine is likely to work; at least 1."""
    is_believed = now - upstream.slowdown_at < SLOWDOWN_VALID_SECONDS
    return max(1.0, upstream.slowdown) if is_believed else 1.0
