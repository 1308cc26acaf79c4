"""Continuous batching: all work queued when a step starts runs in that step."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio


@dataclass(kw_only=True)
class Speed:
    """Parameters of the time that an engine takes for a step."""

    layer_seconds: float
    """Time of one layer for a batch of one."""

    batch_factor: float = 0.05
    """Cost of each further request of a batch, as a fraction of the first."""

    replay_factor: float = 0.05
    """Cost of a replayed position, as a fraction of a new one."""

    slow_factor: float = 1.0
    """Multiplier of the whole step time; tests raise it to slow an engine down unannounced."""


@dataclass(kw_only=True)
class Batcher:
    """Work queue of one engine."""

    speed: Speed
    batch_limit: int = 64
    queue: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    work_queued: anyio.Event = field(default_factory=anyio.Event)
    steps: int = 0
    busy_seconds: float = 0.0

    def submit(self, *, layers: int, positions: int, done: Callable[[], None]) -> None:
        """Queue work; `done` is called when its step completes."""
        replayed = (positions - 1) * self.speed.replay_factor
        self.queue.append((layers * (1 + replayed), done))
        self.work_queued.set()

    async def run(self) -> None:
        """Run steps until cancelled."""
        free_at = 0.0
        while True:
            if not self.queue:
                self.work_queued = anyio.Event()
                await self.work_queued.wait()
            batch = self.queue[: self.batch_limit]
            del self.queue[: self.batch_limit]
            seconds = self._step_seconds([cost for cost, _ in batch])
            # Sleeps until an absolute time, so timer rounding does not accumulate.
            now = anyio.current_time()
            free_at = max(free_at, now) + seconds
            self.steps += 1
            self.busy_seconds += seconds
            await anyio.sleep(free_at - now)
            for _, done in batch:
                done()

    def _step_seconds(self, costs: list[float]) -> float:
        largest = max(costs)
        remaining = sum(costs) - largest
        speed = self.speed
        return speed.layer_seconds * speed.slow_factor * (largest + remaining * speed.batch_factor)
