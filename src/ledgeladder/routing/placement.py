"""Which layers each engine holds.

Engines come with cards of different memory and speed in several failure domains. Each engine gets
one range of layers and keeps the rest of its memory for the KV cache of requests. Ranges are chosen
one engine after the other, fast cards first, where the engine's failure domain has the least
capacity (`layer_coverage`); so each failure domain first gets a whole copy of the model on its
fastest cards, then a second one, and goes on serving when it is cut off. What is moved after a loss
is in `placement_repair`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .layer_coverage import LayerCoverage, slowness
from .placed_engine import PlacedEngine

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..model.registration import Holding
    from ..model.traffic import EngineProfile

LEAST_KV_SHARE: Final = 0.2
"""Least share of a card's memory that is kept for the KV cache of requests, and what the slowest
cards keep: with less, an engine holds fewer requests than one burst brings."""

MOST_KV_SHARE: Final = 0.4
"""Most that is kept. With 0.4 everywhere failure domains held some layers once only, on fast cards
of which one was lost; with 0.2 everywhere requests overflowed to slow cards, and days without
faults fell from 0.95 of their worth to 0.48 to 0.82. Both are in docs/design/placement.md."""

KV_SHARE_STEP: Final = 0.01
"""Step in which the share is lowered until the copy fits."""


def layers_for(profile: EngineProfile, card: str, kv_share: float = LEAST_KV_SHARE) -> int:
    """Return how many layers an engine with a card is given.

    Args:
        profile: Figures of the engines.
        card: Kind of the accelerator.
        kv_share: Share of its memory that is kept for requests.

    Returns:
        Number of layers; 0 if the kind is not known or not even one layer fits on it.
    """
    kind = profile.cards.get(card)
    if kind is None or profile.layer_mb <= 0:
        return 0
    most = int(kind.memory_mb // profile.layer_mb)
    wanted = int(kind.memory_mb * (1.0 - kv_share) / profile.layer_mb)
    return min(max(wanted, 1), most, profile.layers)


def load_seconds(profile: EngineProfile, layers: int, loads: int) -> float:
    """Predict how long a load takes, in seconds.

    Args:
        profile: Figures of the engines.
        layers: Number of layers to load.
        loads: Loads that run at a time; beyond `loads_at_once` they slow each other down.
    """
    sharing = max(1.0, loads / max(1, profile.loads_at_once))
    return profile.load_seconds * layers / profile.layers * sharing


def kv_share_for(profile: EngineProfile, cards: Sequence[str]) -> float:
    """Choose the share of memory that the faster cards of a failure domain keep for requests.

    The largest share with which the cards other than the slowest kind still hold one whole copy:
    requests then stay on fast cards, and as many as possible fit there. Where the faster cards hold
    no copy even with the least share, all cards are taken together.

    Args:
        profile: Figures of the engines.
        cards: Kinds of the engines of the failure domain, one for each engine.

    Returns:
        A share between `LEAST_KV_SHARE` and `MOST_KV_SHARE`.
    """
    slowest = max((slowness(profile, card) for card in cards), default=0.0)
    fast = [card for card in cards if slowness(profile, card) < slowest]
    for candidates in (fast, cards):
        share = MOST_KV_SHARE
        while share > LEAST_KV_SHARE:
            if sum(layers_for(profile, card, share) for card in candidates) >= profile.layers:
                return share
            share -= KV_SHARE_STEP
    return LEAST_KV_SHARE


def plan_placement(
    profile: EngineProfile,
    engines: Sequence[PlacedEngine],
    leaving: Sequence[PlacedEngine] = (),
) -> dict[str, Holding]:
    """Choose layers for the engines that hold none; the others keep theirs.

    Args:
        profile: Figures of the engines.
        engines: Engines of the pool that take new work.
        leaving: Engines that leave. One with the same card in the same failure domain that holds
            nothing is likely the replacement, and takes over the layers.

    Returns:
        Layers by engine, for those that held none and get some: replacements first, then by card,
        the fast ones first.
    """
    coverage = LayerCoverage(profile=profile)
    for engine in engines:
        if engine.holding is not None:
            coverage.add(engine, engine.holding)
    chosen = _successors(engines, leaving)
    for engine in engines:
        if engine.instance in chosen:
            coverage.add(engine, chosen[engine.instance])
    shares = _kv_shares(profile, engines)
    empty = [item for item in engines if item.holding is None and item.instance not in chosen]
    for engine in sorted(empty, key=lambda item: (slowness(profile, item.card), item.instance)):
        count = layers_for(profile, engine.card, shares[engine.failure_domain, engine.card])
        if count == 0:
            continue
        holding = coverage.best_range(engine, count)
        coverage.add(engine, holding)
        chosen[engine.instance] = holding
    return chosen


def _successors(
    engines: Sequence[PlacedEngine], leaving: Sequence[PlacedEngine]
) -> dict[str, Holding]:
    """Give the layers of engines that leave to empty ones of the same kind and failure domain."""
    chosen: dict[str, Holding] = {}
    taken = {(item.failure_domain, item.card, item.holding) for item in engines if item.holding}
    for old in leaving:
        if old.holding is None:
            continue
        place = (old.failure_domain, old.card, old.holding)
        if place in taken:
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
            taken.add(place)
    return chosen


def _kv_shares(
    profile: EngineProfile, engines: Sequence[PlacedEngine]
) -> dict[tuple[str, str], float]:
    """Return the share that is kept for requests, by failure domain and kind of card.

    The slowest kind of a failure domain keeps the least, unless it is the only one there.
    """
    cards: dict[str, list[str]] = {}
    for engine in engines:
        cards.setdefault(engine.failure_domain, []).append(engine.card)
    shares: dict[tuple[str, str], float] = {}
    for domain, members in cards.items():
        slowest = max(slowness(profile, card) for card in members)
        share = kv_share_for(profile, members)
        for card in members:
            is_slowest = slowness(profile, card) == slowest and len(set(members)) > 1
            shares[domain, card] = LEAST_KV_SHARE if is_slowest else share
    return shares


def missing_layers(profile: EngineProfile, holdings: Iterable[Holding]) -> list[int]:
    """Return the layers of the model that no holding covers, in order."""
    held = [False] * profile.layers
    for holding in holdings:
        for layer in range(holding.first, min(holding.end, profile.layers)):
            held[layer] = True
    return [layer for layer, is_held in enumerate(held) if not is_held]
