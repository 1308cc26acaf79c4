"""Tracks the back-pressure that upstreams signal in answers: back-off for a time, or draining.

Back-pressure comes from one instance of an upstream and applies to this box alone. Unlike avoidance
after a failure, it is not an estimate: a later success doesn't clear it, and the upstream isn't
used as a last resort meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from ..model.registration import Registration

MAX_KEPT_UPSTREAMS: Final = 4096
"""Maximum number of upstreams whose back-pressure outlives their registration, which is dropped
and renewed when heartbeats are interrupted."""


MAX_REQUESTS_SHARE: Final = 0.6
"""Cap for an upstream that was full, as a part of the requests it had when it requested back-off.

The cap is never below its slots. The margin absorbs requests that other boxes send concurrently.
"""

MAX_REQUESTS_BACKOFFS: Final = 10.0
"""How long the cap applies, as a multiple of the requested back-off."""


class Backpressure(msgspec.Struct, kw_only=True):
    """Back-pressure of one instance of an upstream towards this box."""

    backoff_until: float = float("-inf")
    """End of the back-off it requested, on the monotonic clock."""

    requested_at: float = float("-inf")
    """When it last requested back-off, on the monotonic clock."""

    draining: bool = False
    """True once an answer reported that it is draining."""

    max_requests: float = float("inf")
    """Maximum number of requests of all boxes on it, set when it was full."""

    max_requests_until: float = float("-inf")
    """End of that cap, on the monotonic clock."""


class BackpressureTable(msgspec.Struct, kw_only=True):
    """Back-pressure of all upstreams that ever signaled any."""

    entries: dict[str, tuple[str, Backpressure]] = msgspec.field(default_factory=dict)
    """Instance and its back-pressure, by the id that the upstream keeps over restarts; the most
    recently updated entry is last."""


def extend_backoff(
    table: BackpressureTable,
    registration: Registration,
    backpressure: Backpressure,
    seconds: float,
    now: float,
) -> bool:
    """Extend the back-off of an upstream.

    Answers may arrive out of order, so a back-off is never shortened.

    Args:
        table: Keeps the back-pressure when the registration is dropped.
        registration: Registration of the upstream.
        backpressure: Its back-pressure, which is updated.
        seconds: Length of the back-off from now.
        now: Monotonic time at which the answer arrived.

    Returns:
        True if the back-off became longer.
    """
    until = now + seconds
    backpressure.requested_at = now
    _store(table, registration, backpressure)
    if until <= max(now, backpressure.backoff_until):
        return False
    backpressure.backoff_until = until
    return True


def cap_requests(
    backpressure: Backpressure, estimated: float, slots: int, seconds: float, now: float
) -> None:
    """Cap the requests to an upstream that requested back-off because it was full.

    Without a cap, the whole load would return at the end of the back-off and overload it again.

    Args:
        backpressure: Its back-pressure, which is updated.
        estimated: Estimated requests of all boxes on it.
        slots: Requests that it runs concurrently. With fewer requests it was not full, and no cap
            is set.
        seconds: Length of the requested back-off.
        now: Monotonic time.
    """
    if estimated < slots:
        return
    current = backpressure.max_requests if now < backpressure.max_requests_until else float("inf")
    backpressure.max_requests = min(current, max(float(slots), estimated * MAX_REQUESTS_SHARE))
    backpressure.max_requests_until = now + seconds * MAX_REQUESTS_BACKOFFS


def record_draining(
    table: BackpressureTable, registration: Registration, backpressure: Backpressure
) -> bool:
    """Record that an upstream is draining.

    Returns:
        True if it was not known to be draining.
    """
    if backpressure.draining:
        return False
    backpressure.draining = True
    _store(table, registration, backpressure)
    return True


def _store(
    table: BackpressureTable, registration: Registration, backpressure: Backpressure
) -> None:
    table.entries.pop(registration.upstream_id, None)
    table.entries[registration.upstream_id] = (registration.instance, backpressure)
    while len(table.entries) > MAX_KEPT_UPSTREAMS:
        del table.entries[next(iter(table.entries))]


def find_backpressure(
    table: BackpressureTable, registration: Registration, started_at: float
) -> Backpressure:
    """Return the back-pressure for a new registration of an upstream.

    A new instance starts without any, except for a back-off requested after it started: an answer
    doesn't name the instance, so the back-off may be its own.

    Args:
        table: Back-pressure from earlier registrations.
        registration: Registration of the upstream.
        started_at: Estimated start of the instance, on the local monotonic clock.
    """
    instance, known = table.entries.get(registration.upstream_id, ("", Backpressure()))
    if instance == registration.instance:
        return known
    if known.requested_at > started_at:
        return Backpressure(backoff_until=known.backoff_until, requested_at=known.requested_at)
    return Backpressure()
