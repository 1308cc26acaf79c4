"""Asking control boxes for repeats: one question at a time, and a true answer in bounded time."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.gateway import retry_quota
from ledgeladder.daemons.gateway.retry_quota import acquire_retry, handle_quota_reply
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.links.messages import LoanReply, LoanRequest
from ledgeladder.routing.repeat_window import Repeat

from .builders import gateway_state

POOL = "engines"


class ControlBox:
    """A link to a control box that lends what it is told to, or says nothing."""

    def __init__(self, lends: int | None) -> None:
        self.lends = lends
        self.asked: list[LoanRequest] = []
        self.replies: list[LoanReply] = []

    def post(self, message: LoanRequest) -> None:
        self.asked.append(message)
        if self.lends is not None:
            count = min(self.lends, message.count)
            self.replies.append(LoanReply(call=message.call, count=count))


def linked(*lends: int | None) -> tuple[GatewayState, list[ControlBox]]:
    """Return a box without repeats of its own, and the control boxes that it asks in this order."""
    state = gateway_state()
    boxes = [ControlBox(count) for count in lends]
    names = [f"10.0.0.{number}" for number in range(len(boxes))]
    peers: Any = SimpleNamespace(links=dict(zip(names, boxes, strict=True)), ranked=names)
    state.peers = peers
    return state, boxes


async def spend_all(
    state: GatewayState, boxes: list[ControlBox], count: int
) -> list[Repeat | None]:
    """Spend repeats side by side, while control boxes answer."""
    sources: list[Repeat | None] = []

    async def spend() -> None:
        sources.append(await acquire_retry(state, POOL))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(spend)
        for _ in range(50):
            await anyio.sleep(0)
            for box in boxes:
                while box.replies:
                    handle_quota_reply(state, box.replies.pop(0))
    return sources


def lent(sources: list[Repeat | None]) -> int:
    """Return how many requests got a repeat that was lent."""
    return sum(repeat is not None and repeat.lent_until is not None for repeat in sources)


def test_streams_that_are_cut_together_ask_once_for_as_many() -> None:
    state, boxes = linked(20)
    assert lent(anyio.run(spend_all, state, boxes, 6)) == 6
    assert [request.count for request in boxes[0].asked] == [6]


def test_next_control_box_is_asked_for_what_the_first_does_not_lend() -> None:
    state, boxes = linked(0, 2, 4)
    assert lent(anyio.run(spend_all, state, boxes, 5)) == 5
    assert [[request.count for request in box.asked] for box in boxes] == [[5], [5], [3]]


def test_what_nobody_lends_is_not_spent() -> None:
    state, boxes = linked(0, 2)
    assert lent(anyio.run(spend_all, state, boxes, 5)) == 2


def test_nothing_is_asked_for_a_while_after_nothing_was_lent() -> None:
    state, boxes = linked(0, 0)
    assert anyio.run(spend_all, state, boxes, 1) == [None]
    assert anyio.run(spend_all, state, boxes, 1) == [None]
    assert [len(box.asked) for box in boxes] == [1, 1]


def test_silent_control_box_holds_nobody_up_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(retry_quota, "QUOTA_WAIT_SECONDS", 0.01)
    state, boxes = linked(None)
    assert anyio.run(spend_all, state, boxes, 3) == [None, None, None]
    assert state.batched_quota_requests == {}
    monkeypatch.setattr(retry_quota, "LOAN_SECONDS", 0.0)
    handle_quota_reply(state, LoanReply(call=boxes[0].asked[0].call, count=4))
    assert anyio.run(spend_all, state, boxes, 1) == [None]
    assert len(state.pending_quota_requests) == 1


def test_caller_that_leaves_does_not_keep_others_from_asking() -> None:
    state, boxes = linked(4)

    async def run() -> list[Repeat | None]:
        with anyio.CancelScope() as scope:
            scope.cancel()
            await acquire_retry(state, POOL)
        return await spend_all(state, boxes, 2)

    assert lent(anyio.run(run)) == 2
    assert state.batched_quota_requests == {}


def test_box_without_links_refuses_at_once() -> None:
    state = gateway_state()
    assert anyio.run(acquire_retry, state, POOL) is None
