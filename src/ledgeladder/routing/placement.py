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

LEAST_KV_SHARE: Final = 0.2
"""Least share of a card's memory that is kept for requests, and what the slowest cards keep: with
less, an engine holds fewer requests than one burst brings."""

MOST_KV_SHARE: Final = 0.4
"""Most that is kept. With 0.4 everywhere failure domains held some layers once only, on fast cards
of which one was lost; with 0.2 everywhere requests overflowed to slow cards, and days without
faults fell from 0.95 of their worth to 0.48 to 0.82. Both are in docs/design/placement.md."""

KV_SHARE_STEP: Final = 0.01
"""Step in which the share is lowered until the copy fits."""

DOMAIN_WEIGHT: Final = 10.0
"""How much more a layer counts that its own failure domain lacks than one that all lack."""

MEGABYTE: Final = 1e6
"""Bytes of a megabyte, as cards and layers are measured."""


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


def layers_for(profile: EngineProfile, card: str, kv_share: float = LEAST_KV_SHARE) -> int:
    """Return how many layers an engine with a card is given.

    Args:
        profile: Figures of the engines.
        card: Kind of the accelerator.
        kv_share: Share of its memory that is kept for requests.

    Returns:
        Layers, 0 if the kind is not known or not one layer fits; at least one if one fits.
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
        layers: Layers to load.
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
    slowest = max((_slowness(profile, card) for card in cards), default=0.0)
    fast = [card for card in cards if _slowness(profile, card) < slowest]
    for candidates in (fast, cards):
        share = MOST_KV_SHARE
        while share > LEAST_KV_SHARE:
            if sum(layers_for(profile, card, share) for card in candidates) >= profile.layers:
                return share
            share -= KV_SHARE_STEP
    return LEAST_KV_SHARE


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
    shares = _kv_shares(profile, engines)
    chosen: dict[str, Holding] = {}
    empty = [engine for engine in engines if engine.holding is None]
    for engine in sorted(empty, key=lambda item: (_slowness(profile, item.card), item.instance)):
        count = layers_for(profile, engine.card, shares[engine.failure_domain, engine.card])
        if count == 0:
            continue
        holding = coverage.best_range(engine, count)
        coverage.add(engine, holding)
        chosen[engine.instance] = holding
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
        slowest = max(_slowness(profile, card) for card in members)
        share = kv_share_for(profile, members)
        for card in members:
            is_slowest = _slowness(profile, card) == slowest and len(set(members)) > 1
            shares[domain, card] = LEAST_KV_SHARE if is_slowest else share
    return shares


def plan_repairs(
    profile: EngineProfile, engines: Sequence[PlacedEngine]
) -> list[tuple[PlacedEngine, Holding]]:
    """Choose engines to move where failure domains lack layers after a loss.

    Only engines whose layers their own failure domain holds elsewhere too are moved, the slowest
    first: the fast ones carry more requests. A lost fast engine takes several slow ones.

    Args:
        profile: Figures of the engines.
        engines: Engines that are up, with what they hold or were ordered to hold.

    Returns:
        Engines with their new layers; empty if nothing is missing or nobody can be spared.
    """
    by_domain: dict[str, list[PlacedEngine]] = {}
    for engine in engines:
        by_domain.setdefault(engine.failure_domain, []).append(engine)
    moves: list[tuple[PlacedEngine, Holding]] = []
    for members in by_domain.values():
        moves += _repair_domain(profile, members)
    return moves


def _repair_domain(
    profile: EngineProfile, members: Sequence[PlacedEngine]
) -> list[tuple[PlacedEngine, Holding]]:
    """Choose moves within one failure domain until it lacks nothing or has nobody to spare."""
    moves: list[tuple[PlacedEngine, Holding]] = []
    lacking = missing_layers(profile, _holdings(members))
    # One that lacks over half of the layers never held a whole copy, or lost too much for moves to
    # help.
    if len(lacking) > profile.layers // 2:
        return moves
    rest = list(members)
    while lacking:
        spare = _spare_engine(profile, rest)
        if spare is None:
            break
        count = layers_for(profile, spare.card)
        if count == 0:
            break
        first = min(lacking[0], profile.layers - count)
        holding = Holding(first=first, end=first + count)
        moves.append((spare, holding))
        rest = [item for item in rest if item is not spare]
        lacking = missing_layers(profile, [*_holdings(rest), *(moved for _engine, moved in moves)])
    return moves


def _holdings(engines: Iterable[PlacedEngine]) -> list[Holding]:
    return [item.holding for item in engines if item.holding is not None]


def _spare_engine(profile: EngineProfile, members: Sequence[PlacedEngine]) -> PlacedEngine | None:
    """Return the slowest engine all of whose layers another of its failure domain holds too."""
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
    """Return the step factor of a kind of card; an unknown kind is the slowest."""
    kind = profile.cards.get(card)
    return kind.step_factor if kind is not None else float("inf")


class _Coverage:
    """What each layer can carry, in each failure domain and in all: requests per step factor."""

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
        """Return the range of that many layers whose need is greatest; the first of equal ones."""
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
