"""The path of one generation over engines that hold ranges of layers.

Costs are predicted times (`path_costs`), so that fast cards go first, full engines are left out,
and another failure domain is used only when the own one is slower or full. `path_search` finds the
cheapest path; this module says which engines may be used, prefers the own failure domain, and
counts what the requests of this box take on the engines.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..model.exchange import PathPart
from .forwarding_table import is_usable
from .path_costs import engine_offers
from .path_search import cheapest_steps

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from ..model.traffic import EngineProfile
    from .forwarding_table import ForwardedUpstream
    from .path_costs import EngineOffer, PathRequest

SPREAD: Final = 0.3
"""Random part of the cost of an engine, so that boxes that know the same do not choose the same.
Below the step between two kinds of cards (2.3 and 2.9): an idle fast card is still chosen."""

FAR_FACTOR: Final = 1.25
"""How many times cheaper a path over other failure domains must be: it shares their pipes, and a
cut would end it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChosenPath:
    """A path with the engines that it passes."""

    parts: tuple[PathPart, ...]
    """Layers by engine, in order."""

    engines: tuple[ForwardedUpstream, ...]
    """The engines, in the same order."""

    cost: float
    """Predicted time, in seconds."""

    @property
    def head(self) -> ForwardedUpstream:
        """The engine that the request is sent to."""
        return self.engines[0]


def choose_path(
    profile: EngineProfile,
    engines: Iterable[ForwardedUpstream],
    request: PathRequest,
    now: float,
    *,
    excluded: Collection[str] = (),
    rng: random.Random | None = None,
) -> ChosenPath | None:
    """Find the path with the least predicted time that runs every layer once and in order.

    Args:
        profile: Figures of the engines.
        engines: Engines of the pool.
        request: What the path is for.
        now: Monotonic time.
        excluded: Runs of engines that must not be used.
        rng: Source of the random part of costs; without it there is none.

    Returns:
        The path, or None if the usable engines do not cover all layers.
    """
    usable = [
        engine
        for engine in _newest_runs(engines)
        if engine.registration.holdings
        and engine.registration.instance not in excluded
        and is_usable(engine, now)
    ]
    offers = [
        offer
        for item in usable
        for offer in engine_offers(profile, item, request, now, factor=_spread(rng))
    ]
    own = [item for item in offers if item.failure_domain == request.failure_domain]
    nearby = _search(profile, own, request)
    if nearby is not None and nearby.cost <= _unhurried(profile, request):
        return nearby
    anywhere = _search(profile, offers, request)
    if nearby is None or anywhere is None:
        return nearby or anywhere
    return anywhere if anywhere.cost * FAR_FACTOR < nearby.cost else nearby


def _spread(rng: random.Random | None) -> float:
    return 1.0 if rng is None else 1.0 + SPREAD * rng.random()


def _search(
    profile: EngineProfile, offers: list[EngineOffer], request: PathRequest
) -> ChosenPath | None:
    steps = cheapest_steps(profile, offers, request)
    if not steps:
        return None
    return ChosenPath(
        parts=tuple(
            PathPart(
                instance=item.offer.engine.registration.instance,
                address=item.offer.engine.registration.address,
                first=item.first,
                end=item.end,
            )
            for item in steps
        ),
        engines=tuple(item.offer.engine for item in steps),
        cost=steps[-1].cost,
    )


def _newest_runs(engines: Iterable[ForwardedUpstream]) -> Iterable[ForwardedUpstream]:
    """Return one run for each address, the one heard last.

    An engine that crashed and was started again stays registered under its old id for some seconds.
    """
    newest: dict[str, ForwardedUpstream] = {}
    for engine in engines:
        held = newest.get(engine.registration.address)
        if held is None or engine.heard_at > held.heard_at:
            newest[engine.registration.address] = engine
    return newest.values()


def explain_no_path(
    profile: EngineProfile,
    engines: Iterable[ForwardedUpstream],
    request: PathRequest,
    now: float,
    *,
    excluded: Collection[str] = (),
) -> str:
    """Say why there is no path, for logs and answers.

    Args:
        profile: Figures of the engines.
        engines: Engines of the pool.
        request: What the path was for.
        now: Monotonic time.
        excluded: Runs of engines that this request does not use any more.

    Returns:
        How many engines are usable, and how many are out for which reason; then the range from the
        first to the last of the layers that nobody can take, some of which may have a taker.
    """
    reasons: Counter[str] = Counter()
    open_layers = [False] * profile.layers
    for engine in _newest_runs(engines):
        reason = _why_unusable(profile, engine, request, now, excluded)
        reasons[reason or "usable"] += 1
        if reason:
            continue
        for item in engine.registration.holdings:
            for layer in range(item.first, min(item.end, profile.layers)):
                open_layers[layer] = True
    closed = [layer for layer, is_open in enumerate(open_layers) if not is_open]
    counts = ", ".join(f"{count} {reason}" for reason, count in sorted(reasons.items()))
    layers = f"; layers {closed[0]}-{closed[-1] + 1}" if closed else ""
    return f"engines: {counts or 'none'}{layers}"


def _why_unusable(
    profile: EngineProfile,
    engine: ForwardedUpstream,
    request: PathRequest,
    now: float,
    excluded: Collection[str],
) -> str:
    registration = engine.registration
    if not registration.holdings:
        return "without layers"
    if registration.instance in excluded:
        return "failed this request"
    if engine.leaving:
        return "leaving"
    if not is_usable(engine, now):
        return "lost" if engine.lost_at > engine.heard_at else "avoided"
    return "" if engine_offers(profile, engine, request, now) else "full"


def _unhurried(profile: EngineProfile, request: PathRequest) -> float:
    """Return the cost up to which other failure domains are not even looked at, in seconds.

    This is the time on an idle path of the second fastest kind of card. The own failure domain
    keeps below it for as long as its fast cards have room.
    """
    cards = sorted(profile.cards.values(), key=lambda card: card.step_factor)
    if not cards:
        return 0.0
    card = cards[min(1, len(cards) - 1)]
    steps = profile.step_ms * request.answer_tokens / 1000.0 * card.step_factor
    return steps + request.prompt_tokens / profile.read_per_s * card.read_factor


def reserve(path: ChosenPath, tokens: int) -> None:
    """Count a request on every engine of its path.

    Args:
        path: The path.
        tokens: Tokens that it is likely to hold; each takes KV cache for each layer.
    """
    for part, engine in zip(path.parts, path.engines, strict=True):
        engine.in_flight += 1
        engine.kv_reserved += tokens * (part.end - part.first)


def release(path: ChosenPath, tokens: int) -> None:
    """Take back what `reserve` counted; the tokens must be the same."""
    for part, engine in zip(path.parts, path.engines, strict=True):
        engine.in_flight -= 1
        engine.kv_reserved -= tokens * (part.end - part.first)
