"""Admission limits, queue order, and refusals with a retry time."""

from __future__ import annotations

import random

from ledgeladder.model import ClientAccount, ResultCode
from ledgeladder.routing.admission import Admission, Ticket, finish, submit


def account(name: str = "a", rate: float = 1000.0, concurrency: int = 1000) -> ClientAccount:
    return ClientAccount(name=name, key_sha256="0" * 64, rate=rate, concurrency=concurrency)


def ticket(name: str = "a", rank: int = 50, deadline: float = 1e9) -> Ticket:
    return Ticket(account=name, rank=rank, deadline=deadline)


def test_rate_is_shared_over_boxes() -> None:
    admission = Admission(in_flight_limit=10**6, queue_limit=0, boxes=8)
    accepted = 0
    for step in range(10_000):
        now = step / 1000
        accepted += submit(admission, account(rate=80.0), ticket(), now) is None
    assert 90 <= accepted <= 120
    refused = submit(admission, account(rate=80.0), ticket(), 10.0)
    assert refused is not None
    assert refused.code is ResultCode.RATE_EXCEEDED
    assert refused.retry_after is not None
    assert 0 < refused.retry_after <= 0.1


def test_concurrency_is_shared_over_boxes() -> None:
    admission = Admission(in_flight_limit=100, queue_limit=10, boxes=4)
    results = [submit(admission, account(concurrency=8), ticket(), n / 10) for n in range(3)]
    assert results[:2] == [None, None]
    assert results[2] is not None
    assert results[2].code is ResultCode.CONCURRENCY_EXCEEDED


def test_priority_then_fairness_then_deadline() -> None:
    admission = Admission(in_flight_limit=1, queue_limit=10, mean_seconds=0.01)
    running = ticket("big")
    submit(admission, account("big"), running, 0.0)
    waiting = [
        ticket("big", 50, 100.0),
        ticket("big", 50, 90.0),
        ticket("small", 50, 200.0),
        ticket("big", 0, 300.0),
    ]
    for item in waiting:
        assert submit(admission, account(item.account), item, 1.0) is None
    order = []
    current = running
    while True:
        released = finish(admission, current, 2.0)
        if not released:
            break
        current = released[0]
        order.append(waiting.index(current))
    assert order == [3, 1, 0, 2]
    assert admission.in_flight == 0


def test_large_account_does_not_starve_a_small_one() -> None:
    admission = Admission(in_flight_limit=4, queue_limit=20, mean_seconds=0.01)
    running = [ticket("big") for _ in range(4)]
    for item in running:
        submit(admission, account("big"), item, 0.0)
    waiting = [ticket("big", deadline=10.0) for _ in range(10)]
    for item in waiting:
        submit(admission, account("big"), item, 1.0)
    small = ticket("small", deadline=1000.0)
    submit(admission, account("small"), small, 2.0)
    assert finish(admission, running[0], 3.0) == [small]


def test_requests_that_miss_their_deadline_are_refused_with_a_retry_time() -> None:
    admission = Admission(in_flight_limit=1, queue_limit=2, mean_seconds=2.0)
    submit(admission, account(), ticket(), 0.0)
    unreachable = submit(admission, account(), ticket(deadline=1.0), 0.0)
    assert unreachable is not None
    assert unreachable.code is ResultCode.DEADLINE_UNREACHABLE
    for _ in range(2):
        assert submit(admission, account(), ticket(), 0.5) is None
    full = submit(admission, account(), ticket(), 0.5)
    assert full is not None
    assert full.code is ResultCode.QUEUE_FULL
    assert full.retry_after


def test_random_histories_leak_no_slots() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        admission = Admission(in_flight_limit=3, queue_limit=5, mean_seconds=0.1)
        open_tickets: list[Ticket] = []
        for step in range(200):
            if rng.random() < 0.6:
                item = ticket(rng.choice("abc"), rng.choice([0, 50]), step + 100.0)
                if submit(admission, account(item.account), item, float(step)) is None:
                    open_tickets.append(item)
            elif open_tickets:
                finish(admission, open_tickets.pop(rng.randrange(len(open_tickets))), step + 0.5)
            assert admission.in_flight <= 3
            assert admission.in_flight == sum(item.admitted for item in open_tickets)
            assert len(admission.waiting) <= 5
        for item in open_tickets:
            finish(admission, item, 1000.0)
        assert admission.in_flight == 0
        assert not admission.waiting
        assert all(use.in_flight == 0 for use in admission.accounts.values())
