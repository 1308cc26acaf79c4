"""Predicted time of a request on one engine, and from one engine to the next."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from .forwarding_table import is_silent, slow_factor, total_in_flight, total_kv
from .layer_coverage import kv_capacity
from .link_load import NEW_REQUEST_LIMIT, link_between, transfer_seconds

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ..model.traffic import CardKind, EngineProfile
    from .forwarding_table import ForwardedUpstream
    from .link_load import Link

LOCAL_HOP_SECONDS: Final = 0.0002
"""One-way delay inside a failure domain: a switch or two. Documents tell other delays only."""

UNKNOWN_HOP_SECONDS: Final = 0.001
"""One-way delay between two failure domains for which the document gives none."""

INACTIVE_PENALTY_SECONDS: Final = 5.0
"""Cost of an engine that nobody has heard lately: a stalled request would cost about as much."""

FULL_FRACTION: Final = 0.92
"""Share of the KV cache and of the slots up to which this box fills an engine. The rest is kept
free: answers are often longer than hinted, and the other boxes' requests are only estimated."""

OVERCOMMIT_FRACTION: Final = 1.2
"""The same where no path is found otherwise: the load of other boxes is an estimate, and an engine
without fitting says so within milliseconds or lets the request wait for what ends next."""

FULLNESS_PENALTY: Final = 2.0
"""What a full engine adds to its cost, as a multiple of the cost of an empty one; it grows with the
square of the fullness of its KV cache or its slots, whichever is fuller. Spreads requests before
any engine is full."""


STALLED_COST_FACTOR: Final = 6.0
"""How many times more an engine costs that has shown no progress since a loss: more than lies
between the fastest and the slowest cards, so that another holder of its layers goes first. Engines
are lost together, and each repeat that runs into another lost one is spent."""


class PathRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a path is wanted for."""

    prompt_tokens: int
    """Tokens to read."""

    answer_tokens: int
    """Tokens that are likely to be generated."""

    failure_domain: str
    """Failure domain of the entry box."""

    link_penalties: Mapping[Link, float] = msgspec.field(default_factory=dict)
    """Extra cost of links between failure domains that are avoided, in seconds."""

    link_utilization: Mapping[Link, float] = msgspec.field(default_factory=dict)
    """Share of each link between failure domains that is in use."""

    link_limit: float = NEW_REQUEST_LIMIT
    """Share from which on a link takes no more."""

    full_fraction: float = FULL_FRACTION
    """Share of the KV cache at which an engine counts as full."""

    stalled_after: float = math.inf
    """Time without progress after which an engine with requests of this box is likely lost, in
    seconds. Named after a loss only."""

    previous_instances: Collection[str] = ()
    """Runs of engines on earlier paths of the request: it was on them when it stood still."""

    sharers: float = 1.0
    """How many times the own requests an engine is likely to hold of all boxes."""


class EngineOffer(msgspec.Struct, kw_only=True, eq=False):
    """What one engine would do for a request with one of the ranges that it holds."""

    engine: ForwardedUpstream
    """The engine."""

    failure_domain: str
    """Its failure domain."""

    first: int
    """First layer of the range."""

    end: int
    """One past its last layer."""

    max_layers: int
    """Most layers of the range that it has fitting for in its KV cache; at least one."""

    seconds_per_layer: float
    """Predicted time for each layer that it runs."""

    idle_seconds_per_layer: float
    """The same if the engine had nothing else to do and worked at its usual speed."""

    fixed_seconds: float
    """Predicted time besides, whatever it runs."""


def engine_offers(
    profile: EngineProfile,
    engine: ForwardedUpstream,
    request: PathRequest,
    now: float,
    *,
    factor: float = 1.0,
    penalize_inactive: bool = True,
) -> list[EngineOffer]:
    """Return what an engine offers for a request, one offer for each range of layers that it holds.

    Times are worked out as if the whole range were used, and not for each part of it: a path is
    chosen among thousands of parts, and the difference is small.

    Args:
        profile: Figures of the engines.
        engine: The engine.
        request: What the path is for.
        now: Monotonic time.
        factor: What its predicted times are multiplied by.
        penalize_inactive: True if an engine that nobody has heard lately is likely lost.

    Returns:
        Offers; none if its card is not known, if its KV cache has no fitting for one layer, or if all
        its slots are used_kv.
    """
    card = profile.cards.get(engine.registration.card)
    if card is None:
        return []
    tokens = float(max(1, request.prompt_tokens + request.answer_tokens))
    running = total_in_flight(engine, now, request.sharers) + 1
    idle_seconds = _seconds_per_layer(profile, card, request, 1.0) * factor
    seconds = _seconds_per_layer(profile, card, request, running) * factor
    seconds *= slow_factor(engine, now)
    is_used = engine.in_flight > 0 or engine.registration.instance in request.previous_instances
    if is_used and now - engine.proven_at > request.stalled_after:
        seconds *= STALLED_COST_FACTOR
    slots = slot_limit(engine)
    if running > slots * request.full_fraction:
        return []
    layers_held = sum(item.end - item.first for item in engine.registration.holdings)
    capacity = kv_capacity(profile, engine.registration.card, layers_held)
    used_kv = total_kv(engine, now, request.sharers)
    fitting = _layers_that_fit(profile, capacity * request.full_fraction - used_kv, tokens)
    if fitting < 1:
        return []
    fixed = INACTIVE_PENALTY_SECONDS if penalize_inactive and is_silent(engine, now) else 0.0
    offers = []
    for holding in engine.registration.holdings:
        used = min(holding.end - holding.first, fitting)
        fullness = max((used_kv + tokens * used) / capacity, running / slots)
        offers.append(
            EngineOffer(
                engine=engine,
                failure_domain=engine.registration.failure_domain,
                first=holding.first,
                end=min(holding.end, profile.layers),
                max_layers=used,
                seconds_per_layer=seconds * (1.0 + FULLNESS_PENALTY * fullness**2),
                idle_seconds_per_layer=idle_seconds,
                fixed_seconds=fixed,
            )
        )
    return offers


def slot_limit(engine: ForwardedUpstream) -> float:
    """Return how many requests an engine runs at once; infinity if it tells no more than one.

    Requests beyond that wait for a slot. Where small answers leave the KV cache half empty, slots
    are what fills, and first events wait while other engines with the same layers have slots free.
    """
    slots = engine.registration.slots
    return float(slots) if slots > 1 else math.inf


def _seconds_per_layer(
    profile: EngineProfile, card: CardKind, request: PathRequest, running: float
) -> float:
    """Return the predicted time for each layer of a request, without crowding of the KV cache.

    Args:
        profile: Figures of the engines.
        card: Kind of the engine's accelerator.
        request: What the path is for.
        running: Requests that the engine runs, this one included.
    """
    step = (profile.step_ms + profile.sequence_ms * running) * card.step_factor / 1000.0
    read = request.prompt_tokens / profile.read_per_s * card.read_factor
    return (step * request.answer_tokens + read) / profile.layers


def _layers_that_fit(profile: EngineProfile, free: float, tokens: float) -> int:
    """Return for how many layers of a request free KV cache is enough.

    Args:
        profile: Figures of the engines.
        free: Tokens x layers that are free; infinity if the size of the cache is not known.
        tokens: Tokens of the request.
    """
    if free == float("inf"):
        return profile.layers
    return min(profile.layers, max(0, int(free / tokens)))


def handover_seconds(
    profile: EngineProfile, source: str, target: str, request: PathRequest
) -> float:
    """Return what it costs that one engine hands a request on to another, in seconds.

    Every token is handed on with a delay. Between failure domains, the prompt also takes time on a
    link that all requests share. It is charged with what it adds to the waits of all: on a link of
    which a share u is in use, that grows with 1 / (1 - u)**2.

    Returns:
        The cost; infinity if the link takes no more.
    """
    delay = hop_seconds(profile, source, target) * max(1, request.answer_tokens)
    if source == target:
        return delay
    link = link_between(source, target)
    used = request.link_utilization.get(link, 0.0)
    if used >= request.link_limit:
        return math.inf
    transfer = transfer_seconds(profile, request.prompt_tokens + request.answer_tokens)
    return delay + transfer / (1.0 - used) ** 2 + request.link_penalties.get(link, 0.0)


def hop_seconds(profile: EngineProfile, source: str, target: str) -> float:
    """Return the one-way delay between two failure domains, in seconds."""
    if source == target:
        return LOCAL_HOP_SECONDS
    return profile.delays.get((source, target), UNKNOWN_HOP_SECONDS)
