"""What upstreams ask of this box: to be left alone for a time, or for good since they end soon.

Both are asked by one run of an upstream, of one box. Neither is an estimate of this box, as a time
of avoidance after a failure is: nothing that happens later takes it back, and there is no last
resort that overrides it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from ..model.registration import Registration

MAX_KEPT_UPSTREAMS: Final = 4096
"""Upstreams whose wishes are remembered beyond their registration. One that was not heard for some
seconds is dropped and may come back; the largest deployment has 600."""


MAX_REQUESTS_SHARE: Final = 0.6
"""Part of what a full upstream held when it asked for rest that it is sent again at most, but never
less than its slots. What was in its queue then was sent by boxes that did not know of each other;
the rest is room for that."""

MAX_REQUESTS_BACKOFFS: Final = 10.0
"""How many times the rest that was asked for that bound holds: finding out anew whether there is
more room then costs a tenth of the time at most."""


class Backpressure(msgspec.Struct, kw_only=True):
    """What one run of an upstream asked of this box."""

    backoff_until: float = float("-inf")
    """Until when it wants nothing from this box, on the monotonic clock."""

    requested_at: float = float("-inf")
    """When it asked for that last, on the monotonic clock."""

    draining: bool = False
    """True once it said in an answer that it ends soon."""

    max_requests: float = float("inf")
    """Requests of all boxes that it is sent at most, since it was full when it asked for rest."""

    max_requests_until: float = float("-inf")
    """Until when that holds, on the monotonic clock."""


class BackpressureTable(msgspec.Struct, kw_only=True):
    """Wishes of all upstreams that ever asked for anything."""

    entries: dict[str, tuple[str, Backpressure]] = msgspec.field(default_factory=dict)
    """Run that asked and its wishes, by the id that the upstream keeps over restarts; those that
    asked last come last."""


def extend_backoff(
    table: BackpressureTable,
    registration: Registration,
    backpressure: Backpressure,
    seconds: float,
    now: float,
) -> bool:
    """Take in that an upstream wants nothing for some time.

    Answers may overtake one another, so that a shorter time never shortens an earlier one.

    Args:
        table: Keeps the wish beyond the registration.
        registration: What the upstream said of itself.
        backpressure: Its wishes.
        seconds: How long, from now on.
        now: Monotonic time, read when the answer came.

    Returns:
        True if it rests for longer than it did before.
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
    """Bound what an upstream is sent that asked for rest since it was full.

    Rest gives it time, and sends its load to the others; without a bound all of that comes back in
    the moment in which the rest ends, and the next one asks for rest.

    Args:
        backpressure: Its wishes.
        estimated: Requests of all boxes that it held then.
        slots: Requests that it works on at once. One that held fewer was not full, and asked for
            another reason.
        seconds: Rest that it asked for.
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
    """Take in that an upstream says that it ends soon.

    Returns:
        True if it had not said so before.
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
    """Return the wishes of a run of an upstream that is taken in.

    A run that starts anew has asked for nothing, unless the time was asked for after it began: an
    answer does not tell which of two runs under one id it comes from.

    Args:
        table: Wishes of earlier registrations.
        registration: What the upstream says of itself.
        started_at: Estimate of when the run began, on the own monotonic clock.
    """
    instance, known = table.entries.get(registration.upstream_id, ("", Backpressure()))
    if instance == registration.instance:
        return known
    if known.requested_at > started_at:
        return Backpressure(backoff_until=known.backoff_until, requested_at=known.requested_at)
    return Backpressure()
