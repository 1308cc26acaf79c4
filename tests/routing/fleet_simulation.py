"""A fleet in virtual time: boxes that choose paths with the real code, and engines that fill up.

There is no network and no clock. Each box sees what it does itself at once, and what all boxes do
when the sums of loads reach it, as often as `load_interval` says. An engine refuses a run for which
its KV cache has no room, as real ones do. Streams last as long as the cards of their path take with
what runs on them when the stream begins.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ledgeladder.model.registration import Registration
from ledgeladder.model.traffic import CardKind
from ledgeladder.routing.forwarding_table import ForwardedUpstream, note_full, take_others
from ledgeladder.routing.layer_coverage import kv_capacity
from ledgeladder.routing.load_sharing import load_interval
from ledgeladder.routing.path_costs import PathRequest
from ledgeladder.routing.paths import ChosenPath, choose_path, release, reserve
from ledgeladder.routing.placed_engine import PlacedEngine
from ledgeladder.routing.placement import group_engines, plan_placement

from .sample_site import CARDS, PROFILE
from .virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ledgeladder.model.traffic import EngineProfile

CONTROLS = 5
"""Control boxes that add up loads."""

PROMPT = 774
ANSWER = 214
"""Tokens of the streams, which all have the same size."""

LARGE_CARDS = {
    "a": (4, 11, 28),
    "b": (2, 18, 16),
    "c": (6, 8, 19),
    "d": (4, 11, 28),
    "e": (2, 18, 15),
}
"""Engines with each kind of card by failure domain: 190 of them, as on the users' largest site."""

LARGE_BOXES = 195
LARGE_STREAMS_PER_SECOND = 244.0
"""Boxes of that site and the streams that begin there."""

LARGE_PROFILE = msgspec.structs.replace(
    PROFILE,
    kv_token_bytes=1_508_000,
    sequence_ms=0.01172,
    read_per_s=128_000,
    stride=6,
    usual_answer=ANSWER,
    loads_at_once=31,
    activation_bytes=75_400,
    pipe_bytes_per_s=18e9 / 8,
)


SLOTS = 96
"""Requests that an engine runs at once."""

SMALL_CARDS = {"a": (2, 13, 22), "b": (1, 22, 12), "c": (4, 9, 14)}
"""99 engines whose cards are smaller; their kinds are those of `SMALL_PROFILE`."""

SMALL_BOXES = 63
SMALL_STREAMS_PER_SECOND = 103.0
"""Boxes of that site and the streams that begin there in a burst, a quarter above 82 a second."""

SMALL_PROFILE = msgspec.structs.replace(
    PROFILE,
    cards={
        "fast": CardKind(name="fast", memory_mb=36_000, step_factor=3.1, read_factor=3.2),
        "middle": CardKind(name="middle", memory_mb=21_600, step_factor=16.0, read_factor=8.2),
        "slow": CardKind(name="slow", memory_mb=14_400, step_factor=15.0, read_factor=15.0),
    },
    kv_token_bytes=328_000,
    sequence_ms=0.00212,
    step_ms=0.85,
    read_per_s=353_000,
    stride=2,
    usual_prompt=726,
    usual_answer=138,
    activation_bytes=16_400,
    pipe_bytes_per_s=4.3e9 / 8,
)
"""Answers are short there, so that slots fill before the KV cache does."""


@dataclass(kw_only=True)
class SimulatedEngine:
    """The truth about one engine."""

    registration: Registration
    capacity: float
    kv_used: float = 0.0
    running: int = 0
    max_running: int = 0
    refused: int = 0
    arrivals: int = 0
    waited: int = 0


@dataclass(kw_only=True)
class SimulatedBox:
    """What one box believes."""

    failure_domain: str
    engines: dict[str, ForwardedUpstream]
    rng: random.Random
    reported: dict[str, tuple[int, float]] = field(default_factory=dict)


@dataclass(kw_only=True)
class Outcome:
    """What became of the streams of a run."""

    streams: int = 0
    refusals: int = 0
    unserved: int = 0
    remote: int = 0
    inter_domain_hops: int = 0
    """Links between failure domains that were passed."""

    seconds: list[float] = field(default_factory=list)

    @property
    def refused_share(self) -> float:
        """Runs that an engine refused, as a part of all that arrived."""
        arrivals = self.refusals + self.streams - self.unserved
        return self.refusals / max(1, arrivals)

    def quantile(self, share: float) -> float:
        """Return how long streams take, in seconds."""
        return sorted(self.seconds)[int(share * (len(self.seconds) - 1))]


def place_engines(
    profile: EngineProfile, cards: Mapping[str, tuple[int, ...]]
) -> dict[str, SimulatedEngine]:
    """Lay the model out over engines as a leader does at the first start."""
    empty = [
        PlacedEngine(
            instance=f"{domain}-{card}-{number}", failure_domain=domain, card=card, holding=None
        )
        for domain, counts in cards.items()
        for card, count in zip(CARDS, counts, strict=True)
        for number in range(count)
    ]
    engines = {}
    for group in group_engines(profile, empty):
        chosen = plan_placement(profile, group)
        for item in group:
            holding = chosen[item.instance]
            registration = Registration(
                instance=item.instance,
                sequence=1,
                address=f"{item.instance}:1",
                slots=SLOTS,
                failure_domain=item.failure_domain,
                card=item.card,
                holdings=(holding,),
            )
            capacity = kv_capacity(profile, item.card, holding.end - holding.first)
            engines[item.instance] = SimulatedEngine(registration=registration, capacity=capacity)
    return engines


