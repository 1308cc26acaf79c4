"""Spending repeats, and asking the control boxes for more when the own ones are spent."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...links.messages import LoanRequest
from ...routing.repeat_loans import LOAN_LIMIT, LOAN_SECONDS
from ...routing.repeat_window import take_loan, take_repeat
from .state import PendingQuotaRequest, retry_budget

if TYPE_CHECKING:
    from ...links.messages import LoanReply
    from ...routing.repeat_window import Repeat
    from .state import GatewayState

logger = logging.getLogger(__name__)

QUOTA_WAIT_SECONDS: Final = 0.1
"""How long a request waits for a loan: some tens of round trips to another failure domain, and half
of the pause that callers of a stream accept."""

QUOTA_DENIED_SECONDS: Final = 0.5
"""How long nothing is asked for after nothing was lent."""


async def acquire_retry(state: GatewayState, pool: str) -> Repeat | None:
    """Spend one repeat of a pool, if need be one that is lent.

    Args:
        state: The process's state.
        pool: The pool.

    Returns:
        The repeat; None if the request must not be sent again.
    """
    budget = retry_budget(state, pool)
    repeat = take_repeat(budget, anyio.current_time(), state.entry_count)
    if repeat is None and await _request_quota(state, pool):
        repeat = take_repeat(budget, anyio.current_time(), state.entry_count)
    if repeat is None:
        state.metrics.counters["repeat-refused"] += 1
    return repeat


async def _request_quota(state: GatewayState, pool: str) -> bool:
    """Ask for a loan together with others that need one; False if nobody lends any."""
    loan = state.batched_quota_requests.get(pool)
    if loan is None:
        peers, now = state.peers, anyio.current_time()
        if peers is None or now < state.quota_denied_until.get(pool, now):
            return False
        lenders = [address for address in peers.ranked if address in peers.links]
        loan = state.batched_quota_requests[pool] = PendingQuotaRequest(
            pool=pool, asked_at=now, lenders=lenders
        )
        loan.wanted = 1
        try:
            # Streams that are cut together come here in one turn of the loop, and ask together.
            await anyio.sleep(0)
        finally:
            # Also if this one's caller has left: the others wait for the answer.
            del state.batched_quota_requests[pool]
            _drop_unanswered(state, now)
            _request_next(state, loan)
    else:
        loan.wanted += 1
    with anyio.move_on_after(loan.asked_at + QUOTA_WAIT_SECONDS - anyio.current_time()):
        await loan.done.wait()
    return loan.count > 0


def _drop_unanswered(state: GatewayState, now: float) -> None:
    """Drop questions whose answer would come too late to be spent."""
    for call, loan in list(state.pending_quota_requests.items()):
        if now - loan.asked_at >= LOAN_SECONDS:
            del state.pending_quota_requests[call]


def _request_next(state: GatewayState, loan: PendingQuotaRequest) -> None:
    """Ask the next control box for what is lacking; end the question if there is none."""
    assert state.peers is not None
    while loan.lenders and loan.count < loan.wanted:
        link = state.peers.links.get(loan.lenders.pop(0))
        if link is not None:
            loan.call = state.next_quota_call
            state.next_quota_call += 1
            state.pending_quota_requests[loan.call] = loan
            count = min(loan.wanted - loan.count, LOAN_LIMIT)
            link.post(LoanRequest(call=loan.call, pool=loan.pool, count=count))
            return
    state.metrics.counters["repeats-borrowed"] += loan.count
    logger.info(
        "repeats borrowed", extra={"pool": loan.pool, "count": loan.count, "wanted": loan.wanted}
    )
    if loan.count == 0:
        state.quota_denied_until[loan.pool] = anyio.current_time() + QUOTA_DENIED_SECONDS
    loan.done.set()


def handle_quota_reply(state: GatewayState, reply: LoanReply) -> None:
    """Take in what a control box lends, and ask the next one for what is lacking.

    An answer that comes too late counts for nothing here; the lender counts it.
    """
    loan = state.pending_quota_requests.pop(reply.call, None)
    if loan is None:
        return
    loan.count += reply.count
    take_loan(retry_budget(state, loan.pool), reply.count, loan.asked_at + LOAN_SECONDS)
    _request_next(state, loan)
