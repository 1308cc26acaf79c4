"""Simulates a request that crashes its engines, and its effect on other requests.

One request content crashes each engine that runs it, and its caller keeps retrying it at any box.
Engines may also crash at random. Streams on a crashed engine are retried on the best one, as by the
gateways, until their request content is quarantined. The choice of the engine is simplified; the
crash table is the real one, shared by all boxes without delay.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ledgeladder.coordination.crash_book import (
    CrashTable,
    clear_crashes,
    crash_count,
    record_crash,
)

from .virtual_time import VirtualTime

FIRST_TOKEN_SECONDS = (0.03, 0.15)
"""Minimum and maximum time from the start of an attempt to its first token."""

STREAM_SECONDS = 2.0
"""Mean duration of a stream after its first token."""

CRASH_SECONDS = (0.035, 0.095)
"""Minimum and maximum time from the first token of the crashing request to the crash."""

RESTART_SECONDS = 10.0
"""Time until a crashed engine serves again."""

RETRY_SECONDS = (0.5, 8.0)
"""Minimum and maximum time until the crashing request is retried."""


@dataclass(kw_only=True)
class Stream:
    """A streaming request."""

    fingerprint: bytes
    crashes_engine: bool = False
    parts: tuple[bytes, ...] = ()
    """Parts of its prompt."""
    answered: bool = False
    """Whether its current attempt has events."""


@dataclass(kw_only=True)
class Outcome:
    """Counts of what happened to engines and streams."""

    crashed_engines: int = 0
    """Engines that the crashing request crashed."""

    interrupted: int = 0
    """Attempts of innocent streams that a crash interrupted."""

    served: int = 0
    """Innocent streams that were served."""

    quarantined: int = 0
    """Innocent streams that were refused because their content was quarantined."""

    unplaced: int = 0
    """Streams for which no engine was running."""


class CrashSimulation(VirtualTime):
    """Simulates streams, crashes, retries and quarantine."""

    def __init__(
        self,
        *,
        limit: int,
        engines: int,
        streams_per_second: float,
        seed: int,
        crashes_engine: bool = True,
        random_crash_seconds: float = 0.0,
    ) -> None:
        super().__init__()
        self.limit = limit
        self.rng = random.Random(seed)
        self.running: dict[int, list[Stream]] = {number: [] for number in range(engines)}
        self.incarnations: dict[int, int] = dict.fromkeys(range(engines), 0)
        self.table = CrashTable()
        self.quarantined: set[bytes] = set()
        self.outcome = Outcome()
        self.rate = streams_per_second
        self.random_crash_seconds = random_crash_seconds
        self.at(0.0, self.arrive)
        if crashes_engine:
            self.at(3.0, self.send_crashing_request)
        if random_crash_seconds:
            self.at(3.0, self.crash_at_random)

    def simulate(self, seconds: float) -> Outcome:
        """Run the simulation up to a time and return the outcome."""
        self.run_until(seconds)
        return self.outcome

    def arrive(self) -> None:
        """Start an innocent stream."""
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        fingerprint = next(self.numbers).to_bytes(8, "big")
        self.send(Stream(fingerprint=fingerprint))

    def send_crashing_request(self) -> None:
        """Send the crashing request, and schedule its retry."""
        self.at(self.now + self.rng.uniform(*RETRY_SECONDS), self.send_crashing_request)
        self.send(Stream(fingerprint=b"guilty", crashes_engine=True))

    def crash_at_random(self) -> None:
        """Crash a random engine."""
        self.at(self.now + self.random_crash_seconds, self.crash_at_random)
        if self.running:
            self.crash_engine(self.rng.choice(list(self.running)))

    def send(self, stream: Stream) -> None:
        """Run a stream, or refuse it if its content is quarantined."""
        if stream.fingerprint in self.quarantined:
            self.outcome.quarantined += not stream.crashes_engine
            return
        self.run(stream)

    def run(self, stream: Stream) -> None:
        """Run a stream on the best engine."""
        if not self.running:
            self.outcome.unplaced += 1
            return
        # Every fifth engine is fast, and its load is weighted accordingly.
        best = min(
            self.running,
            key=lambda number: (
                len(self.running[number]) / (5.0 if number % 5 == 0 else 1.0)
                + self.rng.random() * 0.3
            ),
        )
        self.running[best].append(stream)
        first_token = self.rng.uniform(*FIRST_TOKEN_SECONDS)
        incarnation = self.incarnations[best]
        if stream.crashes_engine:
            delay = first_token + self.rng.uniform(*CRASH_SECONDS)
            self.at(self.now + delay, lambda: self.crash_by_request(best, incarnation))
        else:
            delay = first_token + self.rng.expovariate(1.0 / STREAM_SECONDS)
            self.at(self.now + delay, lambda: self.complete(best, incarnation, stream))

    def complete(self, number: int, incarnation: int, stream: Stream) -> None:
        """Complete a stream, unless its engine has crashed meanwhile."""
        if self.incarnations[number] != incarnation:
            return
        self.running[number].remove(stream)
        self.outcome.served += 1
        clear_crashes(self.table, stream.fingerprint)

    def crash_by_request(self, number: int, incarnation: int) -> None:
        """Crash an engine by the crashing request, unless it has crashed meanwhile."""
        if self.incarnations[number] == incarnation:
            self.outcome.crashed_engines += 1
            self.crash_engine(number)

    def crash_engine(self, number: int) -> None:
        """Crash an engine, record the crash for its streams, and retry them."""
        interrupted = self.running.pop(number)
        incarnation = self.incarnations[number]
        self.incarnations[number] = -1
        instance = f"{number}-{incarnation}"
        for stream in interrupted:
            self.outcome.interrupted += not stream.crashes_engine
            record_crash(self.table, stream.fingerprint, instance)
            if crash_count(self.table, stream.fingerprint) >= self.limit:
                self.quarantined.add(stream.fingerprint)
        for stream in interrupted:
            self.send(stream)

        def restart() -> None:
            self.incarnations[number] = incarnation + 1
            self.running[number] = []

        self.at(self.now + RESTART_SECONDS, restart)
