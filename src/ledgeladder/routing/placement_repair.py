"""Moving engines to layers that a failure domain lacks after a loss."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .layer_coverage import LayerCoverage, slowness
from .placement import layers_for, missing_layers

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..model.registration import Holding
    from ..model.traffic import EngineProfile
    from .placed_engine import PlacedEngine

KEPT_SHARE: Final = 0.6
"""Share of the mean over all layers that a layer must still carry once an engine is moved away from
it. Without that, moves that filled the gaps of one failure domain left layers 63 to 71 of a whole
site to two full engines."""


def plan_repairs(
    profile: EngineProfile, engines: Sequence[PlacedEngine]
) -> list[tuple[PlacedEngine, Holding]]:
    """Choose engines to move where failure domains lack layers after a loss.

    Only engines whose layers are held elsewhere too, in their own failure domain and in all, are
    moved, the slowest first: the fast ones carry more requests. A lost fast engine takes several
    slow ones. What nobody can be spared for is left to the other failure domains.

    Args:
        profile: Figures of the engines.
        engines: Engines that are up, with what they hold or were ordered to hold.

    Returns:
        Engines with their new layers; empty if nothing is missing or nobody can be spared.
    """
    coverage = LayerCoverage(profile=profile)
    by_domain: dict[str, list[PlacedEngine]] = {}
    for engine in engines:
        by_domain.setdefault(engine.failure_domain, []).append(engine)
        if engine.holding is not None:
            coverage.add(engine, engine.holding)
    moves: list[tuple[PlacedEngine, Holding]] = []
    for members in by_domain.values():
        moves += _repair_domain(profile, members, coverage)
    return moves


def _repair_domain(
    profile: EngineProfile, members: Sequence[PlacedEngine], coverage: LayerCoverage
) -> list[tuple[PlacedEngine, Holding]]:
    """Choose moves within one failure domain until it lacks nothing or has nobody to spare."""
    moves: list[tuple[PlacedEngine, Holding]] = []
    lacking = missing_layers(profile, _holdings(members))
    # One that lacks over half of the layers never held a whole copy, or lost too much for moves to
    # help.
    if len(lacking) > profile.layers // 2:
        return moves
    rest = list(members)
    while lacking:
        spare = _spare_engine(profile, rest, coverage)
        if spare is None or spare.holding is None:
            break
        rest = [item for item in rest if item is not spare]
        coverage.add(spare, spare.holding, -1.0)
        holding = coverage.best_range(spare, layers_for(profile, spare.card))
        coverage.add(spare, holding)
        if not any(holding.first <= layer < holding.end for layer in lacking):
            coverage.add(spare, holding, -1.0)
            coverage.add(spare, spare.holding)
            break
        moves.append((spare, holding))
        lacking = missing_layers(profile, [*_holdings(rest), *(moved for _engine, moved in moves)])
    return moves


def _holdings(engines: Iterable[PlacedEngine]) -> list[Holding]:
    return [item.holding for item in engines if item.holding is not None]


def _spare_engine(
    profile: EngineProfile, members: Sequence[PlacedEngine], coverage: LayerCoverage
) -> PlacedEngine | None:
    """Return the slowest engine that can be spared, and of equal ones the least missed."""
    copies = [0] * profile.layers
    for item in members:
        if item.holding is not None:
            for layer in range(item.holding.first, min(item.holding.end, profile.layers)):
                copies[layer] += 1
    least = KEPT_SHARE * sum(coverage.everywhere) / profile.layers

    def left_without(item: PlacedEngine, holding: Holding) -> float:
        carried = min(coverage.everywhere[holding.first : holding.end], default=0.0)
        return carried - coverage.capacity(item, holding)

    candidates = [
        (-slowness(profile, item.card), -left_without(item, item.holding), index)
        for index, item in enumerate(members)
        if item.holding is not None
        and layers_for(profile, item.card) > 0
        and min(copies[item.holding.first : item.holding.end], default=0) >= 2
        and left_without(item, item.holding) >= least
    ]
    return members[min(candidates)[2]] if candidates else None
