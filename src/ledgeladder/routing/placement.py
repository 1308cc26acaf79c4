"""Assignment of layers to engines.

Engines differ in memory, speed and failure domain. Each gets one range of layers and uses its
remaining memory for the KV cache of requests. Each failure domain that can hold the whole model
does (`group_plan` determines how many copies), so that its requests need no inter-domain hop.
`placement_repair` plans the moves after a loss.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .group_plan import (
    assign_ranges,
    layers_by_memory,
    max_layers,
    plan_group,
    requests_per_second,
)
from .layer_coverage import LayerCoverage, card_step_factor
from .link_load import NEW_REQUEST_LIMIT, transfer_seconds
from .placed_engine import PlacedEngine

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from ..model.registration import Holding
    from ..model.traffic import EngineProfile
    from .group_plan import PlanCache


MAX_PART_ENGINES: Final = 48
"""Maximum number of engines planned together. Bounds the planning time well below the election
timeout, since the leader sends no heartbeats meanwhile."""

EXPECTED_INTER_DOMAIN_HOPS: Final = 2.0
"""Inter-domain hops of a path in a group of several failure domains: to another one and back."""


def plan_placement(
    profile: EngineProfile,
    engines: Sequence[PlacedEngine],
    draining: Sequence[PlacedEngine] = (),
    cache: PlanCache | None = None,
) -> dict[str, Holding]:
    """Choose layers for the engines that hold none; the others keep theirs.

    Args:
        profile: Performance figures of the engines.
        engines: Engines of the pool that take new work.
        draining: Draining engines. An empty engine with the same card in the same failure domain is
            likely the replacement, and inherits the layers.
        cache: Plans made for the same profile.

    Returns:
        Layers by engine, for those that held none and get some: replacements first, then by card,
        the fast ones first.
    """
    coverage = LayerCoverage(profile=profile)
    for engine in engines:
        if engine.holding is not None:
            coverage.add(engine, engine.holding)
    chosen = _inherit_holdings(engines, draining)
    for engine in engines:
        if engine.instance in chosen:
            coverage.add(engine, chosen[engine.instance])
    for members in group_engines(profile, engines):
        chosen |= _plan_group_members(profile, members, chosen, coverage, cache)
    return chosen


def split_group(engines: Sequence[PlacedEngine]) -> list[list[PlacedEngine]]:
    """Divide a group in which no engine holds layers into parts that are planned separately.

    Planning time grows faster than the number of engines. Each kind of card is distributed evenly,
    so that most parts have the same cards and share a plan. Each part holds several copies of the
    model and is planned like a failure domain of its size.

    Returns:
        The parts; only the group itself if it is small or already serves, in which case new engines
        fill its gaps.
    """
    count = -(-len(engines) // MAX_PART_ENGINES)
    if count <= 1 or any(item.holding is not None for item in engines):
        return [list(engines)]
    ordered = sorted(engines, key=lambda item: (item.card, item.instance))
    return [ordered[start::count] for start in range(count)]


def group_engines(
    profile: EngineProfile, engines: Sequence[PlacedEngine]
) -> list[list[PlacedEngine]]:
    """Divide engines into groups, each of which is assigned the whole model.

    A failure domain that can hold the model is a group by itself: it serves without inter-domain
    hops and survives a network partition. All others form one more group. If this leaves the
    failure domains so little capacity that all engines together serve more, limited by the
    inter-domain links, they form one group, which then does not lose a copy with a single engine.
    """
    by_domain: dict[str, list[PlacedEngine]] = {}
    for engine in engines:
        if max_layers(profile, engine.card) > 0:
            by_domain.setdefault(engine.failure_domain, []).append(engine)
    groups: list[list[PlacedEngine]] = []
    remaining: list[PlacedEngine] = []
    separate_rate = 0.0
    for _name, members in sorted(by_domain.items()):
        rate = requests_per_second(profile, members)
        if rate > 0.0:
            groups.append(members)
            separate_rate += rate
        else:
            remaining += members
    all_engines = [item for members in by_domain.values() for item in members]
    joint_rate = min(
        requests_per_second(profile, all_engines), _link_request_rate(profile, len(by_domain))
    )
    if groups and joint_rate > separate_rate:
        return [all_engines]
    return [*groups, remaining] if remaining else groups


def _link_request_rate(profile: EngineProfile, domains: int) -> float:
    """Return how many requests a second the links between failure domains carry in total.

    Returns:
        0 if the bandwidth of the links is unknown, so that no plan depends on them.
    """
    seconds = transfer_seconds(profile, profile.mean_prompt_tokens)
    links = domains * (domains - 1) / 2
    return (
        NEW_REQUEST_LIMIT * links / (EXPECTED_INTER_DOMAIN_HOPS * seconds) if seconds > 0 else 0.0
    )


def _plan_group_members(
    profile: EngineProfile,
    members: Sequence[PlacedEngine],
    chosen: Mapping[str, Holding],
    coverage: LayerCoverage,
    cache: PlanCache | None,
) -> dict[str, Holding]:
    """Choose layers for the members of a group that hold none.

    If other members hold layers, a new engine gets as many in proportion to its memory.

    Args:
        profile: Performance figures of the engines.
        members: Engines of the group.
        chosen: Layers that were already chosen.
        coverage: Capacity of each layer; updated with engines that join a serving group.
        cache: Plans made for the same profile.

    Returns:
        Layers by engine.
    """
    holdings = [item.holding or chosen.get(item.instance) for item in members]
    empty = [item for item, holding in zip(members, holdings, strict=True) if holding is None]
    if len(empty) == len(members):
        return plan_group(profile, empty, cache)
    held_layers = sum(item.end - item.first for item in holdings if item is not None)
    memory = sum(
        profile.cards[item.card].memory_mb
        for item, holding in zip(members, holdings, strict=True)
        if holding is not None
    )
    empty.sort(key=lambda item: (card_step_factor(profile, item.card), item.instance))
    counts = [layers_by_memory(profile, item.card, held_layers / memory) for item in empty]
    return assign_ranges(empty, counts, coverage)


def _inherit_holdings(
    engines: Sequence[PlacedEngine], draining: Sequence[PlacedEngine]
) -> dict[str, Holding]:
    """Assign the layers of draining engines to empty ones of the same card and failure domain."""
    chosen: dict[str, Holding] = {}
    occupied = {(item.failure_domain, item.card, item.holding) for item in engines if item.holding}
    for old in draining:
        if old.holding is None:
            continue
        key = (old.failure_domain, old.card, old.holding)
        if key in occupied:
            continue
        new = next(
            (
                item
                for item in engines
                if item.holding is None
                and item.instance not in chosen
                and (item.failure_domain, item.card) == (old.failure_domain, old.card)
            ),
            None,
        )
        if new is not None:
            chosen[new.instance] = old.holding
            occupied.add(key)
    return chosen


def missing_layers(profile: EngineProfile, holdings: Iterable[Holding]) -> list[int]:
    """Return the layers of the model that no holding covers, in order."""
    held = [False] * profile.layers
    for holding in holdings:
        for layer in range(holding.first, min(holding.end, profile.layers)):
            held[layer] = True
    return [layer for layer, is_held in enumerate(held) if not is_held]
