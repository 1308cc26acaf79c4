"""What engines say to orders of a leader that was overtaken."""

from __future__ import annotations

import pytest

from ledgeladder.coordination.engine_orders import (
    CONFIRM_SECONDS,
    FORGET_SECONDS,
    OrderLedger,
    OrderOutcome,
    due,
    follow,
    hear,
    note_outcome,
    note_sent,
    settle,
    take_over,
)
from ledgeladder.model.registration import Holding

LAYERS = Holding(first=0, end=9)


@pytest.mark.parametrize("is_kept", [True, False])
def test_fenced_answer_ends_the_orders_of_its_term(is_kept: bool) -> None:
    """Also the answer to an order that is not kept any more."""
    ledger = OrderLedger()
    if is_kept:
        note_sent(ledger, "i-1", LAYERS, 0.0)
    note_outcome(ledger, "i-1", OrderOutcome.FENCED, 4)
    assert ledger.fenced_terms == {4}


def test_order_without_a_report_is_sent_again_and_a_confirmed_one_is_not() -> None:
    ledger = OrderLedger()
    assert due(ledger, "i-1", 0.0)
    note_sent(ledger, "i-1", LAYERS, 0.0)
    assert not due(ledger, "i-1", CONFIRM_SECONDS - 0.1)
    assert due(ledger, "i-1", CONFIRM_SECONDS)
    assert settle(ledger, {"i-1": ()}, 1.0) == []
    assert settle(ledger, {"i-1": (LAYERS,)}, 2.0) == ["i-1"]
    assert not ledger.sent


def test_order_to_another_run_or_to_one_that_ended_is_forgotten() -> None:
    ledger = OrderLedger()
    note_sent(ledger, "i-1", LAYERS, 0.0)
    note_sent(ledger, "i-2", LAYERS, 0.0)
    note_outcome(ledger, "i-1", OrderOutcome.WRONG_UPSTREAM, 4)
    assert set(ledger.sent) == {"i-2"}
    assert settle(ledger, {"i-1": ()}, 1.0) == []
    assert not ledger.sent


def test_moved_engine_is_not_taken_for_settled_or_empty_while_it_loads() -> None:
    """It reports its old layers first, then none: planning must count the layers it is to hold."""
    ledger = OrderLedger()
    old = Holding(first=40, end=49)
    note_sent(ledger, "i-1", LAYERS, 0.0)
    assert settle(ledger, {"i-1": (old,)}, 1.0) == []
    assert settle(ledger, {"i-1": ()}, 2.0) == []
    assert ledger.sent["i-1"].holding == LAYERS
    assert settle(ledger, {"i-1": (LAYERS,)}, 3.0) == ["i-1"]


def test_move_that_is_not_carried_out_is_planned_anew() -> None:
    ledger = OrderLedger()
    old = Holding(first=40, end=49)
    note_sent(ledger, "i-1", LAYERS, 0.0)
    note_sent(ledger, "i-1", LAYERS, CONFIRM_SECONDS)
    assert settle(ledger, {"i-1": (old,)}, FORGET_SECONDS - 0.1) == []
    assert "i-1" in ledger.sent
    assert settle(ledger, {"i-1": (old,)}, FORGET_SECONDS + 0.1) == []
    assert not ledger.sent


def test_order_that_does_not_fit_the_engine_is_forgotten() -> None:
    ledger = OrderLedger()
    note_sent(ledger, "i-1", LAYERS, 0.0)
    note_outcome(ledger, "i-1", OrderOutcome.CONFLICT, 4)
    assert not ledger.sent


def test_load_that_has_begun_is_not_ordered_again_while_it_may_still_run() -> None:
    """Ordered again it begins anew: one engine took 11 s for a load of 2 s."""
    ledger = OrderLedger()
    note_sent(ledger, "i-1", LAYERS, 0.0, load_seconds=3.0)
    assert due(ledger, "i-1", CONFIRM_SECONDS)
    note_outcome(ledger, "i-1", OrderOutcome.BEGUN, 4)
    assert not due(ledger, "i-1", CONFIRM_SECONDS + 5.9)
    assert due(ledger, "i-1", CONFIRM_SECONDS + 6.0)


def test_order_without_an_answer_is_due_sooner_than_one_that_has_begun() -> None:
    ledger = OrderLedger()
    note_sent(ledger, "i-1", LAYERS, 0.0, load_seconds=3.0)
    note_outcome(ledger, "i-1", OrderOutcome.NO_ANSWER, 4)
    assert due(ledger, "i-1", CONFIRM_SECONDS)


def test_next_leader_does_not_order_again_what_loads() -> None:
    """An order that is repeated begins the load anew; leaders change in the middle of loads."""
    ledger = OrderLedger()
    hear(ledger, "i-1", LAYERS, 3.0, 10.0)
    follow(ledger, 11.0)
    take_over(ledger)
    assert not due(ledger, "i-1", 15.0)
    assert due(ledger, "i-1", 10.0 + CONFIRM_SECONDS + 6.0)
    assert settle(ledger, {"i-1": (LAYERS,)}, 15.0) == ["i-1"]


def test_what_an_old_leader_ordered_long_ago_is_forgotten() -> None:
    ledger = OrderLedger()
    hear(ledger, "i-1", LAYERS, 3.0, 10.0)
    note_sent(ledger, "i-2", LAYERS, 10.0)
    follow(ledger, 10.0 + CONFIRM_SECONDS + 6.0)
    take_over(ledger)
    assert not ledger.sent
