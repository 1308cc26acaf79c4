"""Tracks the state of each registered upstream at an entry box.

The state covers its registration, load, failures, losses and slowdown. It decides whether the
upstream may receive new requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model.registration import Registration, UpstreamState, estimate_start
from .load_sharing import LOAD_VALID_SECONDS
from .rate_grants import GrantedLimit, GrantedLimitTable, grant_wait, has_grant
from .upstream_wishes import Backpressure, BackpressureTable, find_backpressure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..model.exchange import UpstreamLoad

AVOID_SECONDS: Final = 1.0
"""How long an upstream is avoided after a failure; doubles with each consecutive failure."""

MAX_AVOID_SECONDS: Final = 8.0
"""Maximum time for which an upstream is avoided after failures."""

MAX_DOUBLINGS: Final = 16
"""Number of failures after which that time no longer grows in any case."""

FULL_AVOID_SECONDS: Final = 0.25
"""How long a full upstream is avoided; about one report interval of an engine."""

OUT_OF_REACH_SECONDS: Final = 0.5
"""How long an upstream is avoided after this box, which is cut off, found no way to it."""

INACTIVE_SECONDS: Final = 4.0
"""Time since the last heartbeat after which an upstream is only a last resort."""

SUSPECT_SECONDS: Final = 1.0
"""How long failures make their failure domain suspected."""

MIN_SUSPECT_UPSTREAMS: Final = 2
"""Minimum number of failed upstreams that make a failure domain suspected; a single failure is more
likely the upstream's own."""

MAX_KEPT_FAILURES: Final = 16
"""Maximum number of failures kept for each failure domain."""

SLOWDOWN_VALID_SECONDS: Final = 4.0
"""How long the slowdown that an engine reported is used. Afterwards, a few requests try the engine
again."""

LAST_SEEN_MARGIN_SECONDS: Final = 0.05
"""Minimum time between a loss and the heartbeat that clears it. Ages are reported in hundredths of
a second, and a heartbeat takes some milliseconds to be announced."""

SILENT_VALID_SECONDS: Final = 2.0
"""How long an engine counts as silent after an attempt over it was found overdue. Longer than the
interval at which overdue attempts are checked."""

SILENCE_SHARE: Final = 0.5
"""How long an accepted probe shows that a silent engine is alive, as a share of its silence until
then."""

MAX_PROBE_VALID_SECONDS: Final = 0.5
"""Maximum time for which an accepted probe shows that an engine is alive."""

REPORTED_LOAD_VALID_SECONDS: Final = 0.3
"""How long the load that an upstream reported is used."""


class ForwardedUpstream(msgspec.Struct, kw_only=True, eq=False):
    """State of one instance of an upstream at this box."""

    registration: Registration
    """Its newest registration."""

    last_seen_at: float
    """When any box last saw a heartbeat of it, on the local monotonic clock."""

    started_at: float = 0.0
    """Estimated start of the instance, on the local monotonic clock."""

    in_flight: int = 0
    """Requests of this box on it."""

    kv_reserved: float = 0.0
    """KV cache that requests of this box take on it, in tokens x layers."""

    pending_prompts: int = 0
    """Those of the requests that have no event yet."""

    pending_prefill: float = 0.0
    """Prompt tokens of those x the layers that they run on it."""

    reported_in_flight: int = 0
    """Requests on it in this box's newest load report."""

    reported_kv: float = 0.0
    """KV cache in that report, in tokens x layers."""

    peer_in_flight: int = 0
    """Requests of other boxes on it, as last reported."""

    peer_kv: float = 0.0
    """KV cache of other boxes' requests, as last reported, in tokens x layers."""

    peer_load_at: float = float("-inf")
    """When the load of other boxes was reported, on the monotonic clock."""

    failures: int = 0
    """Consecutive failures."""

    avoid_until: float = 0.0
    """Until when it receives no new requests, on the monotonic clock."""

    lost_at: float = float("-inf")
    """When it was found lost, on the monotonic clock; it receives no new requests until a later
    heartbeat is seen."""

    exited_at: float = float("-inf")
    """When its address refused a connection, on the monotonic clock.

    Its process has exited, or the network rejects connections. A machine that is down refuses none.
    """

    last_success_at: float = float("-inf")
    """When an event last arrived over a path through it, or it last accepted a probe, on the
    monotonic clock."""

    last_event_at: float = float("-inf")
    """When an event last arrived over a path through it, on the monotonic clock."""

    silent_at: float = float("-inf")
    """When an attempt on a path through it was last found overdue, on the monotonic clock."""

    slowdown: float = 1.0
    """Slowdown factor that it last reported; 1 before the first report."""

    slowdown_at: float = float("-inf")
    """When its slowdown was last queried, on the monotonic clock."""

    load: UpstreamLoad | None = None
    """Load that it last reported."""

    load_at: float = 0.0
    """When it reported that load, on the monotonic clock."""

    backpressure: Backpressure = msgspec.field(default_factory=Backpressure)
    """Back-pressure that it signaled to this box."""

    limit: GrantedLimit | None = None
    """Its rate limit over all boxes; None if it has none."""

    on_lost: set[Callable[[ForwardedUpstream], None]] = msgspec.field(default_factory=set)
    """Callbacks for its loss, one for each request that runs on it."""

    @property
    def draining(self) -> bool:
        """True if it must receive no new requests any more."""
        return self.backpressure.draining or self.registration.state is not UpstreamState.READY


