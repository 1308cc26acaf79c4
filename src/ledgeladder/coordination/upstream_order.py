"""Compact encoding of figures about all upstreams, which boxes exchange repeatedly.

The sender transmits an index of the upstream instances once, then changes to it. Figures follow as
arrays in the order of the index, 2 bytes for an age and 4 for a load, which is a fraction of a
table keyed by instance. Changes are sent in place of whole indexes, whose total size would grow
with the product of upstreams, changes and boxes.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from ..model import Problem, ProblemError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

AGE_UNIT_SECONDS: Final = 0.01
"""Resolution of ages, which must distinguish a loss from the next heartbeat."""

MAX_AGE: Final = 0xFFFF
"""Largest encoded age, in units; upstreams are dropped long before they reach it."""

MAX_COUNT: Final = 0xFFFF
"""Largest encoded number of requests in progress on one upstream."""

KV_UNIT: Final = 1024.0
"""Unit of KV cache, in tokens x layers. Half-precision floats have a relative error below 1 in
2,048 and end at 65,504 units, which is above the KV cache of a large engine."""

MAX_KV: Final = 65504.0
"""Largest half-precision float."""

AGE_BYTES: Final = 2
"""Length of an encoded age."""

_LOAD: Final = struct.Struct("<He")

LOAD_BYTES: Final = _LOAD.size
"""Length of an encoded load."""


class LoadFigures(NamedTuple):
    """Load of the requests on one upstream."""

    in_flight: int
    """Requests in progress."""

    kv_reserved: float
    """Reserved KV cache in tokens x layers; 0 on a plain service."""


NO_LOAD: Final = LoadFigures(0, 0.0)
"""Load of an upstream without requests."""


class UpstreamIndex(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Instances of upstreams, in the order in which figures about them are encoded."""

    number: int = 0
    """Ascends with each change, for one sender."""

    instances: tuple[str, ...] = ()
    """The instances."""


class IndexChange(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A change that turns one index into the next."""

    number: int
    """Number of the resulting index."""

    removed: tuple[int, ...] = ()
    """Positions in the previous index of instances that are removed."""

    added: tuple[str, ...] = ()
    """Instances that are appended."""


def diff_index(index: UpstreamIndex, instances: Collection[str]) -> IndexChange | None:
    """Return the change that brings an index up to date; None if no upstream was added or removed.

    Args:
        index: The previous index.
        instances: The instances that are known now.
    """
    previous = set(index.instances)
    added = tuple(sorted(set(instances) - previous))
    if not added and len(instances) == len(previous):
        return None
    current = set(instances)
    removed = tuple(place for place, item in enumerate(index.instances) if item not in current)
    return IndexChange(number=index.number + 1, removed=removed, added=added)


def apply_index_change(index: UpstreamIndex, change: IndexChange) -> UpstreamIndex:
    """Return the index that results from a change.

    Raises:
        ProblemError: With code FRAME_INVALID if the change does not apply to this index.
    """
    count = len(index.instances)
    if change.number != index.number + 1 or any(not 0 <= item < count for item in change.removed):
        detail = f"change to order {change.number}; the one held is {index.number}"
        raise ProblemError(Problem(code=ResultCode.FRAME_INVALID, detail=detail))
    removed = set(change.removed)
    remaining = [item for place, item in enumerate(index.instances) if place not in removed]
    return UpstreamIndex(number=change.number, instances=(*remaining, *change.added))


def pack_ages(index: UpstreamIndex, ages: Mapping[str, float]) -> bytes:
    """Encode ages in seconds; upstreams without one get the largest age."""
    longest = MAX_AGE * AGE_UNIT_SECONDS
    units = [
        min(MAX_AGE, round(ages.get(instance, longest) / AGE_UNIT_SECONDS))
        for instance in index.instances
    ]
    return struct.pack(f"<{len(units)}H", *units)


def unpack_ages(index: UpstreamIndex, number: int, data: bytes) -> Iterator[tuple[str, float]]:
    """Yield instances with their ages in seconds.

    Args:
        index: The newest index of the sender.
        number: Number of the index that the ages refer to.
        data: The ages, as `pack_ages` returns them.

    Raises:
        ProblemError: With code FRAME_INVALID if they refer to another index.
    """
    _check_index(index, number, len(data), AGE_BYTES)
    units = struct.unpack(f"<{len(index.instances)}H", data)
    for instance, unit in zip(index.instances, units, strict=True):
        yield instance, unit * AGE_UNIT_SECONDS


def pack_loads(index: UpstreamIndex, loads: Mapping[str, LoadFigures]) -> bytes:
    """Encode loads; upstreams without one get `NO_LOAD`."""
    return b"".join(
        _LOAD.pack(
            min(load.in_flight, MAX_COUNT),
            min(load.kv_reserved / KV_UNIT, MAX_KV),
        )
        for load in (loads.get(instance, NO_LOAD) for instance in index.instances)
    )


def unpack_loads(
    index: UpstreamIndex, number: int, data: bytes
) -> Iterator[tuple[str, LoadFigures]]:
    """Yield instances with their loads.

    Args:
        index: The newest index of the sender.
        number: Number of the index that the loads refer to.
        data: The loads, as `pack_loads` returns them.

    Raises:
        ProblemError: With code FRAME_INVALID if they refer to another index.
    """
    _check_index(index, number, len(data), _LOAD.size)
    for instance, (in_flight, units) in zip(index.instances, _LOAD.iter_unpack(data), strict=True):
        yield instance, LoadFigures(in_flight, units * KV_UNIT)


def _check_index(index: UpstreamIndex, number: int, length: int, size: int) -> None:
    if index.number == number and length == size * len(index.instances):
        return
    detail = (
        f"{length} bytes in order {number}; {index.number} has {len(index.instances)} upstreams"
    )
    raise ProblemError(Problem(code=ResultCode.FRAME_INVALID, detail=detail))
