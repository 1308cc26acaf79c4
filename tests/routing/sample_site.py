"""A sample site with three kinds of cards in three failure domains."""

from __future__ import annotations

import msgspec

from ledgeladder.model.registration import Holding
from ledgeladder.model.traffic import (
    CardKind,
    EngineProfile,
    PoolWeight,
    RequestKind,
    RouteRule,
)
from ledgeladder.routing.layer_coverage import kv_capacity
from ledgeladder.routing.placed_engine import PlacedEngine
from ledgeladder.routing.placement import plan_placement

CARDS = {
    "fast": CardKind(name="fast", memory_mb=72_000, step_factor=2.4, prefill_factor=3.2),
    "middle": CardKind(name="middle", memory_mb=43_200, step_factor=5.6, prefill_factor=2.7),
    "slow": CardKind(name="slow", memory_mb=21_600, step_factor=16.0, prefill_factor=8.2),
}
PROFILE = EngineProfile(
    model="m",
    layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1_836_000,
    step_ms=1.02,
    step_ms_per_request=0.014,
    prefill_tokens_per_s=105_000,
    steps_per_pass=3,
    load_seconds=14.0,
    parallel_loads=5,
    mean_prompt_tokens=774,
    mean_answer_tokens=200,
    cards=CARDS,
)
DOMAINS = {"a": (1, 3, 8), "b": (1, 6, 5), "c": (2, 2, 5)}
"""Number of engines with each kind of card, in the order of `CARDS`, by failure domain."""


def fleet() -> list[PlacedEngine]:
    """Return the engines of the site without layers."""
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
    """Return the engines with the layers that they hold or that were chosen for them."""
    return [
        msgspec.structs.replace(item, holding=item.holding or chosen.get(item.instance))
        for item in engines
    ]


def placed_fleet() -> list[PlacedEngine]:
    """Return the engines of the site with the layers of the first plan."""
    engines = fleet()
    return placed(engines, plan_placement(PROFILE, engines))


def requests_by_layer(engines: list[PlacedEngine], chosen: dict[str, Holding]) -> list[float]:
    """Return the capacity of each layer, in requests of the usual size."""
    carried = [0.0] * PROFILE.layers
    for item in engines:
        holding = chosen[item.instance]
        count = holding.end - holding.first
        tokens = kv_capacity(PROFILE, item.card, count) / count
        for layer in range(holding.first, holding.end):
            carried[layer] += tokens / (PROFILE.mean_prompt_tokens + PROFILE.mean_answer_tokens)
    return carried


def stream_route(name: str, priority: int, pool: str, *, public: bool = False) -> RouteRule:
    """Return a route of streams that all go to one pool."""
    return RouteRule(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=RequestKind.STREAM,
        resumable=True,
        timeout=20.0,
        target_latency=0.5,
        gap_target=0.2,
        priority=priority,
        pools=(PoolWeight(pool=pool, weight=1.0),),
        max_attempts=2,
        public=public,
    )
