"""Orders to registered engines: what was sent, under which term, and the outcome.

An order stays open until the engine reports the layers. Planning counts the layers of open orders
as held by the engine, so nothing is ordered twice.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ..model.registration import Holding

CONFIRM_TIMEOUT_SECONDS: Final = 4.0
"""How long an engine that did not answer an order may take to report the layers, before it is
ordered again. Covers the load of a part of the model and two heartbeats."""

LOAD_TIMEOUT_FACTOR: Final = 2.0
"""Ratio of the timeout of a load to its predicted time. An order that is sent again restarts the
load, and concurrent loads slow it down."""

MOVE_TIMEOUT_SECONDS: Final = 12.0
"""An order to move layers that was not carried out is dropped after this time, or after its own
timeout if that is longer, and planned again."""


class OrderOutcome(StrEnum):
    """How an engine answered an order."""

    DONE = "done"
    """The engine holds the layers, or the request runs on its new path."""

    STARTED = "begun"
    """The engine loads the layers; its heartbeats report them once it holds them."""

    CONFLICT = "conflict"
    """The order does not fit the state of the engine."""

    FENCED = "fenced"
    """The engine has seen an order of a later leader."""

    WRONG_UPSTREAM = "wrong-upstream"
    """Another instance of an engine has the address."""

    UNKNOWN_REQUEST = "unknown-request"
    """The request whose path was to change does not run on the engine."""

    REFUSED = "refused"
    """Any other answer."""

    BACKING_OFF = "resting"
    """The engine requested back-off, so the order was not sent or was refused."""

    NO_ANSWER = "no-answer"
    """No answer arrived, or the order was not sent because the engine was unreachable or the lease
    had expired. The engine may still carry it out."""


class EngineCall(msgspec.Struct, frozen=True, kw_only=True):
    """An encoded call to an engine."""

    method: bytes
    """Method."""

    target: bytes
    """Path and query."""

    headers: list[tuple[bytes, bytes]]
    """Header fields without `Host`, which the sender adds."""

    body: bytes
    """The body."""


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """State that an engine reports when it is queried."""

    slowdown: float
    """How many times slower than usual it works; 1 if it works as usual."""

    started_orders: int = 0
    """Orders that it has started to carry out since its process started. An order names the number
    that it expects, so an engine that does not check terms still refuses a late order."""

    is_busy: bool = False
    """True while it carries out an order."""


class SentOrder(msgspec.Struct, kw_only=True):
    """The newest order to one instance of an engine."""

    holding: Holding
    """Layers assigned to the engine. The leader repeats the same layers for as long as the
    order is open, so an order that is carried out late does no harm."""

    first_sent_at: float
    """When it was first sent, on the monotonic clock."""

    sent_at: float
    """When it was last sent, on the monotonic clock."""

    load_seconds: float = 0.0
    """Predicted time of the load, in seconds."""

    is_loading: bool = False
    """True once the engine answered that it loads the layers."""

    @property
    def timeout_seconds(self) -> float:
        """Time after its last sending at which it is sent again, in seconds."""
        return CONFIRM_TIMEOUT_SECONDS + (
            self.load_seconds * LOAD_TIMEOUT_FACTOR if self.is_loading else 0.0
        )


class OrderLedger(msgspec.Struct, kw_only=True):
    """Open orders by engine instance: its own while this box leads, else those of the leader."""

    sent: dict[str, SentOrder] = msgspec.field(default_factory=dict)
    """Newest order to each engine that has not reported the layers yet. Empty while this box does
    not lead."""

    reported: dict[str, SentOrder] = msgspec.field(default_factory=dict)
    """Newest order to each engine that another leader reported. Empty while this box leads."""

    repaired_at: float = float("-inf")
    """When moves were last planned or ordered again, on the monotonic clock."""

    fenced_terms: set[int] = msgspec.field(default_factory=set)
    """Terms under which an engine refused an order; this box sends no more orders under them."""


def record_reported_order(
    ledger: OrderLedger, instance: str, holding: Holding, load_seconds: float, now: float
) -> None:
    """Record an order of the current leader, so the next leader does not repeat it.

    Args:
        ledger: The orders of this box.
        instance: Instance of the engine.
        holding: Layers assigned to it.
        load_seconds: Predicted time of the load, in seconds.
        now: Monotonic time.
    """
    ledger.reported[instance] = SentOrder(
        holding=holding,
        first_sent_at=now,
        sent_at=now,
        load_seconds=load_seconds,
        is_loading=True,
    )


def step_down(ledger: OrderLedger, now: float) -> None:
    """Drop the orders of this box, and expired ones of the leader, while another box leads."""
    ledger.sent.clear()
    ledger.reported = {
        instance: order
        for instance, order in ledger.reported.items()
        if now - order.sent_at < order.timeout_seconds
    }


def resume_reported_orders(ledger: OrderLedger) -> None:
    """Take over, as the new leader, the orders that the last one reported."""
    for instance, order in ledger.reported.items():
        ledger.sent.setdefault(instance, order)
    ledger.reported = {}


def is_due(ledger: OrderLedger, instance: str, now: float) -> bool:
    """Return whether an order to an engine that has not reported its layers must be sent now."""
    order = ledger.sent.get(instance)
    return order is None or now - order.sent_at >= order.timeout_seconds


def record_sent(
    ledger: OrderLedger,
    instance: str,
    holding: Holding,
    now: float,
    load_seconds: float = 0.0,
) -> None:
    """Record an order that is about to be sent, or sent again.

    Args:
        ledger: The orders.
        instance: Instance of the engine.
        holding: Layers assigned to it.
        now: Monotonic time.
        load_seconds: Predicted time of the load, in seconds.
    """
    previous = ledger.sent.get(instance)
    first = previous.first_sent_at if previous is not None and previous.holding == holding else now
    ledger.sent[instance] = SentOrder(
        holding=holding,
        first_sent_at=first,
        sent_at=now,
        load_seconds=load_seconds,
    )


def record_outcome(ledger: OrderLedger, instance: str, outcome: OrderOutcome, fence: int) -> None:
    """Record how an engine answered an order.

    Args:
        ledger: The orders.
        instance: Instance of the engine.
        outcome: The outcome. An order that reached another instance is dropped, and so is one that
            does not fit the engine's state, since the engine may be carrying out another one.
        fence: Term under which the order was sent.
    """
    if outcome is OrderOutcome.FENCED:
        ledger.fenced_terms.add(fence)
    elif outcome in (OrderOutcome.WRONG_UPSTREAM, OrderOutcome.CONFLICT):
        ledger.sent.pop(instance, None)
    elif outcome is OrderOutcome.STARTED and instance in ledger.sent:
        ledger.sent[instance].is_loading = True


def reconcile(
    ledger: OrderLedger, reported: Mapping[str, Collection[Holding]], now: float
) -> list[str]:
    """Drop orders whose engines report the layers, are gone, or did not carry them out in time.

    Args:
        ledger: The orders.
        reported: Layers that each registered engine reports.
        now: Monotonic time.

    Returns:
        Instances of the engines that report the layers.
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
    """Return whether an engine still reports other layers after the timeout of its move."""
    timeout_seconds = max(MOVE_TIMEOUT_SECONDS, order.timeout_seconds)
    return bool(holdings) and now - order.first_sent_at > timeout_seconds
