"""Bounds, waiting times and release order of the wait queue."""

from __future__ import annotations

import random
from functools import partial

import pytest

from ledgeladder.routing.wait_queue import (
    MAX_WAIT_SHARE,
    WaitingRequest,
    WaitQueue,
    enqueue,
    next_request,
    prefill_seconds,
    remove_request,
    wait_deadline,
)

from .sample_site import PROFILE


def queue(max_requests: int = 10, max_bytes: int = 1000) -> WaitQueue:
    return WaitQueue(max_requests=max_requests, max_bytes=max_bytes)


def put(
    waiting: WaitQueue, *, size: int = 0, is_resumed: bool = False, rank: int = 1
) -> WaitingRequest | None:
    return enqueue(
        waiting, size=size, release_interval=lambda: 0.0, is_resumed=is_resumed, rank=lambda: rank
    )


def test_interrupted_streams_go_first_then_by_priority_then_by_arrival() -> None:
    waiting = queue()
    entered = {
        "late": put(waiting, rank=2),
        "usual": put(waiting),
        "urgent": put(waiting, rank=0),
        "cut": put(waiting, is_resumed=True, rank=2),
        "usual again": put(waiting),
    }
    names = {request.ticket: name for name, request in entered.items() if request}
    order = []
    while (request := next_request(waiting)) is not None:
        order.append(names[request.ticket])
        remove_request(waiting, request)
    assert order == ["cut", "urgent", "usual", "usual again", "late"]


def test_deadlines_order_requests_of_one_priority() -> None:
    """Load: requests of two priorities wait, of which the newest ones are due first."""
    waiting = queue()
    names = {}
    for name, rank, deadline in (("late", 1, 9.0), ("soon", 1, 5.0), ("urgent", 0, 99.0)):
        request = enqueue(
            waiting,
            size=0,
            release_interval=lambda: 0.0,
            is_resumed=False,
            rank=partial(int, rank),
            deadline=deadline,
        )
        assert request is not None
        names[request.ticket] = name
    order = []
    while (found := next_request(waiting)) is not None:
        order.append(names[found.ticket])
        remove_request(waiting, found)
    assert order == ["urgent", "soon", "late"]


def test_rank_is_evaluated_at_release() -> None:
    waiting = queue()
    ranks = {"a": 5, "b": 4}
    first = enqueue(
        waiting, size=0, release_interval=lambda: 0.0, is_resumed=False, rank=lambda: ranks["a"]
    )
    enqueue(
        waiting, size=0, release_interval=lambda: 0.0, is_resumed=False, rank=lambda: ranks["b"]
    )
    ranks["a"] = 0
    assert next_request(waiting) is first


def test_queue_is_bounded_in_number_and_bytes() -> None:
    waiting = queue(max_requests=2, max_bytes=100)
    assert put(waiting, size=60) is not None
    assert put(waiting, size=41) is None
    assert put(waiting, size=40) is not None
    assert put(waiting) is None
    assert put(queue(max_requests=0)) is None


def test_removing_twice_frees_space_once() -> None:
    """Guards against leaked entries, with requests removed in any order and twice."""
    rng = random.Random(7)
    waiting = queue(max_requests=50, max_bytes=5000)
    inside: list[WaitingRequest] = []
    for _ in range(5000):
        if inside and rng.random() < 0.5:
            request = inside.pop(rng.randrange(len(inside)))
            remove_request(waiting, request)
            remove_request(waiting, request)
        else:
            entered = put(waiting, size=rng.randrange(300))
            if entered is not None:
                inside.append(entered)
        assert waiting.queued_bytes == sum(item.size for item in inside) <= 5000
        assert len(waiting.waiting) == len(inside) <= 50


@pytest.mark.parametrize(
    ("timeout", "expected"),
    [(20.0, 100.7), (0.6, 100.0 + 0.6 * MAX_WAIT_SHARE), (0.0, 100.0), (None, 100.7)],
)
def test_request_waits_until_it_is_servable_or_half_its_timeout_has_passed(
    timeout: float | None, expected: float
) -> None:
    until = wait_deadline(arrived_at=100.0, timeout=timeout, served_at=100.7)
    assert until == pytest.approx(expected)


def test_request_does_not_wait_for_a_time_in_the_past() -> None:
    assert wait_deadline(arrived_at=100.0, timeout=20.0, served_at=99.0) < 100.0


def test_prefill_time_of_the_slowest_card() -> None:
    """The prefill time follows the slowest kind of card."""
    slowest = max(card.prefill_factor for card in PROFILE.cards.values())
    seconds = prefill_seconds(PROFILE, 700)
    assert seconds == pytest.approx(700 / PROFILE.prefill_tokens_per_s * slowest)
    assert prefill_seconds(PROFILE, 0) == 0.0
