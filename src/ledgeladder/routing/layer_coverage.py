"""What each layer of a model carries, by the KV caches and step times of its holders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model.registration import Holding

if TYPE_CHECKING:
    from ..model.traffic import EngineProfile
    from .placed_engine import PlacedEngine

MEGABYTE: Final = 1e6
"""Bytes of a megabyte, as cards and layers are measured."""

DOMAIN_NEED_WEIGHT: Final = 10.0
"""How much more a layer counts that its own failure domain lacks than one that all lack."""

NEED_OFFSET: Final = 0.1
"""Added to what a layer carries, so that one without any holder has a finite need."""

NEED_EXPONENT: Final = 2
"""How steeply the need of a layer falls with what it carries: steep enough that a layer with one
holder goes before several that have two, and no more, since a range is placed by the sum over its
layers."""

MAX_REQUEST_CAPACITY: Final = 1e6
"""Requests that an engine counts for where the size of a token's KV cache is not known."""


def card_step_factor(profile: EngineProfile, card: str) -> float:
    """Return the step factor of a kind of card, or infinity for an unknown kind."""
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


def usual_tokens(profile: EngineProfile) -> float:
    """Return the tokens that a request of the usual size holds in the end."""
    return max(1.0, profile.usual_prompt + profile.usual_answer)


def request_capacity(profile: EngineProfile, card: str, layers: int) -> float:
    """Return how many requests of the usual size an engine runs beside its layers.

    Room in the KV cache beyond the slots is worth nothing, and is better used for more layers.

    Args:
        profile: Figures of the engines.
        card: Kind of the accelerator.
        layers: Layers that it holds; at least one.
    """
    room = kv_capacity(profile, card, layers) / (layers * usual_tokens(profile))
    return min(room, float(profile.slots)) if profile.slots else room


class LayerCoverage(msgspec.Struct, kw_only=True):
    """Sums over the engines that hold each layer, in each failure domain and in all of them.

    An engine counts with the requests of the usual size for which it has KV cache.
    """

    profile: EngineProfile
    """Figures of the engines."""

    by_speed: bool = True
    """True to divide what an engine counts for by the step factor of its card: slow cards then
    gather at layers that fast ones do not hold."""

    all_domains: list[float] = msgspec.field(default_factory=list)
    """Sum over all failure domains, by layer; of the right length from the start."""

    by_domain: dict[str, list[float]] = msgspec.field(default_factory=dict)
    """Sum within each failure domain, by layer."""

    def __post_init__(self) -> None:
        self.all_domains = [0.0] * self.profile.layers

    def domain(self, name: str) -> list[float]:
        """Return the sums within one failure domain, by layer; the list itself, not a copy."""
        return self.by_domain.setdefault(name, [0.0] * self.profile.layers)

    def capacity(self, engine: PlacedEngine, holding: Holding) -> float:
        """Return what an engine would count for if it held a range of layers."""
        count = max(1, holding.end - holding.first)
        requests = min(request_capacity(self.profile, engine.card, count), MAX_REQUEST_CAPACITY)
        if not self.by_speed:
            return requests
        return requests / max(1e-9, card_step_factor(self.profile, engine.card))

    def add(self, engine: PlacedEngine, holding: Holding) -> None:
        """Count an engine."""
        capacity = self.capacity(engine, holding)
        domain = self.domain(engine.failure_domain)
        for layer in range(holding.first, min(holding.end, self.profile.layers)):
            domain[layer] += capacity
            self.all_domains[layer] += capacity

    def best_range(self, engine: PlacedEngine, count: int) -> Holding:
        """Return the range whose layers need another holder most.

        Args:
            engine: The engine that is to hold it.
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
