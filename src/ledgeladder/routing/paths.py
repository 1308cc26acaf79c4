"""The path of one generation over engines that hold ranges of layers.

The cheapest path is found over the layers from first to last: a state is a layer that has been
reached and the engine that reached it, a step is a range that one engine runs. Costs are predicted
times, so that fast cards go first, full engines are left out, and another failure domain is used
only when the own one is slower or full.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..model.exchange import PathPart
from .forwarding_table import is_silent, is_usable, slow_factor, total_in_flight, total_kv
from .layer_coverage import kv_capacity

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Mapping

    from ..model.traffic import EngineProfile
    from .forwarding_table import ForwardedUpstream

LOCAL_HOP_SECONDS: Final = 0.0002
"""One-way delay inside a failure domain, as the platform's sheet gives it for its own links."""

SILENT_PENALTY_SECONDS: Final = 5.0
"""Cost of an engine that nobody has heard lately: a stalled request would cost about as much."""

FULL_AT: Final = 0.92
"""Share of the KV cache at which an engine takes no more requests of this box. Answers are often
longer than hinted, and the other boxes' requests are only estimated."""

OVERFULL_AT: Final = 1.2
"""The same as a last resort: the load of other boxes is an estimate, and an engine that has no room
says so within milliseconds or lets the request wait for what ends next."""

CROWDING: Final = 2.0
"""Cost factor of an engine whose KV cache is full, against an empty one: spreads requests before
any engine is full."""

SPREAD: Final = 0.3
"""Random part of the cost of an engine, so that boxes that know the same do not choose the same.
Below the step between two kinds of cards (2.3 and 2.9): an idle fast card is still chosen."""

FAR_FACTOR: Final = 1.25
"""How many times cheaper a path over other failure domains must be: it shares their pipes, and a
cut would end it."""

PIPE_CROWDING: Final = 3.0
"""Cost factor of the time that a request takes on the link between two failure domains. On the
users' sites a prompt takes 23 ms of a link that all requests pass one after the other: 30 a second
that cross once keep it two thirds busy, and each then waits twice its own time."""

