"""Sends orders to engines while this box leads."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination import raft
from ...coordination.engine_orders import OrderOutcome, record_outcome
from ...coordination.rests import is_backing_off, record_backoff
from ...http1 import AnswerBrokenError, BackoffRequestedError, ConnectError, connect
from ...links import post_to_all
from ...links.messages import OrderUpdate
from ...platform.engine_calls import place_call, read_outcome
from .. import clock
from ..engine_call import fetch_report, send_call
from ..rate_lender import record_own_calls
from .state import rate_granter_of

if TYPE_CHECKING:
    from ...model.registration import Holding, Registration
    from .state import RegistryState

logger = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS: Final = 1.5
"""Timeout of a call to an engine."""

REQUESTS_PER_ORDER: Final = 2
"""Requests of an order that count against the engine's rate limit: a report query and the order.
The limit does not delay them, since an engine without its layers serves no requests."""


def may_order(state: RegistryState) -> bool:
    """Return whether this box holds the lease in a term that no engine has fenced off."""
    replica = state.node.replica
    if replica.term in state.order_ledger.fenced_terms or state.stopping:
        return False
    return raft.holds_lease(replica, clock.now())


def format_range(holding: Holding | None) -> str:
    """Format a range of layers for the log; empty for None."""
    return f"{holding.first}-{holding.end}" if holding is not None else ""


async def order_layers(state: RegistryState, engine: Registration, holding: Holding) -> None:
    """Announce an order to the other control boxes, send it, and record the outcome.

    The announcement comes first: a new leader must not repeat an order that was already sent.
    """
    fence = state.node.replica.term
    order = state.order_ledger.sent.get(engine.instance)
    seconds = order.load_seconds if order is not None else 0.0
    update = OrderUpdate(instance=engine.instance, holding=holding, load_seconds=seconds)
    post_to_all(state.peers.links.values(), update)
    try:
        outcome = await send_order(state, engine, holding, fence)
    except Exception:
        # Raised further, it would cancel the orders to all other engines.
        logger.exception("order failed", extra={"upstream": engine.instance})
        outcome = OrderOutcome.NO_ANSWER
    record_outcome(state.order_ledger, engine.instance, outcome, fence)
    logger.info(
        "layers ordered",
        extra={
            "upstream": engine.instance,
            "layers": format_range(holding),
            "card": engine.card,
            "term": fence,
            "outcome": outcome.value,
        },
    )


async def send_order(
    state: RegistryState, engine: Registration, holding: Holding, fence: int
) -> OrderOutcome:
    """Send an order on the condition that the engine has started no other order since its report.

    Not all engines check the term of an order. The condition makes them reject an order that
    arrives late, or that comes from a leader whose lease has expired, once they have started a
    newer one. The lease is checked again immediately before the order is sent.

    Returns:
        Outcome reported by the engine. `NO_ANSWER` also if the order was not sent because the
        engine is unreachable or busy with another order, or this box no longer leads; `BACKING_OFF`
        while the engine requests back-off. In both cases the order is due again later.
    """
    if is_backing_off(state.backoffs, engine.instance, clock.now()):
        return OrderOutcome.BACKING_OFF
    record_own_calls(rate_granter_of(state), engine.instance, REQUESTS_PER_ORDER)
    try:
        return await _send_order(state, engine, holding, fence)
    except BackoffRequestedError as error:
        record_backoff(state.backoffs, engine.instance, error.seconds, clock.now())
        logger.warning(
            "upstream requested back-off",
            extra={"upstream": engine.instance, "seconds": round(error.seconds, 3)},
        )
        return OrderOutcome.BACKING_OFF


async def _send_order(
    state: RegistryState, engine: Registration, holding: Holding, fence: int
) -> OrderOutcome:
    """Query how many orders an engine has started, and send it the next one.

    Raises:
        BackoffRequestedError: If the engine requests back-off.
    """
    source = state.settings.box.address
    try:
        with anyio.fail_after(CALL_TIMEOUT_SECONDS):
            report = await fetch_report(engine.address, source=source, seconds=CALL_TIMEOUT_SECONDS)
            if report is None or report.is_busy:
                return OrderOutcome.NO_ANSWER
            connection = await connect(engine.address, source=source, seconds=CALL_TIMEOUT_SECONDS)
    except (AnswerBrokenError, ConnectError, TimeoutError):
        return OrderOutcome.NO_ANSWER
    try:
        if not may_order(state) or state.node.replica.term != fence:
            return OrderOutcome.NO_ANSWER
        call = place_call(engine.instance, holding, fence, report.started_orders, wait=True)
        with anyio.fail_after(CALL_TIMEOUT_SECONDS):
            head = await send_call(connection, call)
        return read_outcome(head.status_code)
    except (AnswerBrokenError, TimeoutError):
        return OrderOutcome.NO_ANSWER
    finally:
        await connection.close()
