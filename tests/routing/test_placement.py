"""Placement over mixed cards and several failure domains."""

from __future__ import annotations

import random

import msgspec

from ledgeladder.model.traffic import CardKind
from ledgeladder.routing.group_plan import max_layers
from ledgeladder.routing.placed_engine import PlacedEngine
from ledgeladder.routing.placement import missing_layers, plan_placement

from .sample_site import CARDS, DOMAINS, PROFILE, fleet, placed_fleet, requests_by_layer


def test_every_failure_domain_holds_a_whole_copy() -> None:
    engines = fleet()
    random.Random(1).shuffle(engines)
    chosen = plan_placement(PROFILE, engines)
    assert set(chosen) == {item.instance for item in engines}
    for domain in DOMAINS:
        held = [chosen[item.instance] for item in engines if item.failure_domain == domain]
        assert missing_layers(PROFILE, held) == []


def test_no_engine_gets_more_layers_than_its_card_holds() -> None:
    for instance, holding in plan_placement(PROFILE, fleet()).items():
        card = CARDS[instance.split("-")[1]]
        assert (holding.end - holding.first) * PROFILE.layer_mb <= card.memory_mb
        assert 0 <= holding.first < holding.end <= PROFILE.layers


def test_engines_keep_their_layers_when_a_new_one_is_placed() -> None:
    placed = placed_fleet()
    lost, rest = placed[3], placed[:3] + placed[4:]
    new_engine = PlacedEngine(
        instance="new", failure_domain=lost.failure_domain, card=lost.card, holding=None
    )
    chosen = plan_placement(PROFILE, [*rest, new_engine])
    assert set(chosen) == {"new"}


def test_unknown_card_and_too_small_card_get_nothing() -> None:
    assert max_layers(PROFILE, "unknown") == 0
    tiny = CardKind(name="tiny", memory_mb=1000, step_factor=1, prefill_factor=1)
    profile = msgspec.structs.replace(PROFILE, cards={"tiny": tiny})
    engine = PlacedEngine(instance="x", failure_domain="a", card="tiny", holding=None)
    assert plan_placement(profile, [engine]) == {}


def test_capacity_is_balanced_over_layers() -> None:
    """The layer with the least capacity limits a path."""
    engines = fleet()
    carried = requests_by_layer(engines, plan_placement(PROFILE, engines))
    assert min(carried) >= 0.6 * sum(carried) / PROFILE.layers


def test_replacement_inherits_layers_of_draining_engine() -> None:
    placed = placed_fleet()
    old = next(item for item in placed if item.card == "middle" and item.failure_domain == "b")
    rest = [item for item in placed if item is not old]
    new = PlacedEngine(instance="new", failure_domain="b", card="middle", holding=None)
    other = PlacedEngine(instance="other", failure_domain="a", card="middle", holding=None)
    chosen = plan_placement(PROFILE, [*rest, other, new], [old])
    assert chosen["new"] == old.holding
    # Once they are inherited, the next engine with that card is placed by need.
    replacement = PlacedEngine(
        instance="new", failure_domain="b", card="middle", holding=old.holding
    )
    next_one = PlacedEngine(instance="next", failure_domain="b", card="middle", holding=None)
    assert set(plan_placement(PROFILE, [*rest, replacement, next_one], [old])) == {"next"}
