"""Simulation of a fleet in virtual time: boxes with the real path selection, and simulated engines.

Each box sees its own requests at once and those of other boxes when load sums arrive, every
`report_interval`. An engine refuses a request that does not fit in its KV cache. The duration of a
stream depends on the cards of its path and on what runs on them when it starts. Engines read
prompts one after another.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ledgeladder.coordination.full_notices import NoticeThrottle, pass_notices
from ledgeladder.model.registration import Registration
from ledgeladder.model.traffic import CardKind
from ledgeladder.routing.forwarding_table import ForwardedUpstream, apply_peer_load, record_full
from ledgeladder.routing.full_engines import NOTICE_INTERVAL_SECONDS, apply_full_notice
from ledgeladder.routing.layer_coverage import kv_capacity
from ledgeladder.routing.load_sharing import report_interval
from ledgeladder.routing.path_costs import PathRequest
from ledgeladder.routing.paths import ChosenPath, choose_path, count_prompt, release, reserve
from ledgeladder.routing.placed_engine import PlacedEngine
from ledgeladder.routing.placement import group_engines, plan_placement

from .sample_site import CARDS, PROFILE
from .virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ledgeladder.model.traffic import EngineProfile

CONTROLS = 5
"""Control boxes that sum up loads."""

PROMPT = 774
ANSWER = 214
"""Tokens of each stream's prompt and answer."""

TARGET_LATENCY = 0.5
"""Target time to the first event, in seconds."""

LARGE_CARDS = {
    "a": (4, 11, 28),
    "b": (2, 18, 16),
    "c": (6, 8, 19),
    "d": (4, 11, 28),
    "e": (2, 18, 15),
}
"""Number of engines with each kind of card, by failure domain, at a large site."""

LARGE_BOXES = 195
LARGE_STREAMS_PER_SECOND = 244.0
"""Number of boxes at that site, and the rate of new streams."""

LARGE_PROFILE = msgspec.structs.replace(
    PROFILE,
    kv_token_bytes=1_508_000,
    step_ms_per_request=0.01172,
    prefill_tokens_per_s=128_000,
    steps_per_pass=6,
    mean_answer_tokens=ANSWER,
    parallel_loads=31,
    activation_bytes=75_400,
    domain_link_bytes_per_s=18e9 / 8,
)


SLOTS = 96
"""Requests that an engine runs at once."""

SMALL_CARDS = {"a": (2, 13, 22), "b": (1, 22, 12), "c": (4, 9, 14)}
"""Number of engines at a site with smaller cards, whose kinds are those of `SMALL_PROFILE`."""

SMALL_BOXES = 63
SMALL_STREAMS_PER_SECOND = 103.0
"""Number of boxes at that site, and the rate of new streams in a burst."""

SMALL_PROFILE = msgspec.structs.replace(
    PROFILE,
    cards={
        "fast": CardKind(name="fast", memory_mb=36_000, step_factor=3.1, prefill_factor=3.2),
        "middle": CardKind(name="middle", memory_mb=21_600, step_factor=16.0, prefill_factor=8.2),
        "slow": CardKind(name="slow", memory_mb=14_400, step_factor=15.0, prefill_factor=15.0),
    },
    kv_token_bytes=328_000,
    step_ms_per_request=0.00212,
    step_ms=0.85,
    prefill_tokens_per_s=353_000,
    steps_per_pass=2,
    mean_prompt_tokens=726,
    mean_answer_tokens=138,
    activation_bytes=16_400,
    domain_link_bytes_per_s=4.3e9 / 8,
)
"""Short answers, which fill the slots before the KV cache."""


@dataclass(kw_only=True)
class SimulatedEngine:
    """Actual state of an engine."""

    registration: Registration
    capacity: float
    kv_used: float = 0.0
    running: int = 0
    max_running: int = 0
    refused: int = 0
    arrivals: int = 0
    waited: int = 0
    read_until: float = 0.0
    """When it has read all prompts that it has accepted."""


@dataclass(kw_only=True)
class SimulatedBox:
    """A box and its view of the engines."""

    failure_domain: str
    engines: dict[str, ForwardedUpstream]
    rng: random.Random
    reported: dict[str, tuple[int, float]] = field(default_factory=dict)


@dataclass(kw_only=True)
class Outcome:
    """Outcome of the streams of a simulation."""

    streams: int = 0
    refusals: int = 0
    gave_up: int = 0
    remote: int = 0
    inter_domain_hops: int = 0
    """Inter-domain hops of all streams."""

    seconds: list[float] = field(default_factory=list)
    reads: list[float] = field(default_factory=list)
    """Time from the send of each stream until its prompt was read, in seconds."""

    @property
    def refused_share(self) -> float:
        """Share of attempts that an engine refused."""
        arrivals = self.refusals + self.streams - self.gave_up
        return self.refusals / max(1, arrivals)

    @property
    def late_share(self) -> float:
        """Share of streams whose prompt was read later than the target latency."""
        return sum(item > TARGET_LATENCY for item in self.reads) / max(1, len(self.reads))

    def quantile(self, share: float) -> float:
        """Return a quantile of the stream durations, in seconds."""
        return sorted(self.seconds)[int(share * (len(self.seconds) - 1))]


