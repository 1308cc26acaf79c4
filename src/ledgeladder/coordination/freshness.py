"""Tracks how recently a box knew that its configuration was the newest.

A box queries the newest version. The leader replies only while it holds its lease, so the reply was
correct at some time after the query was sent. Its age is therefore counted from the sending of the
query, never from the arrival of the reply: a process that is paused in between does not
overestimate how fresh its knowledge is. Control boxes that do not lead forward the leader's reply
with its age.
"""

from __future__ import annotations

from typing import Final

import msgspec

MAX_OPEN_QUERIES: Final = 32
"""Unanswered queries that are kept, over all links. Entry boxes poll each linked control box once a
second, so these are the queries of the last seconds, also while a box tries all control boxes."""


class Freshness(msgspec.Struct, kw_only=True):
    """What a box knows of the newest version, and since when."""

    version: int = 0
    """Newest version known to be committed."""

    as_of: float = float("-inf")
    """Local monotonic time at which no newer version was committed."""

    sent_at: dict[int, float] = msgspec.field(default_factory=dict)
    """When each open query was sent, by its number."""

    next_query: int = 1
    """Number of the next query."""


def open_query(freshness: Freshness, now: float) -> int:
    """Open a query.

    Args:
        freshness: State of the box.
        now: Monotonic time, read before the query is sent.

    Returns:
        Number of the query.
    """
    number = freshness.next_query
    freshness.next_query += 1
    freshness.sent_at[number] = now
    while len(freshness.sent_at) > MAX_OPEN_QUERIES:
        del freshness.sent_at[next(iter(freshness.sent_at))]
    return number


def handle_reply(freshness: Freshness, number: int, version: int, age: float | None) -> None:
    """Handle a reply to a query.

    A reply with an older version than the known one comes from a box that lags behind and is
    ignored. A reply without knowledge leaves the query open, since the box replies again once it
    has some.

    Args:
        freshness: State of the box.
        number: Number of the query.
        version: Newest version that the replying box knows.
        age: Age of the replying box's own knowledge in seconds, or None if it has none.
    """
    if age is None:
        return
    sent_at = freshness.sent_at.pop(number, None)
    if sent_at is None:
        return
    as_of = sent_at - age
    if version >= freshness.version and as_of > freshness.as_of:
        freshness.version = version
        freshness.as_of = as_of


def is_fresh(freshness: Freshness, own_version: int, now: float, max_age: float) -> bool:
    """Return whether the local configuration was the newest within the last `max_age` seconds.

    Args:
        freshness: State of the box.
        own_version: Version that the box has in force.
        now: Monotonic time, read after the arrival of the request that relies on it.
        max_age: Maximum age, in seconds.

    Returns:
        True if nothing newer can have been committed more than `max_age` seconds ago.
    """
    return own_version >= freshness.version and now - freshness.as_of <= max_age
