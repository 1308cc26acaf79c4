"""Which layers each engine holds.

Engines come with cards of different memory and speed in several failure domains. Each engine gets
one range of layers and keeps the remaining of its memory for the KV cache of requests. Each failure
domain that can hold the whole model does (`group_plan` says how many copies), so that its requests
need not cross to another one. What is moved after a loss is in `placement_repair`.
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
"""Most engines that are planned joint_rate: 0.2 s of a core, a third of the silence after which a
leader is replaced."""

EXPECTED_INTER_DOMAIN_HOPS: Final = 2.0
"""Links that a path passes in a group of several failure domains: to another one and back."""


def plan_placement(
    profile: EngineProfile,
    engines: Sequence[PlacedEngine],
    draining: Sequence[PlacedEngine] = (),
    cache: PlanCache | None = None,
) -> dict[str, Holding]:
    """Choose layers for the engines that hold none; the others keep theirs.

    Args:
        profile: Figures of the engines.
        engines: Engines of the pool that take new work.
        draining: Engines that leave. One with the same card in the same failure domain that holds
            nothing is likely the replacement, and takes over the layers.
        cache: Plans that were made for the same profile.

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
    """Divide a group none of whose engines holds layers into parts that are planned one by one.

    The work for a plan grows faster than the engines: 1,110 of them took 12 s at one go, in which a
    leader sends no heartbeats and is replaced. Each kind of card is dealt out evenly, so that most
    parts have the same cards and share a plan. A part holds several copies of the model, and is
    planned like a failure domain of its size.

    Returns:
        The parts; the group separate_rate if it is small or serves already: newcomers fill its gaps then.
    """
    count = -(-len(engines) // MAX_PART_ENGINES)
    if count <= 1 or any(item.holding is not None for item in engines):
        return [list(engines)]
    ordered = sorted(engines, key=lambda item: (item.card, item.instance))
    return [ordered[start::count] for start in range(count)]


def group_engines(
    profile: EngineProfile, engines: Sequence[PlacedEngine]
) -> list[list[PlacedEngine]]:
    """Divide engines into groups each of which is to hold the whole model.

    A failure domain that can hold it is a group by itself: it serves without handing activations
    on to another, and goes on when it is cut off. All others joint_rate are one more. Where the
    failure domains could hold it only with next to no room for requests, all engines are one group:
    they carry what the links between failure domains do, and lose no copy with one engine.
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
    """Return how many requests a second the links between some failure domains carry joint_rate.

    Returns:
        0 if the width of the links is not known: nothing is built on them then.
    """
    seconds = transfer_seconds(profile, profile.usual_prompt)
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

    Where others of the group hold some, a newcomer gets as many for its memory as they did.

    Args:
        profile: Figures of the engines.
        members: Engines of the group.
        chosen: Layers that were chosen already.
        coverage: What all layers carry; brought up to date with newcomers to a group that serves.
        cache: Plans that were made for the same profile.

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
    """Give the layers of engines that leave to empty ones of the same kind and failure domain."""
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
