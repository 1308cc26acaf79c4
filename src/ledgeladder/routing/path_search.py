"""Finding the cheapest path over offers of engines, from the first layer to the last.

A state is a layer that has been reached and the failure domain of the engine that reached it; a
step is a range that one engine runs. Only the cheapest way to each state is kept, whichever engine
it last_steps with, since a hop_seconds costs the same from every engine of a failure domain. This bounds the work
by failure domains and by the layers at which ranges begin or end.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, Final

import msgspec

from .path_costs import handover_seconds, hop_seconds

if TYPE_CHECKING:
    from ..model.traffic import EngineProfile
    from .path_costs import EngineOffer, PathRequest

MAX_PATH_ENGINES: Final = 32
"""Most engines on one path."""


class SearchStep(msgspec.Struct, eq=False):
    """The cheapest way found so far to run the layers up to `end`, with its last engine."""

    cost: float
    """Predicted time of the whole way, in seconds."""

    offer: EngineOffer
    """Engine that runs the last layers of it."""

    first: int
    """First of those layers."""

    end: int
    """One past the last of them."""

    previous: SearchStep | None
    """The way up to `first`; None if that is layer 0."""

    engine_count: int
    """Engines on the way."""

    engine_ids: frozenset[int]
    """Engines on the way, by `id`; an engine may be named once only."""


def cheapest_steps(
    profile: EngineProfile, offers: list[EngineOffer], request: PathRequest
) -> list[SearchStep]:
    """Find the path with the least predicted time.

    Args:
        profile: Figures of the engines.
        offers: What engines offer.
        request: What the path is for.

    Returns:
        Steps from the first layer to the last; empty if the offers do not cover all layers.
    """
    boundaries = sorted({0, profile.layers}.union(*map(_boundaries, offers)))
    best: dict[int, dict[str, SearchStep]] = {0: {}}
    for index, start in enumerate(boundaries[:-1]):
        reached_by = best.get(start)
        if reached_by is None:
            continue
        for offer in offers:
            if not offer.first <= start < offer.end:
                continue
            previous, cost_before = _best_predecessor(profile, reached_by, offer, start, request)
            if previous is None and start > 0:
                continue
            last = bisect_right(boundaries, min(offer.end, start + offer.max_layers))
            _relax(best, offer, start, boundaries[index + 1 : last], previous, cost_before)
    last_steps = best.get(profile.layers, {}).values()
    return _backtrack(min(last_steps, key=lambda step: step.cost)) if last_steps else []


def _boundaries(offer: EngineOffer) -> tuple[int, ...]:
    """Return the layers at which a path may come to an engine or leave it.

    Those in the middle are there for an engine whose room is less than its range: it may run the
    first layers of the range, or the last.
    """
    return offer.first, offer.first + offer.max_layers, offer.end - offer.max_layers, offer.end


def _relax(
    best: dict[int, dict[str, SearchStep]],
    offer: EngineOffer,
    start: int,
    ends: list[int],
    previous: SearchStep | None,
    cost_before: float,
) -> None:
    """Note the steps of one engine that are cheaper than what was found up to the same layer.

    Args:
        best: Cheapest step found so far, by the layer that it reaches and its failure domain.
        offer: What the engine offers.
        start: First layer that it would run.
        last_steps: Layers up to which it could run.
        previous: The way up to `start`; None if that is layer 0.
        cost_before: Predicted time of that way and of the hop_seconds to the engine, in seconds.
    """
    domain = offer.failure_domain
    fixed = cost_before + offer.fixed_seconds
    engine_count = 1 if previous is None else previous.engine_count + 1
    engine_ids = frozenset() if previous is None else previous.engine_ids
    engine_ids = engine_ids | {id(offer.engine)}
    for end in ends:
        cost = fixed + offer.seconds_per_layer * (end - start)
        reached = best.setdefault(end, {})
        known = reached.get(domain)
        if known is None or cost < known.cost:
            reached[domain] = SearchStep(
                cost, offer, start, end, previous, engine_count, engine_ids
            )


def _best_predecessor(
    profile: EngineProfile,
    reached_by: dict[str, SearchStep],
    offer: EngineOffer,
    start: int,
    request: PathRequest,
) -> tuple[SearchStep | None, float]:
    """Choose the way to a layer after which an engine goes on.

    Returns:
        The way, and its predicted time with the hop_seconds to the engine, in seconds. At layer 0 there is
        no way, and the time is that of the hop_seconds; elsewhere, None and infinity if no way may go on
        with the engine.
    """
    domain = offer.failure_domain
    if start == 0:
        return None, hop_seconds(profile, request.failure_domain, domain)
    best, cost_before = None, float("inf")
    for other, step in reached_by.items():
        if step.engine_count >= MAX_PATH_ENGINES or id(offer.engine) in step.engine_ids:
            continue
        cost = step.cost + handover_seconds(profile, other, domain, request)
        if cost < cost_before:
            best, cost_before = step, cost
    return best, cost_before


def _backtrack(last: SearchStep) -> list[SearchStep]:
    """Return a way's steps from the first layer to the last."""
    steps: list[SearchStep] = []
    step: SearchStep | None = last
    while step is not None:
        steps.append(step)
        step = step.previous
    steps.reverse()
    return steps
