"""Times at which refused callers are told to return: spread, and the more urgent first.

A box promises places in the time ahead at the rate at which its streams end. Callers who were
refused together thus return one after the other, and not in the burst that filled the engines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

MIN_RETURN_SECONDS: Final = 0.1
"""Minimum delay, also the pace that is assumed until a stream has begun. Prevents callers from
retrying in a tight loop."""

MAX_RETURN_SECONDS: Final = 60.0
"""Maximum delay: bursts are over by then, so the present rate says nothing about later."""

MIN_INTERVAL_SECONDS: Final = 0.002
"""Minimum time between two places; delays are told in milliseconds."""

CAPACITY_SHARE: Final = 0.5
"""Share of a stream's mean duration after which full engines are expected to have capacity again:
about half of their streams end within it."""

PROMISED_SHARE: Final = 0.5
"""Part of the ends of streams that is promised; requests that arrive meanwhile take the rest."""

USEFUL_SHARE: Final = 1.0 / 3.0
"""Part of the time that a caller has left within which it returns; later it gives up instead."""

MAX_PLACES: Final = 512
"""Maximum number of places in a book: beyond what callers with common timeouts can use."""

MAX_FREE_PLACES: Final = 2
"""Maximum number of free places that less urgent callers leave between theirs."""

GAP_SHARE: Final = 0.75
"""Least distance to the place of a less urgent caller, as a part of the interval. A place left
free still fits if streams have become somewhat slower since."""

SPREAD_SECONDS: Final = 1.0
"""Maximum time over which callers who are told the same place, which none of them can use, are
spread."""

ROUNDING_SECONDS: Final = 1e-6
"""Tolerance when distances of places are compared."""


class Place(msgspec.Struct, kw_only=True):
    """A promised time, or the range of times promised by a full book."""

    at: float
    """First promised time, on the monotonic clock."""

    until: float
    """Last promised time; the same unless the book was full."""

    rank: int
    """Most urgent class to which it was promised."""


class ReturnBook(msgspec.Struct, kw_only=True):
    """Promised places of one pool at this box."""

    places: list[Place] = msgspec.field(default_factory=list)
    """The places in order of time; at most `MAX_PLACES`."""


class ReturnTime(NamedTuple):
    """When a refused caller should return."""

    seconds: float
    """Delay until room is expected, in seconds."""

    promised: bool
    """Whether a place was taken for the caller; not if it can't use one that late."""


def place_interval(mean_seconds: float, ages: Sequence[float]) -> float:
    """Return the time between two places, in seconds.

    Streams last as long as complete ones did, or longer if the running ones are older on average. A
    box that runs few streams sees few of the ends that make room for it.

    Args:
        mean_seconds: Mean duration of complete streams; 0 if none has completed.
        ages: Ages of the running streams of this box that have begun, in seconds.

    >>> place_interval(2.0, [0.5] * 16), place_interval(2.0, [])
    (0.25, 1.0)
    """
    pace = max(mean_seconds, sum(ages) / len(ages) if ages else 0.0)
    if pace <= 0.0:
        return MIN_RETURN_SECONDS
    share = min(CAPACITY_SHARE, 1.0 / (PROMISED_SHARE * len(ages))) if ages else CAPACITY_SHARE
    return min(max(pace * share, MIN_INTERVAL_SECONDS), MAX_RETURN_SECONDS)


def expire_places(book: ReturnBook, now: float) -> int:
    """Forget places that have passed; return how many are left."""
    passed = 0
    while passed < len(book.places) and book.places[passed].until <= now:
        passed += 1
    del book.places[:passed]
    return len(book.places)


def choose_return(
    book: ReturnBook,
    now: float,
    *,
    rank: int,
    interval: float,
    seconds_left: float,
    rng: random.Random,
) -> ReturnTime:
    """Choose when a refused caller should return, and take a place if it can use it.

    Args:
        book: Promised places, which are updated.
        now: Monotonic time.
        rank: Urgency class of the caller, 0 being the most urgent.
        interval: Time between two places, as given by `place_interval`.
        seconds_left: Time that the caller has left, in seconds.
        rng: Random source.

    Returns:
        The time. It is true also if the caller can't use it.
    """
    expire_places(book, now)
    phase = rng.random()
    start = now + max(MIN_RETURN_SECONDS, interval * (0.5 + phase))
    is_full = len(book.places) >= MAX_PLACES
    find = _after_last if is_full else _first_free
    at = find(book, start, rank, interval)
    useful = min(max(0.0, seconds_left) * USEFUL_SHARE, MAX_RETURN_SECONDS)
    if at - now > useful:
        # Spread all the same: some callers may return later than they are expected to.
        seconds = min(at - now, MAX_RETURN_SECONDS - SPREAD_SECONDS)
        return ReturnTime(seconds + phase * min(interval, SPREAD_SECONDS), promised=False)
    if is_full:
        last = book.places[-1]
        last.until, last.rank = at, min(last.rank, rank)
    else:
        _insert(book, Place(at=at, until=at, rank=rank))
    return ReturnTime(at - now, promised=True)


def _first_free(book: ReturnBook, start: float, rank: int, interval: float) -> float:
    """Return the first free place behind those of more urgent callers."""
    at = start
    blocked = []
    for place in book.places:
        distance = _distance(place, rank, interval)
        blocked.append((place.at - distance, place.until + distance))
        if place.rank < rank:
            at = max(at, place.until + distance)
    for begin, end in sorted(blocked):
        if begin >= at - ROUNDING_SECONDS:
            break
        at = max(at, end)
    return at


def _after_last(book: ReturnBook, start: float, rank: int, interval: float) -> float:
    """Return the time behind all places of a full book."""
    last = book.places[-1]
    return max(start, last.until + max(interval, _distance(last, rank, interval)))


def _distance(place: Place, rank: int, interval: float) -> float:
    """Return the distance that a caller keeps from a place, in seconds."""
    if place.rank > rank:
        return interval * GAP_SHARE
    return interval * (1 + min(rank, MAX_FREE_PLACES))


def _insert(book: ReturnBook, place: Place) -> None:
    position = len(book.places)
    while position and book.places[position - 1].at > place.at:
        position -= 1
    book.places.insert(position, place)
