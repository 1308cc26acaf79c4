"""Predicted times of a request on an engine and between engines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from .forwarding_table import (
    is_inactive,
    slow_factor,
    total_in_flight,
    total_kv,
    total_pending_prefill,
)
from .layer_coverage import kv_capacity
from .link_load import NEW_REQUEST_LIMIT, link_between, transfer_seconds

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ..model.traffic import CardKind, EngineProfile
    from .forwarding_table import ForwardedUpstream
    from .link_load import Link

LOCAL_HOP_SECONDS: Final = 0.0002
"""One-way delay within a failure domain. The configuration only gives delays between domains."""

UNKNOWN_HOP_SECONDS: Final = 0.001
"""One-way delay between two failure domains if the configuration gives none."""

INACTIVE_PENALTY_SECONDS: Final = 5.0
"""Cost of using an inactive engine: about that of a stalled request."""

FULL_FRACTION: Final = 0.92
"""Share of the KV cache and of the slots that this box fills. The remainder covers answers longer
than hinted and requests of other boxes, whose number is estimated."""

OVERCOMMIT_FRACTION: Final = 1.2
"""Like `FULL_FRACTION`, used if no path is found otherwise. The load of other boxes is only an
estimate, and an engine without room refuses quickly or queues the request."""

FULLNESS_PENALTY: Final = 2.0
"""Cost that a full engine adds, as a multiple of its idle cost. Grows with the square of the
fullness of the KV cache or the slots, whichever is higher, to spread requests before engines are
full."""


STALLED_COST_FACTOR: Final = 6.0
"""Cost factor for an engine without progress since a loss. Exceeds the speed ratio between the
fastest and the slowest cards, so that another holder of the layers is preferred: engines often fail
together, and each attempt on a lost engine uses up a retry."""


class PathRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a path must serve."""

    prompt_tokens: int
    """Tokens of the prompt."""

    answer_tokens: int
    """Expected tokens of the answer."""

    failure_domain: str
    """Failure domain of the entry box."""

    link_penalties: Mapping[Link, float] = msgspec.field(default_factory=dict)
    """Extra cost of suspected inter-domain links, in seconds."""

    link_utilization: Mapping[Link, float] = msgspec.field(default_factory=dict)
    """Utilization of each inter-domain link, as a share of its capacity."""

    may_cross: bool = True
    """Whether a path may cross failure domains although one of them holds all layers. Without it, a
    domain that is full is short of room and not of layers."""

    link_limit: float = NEW_REQUEST_LIMIT
    """Utilization from which a link accepts no more requests."""

    full_fraction: float = FULL_FRACTION
    """Share of the KV cache and of the slots from which an engine counts as full."""

    stalled_after: float = math.inf
    """Time without progress after which an engine with requests of this box is likely lost, in
    seconds. Infinity unless engines were lost."""

    previous_instances: Collection[str] = ()
    """Instances of engines on earlier paths of the request, any of which may have stalled it."""

    sharers: float = 1.0
    """Estimated ratio of all boxes' requests on an engine to those of this box."""

    target_latency: float = math.inf
    """Target time to the first event, in seconds. If prompts that wait in the own failure domain
    exceed it, another one is preferred."""


class EngineOffer(msgspec.Struct, kw_only=True, eq=False):
    """Predicted cost of running a request on one layer range of an engine."""

    engine: ForwardedUpstream
    """The engine."""

    failure_domain: str
    """Its failure domain."""

    first: int
    """First layer of the range."""

    end: int
    """One past the last layer."""

    max_layers: int
    """Layers of the range that fit in the free KV cache; at least one."""

    seconds_per_layer: float
    """Predicted time for each layer."""

    idle_seconds_per_layer: float
    """Predicted time for each layer if the engine were idle and at its usual speed."""

    fixed_seconds: float
    """Predicted time that does not depend on the number of layers, including `queue_seconds`."""

    queue_seconds: float = 0.0
    """Predicted time to read the prompts that wait at the engine."""


