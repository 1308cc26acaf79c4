"""Finding the cheapest path over offers of engines, from the first layer to the last.

A state is a layer that has been reached and the failure domain of the engine that reached it; a
step is a range that one engine runs. Only the cheapest way to each state is kept, whichever engine
it ends with, since a hop costs the same from every engine of a failure domain. This bounds the work
by failure domains and by the layers at which ranges begin or end.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, Final

import msgspec

from .path_costs import handover, hop

if TYPE_CHECKING:
    from ..model.traffic import EngineProfile
    from .path_costs import EngineOffer, PathRequest

PARTS_LIMIT: Final = 32
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

    before: SearchStep | None
    """The way up to `first`; None if that is layer 0."""

    length: int
    """Engines on the way."""

    passed: frozenset[int]
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
    edges = sorted({0, profile.layers}.union(*map(_edges, offers)))
    best: dict[int, dict[str, SearchStep]] = {0: {}}
    for index, start in enumerate(edges[:-1]):
        arrived = best.get(start)
        if arrived is None:
            continue
        for offer in offers:
            if not offer.first <= start < offer.end:
                continue
            before, waited = _best_before(profile, arrived, offer, start, request)
            if before is None and start > 0:
                continue
            last = bisect_right(edges, min(offer.end, start + offer.most_layers))
            _extend(best, offer, start, edges[index + 1 : last], before, waited)
    ends = best.get(profile.layers, {}).values()
    return _unwind(min(ends, key=lambda step: step.cost)) if ends else []


def _edges(offer: EngineOffer) -> tuple[int, ...]:
    """Return the layers at which a path may come to an engine or leave it.

    Those in the middle are there for an engine whose room is less than its range: it may run the
    first layers of the range, or the last.
    """
    return offer.first, offer.first + offer.most_layers, offer.end - offer.most_layers, offer.end


def _extend(
    best: dict[int, dict[str, SearchStep]],
    offer: EngineOffer,
    start: int,
    ends: list[int],
    before: SearchStep | None,
    waited: float,
) -> None:
    """Note the steps of one engine that are cheaper than what was found up to the same layer.

    Args:
        best: Cheapest step found so far, by the layer that it reaches and its failure domain.
        offer: What the engine offers.
        start: First layer that it would run.
        ends: Layers up to which it could run.
        before: The way up to `start`; None if that is layer 0.
        waited: Predicted time of that way and of the hop to the engine, in seconds.
    """
    domain = offer.failure_domain
    fixed = waited + offer.fixed_seconds
    length = 1 if before is None else before.length + 1
    passed = frozenset() if before is None else before.passed
    passed = passed | {id(offer.engine)}
    for end in ends:
        cost = fixed + offer.seconds_per_layer * (end - start)
        reached = best.setdefault(end, {})
        held = reached.get(domain)
        if held is None or cost < held.cost:
            reached[domain] = SearchStep(cost, offer, start, end, before, length, passed)


def _best_before(
    profile: EngineProfile,
    arrived: dict[str, SearchStep],
    offer: EngineOffer,
    start: int,
    request: PathRequest,
) -> tuple[SearchStep | None, float]:
    """Choose the way to a layer after which an engine goes on.

    Returns:
        The way, and its predicted time with the hop to the engine, in seconds. At layer 0 there is
        no way, and the time is that of the hop; elsewhere, None and infinity if no way may go on
        with the engine.
    """
    domain = offer.failure_domain
    if start == 0:
        return None, hop(profile, request.failure_domain, domain)
    best, waited = None, float("inf")
    for other, step in arrived.items():
        if step.length >= PARTS_LIMIT or id(offer.engine) in step.passed:
            continue
        cost = step.cost + handover(profile, other, domain, request)
        if cost < waited:
            best, waited = step, cost
    return best, waited


def _unwind(last: SearchStep) -> list[SearchStep]:
    """Return a way's steps from the first layer to the last."""
    steps: list[SearchStep] = []
    step: SearchStep | None = last
    while step is not None:
        steps.append(step)
        step = step.before
    steps.reverse()
    return steps
