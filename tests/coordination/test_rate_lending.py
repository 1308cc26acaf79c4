"""Grants under a rate that an upstream advertises must never exceed it in total.

Demand exceeds the rate at some boxes while voters restart, pause, answer late, are replaced and are
partitioned from boxes and from each other.
"""

from __future__ import annotations

import random
from collections import deque

import pytest

from ledgeladder.coordination.rate_lending import (
    BURST_SECONDS,
    RateLedger,
    charge_own_requests,
    grant_requests,
    mean_wait,
    record_requester,
)
from ledgeladder.coordination.rate_limit import (
    GRANT_TTL_SECONDS,
    LIMIT_TTL_SECONDS,
    RECOVERY_DOUBLING_SECONDS,
    RECOVERY_SECONDS,
    RateLimit,
)
from ledgeladder.routing.rate_grants import (
    REQUEST_INTERVAL_SECONDS,
    GrantedLimit,
    acquire_grants,
    add_grants,
    grants_to_request,
    split_evenly,
)

WINDOW_SECONDS = 4.0
"""Length of the windows in which requests are counted, in seconds."""

RUN_SECONDS = 40.0


def limit(rate: float) -> RateLimit:
    return RateLimit(rate=rate, advertised_at=0.0)


def unexpiring(rate: float) -> RateLimit:
    """Return a limit that does not expire."""
    return RateLimit(rate=rate, advertised_at=1e9)


class Simulation:
    """Boxes and voters in virtual time; each box requests grants once a second, as gateways do."""

    def __init__(self, seed: int, *, rate: float, boxes: int, voters: int) -> None:
        self.rng = random.Random(seed)
        self.rate, self.voters = rate, voters
        self.ledgers = [RateLedger(limit=unexpiring(rate), refilled_at=0.0) for _ in range(voters)]
        self.limits = [GrantedLimit(limit=unexpiring(rate)) for _ in range(boxes)]
        self.requested_at = [self.rng.uniform(-REQUEST_INTERVAL_SECONDS, 0.0) for _ in range(boxes)]
        self.replies: deque[tuple[float, int, float, int]] = deque()
        self.calls = 0
        self.sent: list[float] = []
        self.has_faults = False

    def step(self, now: float, callers: list[float]) -> None:
        """Simulate one moment.

        Args:
            now: Time, in seconds.
            callers: Probability that a caller arrives at each box now.
        """
        if self.has_faults:
            self.inject_faults(now)
        while self.replies and self.replies[0][0] <= now:
            _at, box, requested_at, count = self.replies.popleft()
            if now < requested_at + GRANT_TTL_SECONDS:
                add_grants(self.limits[box], count, requested_at + GRANT_TTL_SECONDS)
        for box, probability in enumerate(callers):
            if self.rng.random() >= probability:
                continue
            self.limits[box].demand += 1
            if acquire_grants([self.limits[box]], now):
                self.sent.append(now)
        for box, granted_limit in enumerate(self.limits):
            if granted_limit.demand and now - self.requested_at[box] >= REQUEST_INTERVAL_SECONDS:
                self.request_grants(box, now)

    def request_grants(self, box: int, now: float) -> None:
        self.requested_at[box] = now
        wanted = grants_to_request(self.limits[box])
        turn = self.calls
        for number, voter in enumerate(self.ledgers):
            share = split_evenly(wanted, (number + turn) % self.voters, self.voters)
            if share:
                self.calls += 1
                self.request_from_voter(voter, box, share, now)

    def request_from_voter(self, voter: RateLedger, box: int, share: int, now: float) -> None:
        if self.has_faults and self.rng.random() < 0.2:
            return  # Partition: the message is lost.
        count = grant_requests(voter, share, self.voters, now)
        delay = 2.5 if self.has_faults and self.rng.random() < 0.1 else 0.01
        self.replies.append((now + delay, box, now, count))
        self.replies = deque(sorted(self.replies))

    def inject_faults(self, now: float) -> None:
        if self.rng.random() < 0.01:
            self.ledgers[self.rng.randrange(self.voters)] = RateLedger(
                limit=unexpiring(self.rate), refilled_at=now
            )
        if self.rng.random() < 0.01:
            self.limits[self.rng.randrange(len(self.limits))] = GrantedLimit(
                limit=unexpiring(self.rate)
            )

    def run(self, callers: list[float], seconds: float = RUN_SECONDS) -> None:
        for number in range(int(seconds / 0.01)):
            self.step(number * 0.01, callers)

    def max_in_a_window(self) -> int:
        return max(
            (sum(at <= x < at + WINDOW_SECONDS for x in self.sent) for at in self.sent), default=0
        )


