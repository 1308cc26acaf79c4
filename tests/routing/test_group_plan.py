"""Division of layers among the engines of a group, and division of engines into groups."""

from __future__ import annotations

import random

import msgspec
import pytest

from ledgeladder.model.registration import Holding
from ledgeladder.model.traffic import CardKind
from ledgeladder.routing import group_plan
from ledgeladder.routing.group_plan import (
    divide_layers,
    max_layers,
    plan_group,
    requests_per_second,
)
from ledgeladder.routing.layer_coverage import request_capacity
from ledgeladder.routing.placed_engine import PlacedEngine
from ledgeladder.routing.placement import (
    MAX_PART_ENGINES,
    group_engines,
    missing_layers,
    plan_placement,
    split_group,
)

from .sample_site import PROFILE

CARDS = {
    "fast": CardKind(name="fast", memory_mb=36_000, step_factor=3.1, prefill_factor=3.2),
    "middle": CardKind(name="middle", memory_mb=21_600, step_factor=16.0, prefill_factor=8.2),
    "slow": CardKind(name="slow", memory_mb=14_400, step_factor=15.0, prefill_factor=15.0),
}
SMALL = msgspec.structs.replace(
    PROFILE,
    cards=CARDS,
    kv_token_bytes=656_000,
    prefill_tokens_per_s=353_000,
    step_ms=0.85,
    activation_bytes=32_800,
    domain_link_bytes_per_s=537.5e6,
)
"""The smallest card holds eight layers with capacity for six requests."""


def make_engines(domain: str, **counts: int) -> list[PlacedEngine]:
    return [
        PlacedEngine(
            instance=f"{domain}-{card}-{number}", failure_domain=domain, card=card, holding=None
        )
        for card, count in counts.items()
        for number in range(count)
    ]


@pytest.mark.parametrize("seed", range(30))
def test_minimum_capacity_is_maximal(seed: int) -> None:
    rng = random.Random(seed)
    cards = rng.choices(sorted(CARDS), k=rng.randrange(3, 15))
    layers = rng.randrange(len(cards), 160)
    counts = divide_layers(SMALL, cards, layers)
    assert sum(counts) == min(layers, sum(max_layers(SMALL, card) for card in cards))
    capacities = [request_capacity(SMALL, card, n) for card, n in zip(cards, counts, strict=True)]
    narrowest = capacities.index(min(capacities))
    for index, (card, count) in enumerate(zip(cards, counts, strict=True)):
        if index == narrowest or count >= max_layers(SMALL, card) or counts[narrowest] == 1:
            continue
        # Moving a layer from the engine with the least capacity to another would not help.
        assert request_capacity(SMALL, card, count + 1) <= capacities[narrowest] + 1e-9


def test_single_copy_on_few_engines_leaves_request_capacity() -> None:
    """Dividing by memory alone would leave the smallest cards little capacity."""
    members = make_engines("a", fast=2, middle=2, slow=3)
    chosen = plan_group(SMALL, members)
    assert missing_layers(SMALL, chosen.values()) == []
    capacities = [
        request_capacity(SMALL, item.card, chosen[item.instance].end - chosen[item.instance].first)
        for item in members
    ]
    assert min(capacities) > 15


def test_group_that_cannot_hold_the_model_still_gets_layers() -> None:
    members = make_engines("a", fast=1)
    chosen = plan_group(SMALL, members)
    assert chosen[members[0].instance].end > 0


def test_each_failure_domain_with_capacity_is_a_group() -> None:
    site = make_engines("a", fast=2, middle=5, slow=8) + make_engines("b", fast=1, middle=7, slow=5)
    assert [len(group) for group in group_engines(SMALL, site)] == [15, 13]


def test_failure_domains_with_little_capacity_form_one_group() -> None:
    """Together they serve what the links carry, which is more."""
    site = make_engines("a", fast=4) + make_engines("b", fast=4) + make_engines("c", fast=4)
    large_layers = msgspec.structs.replace(SMALL, layer_mb=1785.0)
    domain_rate = requests_per_second(large_layers, site[:4])
    assert 0 < 3 * domain_rate < 22
    assert [len(group) for group in group_engines(large_layers, site)] == [12]


def test_groups_do_not_rely_on_links_of_unknown_bandwidth() -> None:
    site = make_engines("a", fast=4) + make_engines("b", fast=4) + make_engines("c", fast=4)
    unknown = msgspec.structs.replace(SMALL, layer_mb=1785.0, domain_link_bytes_per_s=0.0)
    assert [len(group) for group in group_engines(unknown, site)] == [4, 4, 4]


def test_large_groups_are_planned_in_parts_that_share_plans(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a planning time during which the leader sends no heartbeats.

    A plan must be computed only once for each mix of cards.
    """
    planned: list[int] = []
    plan = group_plan._best_plan
    monkeypatch.setattr(
        group_plan, "_best_plan", lambda *args: planned.append(len(args[1])) or plan(*args)
    )
    fleet = make_engines("a", fast=60, middle=390, slow=660)
    parts = split_group(fleet)
    assert sorted(item.instance for part in parts for item in part) == sorted(
        item.instance for item in fleet
    )
    assert max(map(len, parts)) <= MAX_PART_ENGINES
    cache: group_plan.PlanCache = {}
    for part in parts:
        chosen = plan_placement(SMALL, part, (), cache)
        assert not missing_layers(SMALL, chosen.values())
    # Parts may differ by one engine of each of the three kinds of cards.
    assert len(planned) <= 4
    assert max(planned) <= MAX_PART_ENGINES


def test_small_and_serving_groups_are_not_split() -> None:
    small = make_engines("a", fast=2, middle=13, slow=22)
    assert split_group(small) == [small]
    large = make_engines("a", slow=MAX_PART_ENGINES + 1)
    assert len(split_group(large)) == 2
    served = msgspec.structs.replace(large[0], holding=Holding(first=0, end=8))
    assert split_group([served, *large[1:]]) == [[served, *large[1:]]]


def test_memory_beyond_the_slots_is_used_for_more_copies() -> None:
    """Short answers fill the slots of an engine before its KV cache.

    Capacity beyond the slots must not count, or plans hold too few copies.
    """
    small = msgspec.structs.replace(
        SMALL,
        kv_token_bytes=328_000,
        step_ms_per_request=0.002,
        mean_prompt_tokens=726,
        mean_answer_tokens=138,
    )
    fleet = make_engines("a", fast=2, middle=13, slow=22)
    plans = {}
    for slots in (0, 96):
        profile = msgspec.structs.replace(small, slots=slots)
        plans[slots] = plan_group(profile, fleet)
    held = {slots: sum(h.end - h.first for h in plan.values()) for slots, plan in plans.items()}
    assert held[96] > 1.5 * held[0]
    for item in fleet:
        holding = plans[96][item.instance]
        assert request_capacity(small, item.card, holding.end - holding.first) >= 80
    fast = plans[96]["a-fast-0"]
    assert fast.end - fast.first >= 16