PARTS_LIMIT: Final = 32
"""Most engines on one path."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PathRequest:
    """What a path is wanted for."""

    prompt_tokens: int
    """Tokens to read."""

    answer_tokens: int
    """Tokens that are likely to be generated."""

    failure_domain: str
    """Failure domain of the entry box."""

    link_penalties: Mapping[tuple[str, str], float] = field(default_factory=dict)
    """Extra cost of links between failure domains that are avoided, in seconds."""

    full_at: float = FULL_AT
    """Share of the KV cache at which an engine counts as full."""

    sharers: float = 1.0
    """How many times the own requests an engine is likely to hold of all boxes."""


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


@dataclass(slots=True)
class _Step:
    """The cheapest way found so far to run the layers up to `end`, with its last engine."""

    cost: float
    """Predicted time of the whole way, in seconds."""

    engine: ForwardedUpstream
    """Engine that runs the last layers of it."""

    first: int
    """First of those layers."""

    end: int
    """One past the last of them."""

    before: _Step | None
    """The way up to `first`; None if that is layer 0."""

    length: int
    """Engines on the way."""


def kv_fullness(
    profile: EngineProfile, engine: ForwardedUpstream, sharers: float, needed: float, now: float
) -> float:
    """Return how full the KV cache of an engine would be with one more request, from 0.

    Args:
        profile: Figures of the engines.
        engine: The engine.
        sharers: Factor from the own requests to those of all boxes.
        needed: Tokens x layers of the new request.
        now: Monotonic time.
    """
    held = sum(item.end - item.first for item in engine.registration.holdings)
    capacity = kv_capacity(profile, engine.registration.card, held)
    if capacity <= 0:
        return float("inf")
    return (total_kv(engine, now, sharers) + needed) / capacity


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
    spread = {
        item.registration.instance: 1.0 + (SPREAD * rng.random() if rng is not None else 0.0)
        for item in usable
    }
    own = [item for item in usable if item.registration.failure_domain == request.failure_domain]
    nearby = _search(profile, own, request, now, spread)
    if nearby is not None and nearby.cost <= _unhurried(profile, request):
        return nearby
    anywhere = _search(profile, usable, request, now, spread)
    if nearby is None or anywhere is None:
        return nearby or anywhere
    return anywhere if anywhere.cost * FAR_FACTOR < nearby.cost else nearby


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
        How many engines are out and why, and which layers nobody can take.
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
    layers = min(item.end - item.first for item in registration.holdings)
    if _cost(profile, engine, layers, request, now) == float("inf"):
        return "full"
    return ""


def _unhurried(profile: EngineProfile, request: PathRequest) -> float:
    """Return the cost up to which other failure domains are not even looked at.

    The time on an idle path of the second fastest kind of card, which the own failure domain gives
    for as long as its fast cards have room.
    """
    cards = sorted(profile.cards.values(), key=lambda card: card.step_factor)
    if not cards:
        return 0.0
    card = cards[min(1, len(cards) - 1)]
    steps = profile.step_ms * request.answer_tokens / 1000.0 * card.step_factor
    return steps + request.prompt_tokens / profile.read_per_s * card.read_factor


def _search(
    profile: EngineProfile,
    engines: list[ForwardedUpstream],
    request: PathRequest,
    now: float,
    spread: Mapping[str, float],
) -> ChosenPath | None:
    """Walk over the layers from first to last, keeping the best step per layer and domain.

    One step per failure domain is kept, and not one per engine, since hops cost the same from every
    engine of it: this bounds the work by the layers at which holdings begin or end.
    """
    edges = sorted({0, profile.layers}.union(*(_edges(engine) for engine in engines)))
    best: dict[int, dict[str, _Step]] = {0: {}}
    for start in edges[:-1]:
        arrived = best.get(start)
        if arrived is None:
            continue
        for engine in engines:
            holding = _holding_at(engine, start)
            if holding is None:
                continue
            before, waited = _best_before(profile, arrived, engine, start, request)
            if before is None and start > 0:
                continue
            factor = spread[engine.registration.instance]
            for end in edges:
                if start < end <= holding:
                    cost = waited + factor * _cost(profile, engine, end - start, request, now)
                    _keep(best, _Step(cost, engine, start, end, before, _length(before)))
    steps = best.get(profile.layers, {})
    finite = [step for step in steps.values() if step.cost < float("inf")]
    return _unwind(min(finite, key=lambda step: step.cost)) if finite else None


def _edges(engine: ForwardedUpstream) -> set[int]:
    holdings = engine.registration.holdings
    return {item.first for item in holdings} | {item.end for item in holdings}


def _holding_at(engine: ForwardedUpstream, layer: int) -> int | None:
    """Return up to where an engine can run from a layer on, or None if it lacks the layer."""
    ends = [item.end for item in engine.registration.holdings if item.first <= layer < item.end]
    return max(ends, default=None)


def _length(before: _Step | None) -> int:
    return 1 if before is None else before.length + 1


def _best_before(
    profile: EngineProfile,
    arrived: dict[str, _Step],
    engine: ForwardedUpstream,
    start: int,
    request: PathRequest,
) -> tuple[_Step | None, float]:
    """Return the cheapest way to a layer that an engine can carry on, and its time with the hop.

    None with an infinite time if there is no such way; None with the hop's time at layer 0.
    """
    domain = engine.registration.failure_domain
    if start == 0:
        return None, _hop(profile, request.failure_domain, domain)
    best, waited = None, float("inf")
    for other, step in arrived.items():
        if step.length >= PARTS_LIMIT or _passes(step, engine):
            continue
        cost = step.cost + _handover(profile, other, domain, request)
        if cost < waited:
            best, waited = step, cost
    return best, waited


def _passes(step: _Step | None, engine: ForwardedUpstream) -> bool:
    """Tell whether a path already uses an engine; an engine may be named once only."""
    while step is not None:
        if step.engine is engine:
            return True
        step = step.before
    return False


def _handover(profile: EngineProfile, one: str, other: str, request: PathRequest) -> float:
    """Return what it costs that one engine hands a request on to another, in seconds.

    Every token is handed on with a delay; between failure domains, prompt and answer also take time
    on a link that all requests share.
    """
    delay = _hop(profile, one, other) * max(1, request.answer_tokens)
    if one == other:
        return delay
    transfer = 0.0
    if profile.pipe_bytes_per_s > 0:
        tokens = request.prompt_tokens + request.answer_tokens
        transfer = tokens * profile.activation_bytes / profile.pipe_bytes_per_s
    return delay + PIPE_CROWDING * transfer + request.link_penalties.get((one, other), 0.0)


def _hop(profile: EngineProfile, one: str, other: str) -> float:
    """Return the one-way delay between two failure domains, in seconds; 1 ms if none is given."""
    return LOCAL_HOP_SECONDS if one == other else profile.delays.get((one, other), 0.001)


def _cost(
    profile: EngineProfile,
    engine: ForwardedUpstream,
    layers: int,
    request: PathRequest,
    now: float,
) -> float:
    """Predict how long an engine takes for its layers of a request, in seconds.

    Infinity if its card is not known or its KV cache has no room.
    """
    card = profile.cards.get(engine.registration.card)
    if card is None:
        return float("inf")
    share = layers / profile.layers
    tokens = request.prompt_tokens + request.answer_tokens
    fullness = kv_fullness(profile, engine, request.sharers, float(tokens * layers), now)
    if fullness > request.full_at:
        return float("inf")
    running = total_in_flight(engine, now, request.sharers) + 1
    step = (profile.step_ms + profile.sequence_ms * running) * card.step_factor / 1000.0
    read = request.prompt_tokens / profile.read_per_s * card.read_factor
    seconds = (step * request.answer_tokens + read) * share * (1.0 + CROWDING * fullness**2)
    seconds *= slow_factor(engine, now)
    return seconds + (SILENT_PENALTY_SECONDS if is_silent(engine, now) else 0.0)


def _keep(best: dict[int, dict[str, _Step]], step: _Step) -> None:
    domain = step.engine.registration.failure_domain
    held = best.setdefault(step.end, {}).get(domain)
    if held is None or step.cost < held.cost:
        best[step.end][domain] = step


def _unwind(last: _Step) -> ChosenPath:
    steps: list[_Step] = []
    step: _Step | None = last
    while step is not None:
        steps.append(step)
        step = step.before
    steps.reverse()
    return ChosenPath(
        parts=tuple(
            PathPart(
                instance=item.engine.registration.instance,
                address=item.engine.registration.address,
                first=item.first,
                end=item.end,
            )
            for item in steps
        ),
        engines=tuple(item.engine for item in steps),
        cost=last.cost,
    )


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
