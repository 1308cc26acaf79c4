"""Continuous batching: whatever waits when a step starts shares it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio


@dataclass(kw_only=True)
class Speed:
    """How long an engine takes."""

    layer_seconds: float
    """One layer for a batch of one."""

    batch_factor: float = 0.05
    """Further requests in the batch cost this share of the first."""

    replay_factor: float = 0.05
    """A replayed position costs this share of a new one."""

    slow_factor: float = 1.0
    """Multiplies everything; raised by tests that make an engine slow in silence."""


@dataclass(kw_only=True)
class Batcher:
    """Work of one engine."""

    speed: Speed
    batch_limit: int = 64
    waiting: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    wake: anyio.Event = field(default_factory=anyio.Event)
    steps: int = 0
    busy_seconds: float = 0.0

    def submit(self, *, layers: int, positions: int, done: Callable[[], None]) -> None:
        """Queue work; `done` is called once its step is over."""
        replayed = (positions - 1) * self.speed.replay_factor
        self.waiting.append((layers * (1 + replayed), done))
        self.wake.set()

    async def run(self) -> None:
        """Run steps for ever."""
        free_at = 0.0
        while True:
            if not self.waiting:
                self.wake = anyio.Event()
                await self.wake.wait()
            batch = self.waiting[: self.batch_limit]
            del self.waiting[: self.batch_limit]
            seconds = self._duration([cost for cost, _ in batch])
            # Sleeping until an absolute time keeps the timer's grain from adding up.
            now = anyio.current_time()
            free_at = max(free_at, now) + seconds
            self.steps += 1
            self.busy_seconds += seconds
            await anyio.sleep(free_at - now)
            for _, done in batch:
                done()

    def _duration(self, costs: list[float]) -> float:
        longest = max(costs)
        shared = sum(costs) - longest
        speed = self.speed
        return speed.layer_seconds * speed.slow_factor * (longest + shared * speed.batch_factor)
