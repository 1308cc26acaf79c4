"""Number of model copies that a group of engines holds, and the layers of each engine.

More copies survive more losses but leave less memory for requests. Plans for several numbers of
copies are compared by the requests a second that the group serves with all engines and with each
single one lost.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING, Final

from .layer_coverage import LayerCoverage, card_step_factor, request_capacity

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..model.registration import Holding
    from ..model.traffic import EngineProfile
    from .placed_engine import PlacedEngine

COPIES_STEP: Final = 1.12
"""Ratio between successive numbers of copies that are tried."""

MIN_REQUESTS: Final = 1.0
"""Requests of the usual size that an engine must have capacity for besides its layers."""


def max_layers(profile: EngineProfile, card: str) -> int:
    """Return the maximum number of layers that leave a card capacity for `MIN_REQUESTS`.

    Args:
        profile: Performance figures of the engines.
        card: Kind of the accelerator.

    Returns:
        Number of layers; 0 if the kind is unknown or not even one layer fits.
    """
    kind = profile.cards.get(card)
    if kind is None or profile.layer_mb <= 0:
        return 0
    layers = min(int(kind.memory_mb // profile.layer_mb), profile.layers)
    while layers > 0 and request_capacity(profile, card, layers) < MIN_REQUESTS:
        layers -= 1
    return layers


def layers_by_memory(profile: EngineProfile, card: str, layers_per_mb: float) -> int:
    """Return how many layers an engine gets if they are divided in proportion to memory.

    All engines then have about the same request capacity, and none limits the others.

    Args:
        profile: Performance figures of the engines.
        card: Kind of the accelerator.
        layers_per_mb: Layers for each megabyte of memory.

    Returns:
        Number of layers; 0 if the card cannot hold any.
    """
    limit = max_layers(profile, card)
    if limit == 0:
        return 0
    return max(1, min(limit, round(profile.cards[card].memory_mb * layers_per_mb)))


def divide_layers(profile: EngineProfile, cards: Sequence[str], layers: int) -> list[int]:
    """Divide layers among engines to maximize the minimum request capacity.

    Args:
        profile: Performance figures of the engines.
        cards: Kind of the accelerator of each engine.
        layers: Layers to divide, over all copies.

    Returns:
        Number of layers for each engine; their sum is less than `layers` if the engines hold no
        more.
    """
    limits = [max_layers(profile, card) for card in cards]
    counts = [min(1, limit) for limit in limits]

    def rank(index: int) -> tuple[float, int]:
        return -request_capacity(profile, cards[index], counts[index] + 1), index

    candidates = [rank(index) for index, limit in enumerate(limits) if counts[index] < limit]
    heapq.heapify(candidates)
    for _ in range(layers - sum(counts)):
        if not candidates:
            break
        _capacity, index = heapq.heappop(candidates)
        counts[index] += 1
        if counts[index] < limits[index]:
            heapq.heappush(candidates, rank(index))
    return counts


def requests_per_second(profile: EngineProfile, engines: Sequence[PlacedEngine]) -> float:
    """Estimate how many requests a second engines serve with one copy of the model.

    Args:
        profile: Performance figures of the engines.
        engines: The engines.

    Returns:
        The rate; 0 if they cannot hold all layers with capacity for a request.
    """
    capable = [item.card for item in engines if max_layers(profile, item.card) > 0]
    counts = divide_layers(profile, capable, profile.layers)
    if sum(counts) < profile.layers:
        return 0.0
    parts = list(zip(capable, counts, strict=True))
    capacity = min(request_capacity(profile, card, count) for card, count in parts)
    seconds = sum(_layer_seconds(profile, card) * count for card, count in parts)
    return capacity * sum(counts) / max(seconds * profile.layers, 1e-9)


PlanCache = dict[tuple[str, ...], tuple["Holding", ...]]
"""Plans by the cards of a group: the layers of each engine, in the order of the cards. Groups with
the same cards share a plan."""


def plan_group(
    profile: EngineProfile,
    engines: Sequence[PlacedEngine],
    cache: PlanCache | None = None,
) -> dict[str, Holding]:
    """Choose layers for a group of engines that hold none.

    Args:
        profile: Performance figures of the engines.
        engines: Engines that can hold at least one layer each.
        cache: Plans made for the same profile; this one is added.

    Returns:
        Layers by engine, the fast cards first.
    """
    ordered = sorted(
        engines, key=lambda item: (card_step_factor(profile, item.card), item.card, item.instance)
    )
    cards = tuple(item.card for item in ordered)
    cache = {} if cache is None else cache
    if cards not in cache:
        plan = _best_plan(profile, ordered)
        cache[cards] = tuple(plan[item.instance] for item in ordered)
    return {item.instance: held for item, held in zip(ordered, cache[cards], strict=True)}


def _best_plan(profile: EngineProfile, ordered: Sequence[PlacedEngine]) -> dict[str, Holding]:
    """Choose the best of several plans for engines in placement order.

    Layers are divided both by remaining request capacity and in proportion to memory: the former
    leaves more capacity if each engine gets few layers, the latter more overlap between engines.
    """
    cards = [item.card for item in ordered]
    max_total = sum(max_layers(profile, card) for card in cards)
    best: dict[str, Holding] = {}
    best_score = -1.0
    total_layers = float(profile.layers)
    while total_layers < max_total * COPIES_STEP:
        per_mb = total_layers / sum(profile.cards[card].memory_mb for card in cards)
        divisions = (
            divide_layers(profile, cards, round(total_layers)),
            [layers_by_memory(profile, card, per_mb) for card in cards],
        )
        for counts, by_speed in itertools.product(divisions, (True, False)):
            coverage = LayerCoverage(profile=profile, by_speed=by_speed)
            chosen = assign_ranges(ordered, counts, coverage)
            score = plan_score(profile, ordered, chosen)
            if score > best_score:
                best, best_score = chosen, score
        total_layers *= COPIES_STEP
    if best:
        return best
    # Too little memory for a copy: load all that fits, for paths that use other groups too.
    return assign_ranges(
        ordered, divide_layers(profile, cards, max_total), LayerCoverage(profile=profile)
    )


def assign_ranges(
    engines: Sequence[PlacedEngine], counts: Sequence[int], coverage: LayerCoverage
) -> dict[str, Holding]:
    """Assign ranges to engines one by one, each where its layers are needed most.

    Args:
        engines: Engines that hold no layers, in placement order.
        counts: Number of layers for each engine.
        coverage: Capacity of each layer; updated with each engine.

    Returns:
        Layers by engine.
    """
    chosen: dict[str, Holding] = {}
    for engine, count in zip(engines, counts, strict=True):
        holding = coverage.best_range(engine, count)
        coverage.add(engine, holding)
        chosen[engine.instance] = holding
    return chosen


def plan_score(
    profile: EngineProfile, engines: Sequence[PlacedEngine], holdings: Mapping[str, Holding]
) -> float:
    """Score a plan by the requests a second that the group serves, complete and after a loss.

    The state with all engines counts as much as the mean over the states with one engine lost.
    Rates are compared on a logarithmic scale, since the demand is unknown when layers are first
    loaded: a group that serves nothing after most losses is worse than one that always serves half.

    Args:
        profile: Performance figures of the engines.
        engines: The engines.
        holdings: Their layers.

    Returns:
        A score to compare plans for the same engines; 0 if a layer is missing.
    """
    capacities = {item.instance: 0.0 for item in engines}
    layer_capacity = [0.0] * profile.layers
    seconds = [math.inf] * profile.layers
    for item in engines:
        holding = holdings[item.instance]
        requests = request_capacity(profile, item.card, holding.end - holding.first)
        capacities[item.instance] = requests
        layer_seconds = _layer_seconds(profile, item.card)
        for layer in range(holding.first, holding.end):
            layer_capacity[layer] += requests
            seconds[layer] = min(seconds[layer], layer_seconds)
    min_capacity = min(layer_capacity)
    if min_capacity <= 0.0:
        return 0.0
    total = max(sum(seconds), 1e-9)
    after_losses = 0.0
    for item in engines:
        holding = holdings[item.instance]
        remaining = min(layer_capacity[holding.first : holding.end]) - capacities[item.instance]
        after_losses += math.log1p(max(0.0, min(min_capacity, remaining)) / total)
    return math.log1p(min_capacity / total) + after_losses / len(engines)


def _layer_seconds(profile: EngineProfile, card: str) -> float:
    """Return the time that a request of the usual size takes per layer, in seconds."""
    kind = profile.cards[card]
    steps = profile.step_ms / 1000.0 * profile.mean_answer_tokens * kind.step_factor
    read = profile.mean_prompt_tokens / max(1.0, profile.prefill_tokens_per_s) * kind.prefill_factor
    return (steps + read) / profile.layers
