"""The path of one generation over engines that hold ranges of layers.

Costs are predicted times (`path_costs`), so that fast cards go first and full engines are left out.
A path that stays in one failure domain, the own one or another, goes before one that crosses
between them: activations of all multi_domain requests share a few links, and once those are full every
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
from .path_costs import INACTIVE_PENALTY_SECONDS, engine_offers
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

COST_JITTER: Final = 0.3
"""Random part of the cost of an engine, so that boxes that know the same do not choose the same.
Below the step between two kinds of cards (2.3 and 2.9): an idle fast card is still chosen."""

REMOTE_CONGESTION_RATIO: Final = 1.25
"""How many times less crowded a path in another failure domain must be: a cut would end it. The own
one is kept until its KV caches are a third full where others are empty (`path_costs.FULLNESS_PENALTY`)."""


NO_CAPACITY: Final = "full"
"""Why an engine cannot be used that has no room for one layer of a request."""

BACKING_OFF: Final = "resting"
"""Why an engine cannot be used that asked this box for rest."""

RATE_LIMITED: Final = "limited"
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

    congestion: float = 1.0
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
        for engine in _newest_instances(engines)
        if engine.registration.holdings
        and engine.registration.instance not in excluded
        and is_usable(engine, now)
    ]
    # If all of them are silent, this box is cut off from the control boxes that hear them.
    penalize_inactive = not all(is_silent(item, now) for item in usable)
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
                    profile,
                    item,
                    request,
                    now,
                    factor=_random_factor(rng),
                    penalize_inactive=penalize_inactive,
                )
            ]
        return offers[domain]

    single_domain = _cheapest_single_domain_path(profile, members, offers_in, request)
    if single_domain is not None and single_domain.cost < INACTIVE_PENALTY_SECONDS:
        return single_domain
    all_offers = [offer for domain in members for offer in offers_in(domain)]
    multi_domain = _search(profile, all_offers, request)
    if single_domain is None or multi_domain is None:
        return single_domain or multi_domain
    return min(single_domain, multi_domain, key=lambda path: path.cost)


def _cheapest_single_domain_path(
    profile: EngineProfile,
    domains: Iterable[str],
    offers_in: Callable[[str], list[EngineOffer]],
    request: PathRequest,
) -> ChosenPath | None:
    """Find the cheapest path that hands no activations on between failure domains.

    Failure domains are compared by how crowded they are and not by their speed: all of them are
    quick enough for callers while they have room, and the fastest would fill up alone. The own one
    is taken without a look at the others while none could be less crowded by `REMOTE_CONGESTION_RATIO`, which
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
    if own is not None and own.congestion <= REMOTE_CONGESTION_RATIO:
        return own
    others = [
        _search(profile, offers_in(domain), request)
        for domain in domains
        if domain != request.failure_domain
    ]
    remote = min((path for path in others if path), key=lambda path: path.congestion, default=None)
    if own is None or remote is None:
        return own or remote
    return remote if remote.congestion * REMOTE_CONGESTION_RATIO < own.congestion else own


def _random_factor(rng: random.Random | None) -> float:
    return 1.0 if rng is None else 1.0 + COST_JITTER * rng.random()


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
        congestion=cost / (cost - sum(map(_excess_seconds, steps))),
    )


def _excess_seconds(step: SearchStep) -> float:
    """Return how much longer a step takes than on an idle engine, in seconds."""
    offer = step.offer
    per_layer = offer.seconds_per_layer - offer.idle_seconds_per_layer
    return per_layer * (step.end - step.first) + offer.fixed_seconds


def _newest_instances(engines: Iterable[ForwardedUpstream]) -> Iterable[ForwardedUpstream]:
    """Return one run for each address, the one that began last.

    An engine that crashed and was started again stays registered under its old id for some seconds,
    and may be heard once more then.
    """
    newest: dict[str, ForwardedUpstream] = {}
    for engine in engines:
        known = newest.get(engine.registration.address)
        if known is None or engine.began_at > known.began_at:
            newest[engine.registration.address] = engine
    return newest.values()


class NoPathReason(msgspec.Struct, frozen=True, kw_only=True):
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
    def is_rate_limited(self) -> bool:
        """True if engines are left out since they take no more requests in this second."""
        return self.engines.get(RATE_LIMITED, 0) > 0

    @property
    def is_out_of_capacity(self) -> bool:
        """True if engines or links are full, so that there is a path once requests on them end."""
        return self.engines.get(NO_CAPACITY, 0) > 0 or bool(self.full_links)

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
) -> NoPathReason:
    """Say why there is no path, for logs, answers, and the time to come back.

    Args:
        profile: Figures of the engines.
        engines: Engines of the pool.
        request: What the path was for.
        now: Monotonic time.
        excluded: Runs of engines that this request does not use any more.
    """
    reasons: Counter[str] = Counter()
    available_in = [math.inf] * profile.layers
    for engine in _newest_instances(engines):
        reason = _unusable_reason(profile, engine, request, now, excluded)
        reasons[reason or "usable"] += 1
        if reason not in ("", BACKING_OFF, RATE_LIMITED):
            continue
        wait = wait_left(engine, now)
        for item in engine.registration.holdings:
            for layer in range(item.first, min(item.end, profile.layers)):
                available_in[layer] = min(available_in[layer], wait)
    uncovered = [layer for layer, seconds in enumerate(available_in) if seconds > 0]
    full_links = tuple(
        link for link, used in request.link_utilization.items() if used >= request.link_limit
    )
    layers = (uncovered[0], uncovered[-1] + 1) if uncovered else None
    longest_wait = max(available_in)
    wait_seconds = longest_wait if 0 < longest_wait < math.inf else None
    return NoPathReason(
        engines=reasons, layers=layers, full_links=full_links, wait_seconds=wait_seconds
    )


def _unusable_reason(
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
        return BACKING_OFF
    if not has_grant(engine.limit, now):
        return RATE_LIMITED
    if registration.instance in excluded:
        return "failed this request"
    if not is_usable(engine, now):
        return "lost" if engine.lost_at > engine.heard_at else "avoided"
    return "" if engine_offers(profile, engine, request, now) else NO_CAPACITY


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