def place_engines(
    profile: EngineProfile, cards: Mapping[str, tuple[int, ...]]
) -> dict[str, SimulatedEngine]:
    """Assign layers to engines as a leader does at the first start."""
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
    """Simulates arrivals, load reports and completions of streams in order."""

    def __init__(
        self,
        *,
        profile: EngineProfile = LARGE_PROFILE,
        cards: Mapping[str, tuple[int, ...]] = LARGE_CARDS,
        boxes: int = LARGE_BOXES,
        streams_per_second: float = LARGE_STREAMS_PER_SECOND,
        seed: int = 1,
        counts_prompts: bool = True,
        notice_seconds: float | None = None,
    ) -> None:
        super().__init__()
        self.profile = profile
        self.counts_prompts = counts_prompts
        self.notice_seconds = notice_seconds
        self.notices = NoticeThrottle(interval=NOTICE_INTERVAL_SECONDS)
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
                    name: ForwardedUpstream(registration=engine.registration, last_seen_at=1e9)
                    for name, engine in self.engines.items()
                },
                rng=random.Random(seed * 1000 + number),
            )
            for number in range(boxes)
        ]
        self.interval = report_interval(boxes, CONTROLS)
        for box in self.boxes:
            self.at(self.rng.random() * self.interval, lambda box=box: self.exchange_loads(box))
        self.at(0.0, self.start_stream)

    def run(self, seconds: float) -> Outcome:
        """Run until a time and return the outcome so far."""
        self.run_until(seconds)
        return self.outcome

    def remove_engines(self, names: list[str]) -> None:
        """Remove engines; all boxes see that at once, and streams on them are not followed."""
        for name in names:
            del self.engines[name]
            for box in self.boxes:
                del box.engines[name]

    def exchange_loads(self, box: SimulatedBox) -> None:
        """Report the loads of a box and update its view with the sums over all boxes."""
        for name, view in box.engines.items():
            view.reported_in_flight, view.reported_kv = view.in_flight, view.kv_reserved
            sums = self.sums[name]
            before = box.reported.get(name, (0, 0.0))
            reported = (view.in_flight, view.kv_reserved)
            if reported != before:
                sums[0] += reported[0] - before[0]
                sums[1] += reported[1] - before[1]
                box.reported[name] = reported
            apply_peer_load(view, int(sums[0]), sums[1], self.now)
        self.at(self.now + self.interval, lambda: self.exchange_loads(box))

    def start_stream(self) -> None:
        """Start a stream at a random box."""
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
            record_full(box.engines[refusing], self.now)
            self.notify(refusing)
        self.outcome.gave_up += 1

    def notify(self, name: str) -> None:
        """Announce a full engine to all boxes, if they exchange notices."""
        if self.notice_seconds is None or not pass_notices(self.notices, (name,), self.now):
            return
        self.at(self.now + self.notice_seconds, lambda: self.apply_notice(name))

    def apply_notice(self, name: str) -> None:
        """Apply a notice at all boxes."""
        for box in self.boxes:
            if name in box.engines:
                apply_full_notice(box.engines.values(), box.engines[name], self.now)

    def choose(self, box: SimulatedBox, excluded: set[str]) -> ChosenPath | None:
        """Choose a path as a gateway does."""
        request = PathRequest(
            prompt_tokens=PROMPT,
            answer_tokens=ANSWER,
            failure_domain=box.failure_domain,
            target_latency=TARGET_LATENCY,
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
        """Run a stream over a path; return the engine that refuses it, if any."""
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
        read = self.read_prompt(parts)
        self.outcome.reads.append(read)
        reserve(path, tokens)
        if self.counts_prompts:
            self.at(self.now + read, count_prompt(path, PROMPT))
        self.outcome.seconds.append(seconds)
        domains = path.domains
        self.outcome.remote += domains[0] != box.failure_domain
        pairs = zip(domains, domains[1:], strict=False)
        self.outcome.inter_domain_hops += sum(one != other for one, other in pairs)
        self.at(self.now + seconds, lambda: self.finish_stream(path, parts, tokens))
        return None

    def read_prompt(self, parts: list[tuple[SimulatedEngine, int]]) -> float:
        """Let the engines of a path read a prompt one after another; return how long it takes."""
        at = self.now
        for engine, layers in parts:
            card = self.profile.cards[engine.registration.card]
            read = PROMPT / self.profile.prefill_tokens_per_s * card.prefill_factor
            at = max(at, engine.read_until) + read * layers / self.profile.layers
            engine.read_until = at
        return at - self.now

    def stream_seconds(self, engine: SimulatedEngine, layers: int) -> float:
        """Return how long a stream takes on one engine under its current load."""
        card = self.profile.cards[engine.registration.card]
        step = (self.profile.step_ms + self.profile.step_ms_per_request * engine.running) / 1000.0
        read = PROMPT / self.profile.prefill_tokens_per_s * card.prefill_factor
        share = layers / self.profile.layers
        return share * (step * card.step_factor * ANSWER + read)

    def finish_stream(
        self, path: ChosenPath, parts: list[tuple[SimulatedEngine, int]], tokens: int
    ) -> None:
        """Finish a stream."""
        release(path, tokens)
        for engine, layers in parts:
            engine.running -= 1
            engine.kv_used -= tokens * layers
