"""Orders to engines that registered: what was sent, by which leader, and what came of it.

An order stays open until the engine reports the layers. Planning counts the layers of open orders
as held, so that nothing is ordered twice.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ..model.registration import Holding

CONFIRM_SECONDS: Final = 4.0
"""How long an engine that did not answer an order may take to report the layers: a load of a
quarter of the model and two heartbeats. After that it is ordered again."""

LOAD_ROOM: Final = 2.0
"""How many times as long as predicted a load may take before it is ordered again: an order that is
repeated while the engine loads begins the load anew, and loads of other orders slow it down."""

FORGET_SECONDS: Final = 12.0
"""After this time, or after the order's own patience if that is longer, an order to move that was
not carried out is forgotten, and planned anew. Three times `CONFIRM_SECONDS`."""


class OrderOutcome(StrEnum):
    """What an engine said to an order."""

    DONE = "done"
    """The engine holds the layers, or the request runs on its new path."""

    BEGUN = "begun"
    """The engine loads the layers; its heartbeats report them once it holds them."""

    CONFLICT = "conflict"
    """It does not fit the state of the engine."""

    FENCED = "fenced"
    """The engine has seen an order of a later leader."""

    WRONG_UPSTREAM = "wrong-upstream"
    """Another run of an engine has the address."""

    UNKNOWN_REQUEST = "unknown-request"
    """The request whose path was to change does not run on the engine."""

    REFUSED = "refused"
    """Any other answer."""

    RESTING = "resting"
    """It has asked for rest; the order was not sent, or was refused with that."""

    NO_ANSWER = "no-answer"
    """None came, or the order was not sent since the engine could not be reached or the lease had
    ended. It may have been taken, or may be carried out late."""


class EngineCall(msgspec.Struct, frozen=True, kw_only=True):
    """An encoded call to an engine."""

    method: bytes
    """Method."""

    target: bytes
    """Path and query."""

    headers: list[tuple[bytes, bytes]]
    """Header fields without `Host`, which whoever sends the call adds."""

    body: bytes
    """The body."""


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of itself when it is asked."""

    slowdown: float
    """How many times slower than usual it works; 1 if it works as usual."""

    orders_taken: int = 0
    """Orders that it has begun since it started. An order names the number that it is to follow, so
    that an engine that checks no terms still refuses one that arrives late."""

    is_busy: bool = False
    """True while it carries out an order."""


class SentOrder(msgspec.Struct, kw_only=True):
    """The newest order to one run of an engine."""

    holding: Holding
    """Layers that it is to hold. The same are ordered again for as long as this leader remembers
    the order, so that one that is carried out late does no harm."""

    first_sent_at: float
    """When it was first sent, on the monotonic clock."""

    sent_at: float
    """When it was last sent, on the monotonic clock."""

    load_seconds: float = 0.0
    """Time that the load is predicted to take, in seconds."""

    begun: bool = False
    """True once the engine said that it loads the layers."""

    @property
    def patience(self) -> float:
        """Time from its last sending after which it is sent once more, in seconds."""
        return CONFIRM_SECONDS + (self.load_seconds * LOAD_ROOM if self.begun else 0.0)


class OrderLedger(msgspec.Struct, kw_only=True):
    """Open orders by run of the engine: the own ones while this box leads, else the leader's."""

    sent: dict[str, SentOrder] = msgspec.field(default_factory=dict)
    """Newest order to each engine that has not reported the layers yet: to one that came without
    any, or to one that was moved. Empty while this box does not lead."""

    heard: dict[str, SentOrder] = msgspec.field(default_factory=dict)
    """Newest order to each engine that another leader told of. Empty while this box leads."""

    repaired_at: float = float("-inf")
    """When moves were last planned or ordered again, on the monotonic clock."""

    fenced_terms: set[int] = msgspec.field(default_factory=set)
    """Terms under which an engine refused an order; this box orders nothing more under them."""


def hear(
    ledger: OrderLedger, instance: str, holding: Holding, load_seconds: float, now: float
) -> None:
    """Note that the leader has ordered an engine, so that the next one does not order it again.

    Args:
        ledger: The orders of this box.
        instance: Run of the engine.
        holding: Layers that it is to hold.
        load_seconds: Time that the load is predicted to take, in seconds.
        now: Monotonic time.
    """
    ledger.heard[instance] = SentOrder(
        holding=holding,
        first_sent_at=now,
        sent_at=now,
        load_seconds=load_seconds,
        begun=True,
    )


def follow(ledger: OrderLedger, now: float) -> None:
    """Drop the own orders, and those that were heard of too long ago, while another box leads."""
    ledger.sent.clear()
    ledger.heard = {
        instance: order
        for instance, order in ledger.heard.items()
        if now - order.sent_at < order.patience
    }


def take_over(ledger: OrderLedger) -> None:
    """Go on, as the leader, with the orders that the last one told of."""
    for instance, order in ledger.heard.items():
        ledger.sent.setdefault(instance, order)
    ledger.heard = {}


def due(ledger: OrderLedger, instance: str, now: float) -> bool:
    """Tell whether an engine that has not reported its layers is to be ordered now, or again."""
    order = ledger.sent.get(instance)
    return order is None or now - order.sent_at >= order.patience


def note_sent(
    ledger: OrderLedger,
    instance: str,
    holding: Holding,
    now: float,
    load_seconds: float = 0.0,
) -> None:
    """Note an order that is about to be sent, or sent once more.

    Args:
        ledger: The orders.
        instance: Run of the engine.
        holding: Layers that it is to hold.
        now: Monotonic time.
        load_seconds: Time that the load is predicted to take, in seconds.
    """
    held = ledger.sent.get(instance)
    first = held.first_sent_at if held is not None and held.holding == holding else now
    ledger.sent[instance] = SentOrder(
        holding=holding,
        first_sent_at=first,
        sent_at=now,
        load_seconds=load_seconds,
    )


def note_outcome(ledger: OrderLedger, instance: str, outcome: OrderOutcome, fence: int) -> None:
    """Take in what an engine said to an order.

    Args:
        ledger: The orders.
        instance: Run of the engine.
        outcome: What it said. An order that reached another run is forgotten, and so is one that
            does not fit the engine's state, since the engine may be carrying out another one.
        fence: Term under which the order was sent.
    """
    if outcome is OrderOutcome.FENCED:
        ledger.fenced_terms.add(fence)
    elif outcome in (OrderOutcome.WRONG_UPSTREAM, OrderOutcome.CONFLICT):
        ledger.sent.pop(instance, None)
    elif outcome is OrderOutcome.BEGUN and instance in ledger.sent:
        ledger.sent[instance].begun = True


def settle(
    ledger: OrderLedger, reported: Mapping[str, Collection[Holding]], now: float
) -> list[str]:
    """Forget orders whose engines report the layers, are gone, or have not carried them out.

    Args:
        ledger: The orders.
        reported: What each registered engine says that it holds.
        now: Monotonic time.

    Returns:
        Runs of the engines that report the layers.
    """
    confirmed = []
    for instance, order in list(ledger.sent.items()):
        holdings = reported.get(instance)
        if holdings is not None and order.holding in holdings:
            confirmed.append(instance)
        elif holdings is not None and not _is_overdue(order, holdings, now):
            continue
        del ledger.sent[instance]
    return confirmed


def _is_overdue(order: SentOrder, holdings: Collection[Holding], now: float) -> bool:
    """Tell whether an engine still reports other layers long after it was moved."""
    patience = max(FORGET_SECONDS, order.patience)
    return bool(holdings) and now - order.first_sent_at > patience
