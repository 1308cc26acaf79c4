"""Repair of failure domains that lack layers after a loss.

A failure domain that lacks one layer serves nothing by itself, and its engines can only be used
over the limited inter-domain links. Each gap is therefore closed, by the plan that loads fastest:

1. A few engines load the missing layers, either in addition to their own or instead of them if
   other engines of the failure domain hold those too.
2. If that is not enough, all engines are reassigned: they keep their order along the layers, and
   each gets a range by its memory, so that each loads only a few new layers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..model.registration import Holding
from .group_plan import divide_layers, max_layers, plan_score
from .layer_coverage import request_capacity
from .placement import group_engines, missing_layers

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from ..model.traffic import EngineProfile
    from .placed_engine import PlacedEngine

MAX_MOVES: Final = 6
"""Maximum number of engines moved to close gaps before all are reassigned instead."""

MIN_CAPACITY_SHARE: Final = 0.25
"""Share of the mean request capacity that an engine must keep when it gets more layers. The failure
domain then keeps at least a quarter of its capacity, where the gap left it none."""

COPY_COUNTS: Final = (1.0, 1.1, 1.25, 1.5, 2.0)
"""Numbers of model copies that are tried when all engines of a group are reassigned."""

Move = tuple["PlacedEngine", Holding]
"""An engine and its new layers."""


def plan_repairs(profile: EngineProfile, engines: Sequence[PlacedEngine]) -> list[Move]:
    """Choose engines to move if a failure domain lacks layers that its memory could hold.

    Args:
        profile: Performance figures of the engines.
        engines: Engines that are up, with the layers that they hold or were ordered to load.

    Returns:
        Engines with their new layers, each at most once; empty if no layer is missing or no repair
        is possible. If no engine holds some layer and no group can be completed, all engines are
        repaired as one group.
    """
    if _all_domains_complete(profile, engines):
        return []
    moves: list[Move] = []
    for group in group_engines(profile, engines):
        moves += _repair_group(profile, group)
    if not moves and missing_layers(profile, _holdings(engines)):
        moves = _fill_gaps(profile, engines)
    return moves


def _all_domains_complete(profile: EngineProfile, engines: Iterable[PlacedEngine]) -> bool:
    """Return whether every failure domain holds all layers, and hence every possible group.

    The usual case, and much cheaper to check than forming the groups.
    """
    capable = {card for card in profile.cards if max_layers(profile, card) > 0}
    held: dict[str, list[Holding]] = {}
    for item in engines:
        if item.card in capable:
            held.setdefault(item.failure_domain, []).extend(_holdings([item]))
    return not any(missing_layers(profile, holdings) for holdings in held.values())


def _repair_group(profile: EngineProfile, group: Sequence[PlacedEngine]) -> list[Move]:
    """Choose the moves that complete a group; empty if there are none."""
    missing = missing_layers(profile, _holdings(group))
    if not missing or len(missing) == profile.layers:
        return []
    return _fill_gaps(profile, group) or _reassign_all(profile, group)


def _fill_gaps(profile: EngineProfile, group: Sequence[PlacedEngine]) -> list[Move]:
    """Choose a few engines that load the missing layers.

    Returns:
        The moves; empty if layers are still missing after `MAX_MOVES` moves.
    """
    holdings = {item.instance: item.holding for item in group if item.holding is not None}
    min_capacity = MIN_CAPACITY_SHARE * _mean_capacity(profile, group)
    moved: dict[str, Move] = {}
    missing = missing_layers(profile, holdings.values())
    while missing and len(moved) < MAX_MOVES:
        gap = _first_gap(missing)
        best: tuple[tuple[int, float], Move] | None = None
        for engine in group:
            held = holdings.get(engine.instance)
            if held is None or not engine.is_loaded or engine.instance in moved:
                continue
            for holding in _candidate_ranges(profile, engine, held, gap):
                capacity = request_capacity(profile, engine.card, holding.end - holding.first)
                if capacity < min_capacity:
                    continue
                trial = holdings | {engine.instance: holding}
                left = len(missing_layers(profile, trial.values()))
                if left >= len(missing):
                    continue
                score = 0.0 if left else plan_score(profile, _holders(group, trial), trial)
                rank = (-left, score or capacity)
                if best is None or rank > best[0]:
                    best = rank, (engine, holding)
        if best is None:
            return []
        engine, holding = best[1]
        moved[engine.instance] = best[1]
        holdings[engine.instance] = holding
        missing = missing_layers(profile, holdings.values())
    return [] if missing else list(moved.values())


def _candidate_ranges(
    profile: EngineProfile, engine: PlacedEngine, held: Holding, gap: Holding
) -> Iterator[Holding]:
    """Yield the ranges with which an engine would cover layers of a gap.

    It extends its own range if the gap is adjacent, or moves to the gap.
    """
    limit = max_layers(profile, engine.card)
    count = held.end - held.first
    for extra in range(1, min(limit - count, gap.end - gap.first) + 1):
        if held.first <= gap.first <= held.end:
            yield Holding(first=held.first, end=max(held.end, gap.first + extra))
        if held.first <= gap.end <= held.end:
            yield Holding(first=min(held.first, gap.end - extra), end=held.end)
    first = min(gap.first, profile.layers - count)
    yield Holding(first=first, end=first + count)
    end = max(gap.end, count)
    yield Holding(first=end - count, end=end)


def _reassign_all(profile: EngineProfile, group: Sequence[PlacedEngine]) -> list[Move]:
    """Assign new ranges to all engines of a group, in their present order.

    Returns:
        The engines whose layers change; empty if an engine is still loading, or if the group can no
        longer hold all layers.
    """
    if not all(item.is_loaded for item in group):
        return []
    capable = [item for item in group if max_layers(profile, item.card) > 0]
    capable.sort(key=lambda item: (_first_layer(item), item.instance))
    cards = [item.card for item in capable]
    best: dict[str, Holding] = {}
    best_score = 0.0
    for copies in COPY_COUNTS:
        counts = divide_layers(profile, cards, round(copies * profile.layers))
        chosen = _assign_in_order(profile, capable, counts)
        score = plan_score(profile, capable, chosen) if chosen else 0.0
        if score > best_score:
            best, best_score = chosen, score
    return [
        (item, best[item.instance])
        for item in capable
        if item.instance in best and best[item.instance] != item.holding
    ]


def _assign_in_order(
    profile: EngineProfile, engines: Sequence[PlacedEngine], counts: Sequence[int]
) -> dict[str, Holding]:
    """Assign consecutive ranges to engines, with evenly distributed overlap if there is a surplus.

    Returns:
        Layers by engine; empty if they do not cover all layers.
    """
    surplus = sum(counts) - profile.layers
    if surplus < 0:
        return {}
    last = max(1, len(engines) - 1)
    chosen: dict[str, Holding] = {}
    position = 0
    for index, (engine, count) in enumerate(zip(engines, counts, strict=True)):
        first = max(0, min(position - surplus * index // last, profile.layers - count))
        chosen[engine.instance] = Holding(first=first, end=first + count)
        position += count
    return chosen


def _first_layer(engine: PlacedEngine) -> int:
    return engine.holding.first if engine.holding is not None else 0


def _first_gap(missing: Sequence[int]) -> Holding:
    """Return the first contiguous run of missing layers; `missing` must not be empty."""
    end = missing[0]
    for layer in missing:
        if layer != end:
            break
        end += 1
    return Holding(first=missing[0], end=end)


def _mean_capacity(profile: EngineProfile, group: Iterable[PlacedEngine]) -> float:
    """Return the mean request capacity of the engines of a group."""
    capacities = [
        request_capacity(profile, item.card, item.holding.end - item.holding.first)
        for item in group
        if item.holding is not None
    ]
    return sum(capacities) / max(1, len(capacities))


def _holders(group: Iterable[PlacedEngine], holdings: dict[str, Holding]) -> list[PlacedEngine]:
    return [item for item in group if item.instance in holdings]


def _holdings(engines: Iterable[PlacedEngine]) -> list[Holding]:
    return [item.holding for item in engines if item.holding is not None]
