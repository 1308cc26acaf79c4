"""Decides which new requests get room while the room of a pool is short.

Room is kept for the more urgent requests that are expected before an admission shows in the view of
the load (trunk reservation).
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

from .fair_shares import account_ratio

if TYPE_CHECKING:
    from ..model.demand import ClassDemand, PoolDemand
    from .pool_room import PoolRoom

MIN_CLASS_SHARE: Final = 0.5
"""Minimum admitted ratio of a priority, relative to that of all requests: no priority starves, and
the floors of all together take at most half of the admitted rate."""

MIN_ADMITTED_RATIO: Final = 0.1
"""Minimum of the admitted ratio from which floors follow. A box whose view of the room is wrong
would otherwise lower its own ratio with each decision until it admits nothing."""

MAX_RESERVED_SHARE: Final = 0.25
"""Maximum reserved part of the capacity. Levels reach 1 at twice the reserved room, so that a fleet
that is half free refuses nobody."""

MIN_HORIZON_SECONDS: Final = 0.1
"""Minimum horizon, about the time for which a view of the room is cached."""


class AdmissionReason(StrEnum):
    """Why a request was admitted or refused."""

    ROOM = "room"
    """There is room beyond what is kept for more urgent requests."""

    LEAST_SHARE = "least-share"
    """There is none, but its priority or account has less than its share."""

    RESERVED = "reserved"
    """The room is kept for more urgent requests."""

    ACCOUNT_SHARE = "account-share"
    """The same, and its account asks for more than its fair share of its priority."""

    NO_ROOM = "no-room"
    """There is no room for any request."""


class AdmissionDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision and what it follows from."""

    admitted: bool
    """True if the request gets room now."""

    reason: AdmissionReason
    """Why."""

    free: float
    """Free room, in requests of the usual size."""

    reserved: float
    """Room kept for more urgent requests, in requests of the usual size."""

    class_share: float
    """Part of the requests of its priority that is admitted, from 0 to 1."""

    account_share: float
    """Part of the requests of its account that is admitted, from 0 to 1."""

    demand_age: float
    """Age of the demand, in seconds."""


class AdmissionLevel(msgspec.Struct, kw_only=True):
    """Level of one priority for one pool."""

    value: float = 1.0
    """Part of the requests for which there is room, from 0 to 1."""

    at: float = float("-inf")
    """When it was computed, on the monotonic clock."""


class AdmissionView(msgspec.Struct, frozen=True, kw_only=True):
    """What a decision is based on."""

    room: PoolRoom
    """Room of the pool."""

    demand: PoolDemand
    """Demand for the pool at all entry boxes."""

    demand_age: float
    """Age of the demand, in seconds."""

    horizon: float
    """Time until an admission shows in the room, in seconds: age of the view plus target
    latency."""

    usual_tokens: float
    """Tokens of a request of the usual size."""


def reserved_room(view: AdmissionView, priority: int) -> float:
    """Return the room that is kept for requests more urgent than a priority."""
    rate = sum(
        _request_rate(item, view.usual_tokens)
        for rank, item in view.demand.classes.items()
        if rank < priority
    )
    wanted = rate * max(MIN_HORIZON_SECONDS, view.horizon)
    return min(wanted, view.room.capacity * MAX_RESERVED_SHARE)


def admitted_ratio(demand: PoolDemand) -> float:
    """Return the admitted part of all requests, at least `MIN_ADMITTED_RATIO`."""
    asked = sum(item.asked for item in demand.classes.values())
    admitted = sum(item.admitted for item in demand.classes.values())
    if asked <= 0.0:
        return 1.0
    return min(1.0, max(MIN_ADMITTED_RATIO, admitted / asked))


def update_level(level: AdmissionLevel, view: AdmissionView, priority: int, now: float) -> float:
    """Update the level of a priority and return it.

    It falls at once and rises by at most 1 a horizon, as a rise shows in the view only then. It is
    1 at once if there is room for all, or if the fleet is half free.
    """
    free, reserved = view.room.free, reserved_room(view, priority)
    horizon = max(MIN_HORIZON_SECONDS, view.horizon)
    if free < 1.0:
        target = 0.0
    elif reserved <= 0.0:
        target = 1.0
    else:
        target = min(1.0, max(0.0, free / reserved - 1.0))
    if target > level.value and not _has_room_for_all(view, priority, reserved):
        target = min(target, level.value + max(0.0, now - level.at) / horizon)
    level.value, level.at = target, now
    return target


def decide(
    view: AdmissionView,
    level: AdmissionLevel,
    *,
    priority: int,
    account: str | None,
    draw: float,
    now: float,
) -> AdmissionDecision:
    """Decide whether a new request gets room now.

    Args:
        view: What the decision is based on.
        level: Level of the priority for the pool, which is updated.
        priority: Priority of the request; 0 is the most urgent.
        account: Its client account; None on routes without keys.
        draw: Random number of the request from 0 to 1, the same for each decision on it.
        now: Monotonic time.
    """
    value = update_level(level, view, priority, now)
    share = max(value, MIN_CLASS_SHARE * admitted_ratio(view.demand))
    demand = view.demand.classes.get(priority)
    own_share = share if demand is None else _account_share(demand, share, account)
    admitted = draw < own_share
    return AdmissionDecision(
        admitted=admitted,
        reason=_reason(view, admitted, draw, value, share),
        free=view.room.free,
        reserved=reserved_room(view, priority),
        class_share=share,
        account_share=own_share,
        demand_age=view.demand_age,
    )


def _has_room_for_all(view: AdmissionView, priority: int, reserved: float) -> bool:
    """Return whether a level may rise at once.

    It may if this is the most urgent priority and a place is free, if the room covers twice the
    reserved part and what the priority itself asks for within the horizon, or if the fleet is half
    free.
    """
    free = view.room.free
    if reserved <= 0.0 or free >= view.room.capacity / 2:
        return free >= 1.0
    own = view.demand.classes.get(priority)
    rate = 0.0 if own is None else _request_rate(own, view.usual_tokens)
    return free >= 2.0 * reserved + rate * max(MIN_HORIZON_SECONDS, view.horizon)


def _account_share(demand: ClassDemand, share: float, account: str | None) -> float:
    return account_ratio(demand.accounts, demand.tokens, share, account)


def _reason(
    view: AdmissionView, admitted: bool, draw: float, value: float, share: float
) -> AdmissionReason:
    if admitted:
        return AdmissionReason.ROOM if draw < value else AdmissionReason.LEAST_SHARE
    if draw < share:
        return AdmissionReason.ACCOUNT_SHARE
    return AdmissionReason.NO_ROOM if view.room.free < 1.0 else AdmissionReason.RESERVED


def _request_rate(demand: ClassDemand, usual_tokens: float) -> float:
    """Return the demand of a priority in requests of the usual size per second."""
    if demand.tokens <= 0.0:
        return demand.asked
    return demand.tokens / max(1.0, usual_tokens)
