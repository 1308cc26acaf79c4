"""Orders to engines: which model version and layers each is to hold, one change at a time.

An order is first committed in the log, and its index is half of its fence; the other half is the
term of the leader that sends it. An engine that checks fences refuses a lower one. What is decided
here is which order may go out next: never one that would leave a layer of a model without an
engine, and never more loads at a time than the weight store bears.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from ..model import Configuration, LayerSpan, Upstream, UpstreamKind

MAX_CONCURRENT_LOADS: Final = 1
"""Engines that load at a time, which keeps the weight store's rate for one of them."""


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine is to hold."""

    model: str
    """Model."""

    version: str
    """Version of its weights."""

    span: LayerSpan
    """Layers."""


class Order(msgspec.Struct, kw_only=True):
    """The newest order to one engine."""

    assignment: Assignment
    """What it is to hold."""

    index: int
    """Index of the order's log entry, the lower half of its fence."""

    done: bool = False
    """True once the engine confirmed it."""


class OrderTable(msgspec.Struct, kw_only=True):
    """The newest order to each engine."""

    orders: dict[str, Order] = msgspec.field(default_factory=dict)
    """Orders by upstream."""

    last_index: int = 0
    """Number of the last order; it ascends over all engines."""


def configured_assignment(upstream: Upstream) -> Assignment | None:
    """Return what the configuration wants an engine to hold, or None if it is not managed."""
    if upstream.kind is not UpstreamKind.ENGINE or not upstream.version:
        return None
    span = LayerSpan(first=upstream.first_layer, end=upstream.end_layer)
    return Assignment(model=upstream.model, version=upstream.version, span=span)


def place_order(table: OrderTable, upstream: str, assignment: Assignment) -> Order:
    """Enter an order into the table, replacing the engine's older one."""
    table.last_index += 1
    order = Order(assignment=assignment, index=table.last_index)
    table.orders[upstream] = order
    return order


def confirm_order(table: OrderTable, upstream: str, index: int) -> bool:
    """Note that an engine carried out an order.

    Returns:
        False if the engine has been given a newer order meanwhile.
    """
    order = table.orders.get(upstream)
    if order is None or order.index != index:
        return False
    order.done = True
    return True


def pending_orders(table: OrderTable) -> dict[str, Order]:
    """Return the orders that no engine has confirmed."""
    return {name: order for name, order in table.orders.items() if not order.done}


def next_order(
    table: OrderTable, configuration: Configuration, live: Iterable[str]
) -> tuple[str, Assignment] | None:
    """Choose the next order to place.

    Args:
        table: Orders so far.
        configuration: The configuration in force.
        live: Names of the engines that answer.

    Returns:
        Upstream and assignment, or None if nothing is due or nothing may be ordered now.
    """
    if len(pending_orders(table)) >= MAX_CONCURRENT_LOADS:
        return None
    live_names = set(live)
    for name, upstream in sorted(configuration.upstreams.items()):
        target = configured_assignment(upstream)
        order = table.orders.get(name)
        if target is None or name not in live_names:
            continue
        if order is not None and order.assignment == target:
            continue
        if order is None or is_redundant(table, configuration, live_names, name):
            return name, target
    return None


def is_redundant(
    table: OrderTable, configuration: Configuration, live: set[str], name: str
) -> bool:
    """Tell whether all layers that an engine holds now are current by another live engine too.

    Args:
        table: Orders so far.
        configuration: The configuration in force.
        live: Names of the engines that answer.
        name: The engine that would stop serving while it loads.

    Returns:
        True if every layer stays covered meanwhile.
    """
    current = table.orders[name].assignment
    covered: set[int] = set()
    for other, order in table.orders.items():
        same_model = order.assignment.model == current.model
        if other != name and other in live and order.done and same_model:
            covered.update(range(order.assignment.span.first, order.assignment.span.end))
    return all(layer in covered for layer in range(current.span.first, current.span.end))
