"""Routes cover every layer exactly once for any ranges."""

from __future__ import annotations

import random

from returns.result import Success

from ledgeladder.model import Upstream, UpstreamKind, covers_once
from ledgeladder.routing.chain import better_of_two, choose_route, missing_layers, replace_stages
from ledgeladder.routing.upstream_table import UpstreamView

LAYERS = 24


def random_engines(rng: random.Random) -> list[UpstreamView]:
    engines = []
    for number in range(rng.randint(2, 10)):
        first = rng.randrange(LAYERS)
        upstream = Upstream(
            name=f"e{number}",
            kind=UpstreamKind.ENGINE,
            address=f"127.0.0.1:{number + 1}",
            failure_domain="a",
            model="m",
            first_layer=first,
            end_layer=rng.randint(first + 1, LAYERS),
            layers_per_second=rng.choice([1.0, 3.0]),
        )
        engines.append(UpstreamView(upstream=upstream, in_flight=rng.randrange(5)))
    return engines


def test_route_exists_exactly_if_all_layers_are_held() -> None:
    found = 0
    for seed in range(2000):
        rng = random.Random(seed)
        engines = random_engines(rng)
        chosen = choose_route(engines, LAYERS, better_of_two(rng))
        assert isinstance(chosen, Success) == (not missing_layers(engines, LAYERS)), seed
        if isinstance(chosen, Success):
            found += 1
            stages = chosen.unwrap().stages
            assert covers_once([stage.span for stage in stages], LAYERS), seed
            assert len({stage.upstream for stage in stages}) == len(stages), seed
    assert found > 100


def test_replacement_keeps_the_others_and_covers_once() -> None:
    replaced_count = 0
    for seed in range(4000):
        rng = random.Random(seed)
        engines = random_engines(rng)
        chosen = choose_route(engines, LAYERS, better_of_two(rng))
        if not isinstance(chosen, Success):
            continue
        route = chosen.unwrap()
        lost = frozenset({rng.choice(route.stages).upstream})
        replaced = replace_stages(route, lost, engines, better_of_two(rng))
        if replaced is None:
            continue
        replaced_count += 1
        assert covers_once([stage.span for stage in replaced.stages], LAYERS), seed
        assert not replaced.upstreams & lost, seed
        kept = [stage for stage in route.stages if stage.upstream not in lost]
        assert all(stage in replaced.stages for stage in kept), seed
        names = [stage.upstream for stage in replaced.stages]
        assert len(set(names)) == len(names), seed
    assert replaced_count > 50
