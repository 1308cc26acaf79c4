"""Who waits at a box that starts, and who goes first once it can serve.

The load: all boxes lose their power for a second. 170 streams are cut, and their callers and those
whose time comes meanwhile, 85 a second, connect again to boxes that are not sure of their document
for 0.2 to 0.7 s. Callers have 20 s for a stream and 0.6 to 0.8 s for a plain request.
"""

from __future__ import annotations

import random

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


def queue(most_requests: int = 10, most_bytes: int = 1000) -> WaitQueue:
    return WaitQueue(max_requests=most_requests, max_bytes=most_bytes)


def put(
    held: WaitQueue, *, size: int = 0, is_resumed: bool = False, rank: int = 1
) -> WaitingRequest | None:
    return enqueue(
        held, size=size, release_interval=lambda: 0.0, is_resumed=is_resumed, rank=lambda: rank
    )


def test_cut_streams_go_first_then_the_urgent_then_who_came_first() -> None:
    held = queue()
    entered = {
        "late": put(held, rank=2),
        "usual": put(held),
        "urgent": put(held, rank=0),
        "cut": put(held, is_resumed=True, rank=2),
        "usual again": put(held),
    }
    names = {request.ticket: name for name, request in entered.items() if request}
    order = []
    while (request := next_request(held)) is not None:
        order.append(names[request.ticket])
        remove_request(held, request)
    assert order == ["cut", "urgent", "usual", "usual again", "late"]


def test_rank_is_asked_when_the_document_is_there() -> None:
    held = queue()
    ranks = {"a": 5, "b": 4}
    first = enqueue(
        held, size=0, release_interval=lambda: 0.0, is_resumed=False, rank=lambda: ranks["a"]
    )
    enqueue(held, size=0, release_interval=lambda: 0.0, is_resumed=False, rank=lambda: ranks["b"])
    ranks["a"] = 0
    assert next_request(held) is first


def test_what_waits_is_bounded_in_number_and_bytes() -> None:
    held = queue(most_requests=2, most_bytes=100)
    assert put(held, size=60) is not None
    assert put(held, size=41) is None
    assert put(held, size=40) is not None
    assert put(held) is None
    assert put(queue(most_requests=0)) is None


def test_whoever_leaves_makes_room_once() -> None:
    """Thousands of callers that come and leave, in any order, leave nothing behind."""
    rng = random.Random(7)
    held = queue(most_requests=50, most_bytes=5000)
    inside: list[WaitingRequest] = []
    for _ in range(5000):
        if inside and rng.random() < 0.5:
            request = inside.pop(rng.randrange(len(inside)))
            remove_request(held, request)
            remove_request(held, request)
        else:
            entered = put(held, size=rng.randrange(300))
            if entered is not None:
                inside.append(entered)
        assert held.queued_bytes == sum(item.size for item in inside) <= 5000
        assert len(held.waiting) == len(inside) <= 50


@pytest.mark.parametrize(
    ("patience", "expected"),
    [(20.0, 100.7), (0.6, 100.0 + 0.6 * MAX_WAIT_SHARE), (0.0, 100.0), (None, 100.7)],
)
def test_waits_until_the_box_is_up_or_half_of_the_time_is_over(
    patience: float | None, expected: float
) -> None:
    until = wait_deadline(arrived_at=100.0, timeout=patience, served_at=100.7)
    assert until == pytest.approx(expected)


def test_nobody_waits_for_a_box_that_should_have_been_up() -> None:
    assert wait_deadline(arrived_at=100.0, timeout=20.0, served_at=99.0) < 100.0


def test_release_adds_one_unread_prompt_of_a_box_at_a_time() -> None:
    """The slowest cards read 700 tokens in some tens of milliseconds, so 7 requests take 0.2 s."""
    slowest = max(card.prefill_factor for card in PROFILE.cards.values())
    seconds = prefill_seconds(PROFILE, 700)
    assert seconds == pytest.approx(700 / PROFILE.prefill_tokens_per_s * slowest)
    assert prefill_seconds(PROFILE, 0) == 0.0
