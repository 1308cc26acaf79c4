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

KEPT: Final = 4096
"""Upstreams whose wishes are remembered beyond their registration. One that was not heard for some
seconds is dropped and may come back; the largest deployment has 600."""


MOST_SHARE: Final = 0.6
"""Part of what a full upstream held when it asked for rest that it is sent again at most, but never
less than its slots. What was in its queue then was sent by boxes that did not know of each other;
the rest is room for that."""

MOST_RESTS: Final = 10.0
"""How many times the rest that was asked for that bound holds: finding out anew whether there is
more room then costs a tenth of the time at most."""


class Wishes(msgspec.Struct, kw_only=True):
    """What one run of an upstream asked of this box."""

    rest_until: float = float("-inf")
    """Until when it wants nothing from this box, on the monotonic clock."""

    asked_at: float = float("-inf")
    """When it asked for that last, on the monotonic clock."""

    leaving: bool = False
    """True once it said in an answer that it ends soon."""

    most: float = float("inf")
    """Requests of all boxes that it is sent at most, since it was full when it asked for rest."""

    most_until: float = float("-inf")
    """Until when that holds, on the monotonic clock."""


class WishBook(msgspec.Struct, kw_only=True):
    """Wishes of all upstreams that ever asked for anything."""

    wishes: dict[str, tuple[str, Wishes]] = msgspec.field(default_factory=dict)
    """Run that asked and its wishes, by the id that the upstream keeps over restarts; those that
    asked last come last."""


def ask_rest(
    book: WishBook, registration: Registration, wishes: Wishes, seconds: float, now: float
) -> bool:
    """Take in that an upstream wants nothing for some time.

    Answers may overtake one another, so that a shorter time never shortens an earlier one.

    Args:
        book: Keeps the wish beyond the registration.
        registration: What the upstream said of itself.
        wishes: Its wishes.
        seconds: How long, from now on.
        now: Monotonic time, read when the answer came.

    Returns:
        True if it rests for longer than it did before.
    """
    until = now + seconds
    wishes.asked_at = now
    _keep(book, registration, wishes)
    if until <= max(now, wishes.rest_until):
        return False
    wishes.rest_until = until
    return True


def note_fullness(wishes: Wishes, held: float, slots: int, seconds: float, now: float) -> None:
    """Bound what an upstream is sent that asked for rest since it was full.

    Rest gives it time, and sends its load to the others; without a bound all of that comes back in
    the moment in which the rest ends, and the next one asks for rest.

    Args:
        wishes: Its wishes.
        held: Requests of all boxes that it held then.
        slots: Requests that it works on at once. One that held fewer was not full, and asked for
            another reason.
        seconds: Rest that it asked for.
        now: Monotonic time.
    """
    if held < slots:
        return
    known = wishes.most if now < wishes.most_until else float("inf")
    wishes.most = min(known, max(float(slots), held * MOST_SHARE))
    wishes.most_until = now + seconds * MOST_RESTS


def say_leaving(book: WishBook, registration: Registration, wishes: Wishes) -> bool:
    """Take in that an upstream says that it ends soon.

    Returns:
        True if it had not said so before.
    """
    if wishes.leaving:
        return False
    wishes.leaving = True
    _keep(book, registration, wishes)
    return True


def _keep(book: WishBook, registration: Registration, wishes: Wishes) -> None:
    book.wishes.pop(registration.upstream_id, None)
    book.wishes[registration.upstream_id] = (registration.instance, wishes)
    while len(book.wishes) > KEPT:
        del book.wishes[next(iter(book.wishes))]


def wishes_of(book: WishBook, registration: Registration, began_at: float) -> Wishes:
    """Return the wishes of a run of an upstream that is taken in.

    A run that starts anew has asked for nothing, unless the time was asked for after it began: an
    answer does not tell which of two runs under one id it comes from.

    Args:
        book: Wishes of earlier registrations.
        registration: What the upstream says of itself.
        began_at: Estimate of when the run began, on the own monotonic clock.
    """
    instance, held = book.wishes.get(registration.upstream_id, ("", Wishes()))
    if instance == registration.instance:
        return held
    if held.asked_at > began_at:
        return Wishes(rest_until=held.rest_until, asked_at=held.asked_at)
    return Wishes()
