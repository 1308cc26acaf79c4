"""Places orders and sends them to engines while this box leads."""

from __future__ import annotations

import hashlib
import logging
from typing import TYPE_CHECKING, Final

import anyio
import httpx

from ...coordination import raft
from ...coordination.commands import OrderCommand, OrderDoneCommand
from ...coordination.orders import configured_assignment, next_order, pending_orders
from ...coordination.rests import is_backing_off, record_backoff
from ...http1 import BackoffRequestedError
from ...links.messages import FencedOrder
from ...upstreams.engine import is_live, make_order_request, send_order
from .. import clock
from ..clock import wall_clock_ms
from .node import submit

if TYPE_CHECKING:
    from ...coordination.orders import Order
    from ...links import Link
    from ...model import Upstream
    from ...upstreams.engine import OrderRequest
    from .hub import Hub
    from .node import ControlNode

logger = logging.getLogger(__name__)

ORDER_INTERVAL_SECONDS: Final = 0.25
"""Interval between rounds of placing and sending orders."""


async def run_orders(node: ControlNode, hub: Hub, client: httpx.AsyncClient) -> None:
    """Place orders and send unconfirmed ones; runs until cancelled.

    Args:
        node: The node.
        hub: Links of the box, over which gates are reached.
        client: HTTP client.
    """
    while True:
        await anyio.sleep(ORDER_INTERVAL_SECONDS)
        if not may_act(node):
            hub.order_outcomes.clear()
            continue
        await _handle_outcomes(node, hub)
        await _place_next(node, hub, client)
        for name, order in pending_orders(node.state.orders).items():
            upstream = node.state.configuration.upstreams.get(name)
            if upstream is not None:
                await _send(node, hub, client, upstream, order)


def may_act(node: ControlNode) -> bool:
    """Return whether this box currently leads under a lease."""
    return raft.holds_lease(node.replica, clock.now())


async def _place_next(node: ControlNode, hub: Hub, client: httpx.AsyncClient) -> None:
    upstreams = node.state.configuration.upstreams
    managed = [item for item in upstreams.values() if configured_assignment(item) is not None]
    if not managed or pending_orders(node.state.orders):
        return
    live: set[str] = set()
    managed = [item for item in managed if not is_backing_off(hub.backoffs, item.name, clock.now())]

    async def check(upstream: Upstream) -> None:
        if await is_live(client, upstream.address):
            live.add(upstream.name)

    async with anyio.create_task_group() as tasks:
        for upstream in managed:
            tasks.start_soon(check, upstream)
    chosen = next_order(node.state.orders, node.state.configuration, live)
    if chosen is not None and may_act(node):
        name, assignment = chosen
        command = OrderCommand(upstream=name, assignment=assignment, time_ms=wall_clock_ms())
        await submit(node, command)
        logger.info("order placed", extra={"upstream": name, "version": assignment.version})


async def _send_to_engine(
    hub: Hub, client: httpx.AsyncClient, upstream: Upstream, request: OrderRequest
) -> bool:
    """Send an order unless the engine is backing off, and return whether it was carried out."""
    if is_backing_off(hub.backoffs, upstream.name, clock.now()):
        return False
    try:
        return await send_order(client, upstream.address, request) is True
    except BackoffRequestedError as error:
        record_backoff(hub.backoffs, upstream.name, error.seconds, clock.now())
        logger.warning(
            "upstream requested back-off",
            extra={"upstream": upstream.name, "seconds": round(error.seconds, 3)},
        )
        return False


async def _send(
    node: ControlNode, hub: Hub, client: httpx.AsyncClient, upstream: Upstream, order: Order
) -> None:
    """Send one order to the engine or its gate.

    The lease is checked after every wait and right before the order is sent.
    """
    if not may_act(node):
        return
    term = node.replica.term
    if upstream.checks_fences:
        request = make_order_request(term, order.index, order.assignment)
        if await _send_to_engine(hub, client, upstream, request):
            await _confirm(node, upstream.name, order.index)
        return
    gate = choose_gate(hub, upstream)
    if gate is not None:
        message = FencedOrder(
            upstream=upstream.name,
            address=upstream.address,
            term=term,
            index=order.index,
            assignment=order.assignment,
        )
        gate.post(message)


def choose_gate(hub: Hub, upstream: Upstream) -> Link | None:
    """Choose the entry box that forwards orders to an engine that does not check fences.

    Uses rendezvous hashing over the boxes of the engine's failure domain. Every leader chooses the
    same box as long as the same boxes are connected.

    Args:
        hub: The links.
        upstream: The engine.

    Returns:
        The link to the gate, or None if no box of that failure domain is connected.
    """
    candidates = [
        link
        for link in hub.follower_links.values()
        if link.peer is not None and link.peer.failure_domain == upstream.failure_domain
    ]

    def weight(link: Link) -> bytes:
        text = f"{link.peer_box}|{upstream.name}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return min(candidates, key=weight, default=None)


async def _handle_outcomes(node: ControlNode, hub: Hub) -> None:
    outcomes, hub.order_outcomes = hub.order_outcomes, []
    for outcome in outcomes:
        if outcome.done and outcome.term == node.replica.term:
            await _confirm(node, outcome.upstream, outcome.index)


async def _confirm(node: ControlNode, upstream: str, index: int) -> None:
    order = node.state.orders.orders.get(upstream)
    if order is None or order.done:
        return
    command = OrderDoneCommand(upstream=upstream, index=index, time_ms=wall_clock_ms())
    await submit(node, command)
    logger.info("order done", extra={"upstream": upstream, "index": index})
