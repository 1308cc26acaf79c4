"""Orders that assign a model version and layers to engines, one change at a time.

An order is committed in the log first. Its index is the lower half of its fence, and the term of
the leader that sends it is the upper half; an engine that checks fences refuses a lower one. This
module decides which order is sent next. It never leaves a layer of a model without an engine, and
limits concurrent loads to protect the weight store.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from ..model import Configuration, LayerSpan, Upstream, UpstreamKind

MAX_CONCURRENT_LOADS: Final = 1
"""Engines that load at the same time. One engine gets the full rate of the weight store."""


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """The model version and layers assigned to an engine."""

    model: str
    """Model."""

    version: str
    """Version of its weights."""

    span: LayerSpan
    """Layers."""


class Order(msgspec.Struct, kw_only=True):
    """The newest order to one engine."""

    assignment: Assignment
    """Model version and layers that the order assigns."""

    index: int
    """Number of the order, the lower half of its fence."""

    done: bool = False
    """True once the engine confirmed it."""


class OrderTable(msgspec.Struct, kw_only=True):
    """The newest order to each engine."""

    orders: dict[str, Order] = msgspec.field(default_factory=dict)
    """Orders by upstream."""

    last_index: int = 0
    """Number of the last order; it ascends over all engines."""


def configured_assignment(upstream: Upstream) -> Assignment | None:
    """Return the assignment of an engine by the configuration, or None if it is not managed."""
    if upstream.kind is not UpstreamKind.ENGINE or not upstream.version:
        return None
    span = LayerSpan(first=upstream.first_layer, end=upstream.end_layer)
    return Assignment(model=upstream.model, version=upstream.version, span=span)


def place_order(table: OrderTable, upstream: str, assignment: Assignment) -> Order:
    """Add an order to the table, replacing the engine's older one."""
    table.last_index += 1
    order = Order(assignment=assignment, index=table.last_index)
    table.orders[upstream] = order
    return order


def confirm_order(table: OrderTable, upstream: str, index: int) -> bool:
    """Record that an engine carried out an order.

    Returns:
        False if the engine has a newer order.
    """
    order = table.orders.get(upstream)
    if order is None or order.index != index:
        return False
    order.done = True
    return True


def pending_orders(table: OrderTable) -> dict[str, Order]:
    """Return the orders that are not confirmed."""
    return {name: order for name, order in table.orders.items() if not order.done}


def next_order(
    table: OrderTable, configuration: Configuration, live: Iterable[str]
) -> tuple[str, Assignment] | None:
    """Choose the next order to place.

    Args:
        table: Orders so far.
        configuration: The configuration in force.
        live: Names of the engines that respond.

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
    """Return whether another live engine holds each layer that an engine holds now.

    Args:
        table: Orders so far.
        configuration: The configuration in force.
        live: Names of the engines that respond.
        name: The engine that would stop serving while it loads.

    Returns:
        True if every layer stays covered while it loads.
    """
    current = table.orders[name].assignment
    covered: set[int] = set()
    for other, order in table.orders.items():
        same_model = order.assignment.model == current.model
        if other != name and other in live and order.done and same_model:
            covered.update(range(order.assignment.span.first, order.assignment.span.end))
    return all(layer in covered for layer in range(current.span.first, current.span.end))