class ForwardingTable(msgspec.Struct, kw_only=True):
    """All registered upstreams."""

    upstreams: dict[str, ForwardedUpstream] = msgspec.field(default_factory=dict)
    """Upstreams by instance."""

    pools: dict[str, list[ForwardedUpstream]] = msgspec.field(default_factory=dict)
    """Upstreams by pool."""

    newest: dict[str, str] = msgspec.field(default_factory=dict)
    """Newest instance of each upstream, by the id that it keeps over restarts."""

    backpressure: BackpressureTable = msgspec.field(default_factory=BackpressureTable)
    """Back-pressure of upstreams, kept also while they are not registered."""

    limits: GrantedLimitTable = msgspec.field(default_factory=GrantedLimitTable)
    """Rate limits of upstreams, kept also while they are not registered."""

    heartbeat: float = 1.0
    """Heartbeat interval of upstreams, in seconds."""


class SuspectedDomains(msgspec.Struct, kw_only=True):
    """Failure domains that may be partitioned from this one or from its engines."""

    failures: dict[str, list[tuple[float, str]]] = msgspec.field(default_factory=dict)
    """Recent failures by failure domain: time and instance of the upstream."""


def record_domain_failure(
    suspected: SuspectedDomains, upstream: ForwardedUpstream, now: float
) -> None:
    """Record a failure or refusal by an upstream of another failure domain."""
    registration = upstream.registration
    recent = suspected.failures.setdefault(registration.failure_domain, [])
    recent.append((now, registration.instance))
    del recent[:-MAX_KEPT_FAILURES]


def is_suspected(suspected: SuspectedDomains, domain: str, now: float) -> bool:
    """Return whether enough upstreams of a failure domain failed lately to suspect a partition."""
    recent = suspected.failures.get(domain, ())
    return len({name for at, name in recent if now - at < SUSPECT_SECONDS}) >= MIN_SUSPECT_UPSTREAMS


