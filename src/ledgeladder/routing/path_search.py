"""Dynamic-programming search for the cheapest path over engine offers.

A state is a layer boundary and the failure domain of the engine that reached it; a step runs one
layer range on one engine. Only the cheapest partial path to each state is kept, since the delay of
a hop depends only on the failure domains. This bounds the work by the number of failure domains and
boundaries.
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
"""Maximum number of engines on one path."""


class SearchStep(msgspec.Struct, eq=False):
    """Cheapest partial path found for a state, as a linked list that ends with this step."""

    cost: float
    """Predicted time of the partial path, in seconds."""

    offer: EngineOffer
    """Offer of the engine that runs this step."""

    first: int
    """First layer of the step."""

    end: int
    """One past its last layer."""

    previous: SearchStep | None
    """Partial path up to `first`; None at layer 0."""

    engine_count: int
    """Engines on the partial path."""

    engine_ids: frozenset[int]
    """Engines on the partial path, by `id`; each may be used only once."""


def cheapest_steps(
    profile: EngineProfile, offers: list[EngineOffer], request: PathRequest
) -> list[SearchStep]:
    """Find the path with the lowest predicted time.

    Args:
        profile: Performance figures of the engines.
        offers: Offers of the engines.
        request: The request to find a path for.

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
    """Return the layers at which a path may enter or leave an engine.

    If an engine has room for only a part of its range, that part may be at the start or at the end.
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
    """Record each step over an offer that is cheaper than the best one known for its state.

    Args:
        best: Cheapest known step, by the layer that it reaches and its failure domain.
        offer: Offer of the engine.
        start: First layer that the engine would run.
        ends: Layers up to which it could run.
        previous: Partial path up to `start`; None at layer 0.
        cost_before: Predicted time of that path and of the hop to the engine, in seconds.
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
    """Choose the cheapest partial path that an engine can continue.

    Returns:
        The partial path and its predicted time including the hop to the engine, in seconds. At
        layer 0, None and the time of the hop; elsewhere, None and infinity if no path can continue
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
    """Return the steps that lead to a final step, in order."""
    steps: list[SearchStep] = []
    step: SearchStep | None = last
    while step is not None:
        steps.append(step)
        step = step.previous
    steps.reverse()
    return steps
