"""Crashes in virtual time: what a request that ends its engines costs, and what innocent ones lose.

Boxes send streams to engines, which take time to begin and to run. One content ends each engine
that runs it; its caller sends it again and again, to any box. Engines may also end by chance. All
that runs on an engine that ends is cut and sent on to the best one, as the gateways do, until a
content is held. Which engine is the best is simplified: the fastest with the least to do. The book
of ends is the real one, and all boxes share it at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ledgeladder.coordination.crash_book import (
    CrashTable,
    clear_crashes,
    crash_count,
    record_crash,
)

from .virtual_time import VirtualTime

if TYPE_CHECKING:
    pass

BEGIN_SECONDS = (0.03, 0.15)
"""Time from the sending of a run to its first token, least and most."""

STREAM_SECONDS = 2.0
"""Mean time that a stream runs."""

CRASH_SECONDS = (0.035, 0.095)
"""Time from the first token of the content to blame to the end of its engine."""

BACK_SECONDS = 10.0
"""Time until an engine serves again."""

COME_BACK_SECONDS = (0.5, 8.0)
"""Time after which the content to blame comes again."""


@dataclass(kw_only=True)
class Stream:
    """One request."""

    content: bytes
    guilty: bool = False


@dataclass(kw_only=True)
class Outcome:
    """What became of everybody."""

    ended_by_content: int = 0
    """Engines that the content to blame ended."""

    cut: int = 0
    """Runs of innocent streams that were cut."""

    served: int = 0
    """Innocent streams that were served in the end."""

    held: int = 0
    """Innocent streams that were refused as one to blame."""

    unplaced: int = 0
    """Streams for which no engine was left."""


class CrashBed(VirtualTime):
    """Plays streams, crashes and what follows from them."""

    def __init__(
        self,
        *,
        limit: int,
        engines: int,
        streams_per_second: float,
        seed: int,
        guilty: bool = True,
        chance_crash_seconds: float = 0.0,
    ) -> None:
        super().__init__()
        self.limit = limit
        self.rng = random.Random(seed)
        self.running: dict[int, list[Stream]] = {number: [] for number in range(engines)}
        self.life: dict[int, int] = dict.fromkeys(range(engines), 0)
        self.book = CrashTable()
        self.held: set[bytes] = set()
        self.outcome = Outcome()
        self.rate = streams_per_second
        self.chance_crash_seconds = chance_crash_seconds
        self.at(0.0, self.arrive)
        if guilty:
            self.at(3.0, self.come)
        if chance_crash_seconds:
            self.at(3.0, self.crash_by_chance)

    def play(self, seconds: float) -> Outcome:
        """Play until a moment."""
        self.run_until(seconds)
        return self.outcome

    def arrive(self) -> None:
        """Begin an innocent stream."""
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        content = next(self.numbers).to_bytes(8, "big")
        self.send(Stream(content=content))

    def come(self) -> None:
        """Send the content to blame once more."""
        self.at(self.now + self.rng.uniform(*COME_BACK_SECONDS), self.come)
        self.send(Stream(content=b"guilty", guilty=True))

    def crash_by_chance(self) -> None:
        """End an engine for no reason."""
        self.at(self.now + self.chance_crash_seconds, self.crash_by_chance)
        if self.running:
            self.end_engine(self.rng.choice(list(self.running)))

    def send(self, stream: Stream) -> None:
        """Send a stream, or refuse it if its content is held."""
        if stream.content in self.held:
            self.outcome.held += not stream.guilty
            return
        self.run(stream)

    def run(self, stream: Stream) -> None:
        """Run a stream on an engine."""
        if not self.running:
            self.outcome.unplaced += 1
            return
        # The fast engines are the first fifth, and are taken while they have less to do.
        best = min(
            self.running,
            key=lambda name: (
                len(self.running[name]) / (5.0 if name % 5 == 0 else 1.0) + self.rng.random() * 0.3
            ),
        )
        self.running[best].append(stream)
        begin = self.rng.uniform(*BEGIN_SECONDS)
        life = self.life[best]
        if stream.guilty:
            after = begin + self.rng.uniform(*CRASH_SECONDS)
            self.at(self.now + after, lambda: self.crash(best, life))
        else:
            after = begin + self.rng.expovariate(1.0 / STREAM_SECONDS)
            self.at(self.now + after, lambda: self.complete(best, life, stream))

    def complete(self, name: int, life: int, stream: Stream) -> None:
        """End a stream that was served."""
        if self.life[name] != life:
            return
        self.running[name].remove(stream)
        self.outcome.served += 1
        clear_crashes(self.book, stream.content)

    def crash(self, name: int, life: int) -> None:
        """End an engine by the content to blame, unless it has ended meanwhile."""
        if self.life[name] == life:
            self.outcome.ended_by_content += 1
            self.end_engine(name)

    def end_engine(self, name: int) -> None:
        """Cut all that runs on an engine, note it, and send it on."""
        cut = self.running.pop(name)
        life = self.life[name]
        self.life[name] = -1
        instance = f"{name}-{life}"
        for stream in cut:
            self.outcome.cut += not stream.guilty
            record_crash(self.book, stream.content, instance)
            if crash_count(self.book, stream.content) >= self.limit:
                self.held.add(stream.content)
        for stream in cut:
            self.send(stream)

        def back() -> None:
            self.life[name] = life + 1
            self.running[name] = []

        self.at(self.now + BACK_SECONDS, back)
