"""A small loop of arrivals, decisions and completions, whose view of the room lags."""

from __future__ import annotations

import bisect
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

import msgspec

from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.admission_level import AdmissionLevel, decide
from ledgeladder.routing.admission_view import AdmissionView, SettledRoom, update_settled
from ledgeladder.routing.pool_room import PoolRoom

STEP_SECONDS: Final = 0.05
"""Duration of a step of the loop."""

DEMAND_WINDOW_SECONDS: Final = 1.0
"""Window of the demand figures."""

USUAL_TOKENS: Final = 1000.0
"""Tokens of a request of the usual size."""


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request that arrives at a constant rate."""

    priority: int
    rate: float
    """Requests per second."""

    account: str = "some"
    tokens: float = USUAL_TOKENS


class Outcome(msgspec.Struct, kw_only=True):
    """What became of the requests."""

    asked: Counter[Arrival] = msgspec.field(default_factory=Counter)
    admitted: Counter[Arrival] = msgspec.field(default_factory=Counter)
    running: list[float] = msgspec.field(default_factory=list)
    """Running requests of the usual size, by step."""

    admitted_by_step: list[Counter[int]] = msgspec.field(default_factory=list)
    """Admitted requests by priority, by step."""

    def ratio(self, *kinds: Arrival) -> float:
        """Return the admitted part of some kinds of requests."""
        return sum(self.admitted[item] for item in kinds) / max(
            1, sum(self.asked[item] for item in kinds)
        )


def run_loop(
    arrivals: Callable[[float], list[Arrival]],
    *,
    capacity: float,
    seconds: float,
    run_seconds: float = 3.0,
    lag: float = 1.0,
    target_latency: float = 0.5,
    seed: int = 1,
) -> Outcome:
    """Run requests against a room of some requests, with a view of `lag` seconds ago.

    Args:
        arrivals: Returns the kinds of requests that arrive at a time.
        capacity: Requests of the usual size that run at once.
        seconds: Duration of the run.
        run_seconds: Mean duration of a request; each takes from half of it to one and a half times.
        lag: Age of the view of the room.
        target_latency: Target latency of the route.
        seed: Seed of the draws.
    """
    rng = random.Random(seed)
    outcome = Outcome()
    levels: dict[int, AdmissionLevel] = {}
    ends: list[tuple[float, float]] = []
    recent: deque[tuple[float, Arrival, bool]] = deque()
    seen: deque[float] = deque([0.0] * max(1, round(lag / STEP_SECONDS)))
    settled = SettledRoom(at=0.0)
    running = 0.0
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        while ends and ends[0][0] <= now:
            running -= ends.pop(0)[1]
        while recent and recent[0][0] <= now - DEMAND_WINDOW_SECONDS:
            recent.popleft()
        known = seen.popleft()
        room = PoolRoom(free=max(0.0, capacity - known), capacity=capacity, in_flight=known)
        view = AdmissionView(
            room=room,
            demand=_demand(recent),
            demand_age=lag,
            horizon=lag + target_latency,
            settled=update_settled(settled, room, run_seconds, now),
            stream_seconds=run_seconds,
            usual_tokens=USUAL_TOKENS,
        )
        admitted_now: Counter[int] = Counter()
        for item in arrivals(now):
            for _ in range(_count(item.rate * STEP_SECONDS, rng)):
                decision = decide(
                    view,
                    levels.setdefault(item.priority, AdmissionLevel()),
                    priority=item.priority,
                    account=item.account,
                    draw=rng.random(),
                    now=now,
                )
                outcome.asked[item] += 1
                recent.append((now, item, decision.admitted))
                if decision.admitted:
                    outcome.admitted[item] += 1
                    admitted_now[item.priority] += 1
                    size = item.tokens / USUAL_TOKENS
                    running += size
                    bisect.insort(ends, (now + run_seconds * rng.uniform(0.5, 1.5), size))
        outcome.admitted_by_step.append(admitted_now)
        outcome.running.append(running)
        seen.append(running)
    return outcome


def _count(mean: float, rng: random.Random) -> int:
    """Return a whole number with a mean: the part after the point is drawn."""
    return int(mean) + (rng.random() < mean % 1.0)


def _demand(recent: deque[tuple[float, Arrival, bool]]) -> PoolDemand:
    asked: Counter[int] = Counter()
    admitted: Counter[int] = Counter()
    accounts: dict[int, Counter[str]] = {}
    for _at, item, is_admitted in recent:
        asked[item.priority] += 1
        admitted[item.priority] += is_admitted
        accounts.setdefault(item.priority, Counter())[item.account] += item.tokens
    return PoolDemand(
        classes={
            rank: ClassDemand(
                asked=count / DEMAND_WINDOW_SECONDS,
                admitted=admitted[rank] / DEMAND_WINDOW_SECONDS,
                tokens=sum(accounts[rank].values()) / DEMAND_WINDOW_SECONDS,
                accounts={
                    name: tokens / DEMAND_WINDOW_SECONDS
                    for name, tokens in accounts[rank].most_common(8)
                },
            )
            for rank, count in asked.items()
        }
    )
