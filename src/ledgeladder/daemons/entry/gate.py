"""The gate: passes orders on to engines of its failure domain that do not check fences.

An order passes only if no higher fence has passed here, and only if a majority of control boxes is
in no later term than the order. A leader that was frozen and lost its office without knowing is
caught by the second check even at a gate that has just taken over from another box.

What remains possible: the gate itself is frozen between the second check and its send, and an
order of a later term goes through another box meanwhile. The engine then gets the older order last.
An engine that does not check fences cannot be protected from that by anybody but itself.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ...coordination.raft import quorum
from ...http1 import BackoffRequestedError
from ...links.messages import FencedOrder, OrderOutcome, TermQuery, TermReply
from ...routing.upstream_table import is_backing_off, record_backoff
from ...upstreams.engine import make_order_request, send_order
from ..clock import now

if TYPE_CHECKING:
    from ...links import Link
    from ...upstreams.engine import OrderRequest
    from .command_client import CommandClient
    from .context import EntryContext

logger = logging.getLogger(__name__)

TERM_SECONDS: Final = 0.5
"""How long a majority of control boxes may take to tell its terms."""


class TermCheck(msgspec.Struct, kw_only=True):
    """Answers to one question for terms."""

    replies: dict[str, TermReply] = msgspec.field(default_factory=dict)
    """Replies by box."""

    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set with each reply."""


class Gate(msgspec.Struct, kw_only=True):
    """Fences that passed here."""

    highest: dict[str, tuple[int, int]] = msgspec.field(default_factory=dict)
    """Highest fence by upstream."""

    locks: dict[str, anyio.Lock] = msgspec.field(default_factory=dict)
    """One order at a time goes to each upstream."""


async def pass_order(context: EntryContext, gate: Gate, link: Link, order: FencedOrder) -> None:
    """Check an order and pass it on.

    Args:
        context: The entry's state.
        gate: Fences that passed.
        link: Link to the control box that sent it.
        order: The order.
    """
    lock = gate.locks.setdefault(order.upstream, anyio.Lock())
    done = False
    async with lock:
        current = await no_later_term(context.commands, order.term)
        fence = (order.term, order.index)
        if not current or fence < gate.highest.get(order.upstream, (0, 0)):
            context.metrics.events["orders-dropped"] += 1
            logger.warning("order dropped", extra={"upstream": order.upstream, "fence": fence})
        else:
            gate.highest[order.upstream] = fence
            request = make_order_request(order.term, order.index, order.assignment)
            done = await _send(context, order, request)
    link.post(OrderOutcome(upstream=order.upstream, term=order.term, index=order.index, done=done))


async def _send(context: EntryContext, order: FencedOrder, request: OrderRequest) -> bool:
    """Send an order, unless the engine rests; True if it holds what was ordered."""
    view = context.upstreams.views.get(order.upstream)
    if view is not None and is_backing_off(view, now()):
        return False
    try:
        return await send_order(context.client, order.address, request) is True
    except BackoffRequestedError as error:
        if view is not None:
            record_backoff(view, error.seconds, now())
        return False


async def no_later_term(commands: CommandClient, term: int) -> bool:
    """Tell whether a majority of voters is in no later term than the given one.

    Args:
        commands: Links to the control boxes.
        term: The term.

    Returns:
        False if one of them is in a later term, or if no majority answers in time.
    """
    commands.last_call += 1
    number = commands.last_call
    check = TermCheck()
    commands.term_checks[number] = check
    try:
        for link in commands.links.values():
            link.post(TermQuery(call=number))
        with anyio.move_on_after(TERM_SECONDS):
            while not _majority(check, term):
                await check.changed.wait()
                check.changed = anyio.Event()
    finally:
        del commands.term_checks[number]
    return _majority(check, term)


def _majority(check: TermCheck, term: int) -> bool:
    replies = [reply for reply in check.replies.values() if reply.is_voter]
    if any(reply.term > term for reply in replies):
        return False
    needed = quorum(max((reply.voters for reply in replies), default=1))
    return len(replies) >= needed
