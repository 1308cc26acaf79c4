"""The path of one generation over engines that hold ranges of layers.

Costs are predicted times (`path_costs`), so that fast cards go first and full engines are left out.
A path that stays in one failure domain, the own one or another, goes before one that crosses
between them: activations of all crossing requests share a few links, and once those are full every
request that crosses stands still. `path_search` finds the cheapest path; this module says which
engines may be used and in which failure domains to look, and counts what the requests of this box
take on the engines.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from ..model.exchange import PathPart
from .forwarding_table import is_resting, is_silent, is_usable, wait_left
from .path_costs import SILENT_PENALTY_SECONDS, engine_offers
from .path_search import cheapest_steps
from .rate_grants import has_grant

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable, Mapping

    from ..model.traffic import EngineProfile
    from .forwarding_table import ForwardedUpstream
    from .link_load import Link
    from .path_costs import EngineOffer, PathRequest
    from .path_search import SearchStep

SPREAD: Final = 0.3
"""Random part of the cost of an engine, so that boxes that know the same do not choose the same.
Below the step between two kinds of cards (2.3 and 2.9): an idle fast card is still chosen."""

FAR_FACTOR: Final = 1.25
"""How many times less crowded a path in another failure domain must be: a cut would end it. The own
one is kept until its KV caches are a third full where others are empty (`path_costs.CROWDING`)."""


FULL: Final = "full"
"""Why an engine cannot be used that has no room for one layer of a request."""

RESTING: Final = "resting"
"""Why an engine cannot be used that asked this box for rest."""

LIMITED: Final = "limited"
"""Why an engine cannot be used that takes a number of requests a second, of which none is left to
this box."""


class ChosenPath(msgspec.Struct, frozen=True, kw_only=True):
    """A path with the engines that it passes."""

    parts: tuple[PathPart, ...]
    """Layers by engine, in order."""

    engines: tuple[ForwardedUpstream, ...]
    """The engines, in the same order."""

    cost: float
    """Predicted time, in seconds."""

    crowding: float = 1.0
    """How many times longer that is than with idle engines at their usual speed."""

    @property
    def domains(self) -> list[str]:
        """Failure domains of the engines, in order."""
        return [engine.registration.failure_domain for engine in self.engines]

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
    # If all of them are silent, this box is cut off from the control boxes that hear them.
    silence_counts = not all(is_silent(item, now) for item in usable)
    members: dict[str, list[ForwardedUpstream]] = {}
    for item in usable:
        members.setdefault(item.registration.failure_domain, []).append(item)
    offers: dict[str, list[EngineOffer]] = {}

    def offers_in(domain: str) -> list[EngineOffer]:
        if domain not in offers:
            offers[domain] = [
                offer
                for item in members.get(domain, ())
                for offer in engine_offers(
                    profile, item, request, now, factor=_spread(rng), silence_counts=silence_counts
                )
            ]
        return offers[domain]

    whole = _cheapest_in_one_domain(profile, members, offers_in, request)
    if whole is not None and whole.cost < SILENT_PENALTY_SECONDS:
        return whole
    everywhere = [offer for domain in members for offer in offers_in(domain)]
    crossing = _search(profile, everywhere, request)
    if whole is None or crossing is None:
        return whole or crossing
    return min(whole, crossing, key=lambda path: path.cost)


def _cheapest_in_one_domain(
    profile: EngineProfile,
    domains: Iterable[str],
    offers_in: Callable[[str], list[EngineOffer]],
    request: PathRequest,
) -> ChosenPath | None:
    """Find the cheapest path that hands no activations on between failure domains.

    Failure domains are compared by how crowded they are and not by their speed: all of them are
    quick enough for callers while they have room, and the fastest would fill up alone. The own one
    is taken without a look at the others while none could be less crowded by `FAR_FACTOR`, which
    leaves a choice among the engines of one failure domain for most requests.

    Args:
        profile: Figures of the engines.
        domains: Failure domains with usable engines.
        offers_in: Returns what the engines of a failure domain offer.
        request: What the path is for.

    Returns:
        The path, or None if no failure domain covers all layers by itself.
    """
    own = _search(profile, offers_in(request.failure_domain), request)
    if own is not None and own.crowding <= FAR_FACTOR:
        return own
    others = [
        _search(profile, offers_in(domain), request)
        for domain in domains
        if domain != request.failure_domain
    ]
    far = min((path for path in others if path), key=lambda path: path.crowding, default=None)
    if own is None or far is None:
        return own or far
    return far if far.crowding * FAR_FACTOR < own.crowding else own


def _spread(rng: random.Random | None) -> float:
    return 1.0 if rng is None else 1.0 + SPREAD * rng.random()


def _search(
    profile: EngineProfile, offers: list[EngineOffer], request: PathRequest
) -> ChosenPath | None:
    steps = cheapest_steps(profile, offers, request)
    if not steps:
        return None
    cost = steps[-1].cost
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
        cost=cost,
        crowding=cost / (cost - sum(map(_excess, steps))),
    )


def _excess(step: SearchStep) -> float:
    """Return how much longer a step takes than on an idle engine, in seconds."""
    offer = step.offer
    per_layer = offer.seconds_per_layer - offer.idle_seconds_per_layer
    return per_layer * (step.end - step.first) + offer.fixed_seconds


def _newest_runs(engines: Iterable[ForwardedUpstream]) -> Iterable[ForwardedUpstream]:
    """Return one run for each address, the one that began last.

    An engine that crashed and was started again stays registered under its old id for some seconds,
    and may be heard once more then.
    """
    newest: dict[str, ForwardedUpstream] = {}
    for engine in engines:
        held = newest.get(engine.registration.address)
        if held is None or engine.began_at > held.began_at:
            newest[engine.registration.address] = engine
    return newest.values()


class MissingPath(msgspec.Struct, frozen=True, kw_only=True):
    """Why there is no path."""

    engines: Mapping[str, int]
    """Engines of the pool by why they cannot be used; the usable ones under `usable`."""

    layers: tuple[int, int] | None
    """First of the layers that nobody can take, and one past the last; some between them may have
    a taker. None if each has one."""

    full_links: tuple[Link, ...]
    """Links between failure domains that take no more."""

    wait_seconds: float | None = None
    """When engines that rest or are limited take all layers again that lack a taker, in seconds;
    None if a layer lacks one for another reason."""

    @property
    def for_limits(self) -> bool:
        """True if engines are left out since they take no more requests in this second."""
        return self.engines.get(LIMITED, 0) > 0

    @property
    def for_want_of_room(self) -> bool:
        """True if engines or links are full, so that there is a path once requests on them end."""
        return self.engines.get(FULL, 0) > 0 or bool(self.full_links)

    def __str__(self) -> str:
        counts = ", ".join(f"{count} {reason}" for reason, count in sorted(self.engines.items()))
        layers = f"; layers {self.layers[0]}-{self.layers[1]}" if self.layers else ""
        links = ", ".join("-".join(link) for link in self.full_links)
        return f"engines: {counts or 'none'}{layers}" + (f"; full links {links}" if links else "")


def explain_no_path(
    profile: EngineProfile,
    engines: Iterable[ForwardedUpstream],
    request: PathRequest,
    now: float,
    *,
    excluded: Collection[str] = (),
) -> MissingPath:
    """Say why there is no path, for logs, answers, and the time to come back.

    Args:
        profile: Figures of the engines.
        engines: Engines of the pool.
        request: What the path was for.
        now: Monotonic time.
        excluded: Runs of engines that this request does not use any more.
    """
    reasons: Counter[str] = Counter()
    taken_from = [math.inf] * profile.layers
    for engine in _newest_runs(engines):
        reason = _why_unusable(profile, engine, request, now, excluded)
        reasons[reason or "usable"] += 1
        if reason not in ("", RESTING, LIMITED):
            continue
        waits = wait_left(engine, now)
        for item in engine.registration.holdings:
            for layer in range(item.first, min(item.end, profile.layers)):
                taken_from[layer] = min(taken_from[layer], waits)
    closed = [layer for layer, seconds in enumerate(taken_from) if seconds > 0]
    full = tuple(link for link, used in request.link_use.items() if used >= request.link_limit)
    layers = (closed[0], closed[-1] + 1) if closed else None
    longest = max(taken_from)
    wait_seconds = longest if 0 < longest < math.inf else None
    return MissingPath(engines=reasons, layers=layers, full_links=full, wait_seconds=wait_seconds)


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
    if engine.leaving:
        return "leaving"
    if is_resting(engine, now):
        return RESTING
    if not has_grant(engine.limit, now):
        return LIMITED
    if registration.instance in excluded:
        return "failed this request"
    if not is_usable(engine, now):
        return "lost" if engine.lost_at > engine.heard_at else "avoided"
    return "" if engine_offers(profile, engine, request, now) else FULL


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
