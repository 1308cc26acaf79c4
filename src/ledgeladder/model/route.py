"""Routes: which upstream runs which layers, and the check of their coverage."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence


class LayerSpan(msgspec.Struct, frozen=True, kw_only=True):
    """A half-open range of layers, `first` included and `end` excluded."""

    first: int
    """Index of the first layer."""

    end: int
    """Index one past the last layer."""


class Stage(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of a route and the layers that it runs."""

    upstream: str
    """Name of the upstream."""

    address: str
    """`host:port` of the upstream."""

    span: LayerSpan
    """The layers that the upstream runs; a subset of those that it has loaded."""


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A chain of stages that covers every layer of a model exactly once, in order."""

    stages: tuple[Stage, ...]
    """The stages in the order in which tokens pass through them."""

    @property
    def head(self) -> Stage:
        """The first stage, to which the entry sends requests."""
        return self.stages[0]

    @property
    def upstreams(self) -> frozenset[str]:
        """Names of all upstreams on the route."""
        return frozenset(stage.upstream for stage in self.stages)


def covers_once(spans: Sequence[LayerSpan], layers: int) -> bool:
    """Return whether spans cover the layers `0..layers-1` exactly once and in order.

    Args:
        spans: The spans in the order in which they were run.
        layers: Number of layers of the model.

    Returns:
        True if no layer is missing, repeated or out of order.

    >>> covers_once([LayerSpan(first=0, end=4), LayerSpan(first=4, end=8)], 8)
    True
    >>> covers_once([LayerSpan(first=0, end=5), LayerSpan(first=4, end=8)], 8)
    False
    """
    expected = 0
    for span in spans:
        if span.first != expected or span.end <= span.first:
            return False
        expected = span.end
    return expected == layers
