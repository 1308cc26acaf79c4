"""What engines say to orders of a leader that was overtaken."""

from __future__ import annotations

import pytest

from ledgeladder.coordination.engine_orders import (
    CONFIRM_SECONDS,
    OrderLedger,
    OrderOutcome,
    due,
    note_outcome,
    note_sent,
    settle,
)
from ledgeladder.model.registration import Holding

LAYERS = Holding(first=0, end=9)


@pytest.mark.parametrize("is_kept", [True, False])
def test_fenced_answer_ends_the_orders_of_its_term(is_kept: bool) -> None:
    """Also the answer to a move, which is not kept among the orders."""
    ledger = OrderLedger()
    if is_kept:
        note_sent(ledger, "i-1", LAYERS, 4, 0.0)
    note_outcome(ledger, "i-1", OrderOutcome.FENCED, 4)
    assert ledger.fenced_terms == {4}


def test_order_without_a_report_is_sent_again_and_a_confirmed_one_is_not() -> None:
    ledger = OrderLedger()
    assert due(ledger, "i-1", 0.0)
    note_sent(ledger, "i-1", LAYERS, 4, 0.0)
    assert not due(ledger, "i-1", CONFIRM_SECONDS - 0.1)
    assert due(ledger, "i-1", CONFIRM_SECONDS)
    assert settle(ledger, {"i-1"}, {"i-1"}) == ["i-1"]
    assert not ledger.sent


def test_order_to_another_run_or_to_one_that_ended_is_forgotten() -> None:
    ledger = OrderLedger()
    note_sent(ledger, "i-1", LAYERS, 4, 0.0)
    note_sent(ledger, "i-2", LAYERS, 4, 0.0)
    note_outcome(ledger, "i-1", OrderOutcome.WRONG_UPSTREAM, 4)
    assert set(ledger.sent) == {"i-2"}
    assert settle(ledger, set(), {"i-1"}) == []
    assert not ledger.sent
