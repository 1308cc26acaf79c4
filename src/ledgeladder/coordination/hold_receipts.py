"""Tracks which other control boxes hold the departures of upstreams that this one knows of.

A departure is the report of an upstream that it drains or has exited. Once acknowledged it is not
repeated, so before that as many other boxes must hold it as may be lost at once.
"""

from __future__ import annotations

from typing import Final

import msgspec

MAX_DEPARTURES: Final = 4096
"""Departures whose broadcast is remembered, for upstreams that report them again."""


class HoldReceipts(msgspec.Struct, kw_only=True):
    """Numbers of broadcasts, and which of them other control boxes have confirmed.

    Broadcasts to one box arrive in order, so a receipt covers all earlier ones as well. A box that
    was restarted has forgotten them; it is told everything anew when it is linked again.
    """

    newest: int = 0
    """Number of the newest broadcast to other control boxes."""

    held: dict[str, int] = msgspec.field(default_factory=dict)
    """Newest broadcast that each linked control box has confirmed, by box."""

    departures: dict[str, int] = msgspec.field(default_factory=dict)
    """Broadcast with the departure of each instance, oldest first."""


def open_broadcast(receipts: HoldReceipts) -> int:
    """Return the number of the next broadcast."""
    receipts.newest += 1
    return receipts.newest


def record_departure(receipts: HoldReceipts, instance: str) -> None:
    """Record that the next broadcast has the departure of an instance."""
    receipts.departures.pop(instance, None)
    receipts.departures[instance] = receipts.newest + 1
    while len(receipts.departures) > MAX_DEPARTURES:
        del receipts.departures[next(iter(receipts.departures))]


def record_receipt(receipts: HoldReceipts, box: str, number: int) -> None:
    """Record that a box holds a broadcast and all earlier ones."""
    receipts.held[box] = max(receipts.held.get(box, 0), number)


def forget_box(receipts: HoldReceipts, box: str) -> None:
    """Forget the receipts of a box whose link ended, since it may have been restarted."""
    receipts.held.pop(box, None)


def count_holders(receipts: HoldReceipts, instance: str) -> int:
    """Return how many other boxes hold the departure of an instance."""
    number = receipts.departures.get(instance)
    if number is None:
        return 0
    return sum(held >= number for held in receipts.held.values())
