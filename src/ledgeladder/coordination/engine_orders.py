"""Orders to engines that registered: what is wanted, what was sent, and what came of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..model.registration import Holding

CONFIRM_SECONDS: Final = 4.0
"""How long an engine may take to report layers that it was ordered to hold: one load of a
quarter of the model at the shared rate, and two heartbeats. After that it is ordered again."""


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

    NO_ANSWER = "no-answer"
    """None came, or the order was not sent since the engine could not be reached or the lease had
    ended. It may have been taken, or may be carried out late."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCall:
    """An encoded call to an engine."""

    method: bytes
    """Method."""

    target: bytes
    """Path and query."""

    headers: list[tuple[bytes, bytes]]
    """Header fields without `Host`, which whoever sends the call adds."""

    body: bytes
    """The body."""


@dataclass(kw_only=True, slots=True)
class SentOrder:
    """The newest order to one run of an engine."""

    holding: Holding
    """Layers that it is to hold. The same are ordered again for as long as this leader remembers
    the order, so that one that is carried out late does no harm."""

    sent_at: float
    """When it was last sent, on the monotonic clock."""

    fence: int
    """Term under which it was last sent."""


@dataclass(kw_only=True)
class OrderLedger:
    """Orders of one leader, by run of the engine; emptied while this box does not lead."""

    sent: dict[str, SentOrder] = field(default_factory=dict)
    """Newest order to each engine that came without layers and has not reported any. Moves of
    engines that hold layers are not noted here."""

    repaired_at: float = float("-inf")
    """When an engine was last moved to layers that a failure domain lacked."""

    fenced_terms: set[int] = field(default_factory=set)
    """Terms under which an engine refused an order of `sent`; this box orders nothing more under
    them."""


def due(ledger: OrderLedger, instance: str, now: float) -> bool:
    """Tell whether an engine that reports no layers is to be ordered now."""
    order = ledger.sent.get(instance)
    return order is None or now - order.sent_at >= CONFIRM_SECONDS


def note_sent(ledger: OrderLedger, instance: str, holding: Holding, fence: int, now: float) -> None:
    """Note an order that is about to be sent."""
    ledger.sent[instance] = SentOrder(holding=holding, sent_at=now, fence=fence)


def note_outcome(ledger: OrderLedger, instance: str, outcome: OrderOutcome, fence: int) -> None:
    """Take in what an engine said to an order, also to a move, which is not kept in `sent`.

    Args:
        ledger: The orders.
        instance: Run of the engine.
        outcome: What it said.
        fence: Term under which the order was sent.
    """
    if outcome is OrderOutcome.FENCED:
        ledger.fenced_terms.add(fence)
    elif outcome is OrderOutcome.WRONG_UPSTREAM:
        ledger.sent.pop(instance, None)


def settle(ledger: OrderLedger, holding_now: set[str], known: set[str]) -> list[str]:
    """Forget orders whose engines report layers or are gone.

    Args:
        ledger: The orders.
        holding_now: Engines that report layers.
        known: Engines that are registered.

    Returns:
        Engines whose orders were confirmed.
    """
    confirmed = [instance for instance in ledger.sent if instance in holding_now]
    for instance in list(ledger.sent):
        if instance in holding_now or instance not in known:
            del ledger.sent[instance]
    return confirmed