class FleetSimulation(VirtualTime):
    """Plays arrivals, reports and ends of streams in order."""

    def __init__(
        self,
        *,
        profile: EngineProfile = LARGE_PROFILE,
        cards: Mapping[str, tuple[int, ...]] = LARGE_CARDS,
        boxes: int = LARGE_BOXES,
        streams_per_second: float = LARGE_STREAMS_PER_SECOND,
        seed: int = 1,
    ) -> None:
        super().__init__()
        self.profile = profile
        self.engines = place_engines(profile, cards)
        self.rng = random.Random(seed)
        self.rate = streams_per_second
        self.domains = list(cards)
        self.outcome = Outcome()
        self.sums: dict[str, list[float]] = {name: [0, 0.0] for name in self.engines}
        self.boxes = [
            SimulatedBox(
                failure_domain=self.domains[number % len(self.domains)],
                engines={
                    name: ForwardedUpstream(registration=engine.registration, heard_at=1e9)
                    for name, engine in self.engines.items()
                },
                rng=random.Random(seed * 1000 + number),
            )
            for number in range(boxes)
        ]
        self.interval = load_interval(boxes, CONTROLS)
        for box in self.boxes:
            self.at(self.rng.random() * self.interval, lambda box=box: self.exchange_loads(box))
        self.at(0.0, self.start_stream)

    def run(self, seconds: float) -> Outcome:
        """Play until a moment and return what became of the streams so remote."""
        self.run_until(seconds)
        return self.outcome

    def remove_engines(self, names: list[str]) -> None:
        """Take engines away; all boxes know at once, and streams on them are not followed."""
        for name in names:
            del self.engines[name]
            for box in self.boxes:
                del box.engines[name]

    def exchange_loads(self, box: SimulatedBox) -> None:
        """Let a box tell its loads and take in the sums of all."""
        for name, view in box.engines.items():
            view.reported_in_flight, view.reported_kv = view.in_flight, view.kv_reserved
            sums = self.sums[name]
            before = box.reported.get(name, (0, 0.0))
            reported = (view.in_flight, view.kv_reserved)
            if reported != before:
                sums[0] += reported[0] - before[0]
                sums[1] += reported[1] - before[1]
                box.reported[name] = reported
            take_others(view, int(sums[0]), sums[1], self.now)
        self.at(self.now + self.interval, lambda: self.exchange_loads(box))

    def start_stream(self) -> None:
        """Begin a stream at a box drawn at random."""
        self.at(self.now + self.rng.expovariate(self.rate), self.start_stream)
        box = self.rng.choice(self.boxes)
        self.outcome.streams += 1
        excluded: set[str] = set()
        for _ in range(4):
            path = self.choose(box, excluded)
            if path is None:
                break
            refusing = self.try_path(box, path)
            if refusing is None:
                return
            self.outcome.refusals += 1
            excluded.add(refusing)
            note_full(box.engines[refusing], self.now)
        self.outcome.unserved += 1

    def choose(self, box: SimulatedBox, excluded: set[str]) -> ChosenPath | None:
        """Choose a path as a gateway does."""
        request = PathRequest(
            prompt_tokens=PROMPT,
            answer_tokens=ANSWER,
            failure_domain=box.failure_domain,
            sharers=max(1.0, len(self.boxes) / len(self.domains)),
        )
        return choose_path(
            self.profile,
            list(box.engines.values()),
            request,
            self.now,
            excluded=excluded,
            rng=box.rng,
        )

    def try_path(self, box: SimulatedBox, path: ChosenPath) -> str | None:
        """Run a stream over a path; returns the engine that refuses it, if one does."""
        tokens = PROMPT + ANSWER
        parts = [(self.engines[part.instance], part.end - part.first) for part in path.parts]
        for engine, layers in parts:
            engine.arrivals += 1
            engine.waited += engine.running >= SLOTS
            if engine.kv_used + tokens * layers > engine.capacity:
                engine.refused += 1
                return engine.registration.instance
        seconds = 0.0
        for engine, layers in parts:
            engine.kv_used += tokens * layers
            engine.running += 1
            engine.max_running = max(engine.max_running, engine.running)
            seconds += self.stream_seconds(engine, layers)
        reserve(path, tokens)
        self.outcome.seconds.append(seconds)
        domains = path.domains
        self.outcome.remote += domains[0] != box.failure_domain
        pairs = zip(domains, domains[1:], strict=False)
        self.outcome.inter_domain_hops += sum(one != other for one, other in pairs)
        self.at(self.now + seconds, lambda: self.finish_stream(path, parts, tokens))
        return None

    def stream_seconds(self, engine: SimulatedEngine, layers: int) -> float:
        """Return how long a stream works on one engine, with what runs there now."""
        card = self.profile.cards[engine.registration.card]
        step = (self.profile.step_ms + self.profile.sequence_ms * engine.running) / 1000.0
        read = PROMPT / self.profile.read_per_s * card.read_factor
        share = layers / self.profile.layers
        return share * (step * card.step_factor * ANSWER + read)

    def finish_stream(
        self, path: ChosenPath, parts: list[tuple[SimulatedEngine, int]], tokens: int
    ) -> None:
        """End a stream."""
        release(path, tokens)
        for engine, layers in parts:
            engine.running -= 1
            engine.kv_used -= tokens * layers
