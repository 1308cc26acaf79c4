"""Layers for mixed cards over failure domains."""

from __future__ import annotations

import random

from ledgeladder.model.registration import Holding
from ledgeladder.model.traffic import CardKind, EngineProfile
from ledgeladder.routing.placement import (
    PlacedEngine,
    layers_for,
    missing_layers,
    plan_placement,
    plan_repairs,
)

CARDS = {
    "fast": CardKind(name="fast", memory_mb=72_000, step_factor=2.4, read_factor=3.2),
    "middle": CardKind(name="middle", memory_mb=43_200, step_factor=5.6, read_factor=2.7),
    "slow": CardKind(name="slow", memory_mb=21_600, step_factor=16.0, read_factor=8.2),
}
PROFILE = EngineProfile(
    model="m",
    layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1_836_000,
    step_ms=1.02,
    sequence_ms=0.014,
    read_per_s=105_000,
    stride=3,
    load_seconds=14.0,
    loads_at_once=5,
    usual_prompt=774,
    usual_answer=200,
    cards=CARDS,
)
DOMAINS = {"a": (1, 3, 8), "b": (1, 6, 5), "c": (2, 2, 5)}


def fleet() -> list[PlacedEngine]:
    engines = []
    for domain, counts in DOMAINS.items():
        for card, count in zip(CARDS, counts, strict=True):
            engines += [
                PlacedEngine(
                    instance=f"{domain}-{card}-{number}",
                    failure_domain=domain,
                    card=card,
                    holding=None,
                )
                for number in range(count)
            ]
    return engines


def placed(engines: list[PlacedEngine], chosen: dict[str, Holding]) -> list[PlacedEngine]:
    return [
        PlacedEngine(
            instance=item.instance,
            failure_domain=item.failure_domain,
            card=item.card,
            holding=item.holding or chosen.get(item.instance),
        )
        for item in engines
    ]


def test_every_failure_domain_holds_a_whole_copy() -> None:
    engines = fleet()
    random.Random(1).shuffle(engines)
    chosen = plan_placement(PROFILE, engines)
    assert set(chosen) == {item.instance for item in engines}
    for domain in DOMAINS:
        held = [chosen[item.instance] for item in engines if item.failure_domain == domain]
        assert missing_layers(PROFILE, held) == []


def test_no_engine_is_given_more_than_its_card_holds() -> None:
    for instance, holding in plan_placement(PROFILE, fleet()).items():
        card = CARDS[instance.split("-")[1]]
        assert (holding.end - holding.first) * PROFILE.layer_mb <= card.memory_mb
        assert 0 <= holding.first < holding.end <= PROFILE.layers


def test_engines_that_hold_layers_keep_them_and_a_newcomer_is_placed() -> None:
    engines = fleet()
    settled = placed(engines, plan_placement(PROFILE, engines))
    lost, rest = settled[3], settled[:3] + settled[4:]
    newcomer = PlacedEngine(
        instance="new", failure_domain=lost.failure_domain, card=lost.card, holding=None
    )
    chosen = plan_placement(PROFILE, [*rest, newcomer])
    assert set(chosen) == {"new"}


def test_unknown_card_and_too_small_card_get_nothing() -> None:
    assert layers_for(PROFILE, "unknown") == 0
    tiny = CardKind(name="tiny", memory_mb=1000, step_factor=1, read_factor=1)
    profile = EngineProfile(
        **{name: getattr(PROFILE, name) for name in PROFILE.__dataclass_fields__}
        | {"cards": {"tiny": tiny}}
    )
    engine = PlacedEngine(instance="x", failure_domain="a", card="tiny", holding=None)
    assert plan_placement(profile, [engine]) == {}


def test_repair_moves_spare_engines_of_the_same_failure_domain() -> None:
    engines = fleet()
    settled = placed(engines, plan_placement(PROFILE, engines))
    assert plan_repairs(PROFILE, settled) == []
    moves = 0
    whole = 0
    # Take one engine of domain a away at a time; some losses leave layers without a holder there.
    for lost in [item for item in settled if item.failure_domain == "a"]:
        rest = [item for item in settled if item is not lost]
        own = [item.holding for item in rest if item.failure_domain == "a" and item.holding]
        lacking = missing_layers(PROFILE, own)
        repairs = plan_repairs(PROFILE, rest)
        if not lacking or not repairs:
            continue
        moves += len(repairs)
        spares = [spare for spare, _holding in repairs]
        assert {spare.failure_domain for spare in spares} == {"a"}
        assert len({spare.instance for spare in spares}) == len(spares)
        moved = [holding for _spare, holding in repairs]
        kept = [item for item in rest if item not in spares]
        others = [item.holding for item in kept if item.holding]
        in_domain = [item.holding for item in kept if item.failure_domain == "a" and item.holding]
        assert missing_layers(PROFILE, others) == []
        assert lacking[0] in range(moved[0].first, moved[0].end)
        left = missing_layers(PROFILE, [*in_domain, *moved])
        assert len(left) < len(lacking)
        # What the domain still held is not given up for what it lacked.
        assert set(left) <= set(lacking)
        whole += not left
    assert moves
    assert whole


def test_lost_fast_engine_is_replaced_by_several_slow_ones_at_once() -> None:
    engines = fleet()
    settled = placed(engines, plan_placement(PROFILE, engines))
    widest = max(
        (item for item in settled if item.failure_domain == "a" and item.holding),
        key=lambda item: item.holding.end - item.holding.first,
    )
    rest = [item for item in settled if item is not widest]
    own = [item.holding for item in rest if item.failure_domain == "a" and item.holding]
    assert len(missing_layers(PROFILE, own)) > layers_for(PROFILE, "l4")
    assert len(plan_repairs(PROFILE, rest)) >= 2
