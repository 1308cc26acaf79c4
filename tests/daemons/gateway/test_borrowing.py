"""Requests for retry quota are batched, and answered in bounded time."""

from __future__ import annotations

from functools import partial
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
import pytest

from ledgeladder.daemons.gateway import borrowing
from ledgeladder.daemons.gateway.borrowing import acquire_retry, handle_quota_reply
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.links.messages import RetryQuotaReply, RetryQuotaRequest
from ledgeladder.routing.repeat_window import Retry

from .builders import gateway_state

POOL = "engines"


class ControlBox:
    """A link to a control box that grants up to a given quota, or does not reply."""

    def __init__(self, quota: int | None) -> None:
        self.quota = quota
        self.requests: list[RetryQuotaRequest] = []
        self.replies: list[RetryQuotaReply] = []

    def post(self, message: RetryQuotaRequest) -> None:
        self.requests.append(message)
        if self.quota is not None:
            count = min(self.quota, message.count)
            self.replies.append(RetryQuotaReply(call=message.call, count=count))


def linked(*quota: int | None) -> tuple[GatewayState, list[ControlBox]]:
    """Return a box without retry quota, and its control boxes in the order of its requests."""
    state = gateway_state()
    boxes = [ControlBox(count) for count in quota]
    names = [f"10.0.0.{number}" for number in range(len(boxes))]
    peers: Any = SimpleNamespace(links=dict(zip(names, boxes, strict=True)), ranked=names)
    state.peers = peers
    return state, boxes


async def acquire_all(
    state: GatewayState, boxes: list[ControlBox], count: int, *, started: bool = True
) -> list[Retry | None]:
    """Acquire retries concurrently, while control boxes reply."""
    retries: list[Retry | None] = []

    async def acquire() -> None:
        retries.append(await acquire_retry(state, POOL, started=started))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(acquire)
        for _ in range(50):
            await anyio.sleep(0)
            for box in boxes:
                while box.replies:
                    handle_quota_reply(state, box.replies.pop(0))
    return retries


def granted(retries: list[Retry | None]) -> int:
    """Return how many requests got a retry from granted quota."""
    return sum(retry is not None and retry.quota_until is not None for retry in retries)


def test_concurrent_requests_share_one_quota_request() -> None:
    state, boxes = linked(20)
    assert granted(anyio.run(acquire_all, state, boxes, 6)) == 6
    assert [request.count for request in boxes[0].requests] == [6]


def test_missing_quota_is_requested_from_the_next_control_box() -> None:
    state, boxes = linked(0, 2, 4)
    assert granted(anyio.run(acquire_all, state, boxes, 5)) == 5
    assert [[request.count for request in box.requests] for box in boxes] == [[5], [5], [3]]


def test_no_more_retries_are_acquired_than_granted() -> None:
    state, boxes = linked(0, 2)
    assert granted(anyio.run(acquire_all, state, boxes, 5)) == 2


def test_no_quota_is_requested_for_a_while_after_a_denial() -> None:
    state, boxes = linked(0, 0)
    assert anyio.run(acquire_all, state, boxes, 1) == [None]
    assert anyio.run(acquire_all, state, boxes, 1) == [None]
    assert [len(box.requests) for box in boxes] == [1, 1]


def test_unresponsive_control_box_does_not_block_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(borrowing, "QUOTA_WAIT_SECONDS", 0.01)
    state, boxes = linked(None)
    assert anyio.run(acquire_all, state, boxes, 3) == [None, None, None]
    assert state.batched_quota_requests == {}
    monkeypatch.setattr(borrowing, "QUOTA_SECONDS", 0.0)
    handle_quota_reply(state, RetryQuotaReply(call=boxes[0].requests[0].call, count=4))
    assert anyio.run(acquire_all, state, boxes, 1) == [None]
    assert len(state.pending_quota_requests) == 1


def test_disconnecting_caller_does_not_block_the_quota_request_of_others() -> None:
    state, boxes = linked(4)

    async def run() -> list[Retry | None]:
        with anyio.CancelScope() as scope:
            scope.cancel()
            await acquire_retry(state, POOL)
        return await acquire_all(state, boxes, 2)

    assert granted(anyio.run(run)) == 2
    assert state.batched_quota_requests == {}


def test_box_without_links_is_denied_at_once() -> None:
    state = gateway_state()
    assert anyio.run(acquire_retry, state, POOL) is None


def run_new(state: GatewayState, boxes: list[ControlBox], count: int) -> list[Retry | None]:
    """Acquire retries for new requests."""
    return anyio.run(partial(acquire_all, started=False), state, boxes, count)


def test_begun_streams_may_ask_after_new_requests_were_denied() -> None:
    state, boxes = linked(0)
    state.contended = frozenset({POOL})
    assert run_new(state, boxes, 1) == [None]
    boxes[0].quota = 20
    assert granted(run_new(state, boxes, 1)) == 0
    assert granted(anyio.run(acquire_all, state, boxes, 2)) == 2
    assert [request.started for request in boxes[0].requests] == [False, True]


def test_new_requests_do_not_ask_after_begun_streams_were_denied() -> None:
    state, boxes = linked(0)
    state.contended = frozenset({POOL})
    assert anyio.run(acquire_all, state, boxes, 1) == [None]
    assert run_new(state, boxes, 1) == [None]
    assert len(boxes[0].requests) == 1


def test_retries_are_counted_by_purpose() -> None:
    state, boxes = linked(2)
    state.contended = frozenset({POOL})
    anyio.run(acquire_all, state, boxes, 3)
    run_new(state, boxes, 1)
    counters = state.metrics.counters
    assert counters["repeat-allowed-started"] == 2
    assert counters["repeat-refused-started"] == 1
    assert counters["repeat-allowed-new"] + counters["repeat-refused-new"] == 1
    assert counters["repeat-refused"] == 1 + counters["repeat-refused-new"]


def test_pools_without_priorities_keep_nothing() -> None:
    """Their new requests ask for the same quota as begun streams, in the same batch."""
    state, boxes = linked(20)
    assert granted(run_new(state, boxes, 3)) == 3
    assert granted(anyio.run(acquire_all, state, boxes, 3)) == 3
    assert [request.started for request in boxes[0].requests] == [True, True]


def test_control_boxes_of_an_earlier_version_read_the_request() -> None:
    class Earlier(msgspec.Struct, frozen=True, kw_only=True, tag="lend?", array_like=True):
        call: int
        pool: str
        count: int

    request = RetryQuotaRequest(call=1, pool=POOL, count=2, started=False)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(request), type=Earlier).count == 2
    earlier = msgspec.msgpack.encode(Earlier(call=1, pool=POOL, count=2))
    assert msgspec.msgpack.decode(earlier, type=RetryQuotaRequest).started
