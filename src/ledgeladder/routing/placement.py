"""Which layers each engine holds.

Engines come with cards of different memory and speed in several failure domains. Each engine gets
one range of layers and keeps the rest of its memory for the KV cache of requests. Ranges are chosen
one engine after the other, fast cards first, where the engine's failure domain has the least
capacity; so each failure domain first gets a whole copy of the model on its fastest cards, then a
second one, and goes on serving when it is cut off.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..model.registration import Holding

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..model.traffic import EngineProfile

KV_SHARE: Final = 0.2
"""Share of a card's memory that is kept for requests. Worked out in docs/design/placement.md: with
0.4 a failure domain holds some layers once only and is cut off from them by one lost engine; with
0.2 the KV cache still holds twice the requests of an ordinary day."""

DOMAIN_WEIGHT: Final = 10.0
"""How much more a layer counts that its own failure domain lacks than one that all lack."""

MEGABYTE: Final = 1e6


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacedEngine:
    """An engine that registered, with what it holds."""

    instance: str
    """Run of the engine."""

    failure_domain: str
    """Where it runs."""

    card: str
    """Kind of its accelerator."""

    holding: Holding | None
    """Layers that it holds or was ordered to hold."""


def layers_for(profile: EngineProfile, card: str) -> int:
    """Return how many layers an engine with a card is given.

    Args:
        profile: Figures of the engines.
        card: Kind of the accelerator.

    Returns:
        Layers, 0 if the kind is not known or not one layer fits.
    """
    kind = profile.cards.get(card)
    if kind is None or profile.layer_mb <= 0:
        return 0
    most = int(kind.memory_mb // profile.layer_mb)
    wanted = int(kind.memory_mb * (1.0 - KV_SHARE) // profile.layer_mb)
    return min(max(wanted, 1), most, profile.layers)


def kv_capacity(profile: EngineProfile, card: str, layers: int) -> float:
    """Return how many tokens x layers of KV cache fit beside the layers of an engine.

    Args:
        profile: Figures of the engines.
        card: Kind of the accelerator.
        layers: Layers that it holds.
    """
    kind = profile.cards.get(card)
    if kind is None or profile.kv_token_bytes <= 0:
        return float("inf")
    free = (kind.memory_mb - layers * profile.layer_mb) * MEGABYTE
    return max(0.0, free) * profile.layers / profile.kv_token_bytes


def plan_placement(profile: EngineProfile, engines: Sequence[PlacedEngine]) -> dict[str, Holding]:
    """Choose layers for the engines that hold none; the others keep theirs.

    Args:
        profile: Figures of the engines.
        engines: All engines of the pool.

    Returns:
        Layers by engine, for those that held none.
    """
    coverage = _Coverage(profile)
    for engine in engines:
        if engine.holding is not None:
            coverage.add(engine, engine.holding)
    chosen: dict[str, Holding] = {}
    empty = [engine for engine in engines if engine.holding is None]
    for engine in sorted(empty, key=lambda item: (_slowness(profile, item.card), item.instance)):
        count = layers_for(profile, engine.card)
        if count == 0:
            continue
        holding = coverage.best_range(engine, count)
        coverage.add(engine, holding)
        chosen[engine.instance] = holding
    return chosen


def plan_repair(
    profile: EngineProfile, engines: Sequence[PlacedEngine]
) -> tuple[PlacedEngine, Holding] | None:
    """Choose one engine to move where a failure domain lacks layers after a loss.

    Only an engine whose layers its own failure domain holds elsewhere too is moved, the slowest
    first: the fast ones carry more requests.

    Args:
        profile: Figures of the engines.
        engines: Engines that are up, with what they hold or were ordered to hold.

    Returns:
        The engine and its new layers, or None if nothing is missing or nobody can be spared.
    """
    by_domain: dict[str, list[PlacedEngine]] = {}
    for engine in engines:
        by_domain.setdefault(engine.failure_domain, []).append(engine)
    for members in by_domain.values():
        held = [item.holding for item in members if item.holding is not None]
        lacking = missing_layers(profile, held)
        # A failure domain that never held a whole copy is not repaired.
        if not lacking or len(lacking) > profile.layers // 2:
            continue
        spare = _spare_engine(profile, members)
        if spare is None:
            continue
        count = min(layers_for(profile, spare.card), profile.layers)
        first = min(lacking[0], profile.layers - count)
        return spare, Holding(first=first, end=first + count)
    return None


def _spare_engine(profile: EngineProfile, members: Sequence[PlacedEngine]) -> PlacedEngine | None:
    copies = [0] * profile.layers
    for item in members:
        if item.holding is not None:
            for layer in range(item.holding.first, min(item.holding.end, profile.layers)):
                copies[layer] += 1
    for item in sorted(members, key=lambda one: -_slowness(profile, one.card)):
        holding = item.holding
        if holding is not None and min(copies[holding.first : holding.end], default=0) >= 2:
            return item
    return None


def missing_layers(profile: EngineProfile, holdings: Iterable[Holding]) -> list[int]:
    """Return the layers that nobody holds."""
    held = [False] * profile.layers
    for holding in holdings:
        for layer in range(holding.first, min(holding.end, profile.layers)):
            held[layer] = True
    return [layer for layer, is_held in enumerate(held) if not is_held]


def _slowness(profile: EngineProfile, card: str) -> float:
    kind = profile.cards.get(card)
    return kind.step_factor if kind is not None else float("inf")


class _Coverage:
    """KV capacity that each layer has, in each failure domain and in all."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.everywhere = [0.0] * profile.layers
        self.by_domain: dict[str, list[float]] = {}

    def domain(self, name: str) -> list[float]:
        return self.by_domain.setdefault(name, [0.0] * self.profile.layers)

    def add(self, engine: PlacedEngine, holding: Holding) -> None:
        count = max(1, holding.end - holding.first)
        # Tokens that can be under way at this layer, and how fast they pass.
        capacity = kv_capacity(self.profile, engine.card, count) / count
        usual = max(1.0, self.profile.usual_prompt + self.profile.usual_answer)
        weight = min(capacity / usual, 1e6) / max(1e-9, _slowness(self.profile, engine.card))
        domain = self.domain(engine.failure_domain)
        for layer in range(holding.first, min(holding.end, self.profile.layers)):
            domain[layer] += weight
            self.everywhere[layer] += weight

    def best_range(self, engine: PlacedEngine, count: int) -> Holding:
        domain = self.domain(engine.failure_domain)
        need = [
            DOMAIN_WEIGHT / (0.1 + own) ** 2 + 1.0 / (0.1 + total) ** 2
            for own, total in zip(domain, self.everywhere, strict=True)
        ]
        window = sum(need[:count])
        best, first = window, 0
        for start in range(1, self.profile.layers - count + 1):
            window += need[start + count - 1] - need[start - 1]
            if window > best * (1.0 + 1e-9):
                best, first = window, start
        return Holding(first=first, end=first + count)
