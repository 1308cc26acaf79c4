"""What each layer of a model can carry: requests in the KV caches of its holders, by speed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..model.registration import Holding

if TYPE_CHECKING:
    from ..model.traffic import EngineProfile
    from .placed_engine import PlacedEngine

MEGABYTE: Final = 1e6
"""Bytes of a megabyte, as cards and layers are measured."""

DOMAIN_WEIGHT: Final = 10.0
"""How much more a layer counts that its own failure domain lacks than one that all lack."""

OFFSET: Final = 0.1
"""Added to what a layer carries, so that one without any holder has a finite need."""

POWER: Final = 2
"""How steeply the need of a layer falls with what it carries. Requests alone, not divided by the
step time, with a power of 3 carry 172 requests at the narrowest layer of the citaverde site against
143; three days with trouble were worth 0.68 that way and 0.72 this way (see placement.md)."""

CAPACITY_LIMIT: Final = 1e6
"""Requests that an engine of unknown memory counts for."""


def slowness(profile: EngineProfile, card: str) -> float:
    """Return the step factor of a kind of card; an unknown kind is the slowest."""
    kind = profile.cards.get(card)
    return kind.step_factor if kind is not None else float("inf")


def kv_capacity(profile: EngineProfile, card: str, layers: int) -> float:
    """Return how many tokens x layers of KV cache fit beside the layers of an engine.

    Args:
        profile: Figures of the engines.
        card: Kind of the accelerator.
        layers: Layers that it holds.

    Returns:
        Tokens x layers; infinity if the kind or the size of a token is not known.
    """
    kind = profile.cards.get(card)
    if kind is None or profile.kv_token_bytes <= 0:
        return float("inf")
    free = (kind.memory_mb - layers * profile.layer_mb) * MEGABYTE
    return max(0.0, free) * profile.layers / profile.kv_token_bytes


@dataclass(kw_only=True)
class LayerCoverage:
    """Requests over step factors that each layer carries, in each failure domain and in all."""

    profile: EngineProfile
    """Figures of the engines."""

    everywhere: list[float] = field(init=False)
    """Requests over step factors, by layer."""

    by_domain: dict[str, list[float]] = field(default_factory=dict)
    """The same within each failure domain."""

    def __post_init__(self) -> None:
        self.everywhere = [0.0] * self.profile.layers

    def domain(self, name: str) -> list[float]:
        """Return what the layers carry in one failure domain."""
        return self.by_domain.setdefault(name, [0.0] * self.profile.layers)

    def capacity(self, engine: PlacedEngine, holding: Holding) -> float:
        """Return what an engine carries: requests that fit on it, over the factor of its steps."""
        count = max(1, holding.end - holding.first)
        tokens = kv_capacity(self.profile, engine.card, count) / count
        usual = max(1.0, self.profile.usual_prompt + self.profile.usual_answer)
        pace = max(1e-9, slowness(self.profile, engine.card))
        return min(tokens / usual, CAPACITY_LIMIT) / pace

    def add(self, engine: PlacedEngine, holding: Holding, sign: float = 1.0) -> None:
        """Count an engine; with a sign of -1, take it back."""
        capacity = sign * self.capacity(engine, holding)
        domain = self.domain(engine.failure_domain)
        for layer in range(holding.first, min(holding.end, self.profile.layers)):
            domain[layer] += capacity
            self.everywhere[layer] += capacity

    def best_range(self, engine: PlacedEngine, count: int) -> Holding:
        """Return the range of that many layers whose need is greatest; the first of equal ones."""
        domain = self.domain(engine.failure_domain)
        need = [
            DOMAIN_WEIGHT / (OFFSET + max(0.0, own)) ** POWER
            + 1.0 / (OFFSET + max(0.0, total)) ** POWER
            for own, total in zip(domain, self.everywhere, strict=True)
        ]
        window = sum(need[:count])
        best, first = window, 0
        for start in range(1, self.profile.layers - count + 1):
            window += need[start + count - 1] - need[start - 1]
            if window > best * (1.0 + 1e-9):
                best, first = window, start
        return Holding(first=first, end=first + count)
