"""Decides which new requests get room while the room of a pool is short.

Room is kept for the more urgent requests that are expected before an admission shows in the view
of the load (trunk reservation). Of each priority a share is admitted, so that boxes with the same
lagging view do not all admit or all refuse.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

from .admission_view import expected_room, horizon_seconds, reserved_room, wanted_room
from .fair_shares import account_ratio

if TYPE_CHECKING:
    from .admission_view import AdmissionView

MIN_CLASS_SHARE: Final = 0.5
"""Minimum admitted ratio of a priority, relative to that of all requests: no priority starves, and
the other half of the room goes to the most urgent requests."""

MIN_ADMITTED_RATIO: Final = 0.1
"""Minimum of the admitted ratio from which least shares follow. A box that knows of no room may be
wrong, and would otherwise admit nothing from which it could learn so."""

CUT_FREE_SHARE: Final = 0.5
"""Free part of the capacity up to which requests are cut according to the demand."""

UNCUT_FREE_SHARE: Final = 0.75
"""Free part of the capacity from which nobody is refused, whatever the demand figures say; they may
be wrong, and the room is not. Between both, shares rise linearly to 1."""


class AdmissionReason(StrEnum):
    """Why a request was admitted or refused."""

    ROOM = "room"
    """There is room, or its priority or account has less than its share of it."""

    RESERVED = "reserved"
    """The room is kept for more urgent requests."""

    ACCOUNT_SHARE = "account-share"
    """The same, and its account asks for more than its fair share of its priority."""

    NO_ROOM = "no-room"
    """There is no room, or too little for all that is asked for and none of it kept for more urgent
    requests."""


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

    horizon: float
    """Time in which a share may rise from 0 to 1, in seconds."""


class AdmissionLevel(msgspec.Struct, kw_only=True):
    """Share of one priority for one pool, as last computed."""

    value: float = 1.0
    """Part of its requests that is admitted, from 0 to 1."""

    at: float = float("-inf")
    """When it was computed, on the monotonic clock."""


def class_share(view: AdmissionView, priority: int) -> float:
    """Return the part of a priority's requests that the view has room for, from 0 to 1.

    Half of the room is split in proportion to demand, the rest goes to the most urgent requests.
    """
    wanted = {rank: wanted_room(view, item) for rank, item in view.demand.classes.items()}
    total = sum(wanted.values())
    room = expected_room(view)
    if total <= room:
        return 1.0 if room > 0.0 else MIN_CLASS_SHARE * MIN_ADMITTED_RATIO
    least = MIN_CLASS_SHARE * room / total
    own = wanted.get(priority, 0.0)
    urgent = sum(item for rank, item in wanted.items() if rank < priority)
    left = room * (1.0 - MIN_CLASS_SHARE) - urgent * (1.0 - least)
    if own > 0.0:
        share = least + min(1.0 - least, max(0.0, left) / own)
    else:
        share = 1.0 if left > 0.0 else least
    return max(share, MIN_CLASS_SHARE * MIN_ADMITTED_RATIO, _uncut_share(view))


def update_level(level: AdmissionLevel, view: AdmissionView, priority: int, now: float) -> float:
    """Update the share of a priority and return it.

    It falls at once and rises by at most 1 a horizon, as a rise shows in the view only then; a free
    fleet raises it at once.
    """
    share = class_share(view, priority)
    risen = level.value + max(0.0, now - level.at) / horizon_seconds(view)
    level.value, level.at = max(min(share, risen), _uncut_share(view)), now
    return level.value


def can_rise_to(decision: AdmissionDecision, draw: float, seconds: float) -> bool:
    """Return whether the share of a refused request may reach its random number within a time."""
    return draw < decision.account_share + seconds / decision.horizon


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
    share = update_level(level, view, priority, now)
    demand = view.demand.classes.get(priority)
    own_share = share
    if demand is not None:
        own_share = account_ratio(demand.accounts, demand.tokens, share, account)
    admitted = draw < own_share
    reserved = reserved_room(view, priority)
    is_kept = view.room.free >= 1.0 and reserved > 0.0
    return AdmissionDecision(
        admitted=admitted,
        reason=_reason(admitted, draw, share, is_kept=is_kept),
        free=view.room.free,
        reserved=reserved,
        class_share=share,
        account_share=own_share,
        demand_age=view.demand_age,
        horizon=horizon_seconds(view),
    )


def _reason(admitted: bool, draw: float, share: float, *, is_kept: bool) -> AdmissionReason:
    if admitted:
        return AdmissionReason.ROOM
    if draw < share:
        return AdmissionReason.ACCOUNT_SHARE
    return AdmissionReason.RESERVED if is_kept else AdmissionReason.NO_ROOM


def _uncut_share(view: AdmissionView) -> float:
    """Return the least share of all requests that a free fleet gives, from 0 to 1."""
    if view.room.capacity <= 0.0:
        return 0.0
    free = view.room.free / view.room.capacity
    return min(1.0, max(0.0, (free - CUT_FREE_SHARE) / (UNCUT_FREE_SHARE - CUT_FREE_SHARE)))
