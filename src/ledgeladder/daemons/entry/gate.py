"""Checks fences on behalf of engines that do not, and forwards valid orders to them.

The gate for an engine is an entry box of its failure domain. It forwards an order only if it has
forwarded none with a higher fence to that engine, and if a majority of voters confirms that none of
them is in a later term. The second check rejects orders of a deposed leader even if this box has
only just become the gate.

One race remains: if the gate is suspended after the second check, another box may forward an order
of a later term first. The engine then receives the older order last. Only an engine that checks
fences itself is safe from this.
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

TERM_TIMEOUT_SECONDS: Final = 0.5
"""Timeout for a majority of voters to report their terms."""


class TermCheck(msgspec.Struct, kw_only=True):
    """Replies to one term query."""

    replies: dict[str, TermReply] = msgspec.field(default_factory=dict)
    """Replies by control box."""

    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when a reply arrives; replaced after each wait."""


class Gate(msgspec.Struct, kw_only=True):
    """Fences of forwarded orders."""

    highest_fences: dict[str, tuple[int, int]] = msgspec.field(default_factory=dict)
    """Highest forwarded fence (term, index) by upstream."""

    locks: dict[str, anyio.Lock] = msgspec.field(default_factory=dict)
    """Locks by upstream, since orders to an upstream are forwarded one at a time."""


async def forward_order(context: EntryContext, gate: Gate, link: Link, order: FencedOrder) -> None:
    """Check an order, forward it to its engine, and report the outcome to the sender.

    Args:
        context: The entry's state.
        gate: Fences of forwarded orders.
        link: Link to the control box that sent it.
        order: The order.
    """
    lock = gate.locks.setdefault(order.upstream, anyio.Lock())
    done = False
    async with lock:
        is_current = await is_term_current(context.commands, order.term)
        fence = (order.term, order.index)
        if not is_current or fence < gate.highest_fences.get(order.upstream, (0, 0)):
            context.metrics.events["orders-dropped"] += 1
            logger.warning("order dropped", extra={"upstream": order.upstream, "fence": fence})
        else:
            gate.highest_fences[order.upstream] = fence
            request = make_order_request(order.term, order.index, order.assignment)
            done = await _send_order(context, order, request)
    link.post(OrderOutcome(upstream=order.upstream, term=order.term, index=order.index, done=done))


async def _send_order(context: EntryContext, order: FencedOrder, request: OrderRequest) -> bool:
    """Send an order unless the engine is backing off; return whether it holds the layers."""
    view = context.upstreams.views.get(order.upstream)
    if view is not None and is_backing_off(view, now()):
        return False
    try:
        return await send_order(context.client, order.address, request) is True
    except BackoffRequestedError as error:
        if view is not None:
            record_backoff(view, error.seconds, now())
        return False


async def is_term_current(commands: CommandClient, term: int) -> bool:
    """Return whether a majority of voters is in no later term than the given one.

    Args:
        commands: Links to the control boxes.
        term: The term.

    Returns:
        False if any voter that replied is in a later term, or if no majority replies in time.
    """
    commands.last_call += 1
    number = commands.last_call
    check = TermCheck()
    commands.term_checks[number] = check
    try:
        for link in commands.links.values():
            link.post(TermQuery(call=number))
        with anyio.move_on_after(TERM_TIMEOUT_SECONDS):
            while not _has_majority(check, term):
                await check.changed.wait()
                check.changed = anyio.Event()
    finally:
        del commands.term_checks[number]
    return _has_majority(check, term)


def _has_majority(check: TermCheck, term: int) -> bool:
    replies = [reply for reply in check.replies.values() if reply.is_voter]
    if any(reply.term > term for reply in replies):
        return False
    needed = quorum(max((reply.voters for reply in replies), default=1))
    return len(replies) >= needed
