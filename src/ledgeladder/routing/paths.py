"""Path selection for one generation over engines that hold ranges of layers.

The path with the lowest predicted time wins (`path_costs`). A path within one failure domain is
preferred to one that crosses domains: inter-domain links are shared, and a saturated link stalls
every request on it. `path_search` does the search; this module filters the engines, decides which
failure domains to search, and counts the requests of this box per engine.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from ..model.exchange import PathPart
from .forwarding_table import (
    accepts_work,
    has_whole_domain,
    is_backing_off,
    is_failing,
    is_inactive,
    is_lost,
    is_usable,
    remaining_wait,
)
from .path_costs import INACTIVE_PENALTY_SECONDS, can_hold, engine_offers
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
"""Largest random part of an engine's cost, so that boxes with the same view choose differently.
Smaller than the speed difference between kinds of cards: an idle fast card is still preferred."""

REMOTE_CONGESTION_RATIO: Final = 1.25
"""How many times more congested the local failure domain must be than another one before the other
is preferred. A network partition would break a path to another failure domain."""


NO_CAPACITY: Final = "full"
"""Reason: the engine has no room for even one layer of the request, or just refused one for lack of
room."""

BACKING_OFF: Final = "resting"
"""Reason: the engine requested back-off from this box."""

RATE_LIMITED: Final = "limited"
"""Reason: the engine limits requests per second and this box has no grant left."""


class ChosenPath(msgspec.Struct, frozen=True, kw_only=True):
    """A path and its engines."""

    parts: tuple[PathPart, ...]
    """Layer ranges with their engines, in order."""

    engines: tuple[ForwardedUpstream, ...]
    """The engines, in the same order."""

    cost: float
    """Predicted time, in seconds."""

    congestion: float = 1.0
    """Predicted time relative to the same path over idle engines at their usual speed. Prompts that
    wait are left out: their number at other boxes is an estimate from few requests."""

    queue_seconds: float = 0.0
    """Predicted time to read the prompts that wait, summed over the engines; a part of the cost."""

    longest_queue: float = 0.0
    """Longest of these times. The engines read one after another, so that their queues overlap."""

    @property
    def cost_without_queue(self) -> float:
        """Predicted time without prompts that wait, in seconds."""
        return self.cost - self.queue_seconds

    @property
    def domains(self) -> list[str]:
        """Failure domains of the engines, in order."""
        return [engine.registration.failure_domain for engine in self.engines]

    def describe(self) -> list[str]:
        """Return the engines with their layer ranges, for logs."""
        return [f"{part.instance}={part.first}-{part.end}" for part in self.parts]

    @property
    def head(self) -> ForwardedUpstream:
        """The first engine, which receives the request."""
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
    """Find the path with the lowest predicted time that runs every layer once and in order.

    Args:
        profile: Performance figures of the engines.
        engines: Engines of the pool.
        request: The request to find a path for.
        now: Monotonic time.
        excluded: Instances of engines that must not be used.
        rng: Source of the cost jitter; None disables it.

    Returns:
        The path, or None if the usable engines do not cover all layers, or cover them only across
        failure domains though the request may not cross them.
    """
    engines = list(engines)
    usable = [
        engine
        for engine in newest_instances(engines)
        if engine.registration.holdings
        and engine.registration.instance not in excluded
        and is_usable(engine, now)
    ]
    # If all engines are inactive, this box is likely cut off from the control boxes instead.
    penalize_inactive = not all(is_inactive(item, now) for item in usable)
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
    if single_domain is not None and single_domain.cost_without_queue < INACTIVE_PENALTY_SECONDS:
        return single_domain
    if (
        single_domain is None
        and not request.may_cross
        and _is_only_full(profile, engines, request, now)
    ):
        return None
    all_offers = [offer for domain in members for offer in offers_in(domain)]
    multi_domain = _search(profile, all_offers, request)
    if single_domain is None or multi_domain is None:
        return single_domain or multi_domain
    # A queue is no reason to cross failure domains.
    return min(single_domain, multi_domain, key=lambda path: path.cost_without_queue)


def _is_only_full(
    profile: EngineProfile,
    engines: Iterable[ForwardedUpstream],
    request: PathRequest,
    now: float,
) -> bool:
    """Return whether a failure domain without a path is short of room, and not of layers.

    Engines that cannot serve the request once they have room do not count: it would be refused each
    time.
    """
    able = (
        item
        for item in newest_instances(engines)
        if accepts_work(item, now)
        and not (is_lost(item) or is_inactive(item, now) or is_failing(item, now))
        and can_hold(profile, item, request)
    )
    return has_whole_domain(able, profile.layers)


def _cheapest_single_domain_path(
    profile: EngineProfile,
    domains: Iterable[str],
    offers_in: Callable[[str], list[EngineOffer]],
    request: PathRequest,
) -> ChosenPath | None:
    """Find the best path that stays within one failure domain.

    Failure domains are compared by congestion and not by speed; otherwise the fastest one would
    fill up first. If no other domain could be less congested by `REMOTE_CONGESTION_RATIO`, the own
    domain is used without searching the others, unless its queue alone exceeds the target latency.

    Args:
        profile: Performance figures of the engines.
        domains: Failure domains with usable engines.
        offers_in: Returns the offers of the engines in a failure domain.
        request: The request to find a path for.

    Returns:
        The path, or None if no failure domain covers all layers by itself.
    """
    own = _search(profile, offers_in(request.failure_domain), request)
    limit = request.target_latency
    if own and own.congestion <= REMOTE_CONGESTION_RATIO and own.longest_queue <= limit:
        return own
    found = (
        _search(profile, offers_in(domain), request)
        for domain in domains
        if domain != request.failure_domain
    )
    others = [path for path in found if path and _is_preferred(path, own, limit)]
    remote = min(
        others, key=lambda path: (path.longest_queue > limit, path.congestion), default=None
    )
    return remote or own


def _is_preferred(other: ChosenPath, own: ChosenPath | None, target_latency: float) -> bool:
    """Return whether a path in another failure domain is preferred to the best one in the own."""
    if own is None:
        return True
    if own.longest_queue > target_latency >= other.longest_queue:
        return other.congestion <= own.congestion * REMOTE_CONGESTION_RATIO
    if other.longest_queue > max(target_latency, own.longest_queue):
        return False
    return other.congestion * REMOTE_CONGESTION_RATIO < own.congestion


def _random_factor(rng: random.Random | None) -> float:
    return 1.0 if rng is None else 1.0 + COST_JITTER * rng.random()


def _search(
    profile: EngineProfile, offers: list[EngineOffer], request: PathRequest
) -> ChosenPath | None:
    steps = cheapest_steps(profile, offers, request)
    if not steps:
        return None
    cost = steps[-1].cost
    queues = [item.offer.queue_seconds for item in steps]
    queue_seconds = sum(queues)
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
        congestion=(cost - queue_seconds) / (cost - sum(map(_excess_seconds, steps))),
        queue_seconds=queue_seconds,
        longest_queue=max(queues),
    )


def _excess_seconds(step: SearchStep) -> float:
    """Return how much longer a step takes than on an idle engine, in seconds."""
    offer = step.offer
    per_layer = offer.seconds_per_layer - offer.idle_seconds_per_layer
    return per_layer * (step.end - step.first) + offer.fixed_seconds


def newest_instances(engines: Iterable[ForwardedUpstream]) -> Iterable[ForwardedUpstream]:
    """Return the most recently started instance at each address.

    After a crash and restart, the old instance stays registered for some seconds, and a delayed
    heartbeat of it may still arrive.
    """
    newest: dict[str, ForwardedUpstream] = {}
    for engine in engines:
        known = newest.get(engine.registration.address)
        if known is None or engine.started_at > known.started_at:
            newest[engine.registration.address] = engine
    return newest.values()


class NoPathReason(msgspec.Struct, frozen=True, kw_only=True):
    """Why no path was found."""

    engines: Mapping[str, int]
    """Number of engines of the pool by the reason why each is unusable; usable ones under
    `usable`."""

    layers: tuple[int, int] | None
    """First uncovered layer and one past the last; layers between them may be covered. None if
    every layer is covered."""

    full_links: tuple[Link, ...]
    """Links between failure domains that accept no more requests."""

    wait_seconds: float | None = None
    """Time until engines that are backing off or rate-limited cover all uncovered layers, in
    seconds; None if a layer is uncovered for another reason."""

    lacks_layers: bool = False
    """Whether no engine that could serve the request, once it has room, holds some layer."""

    @property
    def is_rate_limited(self) -> bool:
        """Whether engines are unusable because their rate limit is reached."""
        return self.engines.get(RATE_LIMITED, 0) > 0

    @property
    def is_out_of_capacity(self) -> bool:
        """Whether engines or links are full, in which case a path appears as requests finish.

        If no layer is uncovered, only room is missing: engines take a part of their layers, or the
        request may not cross failure domains.
        """
        is_full = self.engines.get(NO_CAPACITY, 0) > 0 or bool(self.full_links)
        return is_full and not self.lacks_layers or self.layers is None

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
    """Determine why there is no path, for logs, answers and the retry time.

    Args:
        profile: Performance figures of the engines.
        engines: Engines of the pool.
        request: The request that needed a path.
        now: Monotonic time.
        excluded: Instances of engines that this request no longer uses.

    Returns:
        The reason.
    """
    reasons: Counter[str] = Counter()
    available_in = [math.inf] * profile.layers
    is_held = [False] * profile.layers
    for engine in newest_instances(engines):
        reason = _unusable_reason(profile, engine, request, now, excluded)
        reasons[reason or "usable"] += 1
        if reason not in ("", BACKING_OFF, RATE_LIMITED, NO_CAPACITY):
            continue
        wait = math.inf if reason == NO_CAPACITY else remaining_wait(engine, now)
        for item in engine.registration.holdings:
            for layer in range(item.first, min(item.end, profile.layers)):
                is_held[layer] = True
                available_in[layer] = min(available_in[layer], wait)
    uncovered = [layer for layer, seconds in enumerate(available_in) if seconds > 0]
    full_links = tuple(
        link for link, used in request.link_utilization.items() if used >= request.link_limit
    )
    layers = (uncovered[0], uncovered[-1] + 1) if uncovered else None
    longest_wait = max(available_in)
    wait_seconds = longest_wait if 0 < longest_wait < math.inf else None
    return NoPathReason(
        engines=reasons,
        layers=layers,
        full_links=full_links,
        wait_seconds=wait_seconds,
        lacks_layers=not all(is_held),
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
    if engine.draining:
        return "leaving"
    if is_backing_off(engine, now):
        return BACKING_OFF
    if not has_grant(engine.limit, now):
        return RATE_LIMITED
    if registration.instance in excluded:
        return "failed this request"
    if is_lost(engine):
        return "lost"
    if is_failing(engine, now):
        return "avoided"
    if not is_usable(engine, now):
        # It refused a request for lack of room.
        return NO_CAPACITY
    return "" if engine_offers(profile, engine, request, now) else NO_CAPACITY


def reserve(path: ChosenPath, tokens: int) -> None:
    """Count a request on every engine of its path.

    Args:
        path: The path.
        tokens: Expected tokens of the request; each uses KV cache for each layer.
    """
    for part, engine in zip(path.parts, path.engines, strict=True):
        engine.in_flight += 1
        engine.kv_reserved += tokens * (part.end - part.first)


def release(path: ChosenPath, tokens: int) -> None:
    """Undo `reserve`; `tokens` must be the same."""
    for part, engine in zip(path.parts, path.engines, strict=True):
        engine.in_flight -= 1
        engine.kv_reserved -= tokens * (part.end - part.first)


def count_prompt(path: ChosenPath, tokens: int) -> Callable[[], None]:
    """Count a prompt as pending on every engine of its path.

    Args:
        path: The path.
        tokens: Tokens that the engines read before the first event.

    Returns:
        Ends the count; to be called at the first event and at the end of the attempt. Further calls
        have no effect.
    """
    counted = [
        (engine, tokens * (part.end - part.first))
        for part, engine in zip(path.parts, path.engines, strict=True)
    ]
    for engine, prefill in counted:
        engine.pending_prompts += 1
        engine.pending_prefill += prefill

    def end() -> None:
        while counted:
            engine, prefill = counted.pop()
            engine.pending_prompts -= 1
            engine.pending_prefill -= prefill

    return end
