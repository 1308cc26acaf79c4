"""How long ago a box can be sure that its configuration was the newest.

A box asks for the newest version. The leader answers only while it holds its lease, so the answer
was right at some moment after the question. The box therefore counts from the moment at which it
asked, never from the answer: a process that is frozen in between wakes up with an old belief and
knows it. Control boxes that do not lead pass the leader's answer on together with its age.
"""

from __future__ import annotations

from typing import Final

import msgspec

QUESTIONS_KEPT: Final = 32
"""Unanswered questions that are remembered, over all links. An entry box asks each control box
twice a second: with three of them, those of the last 5 seconds, and with eight, of the last 2."""


class Freshness(msgspec.Struct, kw_only=True):
    """What a box knows of the newest version, and since when."""

    version: int = 0
    """Newest version known to be committed."""

    as_of: float = float("-inf")
    """Own monotonic time at which no newer version was committed."""

    asked_at: dict[int, float] = msgspec.field(default_factory=dict)
    """When each open question was asked, by its number."""

    next_question: int = 1
    """Number of the next question."""


def ask(freshness: Freshness, now: float) -> int:
    """Open a question.

    Args:
        freshness: The box's state.
        now: Monotonic time, read before the question is sent.

    Returns:
        Number of the question.
    """
    number = freshness.next_question
    freshness.next_question += 1
    freshness.asked_at[number] = now
    while len(freshness.asked_at) > QUESTIONS_KEPT:
        del freshness.asked_at[next(iter(freshness.asked_at))]
    return number


def take_answer(freshness: Freshness, number: int, version: int, age: float | None) -> None:
    """Take in an answer.

    One that names an older version than is known counts for nothing: it comes from a box that has
    not caught up. One without knowledge leaves the question open: the box answers it again once it
    is sure.

    Args:
        freshness: The box's state.
        number: Number of the question.
        version: Newest version that the answering box knows.
        age: Seconds that the answering box's own knowledge was old, or None if it has none.
    """
    if age is None:
        return
    asked_at = freshness.asked_at.pop(number, None)
    if asked_at is None:
        return
    as_of = asked_at - age
    if version >= freshness.version and as_of > freshness.as_of:
        freshness.version = version
        freshness.as_of = as_of


def is_fresh(freshness: Freshness, held_version: int, now: float, bound: float) -> bool:
    """Tell whether the held configuration was the newest within the last `bound` seconds.

    Args:
        freshness: The box's state.
        held_version: Version that the box has in force.
        now: Monotonic time, read after the request that relies on it.
        bound: Longest age that is allowed, in seconds.

    Returns:
        True if nothing newer can have been committed more than `bound` seconds ago.
    """
    return held_version >= freshness.version and now - freshness.as_of <= bound