@pytest.mark.parametrize("rate", [0.2, 2.0, 2.4, 20.0, 200.0])
@pytest.mark.parametrize(("boxes", "voters"), [(8, 3), (66, 5), (195, 5)])
@pytest.mark.parametrize("seed", range(2))
def test_no_window_exceeds_the_rate(seed: int, rate: float, boxes: int, voters: int) -> None:
    simulation = Simulation(seed, rate=rate, boxes=boxes, voters=voters)
    simulation.has_faults = True
    simulation.run([0.2] * boxes, 20.0)
    assert (
        simulation.max_in_a_window()
        <= rate * (WINDOW_SECONDS + GRANT_TTL_SECONDS + BURST_SECONDS) + voters
    )
    assert simulation.max_in_a_window() <= 1.5 * rate * WINDOW_SECONDS + 5


@pytest.mark.parametrize("rate", [2.0, 20.0])
@pytest.mark.parametrize("boxes", [8, 66])
def test_grants_follow_demand(rate: float, boxes: int) -> None:
    """Callers at one box only must get most of the rate, of which an even share is too little."""
    simulation = Simulation(1, rate=rate, boxes=boxes, voters=3)
    simulation.run([1.0] + [0.0] * (boxes - 1))
    assert len(simulation.sent) >= 0.6 * rate * RUN_SECONDS
    assert rate / boxes * RUN_SECONDS < len(simulation.sent) / 2


def test_voter_starts_without_tokens() -> None:
    ledger = RateLedger(limit=unexpiring(3.0), refilled_at=10.0)
    assert grant_requests(ledger, 5, 3, 10.0) == 0
    assert grant_requests(ledger, 5, 3, 10.9) == 0
    assert grant_requests(ledger, 5, 3, 11.1) == 1


def test_bucket_holds_one_request_of_a_small_rate() -> None:
    ledger = RateLedger(limit=unexpiring(2.0), refilled_at=0.0)
    assert grant_requests(ledger, 5, 3, 100.0) == 1
    assert grant_requests(ledger, 5, 3, 100.1) == 0


def test_own_requests_reduce_later_grants() -> None:
    ledger = RateLedger(limit=unexpiring(3.0), refilled_at=0.0)
    charge_own_requests(ledger, 2, 3, 1.0)
    assert grant_requests(ledger, 1, 3, 2.0) == 0
    assert grant_requests(ledger, 1, 3, 3.1) == 1


def test_limit_of_zero_grants_again_after_it_expires() -> None:

    ledger = RateLedger(limit=limit(0.0), refilled_at=0.0)
    assert grant_requests(ledger, 5, 3, LIMIT_TTL_SECONDS - 0.1) == 0
    assert grant_requests(ledger, 5, 3, LIMIT_TTL_SECONDS + 0.1) == 0
    assert 1 <= grant_requests(ledger, 5, 3, LIMIT_TTL_SECONDS + 1.5) < 5


def test_grants_rise_after_the_limit_is_withdrawn_until_unlimited() -> None:
    ledger = RateLedger(
        limit=RateLimit(rate=2.0, advertised_at=0.0, withdrawn_at=10.0), refilled_at=10.0
    )
    granted = [
        grant_requests(ledger, 1000, 1, 10.0 + step * RECOVERY_DOUBLING_SECONDS)
        for step in range(1, 5)
    ]
    assert granted == sorted(granted)
    assert 0 < granted[0] < granted[-1] < 40
    assert grant_requests(ledger, 1000, 1, 10.0 + RECOVERY_SECONDS) == 1000


def test_mean_wait_grows_with_the_number_of_requesters() -> None:
    ledger = RateLedger(limit=unexpiring(2.0), refilled_at=0.0)
    for name in ("a", "b", "c", "d"):
        record_requester(ledger, name, 1.0)
    assert mean_wait(ledger, 1.0) == 2.0
    record_requester(ledger, "a", 9.0)
    assert mean_wait(ledger, 9.0) == 0.5