def engine_offers(
    profile: EngineProfile,
    engine: ForwardedUpstream,
    request: PathRequest,
    now: float,
    *,
    factor: float = 1.0,
    penalize_inactive: bool = True,
) -> list[EngineOffer]:
    """Return one offer for each layer range that an engine holds.

    Times are computed for the whole range and not for each part of it: the search considers many
    parts, and the difference is small.

    Args:
        profile: Performance figures of the engines.
        engine: The engine.
        request: The request to find a path for.
        now: Monotonic time.
        factor: Multiplier of the predicted times.
        penalize_inactive: Whether an inactive engine gets `INACTIVE_PENALTY_SECONDS`.

    Returns:
        The offers; empty if the kind of card is unknown, the KV cache has no room for one layer, or
        all slots are used.
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
    if is_used and now - engine.last_success_at > request.stalled_after:
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
    fixed = INACTIVE_PENALTY_SECONDS if penalize_inactive and is_inactive(engine, now) else 0.0
    queue = _queue_seconds(profile, card, engine, request, now) * factor
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
                fixed_seconds=fixed + queue,
                queue_seconds=queue,
            )
        )
    return offers


def can_hold(profile: EngineProfile, engine: ForwardedUpstream, request: PathRequest) -> bool:
    """Return whether an engine has room for a layer of a request while it runs nothing else."""
    registration = engine.registration
    if registration.card not in profile.cards:
        return False
    layers_held = sum(item.end - item.first for item in registration.holdings)
    capacity = kv_capacity(profile, registration.card, layers_held)
    tokens = float(max(1, request.prompt_tokens + request.answer_tokens))
    return _layers_that_fit(profile, capacity * request.full_fraction, tokens) >= 1


def slot_limit(engine: ForwardedUpstream) -> float:
    """Return how many requests an engine runs at once; infinity if it reports no more than one.

    Further requests wait for a slot. Short answers can fill the slots before the KV cache.
    """
    slots = engine.registration.slots
    return float(slots) if slots > 1 else math.inf


def _seconds_per_layer(
    profile: EngineProfile, card: CardKind, request: PathRequest, running: float
) -> float:
    """Return the predicted time per layer, without the fullness penalty.

    Args:
        profile: Performance figures of the engines.
        card: Kind of the engine's accelerator.
        request: The request to find a path for.
        running: Requests on the engine, including this one.
    """
    step = (profile.step_ms + profile.step_ms_per_request * running) * card.step_factor / 1000.0
    read = request.prompt_tokens / profile.prefill_tokens_per_s * card.prefill_factor
    return (step * request.answer_tokens + read) / profile.layers


def _queue_seconds(
    profile: EngineProfile,
    card: CardKind,
    engine: ForwardedUpstream,
    request: PathRequest,
    now: float,
) -> float:
    """Return the predicted time in which an engine reads the prompts that wait at it."""
    pending = total_pending_prefill(engine, now, request.sharers) / profile.layers
    seconds = pending / profile.prefill_tokens_per_s * card.prefill_factor
    return seconds * slow_factor(engine, now)


def _layers_that_fit(profile: EngineProfile, free: float, tokens: float) -> int:
    """Return for how many layers of a request the free KV cache suffices.

    Args:
        profile: Performance figures of the engines.
        free: Free tokens x layers; infinity if the cache size is unknown.
        tokens: Tokens of the request.
    """
    if free == float("inf"):
        return profile.layers
    return min(profile.layers, max(0, int(free / tokens)))


def handover_seconds(
    profile: EngineProfile, source: str, target: str, request: PathRequest
) -> float:
    """Return the cost of handing a request over between two engines, in seconds.

    Each token adds one hop delay. Between failure domains, the transfer also occupies a shared link
    and delays other requests on it. This queueing cost grows with 1 / (1 - u)**2 at utilization u.

    Returns:
        The cost; infinity if the link accepts no more requests.
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
