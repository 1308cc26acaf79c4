"""Selection of a chain of engines that runs every layer of a model exactly once.

Engines hold ranges that may overlap. A chain is built from the first layer on: at each boundary,
one of the engines that hold the next layer is selected and runs to the end of its range, so no
layer runs twice. Of two random candidates, the one with less expected work per unit of speed is
selected ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher, 2001), which keeps
independent boxes from herding onto one engine.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..model import LayerSpan, Problem, ResultCode, Route, Stage, UpstreamKind
from .upstream_table import UpstreamTable, UpstreamView, is_usable

if TYPE_CHECKING:
    from ..model import Pipeline

EngineSelector = Callable[[Sequence[UpstreamView], int], UpstreamView]
"""Selects one of the engines that hold a layer."""


def expected_work(view: UpstreamView, first: int) -> float:
    """Estimate the load of an engine with one more request.

    Args:
        view: The engine.
        first: First layer that it would run.

    Returns:
        Layer steps per token in progress, divided by the engine's speed.
    """
    in_progress = max(view.in_flight, view.reported_load) + 1
    span = view.upstream.end_layer - first
    return in_progress * span / view.upstream.layers_per_second


def better_of_two(rng: random.Random) -> EngineSelector:
    """Return a selector of the less loaded of two random candidates, weighted by speed."""

    def select(candidates: Sequence[UpstreamView], first: int) -> UpstreamView:
        if len(candidates) == 1:
            return candidates[0]
        weights = [view.upstream.layers_per_second for view in candidates]
        pair = rng.choices(candidates, weights=weights, k=2)
        return min(pair, key=lambda view: expected_work(view, first))

    return select


def round_robin() -> EngineSelector:
    """Return a round-robin selector; a baseline for measurements."""
    turn = 0

    def select(candidates: Sequence[UpstreamView], first: int) -> UpstreamView:
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)]

    return select


def least_loaded() -> EngineSelector:
    """Return a selector of the engine with the least expected work; a baseline for measurements."""

    def select(candidates: Sequence[UpstreamView], first: int) -> UpstreamView:
        return min(candidates, key=lambda view: expected_work(view, first))

    return select


def eligible_engines(
    table: UpstreamTable,
    pipeline: Pipeline,
    now: float,
    *,
    allowed: Callable[[UpstreamView], bool],
    available_within: float = 0.0,
) -> list[UpstreamView]:
    """Return the engines that may take new work for a pipeline.

    Args:
        table: The known upstreams.
        pipeline: The pipeline.
        now: Monotonic time.
        allowed: Returns whether the request may use an upstream.
        available_within: Also include engines whose back-off ends within this many seconds.
    """
    return [
        view
        for view in table.views.values()
        if view.upstream.kind is UpstreamKind.ENGINE
        and view.upstream.model == pipeline.model
        and is_usable(view, now, available_within)
        and allowed(view)
    ]


def suffixes_covered(engines: Iterable[UpstreamView], layers: int) -> list[bool]:
    """Determine for each layer whether a chain can run from there to the end.

    Args:
        engines: Engines that may be used.
        layers: Number of layers.

    Returns:
        For each layer from 0 to `layers`, whether the layers from there on can be covered.
    """
    is_covered = [False] * layers + [True]
    ranges = [(view.upstream.first_layer, view.upstream.end_layer) for view in engines]
    for layer in range(layers - 1, -1, -1):
        is_covered[layer] = any(
            first <= layer < end and is_covered[min(end, layers)] for first, end in ranges
        )
    return is_covered


def cover_span(
    engines: Sequence[UpstreamView], span: LayerSpan, select: EngineSelector
) -> tuple[Stage, ...] | None:
    """Cover a span of layers with a chain of engines.

    Args:
        engines: Engines that may be used.
        span: Layers to cover.
        select: Selects one of several candidates.

    Returns:
        Stages in order, or None if no engine holds some layer.
    """
    is_covered = suffixes_covered(engines, span.end)
    stages: list[Stage] = []
    layer = span.first
    while layer < span.end:
        candidates = [
            view
            for view in engines
            if view.upstream.first_layer <= layer < view.upstream.end_layer
            and is_covered[min(view.upstream.end_layer, span.end)]
        ]
        if not candidates:
            return None
        chosen = select(candidates, layer).upstream
        end = min(chosen.end_layer, span.end)
        stages.append(
            Stage(
                upstream=chosen.name,
                address=chosen.address,
                span=LayerSpan(first=layer, end=end),
            )
        )
        layer = end
    return tuple(stages)


def missing_layers(engines: Sequence[UpstreamView], layers: int) -> list[int]:
    """Return the layers that no engine holds."""
    held: set[int] = set()
    for view in engines:
        held.update(range(view.upstream.first_layer, view.upstream.end_layer))
    return [layer for layer in range(layers) if layer not in held]


def choose_route(
    engines: Sequence[UpstreamView], layers: int, select: EngineSelector
) -> Result[Route, Problem]:
    """Choose a route over all layers.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        select: Selects one of several candidates.

    Returns:
        A route, or a problem that names the layers that no engine holds.
    """
    stages = cover_span(engines, LayerSpan(first=0, end=layers), select)
    if stages is not None:
        return Success(Route(stages=stages))
    missing = missing_layers(engines, layers)
    detail = f"no reachable upstream holds layers {_format_ranges(missing)}"
    return Failure(Problem(code=ResultCode.NO_ROUTE, detail=detail, retry_after=2.0))


def replace_stages(
    route: Route, lost: frozenset[str], engines: Sequence[UpstreamView], select: EngineSelector
) -> Route | None:
    """Replace the lost stages of a route; the others keep their state.

    An engine that already runs a stage is not given a second one, since it keeps one state per
    request.

    Args:
        route: The current route.
        lost: Names of the lost upstreams.
        engines: Engines that may be used; lost ones are skipped.
        select: Selects one of several candidates.

    Returns:
        A route that covers the same layers, or None if no engine holds the lost ones.
    """
    used = set(route.upstreams)
    stages: list[Stage] = []
    for stage in route.stages:
        if stage.upstream not in lost:
            stages.append(stage)
            continue
        remaining = [view for view in engines if view.upstream.name not in used]
        replacement = cover_span(remaining, stage.span, select)
        if replacement is None:
            return None
        stages.extend(replacement)
        used.update(new.upstream for new in replacement)
    return Route(stages=tuple(stages))


def _format_ranges(layers: Sequence[int]) -> str:
    """Format a sorted list of layers as ranges.

    >>> _format_ranges([0, 1, 2, 7])
    '0-2, 7'
    """
    parts: list[str] = []
    position = 0
    while position < len(layers):
        end = position
        while end + 1 < len(layers) and layers[end + 1] == layers[end] + 1:
            end += 1
        first, last = layers[position], layers[end]
        parts.append(str(first) if first == last else f"{first}-{last}")
        position = end + 1
    return ", ".join(parts)