def put_registration(
    table: ForwardingTable, registration: Registration, last_seen_at: float
) -> ForwardedUpstream | None:
    """Add or update an upstream from a registration that is newer than the known one.

    Args:
        table: The table.
        registration: The registration.
        last_seen_at: When the upstream's heartbeat was seen, on the local monotonic clock.

    Returns:
        The upstream, or None if it is gone.
    """
    upstream = table.upstreams.get(registration.instance)
    if registration.state is UpstreamState.EXITED:
        drop_upstream(table, registration.instance)
        return None
    started_at = estimate_start(registration, last_seen_at, table.heartbeat)
    if upstream is None:
        # The first heartbeat is sent at the start, so the instance is one interval younger.
        backpressure = find_backpressure(
            table.backpressure, registration, started_at + table.heartbeat
        )
        upstream = ForwardedUpstream(
            registration=registration,
            last_seen_at=last_seen_at,
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
    upstream.last_seen_at = max(upstream.last_seen_at, last_seen_at)
    return upstream


def set_limit(table: ForwardingTable, instance: str, limit: GrantedLimit | None) -> None:
    """Set or clear the rate limit of an upstream if it is registered."""
    upstream = table.upstreams.get(instance)
    if upstream is not None:
        upstream.limit = limit


def pool_limits(table: ForwardingTable, pool: str) -> list[GrantedLimit]:
    """Return the rate limits of the registered upstreams of a pool that aren't draining."""
    return [
        limit
        for instance, limit in table.limits.limits.items()
        if (upstream := table.upstreams.get(instance)) is not None
        and upstream.registration.pool == pool
        and not upstream.draining
    ]


def drop_upstream(table: ForwardingTable, instance: str) -> None:
    """Remove an upstream; its requests in progress continue."""
    upstream = table.upstreams.pop(instance, None)
    if upstream is None:
        return
    _leave_pool(table, upstream)
    upstream_id = upstream.registration.upstream_id
    if table.newest.get(upstream_id) == instance:
        del table.newest[upstream_id]


def other_instance(table: ForwardingTable, registration: Registration) -> ForwardedUpstream | None:
    """Return the known instance of an upstream if a registration names another one; else None."""
    newest = table.newest.get(registration.upstream_id, registration.instance)
    return None if newest == registration.instance else table.upstreams.get(newest)


def _leave_pool(table: ForwardingTable, upstream: ForwardedUpstream) -> None:
    pool = table.pools.get(upstream.registration.pool, [])
    if upstream in pool:
        pool.remove(upstream)


def record_success(upstream: ForwardedUpstream) -> None:
    """Record a success of an upstream, which ends avoidance after failures, fullness or loss."""
    upstream.failures = 0
    upstream.avoid_until = 0.0
    upstream.lost_at = float("-inf")


def record_event(engine: ForwardedUpstream, now: float) -> None:
    """Record that an event arrived over a path through an engine."""
    engine.last_event_at = engine.last_success_at = now


def counts_as_alive(engine: ForwardedUpstream, now: float, seconds: float) -> bool:
    """Return whether an engine needs no probe, since it gave a sign of life recently.

    The longer a silent engine goes on accepting probes, the longer each of them counts. A suspended
    process does not empty its accept queue, which frequent probes of all boxes would fill; a full
    queue drops further ones as a machine does that is down.

    Args:
        engine: The engine.
        now: Monotonic time.
        seconds: How long an event counts.
    """
    if engine.last_event_at > float("-inf"):
        silence = engine.last_success_at - engine.last_event_at
        seconds = max(seconds, min(silence * SILENCE_SHARE, MAX_PROBE_VALID_SECONDS))
    return now - engine.last_success_at <= seconds


def record_silence(engines: Iterable[ForwardedUpstream], now: float) -> None:
    """Record that an attempt over some engines is overdue; which of them is silent is unknown."""
    for engine in engines:
        engine.silent_at = now


def is_silent(engine: ForwardedUpstream, now: float) -> bool:
    """Return whether attempts over an engine are overdue and no event came through it since."""
    return engine.silent_at > engine.last_event_at and now - engine.silent_at < SILENT_VALID_SECONDS


def record_failure(upstream: ForwardedUpstream, now: float) -> None:
    """Record a failure of an upstream and avoid it, each time for longer."""
    if now < upstream.avoid_until:
        # Concurrent requests that fail together count as one failure.
        return
    upstream.failures += 1
    doublings = min(upstream.failures - 1, MAX_DOUBLINGS)
    seconds = min(AVOID_SECONDS * 2**doublings, MAX_AVOID_SECONDS)
    upstream.avoid_until = now + seconds


def record_loss(upstream: ForwardedUpstream, now: float) -> None:
    """Record the loss of an upstream and notify the requests that run on it."""
    record_failure(upstream, now)
    upstream.lost_at = now
    for callback in list(upstream.on_lost):
        callback(upstream)


def record_exit(upstream: ForwardedUpstream, now: float) -> None:
    """Record that an upstream's address refuses connections."""
    upstream.exited_at = now


def record_reported_loss(upstream: ForwardedUpstream, now: float) -> bool:
    """Record a loss that other boxes reported; the upstream gets no new requests until it is seen.

    Returns:
        False if the loss was known.
    """
    if upstream.lost_at > upstream.last_seen_at:
        return False
    upstream.lost_at = now
    return True


def record_reachable(upstream: ForwardedUpstream) -> None:
    """Clear the loss of an upstream that other boxes reported but that this box reaches."""
    upstream.lost_at = float("-inf")


def record_out_of_reach(upstream: ForwardedUpstream, now: float) -> None:
    """Avoid an upstream briefly that this box has no way to, without counting a failure."""
    upstream.avoid_until = max(upstream.avoid_until, now + OUT_OF_REACH_SECONDS)


def forgive_failures(table: ForwardingTable, now: float) -> int:
    """Clear the failures and losses of all upstreams that are avoided for them.

    Returns:
        Number of these upstreams.
    """
    forgiven = [item for item in table.upstreams.values() if is_failing(item, now) or is_lost(item)]
    for item in forgiven:
        record_success(item)
    return len(forgiven)


def is_failing(upstream: ForwardedUpstream, now: float) -> bool:
    """Return whether an upstream is avoided after failures, and not only for lack of room."""
    return upstream.failures > 0 and now < upstream.avoid_until


def record_full(upstream: ForwardedUpstream, now: float) -> None:
    """Record that an upstream was full, and avoid it briefly."""
    upstream.avoid_until = max(upstream.avoid_until, now + FULL_AVOID_SECONDS)


def record_load(upstream: ForwardedUpstream, load: UpstreamLoad | None, now: float) -> None:
    """Record the load that an upstream reported in an answer."""
    if load is not None:
        upstream.load = load
        upstream.load_at = now


def apply_peer_load(
    upstream: ForwardedUpstream, in_flight: int, kv_reserved: float, now: float
) -> None:
    """Update the load of other boxes on an upstream.

    Args:
        upstream: The upstream.
        in_flight: Requests of all boxes, including this one.
        kv_reserved: KV cache that they take, in tokens x layers.
        now: Monotonic time.
    """
    upstream.peer_in_flight = max(0, in_flight - upstream.reported_in_flight)
    upstream.peer_kv = max(0.0, kv_reserved - upstream.reported_kv)
    upstream.peer_load_at = now


def has_recent_peer_load(upstream: ForwardedUpstream, now: float) -> bool:
    """Return whether the load of other boxes was reported recently."""
    return now - upstream.peer_load_at < LOAD_VALID_SECONDS


def total_in_flight(upstream: ForwardedUpstream, now: float, sharers: float) -> float:
    """Estimate the requests of all boxes on an upstream.

    Args:
        upstream: The upstream.
        now: Monotonic time.
        sharers: Ratio of all boxes' requests to this box's. It scales this box's load where other
            boxes' load is unknown, and its growth since its last report otherwise.
    """
    if not has_recent_peer_load(upstream, now):
        return upstream.in_flight * sharers
    growth = _peer_growth(upstream.in_flight - upstream.reported_in_flight, sharers)
    return upstream.in_flight + upstream.peer_in_flight + growth


def total_kv(upstream: ForwardedUpstream, now: float, sharers: float) -> float:
    """Estimate the KV cache that requests of all boxes take on an engine, in tokens x layers.

    Args:
        upstream: The engine.
        now: Monotonic time.
        sharers: Ratio of all boxes' requests to this box's, as for `total_in_flight`.
    """
    if not has_recent_peer_load(upstream, now):
        return upstream.kv_reserved * sharers
    growth = _peer_growth(upstream.kv_reserved - upstream.reported_kv, sharers)
    return upstream.kv_reserved + upstream.peer_kv + growth


def total_pending_prefill(upstream: ForwardedUpstream, now: float, sharers: float) -> float:
    """Estimate the prompts of all boxes that an engine has not read yet, in tokens x layers.

    Other boxes are assumed to have as many as this one, but no more than they have requests on the
    engine, each as long as this box's are on average.

    Args:
        upstream: The engine.
        now: Monotonic time.
        sharers: Ratio of all boxes' requests to this box's, as for `total_in_flight`.
    """
    if upstream.pending_prompts <= 0:
        return 0.0
    peer_requests = total_in_flight(upstream, now, sharers) - upstream.in_flight
    peer_prompts = min(upstream.pending_prompts * (sharers - 1.0), peer_requests)
    return upstream.pending_prefill * (1.0 + max(0.0, peer_prompts) / upstream.pending_prompts)


def _peer_growth(own_growth: float, sharers: float) -> float:
    """Estimate how much the load of other boxes grew since it was last reported.

    All boxes choose alike: when an engine is lost, they move its requests to the same engines at
    the same time.
    """
    return max(0.0, own_growth) * max(0.0, sharers - 1.0)


def utilization(upstream: ForwardedUpstream, now: float, sharers: int) -> float:
    """Estimate the utilization of a plain service, in requests per slot.

    Args:
        upstream: The service.
        now: Monotonic time.
        sharers: Number of entry boxes. If there are others and their load is unknown, this box's
            requests count 1.5 times.
    """
    return estimated_requests(upstream, now, sharers) / max(1, upstream.registration.slots)


def estimated_requests(upstream: ForwardedUpstream, now: float, sharers: int) -> float:
    """Estimate the running and waiting requests on a plain service.

    Args:
        upstream: The service.
        now: Monotonic time.
        sharers: Number of entry boxes, as for `utilization`.
    """
    estimate = total_in_flight(upstream, now, 1.5 if sharers > 1 else 1.0)
    load = upstream.load
    if load is not None and now - upstream.load_at < REPORTED_LOAD_VALID_SECONDS:
        estimate = max(estimate, load.running + load.waiting)
    return estimate


def is_at_max_requests(upstream: ForwardedUpstream, now: float, sharers: int) -> bool:
    """Return whether a plain service has reached the cap that its back-pressure set."""
    backpressure = upstream.backpressure
    return (
        now < backpressure.max_requests_until
        and estimated_requests(upstream, now, sharers) >= backpressure.max_requests
    )


def is_backing_off(upstream: ForwardedUpstream, now: float) -> bool:
    """Return whether an upstream's back-off is in force."""
    return now < upstream.backpressure.backoff_until


def accepts_work(upstream: ForwardedUpstream, now: float) -> bool:
    """Return whether draining, back-off and rate limit permit new requests to an upstream."""
    if upstream.draining or is_backing_off(upstream, now):
        return False
    return has_grant(upstream.limit, now)


def remaining_wait(upstream: ForwardedUpstream, now: float) -> float:
    """Return the time until back-off and rate limit permit a request, in seconds; 0 if they do."""
    backoff = upstream.backpressure.backoff_until - now
    return max(0.0, backoff, grant_wait(upstream.limit, now))


def min_remaining_wait(upstreams: Iterable[ForwardedUpstream], now: float) -> float | None:
    """Return the shortest `remaining_wait` of some upstreams, in seconds.

    Returns:
        None if one of them accepts requests now, or if all of them are draining.
    """
    waits = [remaining_wait(item, now) for item in upstreams if not item.draining]
    return min(waits) if waits and min(waits) > 0 else None


def is_usable(upstream: ForwardedUpstream, now: float) -> bool:
    """Return whether an upstream may receive new requests now."""
    if not accepts_work(upstream, now) or now < upstream.avoid_until:
        return False
    return not is_lost(upstream)


def is_lost(upstream: ForwardedUpstream) -> bool:
    """Return whether an upstream was found lost and no heartbeat was seen since."""
    return upstream.last_seen_at <= upstream.lost_at + LAST_SEEN_MARGIN_SECONDS


def has_alternative(
    pool: list[ForwardedUpstream], upstream: ForwardedUpstream, tried: set[str], now: float
) -> bool:
    """Return whether a request could be sent to another upstream now.

    Args:
        pool: Upstreams of the pool.
        upstream: Current upstream of the request.
        tried: Instances that the request was sent to.
        now: Monotonic time.

    Returns:
        False also if the only other one has the same address, as it is an older instance.
    """
    address = upstream.registration.address
    return any(
        is_usable(item, now)
        and item.registration.instance not in tried
        and item.registration.address != address
        for item in pool
    )


def covers_layers(engines: Iterable[ForwardedUpstream], layers: int) -> bool:
    """Return whether some engines together hold all layers of a model."""
    covered: set[int] = set()
    for engine in engines:
        for item in engine.registration.holdings:
            covered.update(range(item.first, min(item.end, layers)))
    return len(covered) >= layers


def has_whole_domain(engines: Iterable[ForwardedUpstream], layers: int) -> bool:
    """Return whether the engines of any failure domain together hold all layers of a model."""
    domains: dict[str, list[ForwardedUpstream]] = {}
    for engine in engines:
        domains.setdefault(engine.registration.failure_domain, []).append(engine)
    return any(covers_layers(members, layers) for members in domains.values())


def is_inactive(upstream: ForwardedUpstream, now: float) -> bool:
    """Return whether no heartbeat of an upstream was seen for so long that it is likely lost."""
    return now - upstream.last_seen_at > INACTIVE_SECONDS


def slow_factor(upstream: ForwardedUpstream, now: float) -> float:
    """Return the slowdown factor of an engine; at least 1."""
    is_valid = now - upstream.slowdown_at < SLOWDOWN_VALID_SECONDS
    return max(1.0, upstream.slowdown) if is_valid else 1.0
