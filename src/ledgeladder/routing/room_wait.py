"""Decides whether a new request waits for room, and until when."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..model.demand import PoolDemand

MAX_WAIT_SHARE: Final = 0.25
"""Maximum wait for room, as a part of the time that a caller has. Many callers return only once, so
that a second refusal would end the request; a request that is refused after its wait leaves the
caller time to come back."""


def room_wait_deadline(*, arrived_at: float, deadline: float, stream_seconds: float) -> float:
    """Return until when a request may wait for room, on the clock of the arguments.

    Args:
        arrived_at: When it arrived, in seconds.
        deadline: When its answer must be complete.
        stream_seconds: Usual duration of a stream, in seconds; 0 if unknown.

    >>> room_wait_deadline(arrived_at=10.0, deadline=30.0, stream_seconds=3.0)
    15.0
    >>> room_wait_deadline(arrived_at=10.0, deadline=13.5, stream_seconds=3.0)
    10.5
    """
    seconds = max(0.0, deadline - arrived_at)
    return min(arrived_at + seconds * MAX_WAIT_SHARE, deadline - stream_seconds)


def is_place_expected(
    demand: PoolDemand, *, priority: int, seconds: float, ahead: int, entries: int
) -> bool:
    """Return whether a place is expected for a request within its wait.

    Places become free at the rate at which requests were admitted. A priority gets those that more
    urgent requests do not ask for, and no less than it got lately.

    Args:
        demand: Demand for the pool at all entry boxes.
        priority: Priority of the request; 0 is the most urgent.
        seconds: Time that it may wait.
        ahead: Requests that wait before it at this box; as many are assumed at the others.
        entries: Number of entry boxes.
    """
    freed = sum(item.admitted for item in demand.classes.values())
    urgent = sum(item.asked for rank, item in demand.classes.items() if rank < priority)
    own = demand.classes.get(priority)
    places = max(freed - urgent, 0.0 if own is None else own.admitted)
    return places * seconds >= 1 + ahead * max(1, entries)
