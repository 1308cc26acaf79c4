"""Figures of all upstreams in a few bytes each, told again and again between boxes.

A box that tells figures names the upstreams once, in an order with a number, and then who has come
or gone. Figures follow as arrays in that order: 2 bytes for an age and 4 for a load, where a table
by id takes 17 and 25. At 600 upstreams a box hears 1.2 KB of ages a second from each control box in
place of 10 KB, and 2.4 KB with each sum of loads in place of 15 KB. Changes are told as such since
whole orders grow with upstreams times changes times boxes: of 3,000 upstreams that register within
some seconds, a control box told 180 entry boxes 22 MB a second of whole orders.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from ..model import Problem, ProblemError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

AGE_UNIT_SECONDS: Final = 0.01
"""Precision of ages: a loss and the next heartbeat are told apart if they are further apart."""

AGE_LIMIT: Final = 0xFFFF
"""Longest age that can be told, 655 s; upstreams are forgotten long before."""

COUNT_LIMIT: Final = 0xFFFF
"""Most requests in progress that can be told of one upstream."""

KV_UNIT: Final = 1024.0
"""Tokens x layers in which KV cache is told. Half-precision floats are exact to 1 in 2,048, and end
at 67 million: an engine of 80 layers and 50,000 tokens holds 4 million."""

KV_LIMIT: Final = 65504.0
"""Largest half-precision float."""

AGE_BYTES: Final = 2
"""Length of an age."""

_LOAD: Final = struct.Struct("<He")

LOAD_BYTES: Final = _LOAD.size
"""Length of a load."""


class LoadFigures(NamedTuple):
    """What requests take on one upstream."""

    in_flight: int
    """Requests in progress."""

    kv_reserved: float
    """Tokens x layers of KV cache; 0 on a plain service."""


NO_LOAD: Final = LoadFigures(0, 0.0)


class UpstreamOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Runs of upstreams in the order in which figures about them are told."""

    number: int = 0
    """Ascends with each change, for one sender."""

    instances: tuple[str, ...] = ()
    """The runs."""


class OrderChange(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What makes the next order out of the one before it."""

    number: int
    """Number of the order that it makes."""

    gone: tuple[int, ...] = ()
    """Places in the order before of runs that are left out."""

    come: tuple[str, ...] = ()
    """Runs that are added at the end."""


def change_order(order: UpstreamOrder, instances: Collection[str]) -> OrderChange | None:
    """Return what brings an order up to date; None if no upstream has come or gone.

    Args:
        order: The order so far.
        instances: The runs that are known now.
    """
    held = set(order.instances)
    come = tuple(sorted(set(instances) - held))
    if not come and len(instances) == len(held):
        return None
    known = set(instances)
    gone = tuple(place for place, item in enumerate(order.instances) if item not in known)
    return OrderChange(number=order.number + 1, gone=gone, come=come)


def apply_change(order: UpstreamOrder, change: OrderChange) -> UpstreamOrder:
    """Return the order that a change makes.

    Raises:
        ProblemError: With code FRAME_INVALID if it follows another order.
    """
    count = len(order.instances)
    if change.number != order.number + 1 or any(not 0 <= item < count for item in change.gone):
        detail = f"change to order {change.number}; the one held is {order.number}"
        raise ProblemError(Problem(code=ResultCode.FRAME_INVALID, detail=detail))
    gone = set(change.gone)
    kept = [item for place, item in enumerate(order.instances) if place not in gone]
    return UpstreamOrder(number=change.number, instances=(*kept, *change.come))


def pack_ages(order: UpstreamOrder, ages: Mapping[str, float]) -> bytes:
    """Pack ages in seconds; upstreams that are left out get the longest age."""
    longest = AGE_LIMIT * AGE_UNIT_SECONDS
    units = [
        min(AGE_LIMIT, round(ages.get(instance, longest) / AGE_UNIT_SECONDS))
        for instance in order.instances
    ]
    return struct.pack(f"<{len(units)}H", *units)


def unpack_ages(order: UpstreamOrder, number: int, data: bytes) -> Iterator[tuple[str, float]]:
    """Yield runs with their ages in seconds.

    Args:
        order: The order that the sender told last.
        number: Number of the order in which the ages stand.
        data: The ages, as `pack_ages` returns them.

    Raises:
        ProblemError: With code FRAME_INVALID if they stand in another order.
    """
    _check(order, number, len(data), AGE_BYTES)
    units = struct.unpack(f"<{len(order.instances)}H", data)
    for instance, unit in zip(order.instances, units, strict=True):
        yield instance, unit * AGE_UNIT_SECONDS


def pack_loads(order: UpstreamOrder, loads: Mapping[str, LoadFigures]) -> bytes:
    """Pack loads; upstreams that are left out carry nothing."""
    return b"".join(
        _LOAD.pack(
            min(load.in_flight, COUNT_LIMIT),
            min(load.kv_reserved / KV_UNIT, KV_LIMIT),
        )
        for load in (loads.get(instance, NO_LOAD) for instance in order.instances)
    )


def unpack_loads(
    order: UpstreamOrder, number: int, data: bytes
) -> Iterator[tuple[str, LoadFigures]]:
    """Yield runs with their loads.

    Args:
        order: The order that the sender told last.
        number: Number of the order in which the loads stand.
        data: The loads, as `pack_loads` returns them.

    Raises:
        ProblemError: With code FRAME_INVALID if they stand in another order.
    """
    _check(order, number, len(data), _LOAD.size)
    for instance, (in_flight, units) in zip(order.instances, _LOAD.iter_unpack(data), strict=True):
        yield instance, LoadFigures(in_flight, units * KV_UNIT)


def _check(order: UpstreamOrder, number: int, length: int, size: int) -> None:
    if order.number == number and length == size * len(order.instances):
        return
    detail = (
        f"{length} bytes in order {number}; {order.number} has {len(order.instances)} upstreams"
    )
    raise ProblemError(Problem(code=ResultCode.FRAME_INVALID, detail=detail))
