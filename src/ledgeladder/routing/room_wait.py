"""Decides whether a new request waits for room, and until when."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..model.demand import PoolDemand

MAX_WAIT_TARGET_SHARE: Final = 0.2
"""Maximum wait for room, as a part of the target latency. If the request is refused after it, the
rest leaves the caller time to come back."""


def room_wait_deadline(
    *, arrived_at: float, target_latency: float, deadline: float, stream_seconds: float
) -> float:
    """Return until when a request may wait for room, on the clock of the arguments.

    Args:
        arrived_at: When it arrived, in seconds.
        target_latency: Target time to its first event, in seconds.
        deadline: When its answer must be complete.
        stream_seconds: Usual duration of a stream, in seconds; 0 if unknown.

    >>> room_wait_deadline(arrived_at=10.0, target_latency=1.0, deadline=40.0, stream_seconds=3.0)
    10.2
    >>> room_wait_deadline(arrived_at=10.0, target_latency=1.0, deadline=13.1, stream_seconds=3.0)
    10.1
    """
    return min(arrived_at + target_latency * MAX_WAIT_TARGET_SHARE, deadline - stream_seconds)


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
