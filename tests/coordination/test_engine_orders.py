"""Outcomes of orders to engines, also across changes of the leader."""

from __future__ import annotations

import pytest

from ledgeladder.coordination.engine_orders import (
    CONFIRM_TIMEOUT_SECONDS,
    MOVE_TIMEOUT_SECONDS,
    OrderLedger,
    OrderOutcome,
    is_due,
    reconcile,
    record_outcome,
    record_reported_order,
    record_sent,
    resume_reported_orders,
    step_down,
)
from ledgeladder.model.registration import Holding

LAYERS = Holding(first=0, end=9)


@pytest.mark.parametrize("is_kept", [True, False])
def test_fenced_answer_stops_orders_of_its_term(is_kept: bool) -> None:
    """Applies also to the answer to an order that is no longer kept."""
    ledger = OrderLedger()
    if is_kept:
        record_sent(ledger, "i-1", LAYERS, 0.0)
    record_outcome(ledger, "i-1", OrderOutcome.FENCED, 4)
    assert ledger.fenced_terms == {4}


def test_unconfirmed_order_is_sent_again_and_a_confirmed_one_is_not() -> None:
    ledger = OrderLedger()
    assert is_due(ledger, "i-1", 0.0)
    record_sent(ledger, "i-1", LAYERS, 0.0)
    assert not is_due(ledger, "i-1", CONFIRM_TIMEOUT_SECONDS - 0.1)
    assert is_due(ledger, "i-1", CONFIRM_TIMEOUT_SECONDS)
    assert reconcile(ledger, {"i-1": ()}, 1.0) == []
    assert reconcile(ledger, {"i-1": (LAYERS,)}, 2.0) == ["i-1"]
    assert not ledger.sent


def test_order_to_another_instance_or_to_an_exited_one_is_dropped() -> None:
    ledger = OrderLedger()
    record_sent(ledger, "i-1", LAYERS, 0.0)
    record_sent(ledger, "i-2", LAYERS, 0.0)
    record_outcome(ledger, "i-1", OrderOutcome.WRONG_UPSTREAM, 4)
    assert set(ledger.sent) == {"i-2"}
    assert reconcile(ledger, {"i-1": ()}, 1.0) == []
    assert not ledger.sent


def test_moved_engine_counts_as_holding_the_ordered_layers_while_it_loads() -> None:
    """It reports its old layers, then none, while planning must count the ordered layers."""
    ledger = OrderLedger()
    old = Holding(first=40, end=49)
    record_sent(ledger, "i-1", LAYERS, 0.0)
    assert reconcile(ledger, {"i-1": (old,)}, 1.0) == []
    assert reconcile(ledger, {"i-1": ()}, 2.0) == []
    assert ledger.sent["i-1"].holding == LAYERS
    assert reconcile(ledger, {"i-1": (LAYERS,)}, 3.0) == ["i-1"]


def test_move_that_is_not_carried_out_is_dropped() -> None:
    ledger = OrderLedger()
    old = Holding(first=40, end=49)
    record_sent(ledger, "i-1", LAYERS, 0.0)
    record_sent(ledger, "i-1", LAYERS, CONFIRM_TIMEOUT_SECONDS)
    assert reconcile(ledger, {"i-1": (old,)}, MOVE_TIMEOUT_SECONDS - 0.1) == []
    assert "i-1" in ledger.sent
    assert reconcile(ledger, {"i-1": (old,)}, MOVE_TIMEOUT_SECONDS + 0.1) == []
    assert not ledger.sent


def test_conflicting_order_is_dropped() -> None:
    ledger = OrderLedger()
    record_sent(ledger, "i-1", LAYERS, 0.0)
    record_outcome(ledger, "i-1", OrderOutcome.CONFLICT, 4)
    assert not ledger.sent


def test_load_is_not_ordered_again_while_it_may_still_run() -> None:
    """An order that is sent again restarts the load."""
    ledger = OrderLedger()
    record_sent(ledger, "i-1", LAYERS, 0.0, load_seconds=3.0)
    assert is_due(ledger, "i-1", CONFIRM_TIMEOUT_SECONDS)
    record_outcome(ledger, "i-1", OrderOutcome.STARTED, 4)
    assert not is_due(ledger, "i-1", CONFIRM_TIMEOUT_SECONDS + 5.9)
    assert is_due(ledger, "i-1", CONFIRM_TIMEOUT_SECONDS + 6.0)


def test_order_without_an_answer_is_due_sooner_than_one_that_loads() -> None:
    ledger = OrderLedger()
    record_sent(ledger, "i-1", LAYERS, 0.0, load_seconds=3.0)
    record_outcome(ledger, "i-1", OrderOutcome.NO_ANSWER, 4)
    assert is_due(ledger, "i-1", CONFIRM_TIMEOUT_SECONDS)


def test_next_leader_does_not_repeat_orders_that_load() -> None:
    """An order that is sent again restarts the load, and the leader may change during a load."""
    ledger = OrderLedger()
    record_reported_order(ledger, "i-1", LAYERS, 3.0, 10.0)
    step_down(ledger, 11.0)
    resume_reported_orders(ledger)
    assert not is_due(ledger, "i-1", 15.0)
    assert is_due(ledger, "i-1", 10.0 + CONFIRM_TIMEOUT_SECONDS + 6.0)
    assert reconcile(ledger, {"i-1": (LAYERS,)}, 15.0) == ["i-1"]


def test_expired_orders_of_an_earlier_leader_are_dropped() -> None:
    ledger = OrderLedger()
    record_reported_order(ledger, "i-1", LAYERS, 3.0, 10.0)
    record_sent(ledger, "i-2", LAYERS, 10.0)
    step_down(ledger, 10.0 + CONFIRM_TIMEOUT_SECONDS + 6.0)
    resume_reported_orders(ledger)
    assert not ledger.sent
