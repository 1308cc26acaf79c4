"""Capacity of each layer of a model, by the KV caches and step times of its holders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model.registration import Holding

if TYPE_CHECKING:
    from ..model.traffic import EngineProfile
    from .placed_engine import PlacedEngine

MEGABYTE: Final = 1e6
"""Bytes of a megabyte, the unit of card memory and layer sizes."""

DOMAIN_NEED_WEIGHT: Final = 10.0
"""Weight of the need within the engine's own failure domain, relative to the need over all
domains."""

NEED_OFFSET: Final = 0.1
"""Added to the capacity of a layer, so that the need of a layer without holders is finite."""

NEED_EXPONENT: Final = 2
"""How steeply the need for a layer falls with its capacity. A layer with one holder precedes
several with two; with a higher value, a single layer would dominate the sum over a range."""

MAX_REQUEST_CAPACITY: Final = 1e6
"""Capacity of an engine, in requests, if the KV cache size of a token is unknown."""


def card_step_factor(profile: EngineProfile, card: str) -> float:
    """Return the step factor of a kind of card; infinity if the kind is unknown."""
    kind = profile.cards.get(card)
    return kind.step_factor if kind is not None else float("inf")


def kv_capacity(profile: EngineProfile, card: str, layers: int) -> float:
    """Return the KV cache capacity that an engine has besides its layers, in tokens x layers.

    Args:
        profile: Performance figures of the engines.
        card: Kind of the accelerator.
        layers: Layers that it holds.

    Returns:
        Tokens x layers; infinity if the kind or the size of a token is unknown.
    """
    kind = profile.cards.get(card)
    if kind is None or profile.kv_token_bytes <= 0:
        return float("inf")
    free = (kind.memory_mb - layers * profile.layer_mb) * MEGABYTE
    return max(0.0, free) * profile.layers / profile.kv_token_bytes


def usual_tokens(profile: EngineProfile) -> float:
    """Return the total tokens of a request of the usual size."""
    return max(1.0, profile.mean_prompt_tokens + profile.mean_answer_tokens)


def request_capacity(profile: EngineProfile, card: str, layers: int) -> float:
    """Return how many requests of the usual size an engine can run besides its layers.

    Limited by the slots: KV cache beyond them is better used for more layers.

    Args:
        profile: Performance figures of the engines.
        card: Kind of the accelerator.
        layers: Layers that it holds; at least one.
    """
    capacity = kv_capacity(profile, card, layers) / (layers * usual_tokens(profile))
    return min(capacity, float(profile.slots)) if profile.slots else capacity


class LayerCoverage(msgspec.Struct, kw_only=True):
    """Total capacity of the holders of each layer, by failure domain and over all of them.

    The capacity of an engine is the number of requests of the usual size that fit in its KV cache.
    """

    profile: EngineProfile
    """Performance figures of the engines."""

    by_speed: bool = True
    """Whether capacities are divided by the step factor of the card, so that slow cards get the
    layers that fast ones do not hold."""

    all_domains: list[float] = msgspec.field(default_factory=list)
    """Capacity over all failure domains, by layer; initialized to one entry for each layer."""

    by_domain: dict[str, list[float]] = msgspec.field(default_factory=dict)
    """Capacity within each failure domain, by layer."""

    def __post_init__(self) -> None:
        self.all_domains = [0.0] * self.profile.layers

    def domain(self, name: str) -> list[float]:
        """Return the capacities within a failure domain, by layer; the list itself, not a copy."""
        return self.by_domain.setdefault(name, [0.0] * self.profile.layers)

    def capacity(self, engine: PlacedEngine, holding: Holding) -> float:
        """Return the capacity of an engine if it held a range of layers."""
        count = max(1, holding.end - holding.first)
        requests = min(request_capacity(self.profile, engine.card, count), MAX_REQUEST_CAPACITY)
        if not self.by_speed:
            return requests
        return requests / max(1e-9, card_step_factor(self.profile, engine.card))

    def add(self, engine: PlacedEngine, holding: Holding) -> None:
        """Add the capacity of an engine to its layers."""
        capacity = self.capacity(engine, holding)
        domain = self.domain(engine.failure_domain)
        for layer in range(holding.first, min(holding.end, self.profile.layers)):
            domain[layer] += capacity
            self.all_domains[layer] += capacity

    def best_range(self, engine: PlacedEngine, count: int) -> Holding:
        """Return the range with the greatest need for another holder.

        Args:
            engine: The engine that gets the range.
            count: Length of the range, in layers; at least one, and at most all.

        Returns:
            The range with the greatest sum of needs; the first of equal ones.
        """
        domain = self.domain(engine.failure_domain)
        need = [
            DOMAIN_NEED_WEIGHT / (NEED_OFFSET + own if own > 0.0 else NEED_OFFSET) ** NEED_EXPONENT
            + 1.0 / (NEED_OFFSET + total if total > 0.0 else NEED_OFFSET) ** NEED_EXPONENT
            for own, total in zip(domain, self.all_domains, strict=True)
        ]
        window = sum(need[:count])
        best, first = window, 0
        for start in range(1, self.profile.layers - count + 1):
            window += need[start + count - 1] - need[start - 1]
            if window > best * (1.0 + 1e-9):
                best, first = window, start
        return Holding(first=first, end=first + count)
