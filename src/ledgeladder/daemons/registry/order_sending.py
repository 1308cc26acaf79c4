"""Sending orders to engines while this box leads."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination import raft
from ...coordination.engine_orders import OrderOutcome, record_outcome
from ...coordination.rests import is_backing_off, record_backoff
from ...http1 import AnswerBrokenError, ConnectError, RestAskedError, connect
from ...links import post_to_all
from ...links.messages import OrderNews
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
"""How long an engine may take to answer an order."""

REQUESTS_PER_ORDER: Final = 2
"""What an order takes of the requests a second that an engine names: a report is asked for first.
It is not held back for that, since an engine without its layers serves nobody."""


def may_order(state: RegistryState) -> bool:
    """Tell whether this box holds the lease under a term that no engine has refused."""
    replica = state.node.replica
    if replica.term in state.ledger.fenced_terms or state.stopping:
        return False
    return raft.holds_lease(replica, clock.now())


def format_range(holding: Holding | None) -> str:
    """Write a range of layers for the log; empty for none."""
    return f"{holding.first}-{holding.end}" if holding is not None else ""


async def order_layers(state: RegistryState, engine: Registration, holding: Holding) -> None:
    """Tell the other control boxes of an order, send it, and note what came of it."""
    fence = state.node.replica.term
    order = state.ledger.sent.get(engine.instance)
    seconds = order.load_seconds if order is not None else 0.0
    news = OrderNews(instance=engine.instance, holding=holding, load_seconds=seconds)
    post_to_all(state.peers.links.values(), news)
    outcome = await send_order(state, engine, holding, fence)
    record_outcome(state.ledger, engine.instance, outcome, fence)
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
    """Send one order, to follow the orders that the engine says it has taken.

    Not all engines check the term of an order. One that is carried out late, or comes from a leader
    that has lost its lease meanwhile, then finds that others came first, and is refused. The lease
    is checked once more right before the bytes leave.

    Returns:
        What the engine said; `NO_ANSWER` also if the order was not sent: the engine could not be
        reached, carries out another one, or this box leads no more. `BACKING_OFF` if it wants none;
        the order is due again later, as any that was not answered.
    """
    if is_backing_off(state.backoffs, engine.instance, clock.now()):
        return OrderOutcome.BACKING_OFF
    record_own_calls(rate_granter_of(state), engine.instance, REQUESTS_PER_ORDER)
    try:
        return await _send_order(state, engine, holding, fence)
    except RestAskedError as error:
        record_backoff(state.backoffs, engine.instance, error.seconds, clock.now())
        logger.warning(
            "engine asks for rest",
            extra={"upstream": engine.instance, "seconds": round(error.seconds, 3)},
        )
        return OrderOutcome.BACKING_OFF


async def _send_order(
    state: RegistryState, engine: Registration, holding: Holding, fence: int
) -> OrderOutcome:
    """Ask an engine how many orders it has taken, and send it the next one.

    Raises:
        RestAskedError: If it asks for rest.
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
