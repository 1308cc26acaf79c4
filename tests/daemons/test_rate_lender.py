"""Rate limit updates and rate grants of a control box."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio

from ledgeladder.coordination.rate_limit import ReportedLimit
from ledgeladder.daemons.rate_lender import (
    BROADCAST_INTERVAL_SECONDS,
    MIN_UPDATE_INTERVAL_SECONDS,
    RateGranter,
    apply_limits,
    handle_grant_request,
    record_own_calls,
    run_limit_broadcasts,
)
from ledgeladder.links.messages import GrantReply, GrantRequest, RateLimitUpdate

RATE = 30.0


class ControlBox:
    """A control box that records its broadcasts."""

    def __init__(self) -> None:
        self.entries: list[Any] = []
        self.peers: list[Any] = []
        self.may_grant = True
        self.granter = RateGranter(
            parts=lambda: 3,
            may_grant=lambda: self.may_grant,
            broadcast_to_entries=self.entries.append,
            broadcast_to_peers=self.peers.append,
        )

    def request(self, count: int, rate: float = RATE) -> GrantReply:
        replies: list[GrantReply] = []
        link: Any = SimpleNamespace(peer_box="10.0.0.1", post=replies.append)
        request = GrantRequest(call=1, counts={"i": count}, limits={"i": reported(rate)})
        handle_grant_request(self.granter, link, request)
        return replies[0]


def reported(
    rate: float = RATE, advertised_age: float = 0.0, withdrawn_age: float | None = None
) -> ReportedLimit:
    return ReportedLimit(rate=rate, advertised_age=advertised_age, withdrawn_age=withdrawn_age)


def test_reported_limit_is_broadcast_once() -> None:
    async def run() -> None:
        box = ControlBox()
        apply_limits(box.granter, {"i": reported()}, to_peers=True)
        apply_limits(box.granter, {"i": reported()}, to_peers=True)
        assert len(box.entries) == len(box.peers) == 1
        assert isinstance(box.entries[0], RateLimitUpdate)
        await anyio.sleep(MIN_UPDATE_INTERVAL_SECONDS)
        apply_limits(
            box.granter,
            {"i": reported(advertised_age=MIN_UPDATE_INTERVAL_SECONDS, withdrawn_age=0.0)},
            to_peers=False,
        )
        assert (len(box.entries), len(box.peers)) == (2, 1)

    anyio.run(run)


def test_changing_rate_causes_a_bounded_number_of_messages() -> None:
    """Guards against a broadcast for each of many reports with different rates."""

    async def run() -> None:
        box = ControlBox()
        for rate in range(1, 200):
            apply_limits(box.granter, {"i": reported(float(rate))}, to_peers=True)
        assert len(box.entries) == len(box.peers) == 1
        assert box.granter.ledgers["i"].limit.rate == 199.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_limit_broadcasts, box.granter)
            await anyio.sleep(BROADCAST_INTERVAL_SECONDS + 0.1)
            tasks.cancel_scope.cancel()
        assert len(box.entries) == len(box.peers) == 2

    anyio.run(run)


def test_voter_grants_no_more_than_its_part() -> None:
    async def run() -> None:
        box = ControlBox()
        assert box.request(100).grants["i"].count == 0
        await anyio.sleep(0.25)
        granted = box.request(100).grants["i"].count
        assert 2 <= granted <= RATE / 3
        assert box.request(100).grants["i"].count == 0

    anyio.run(run)


def test_box_that_may_not_grant_accumulates_no_tokens() -> None:
    async def run() -> None:
        box = ControlBox()
        box.request(1)
        await anyio.sleep(0.25)
        box.may_grant = False
        assert box.request(1).grants == {}
        box.may_grant = True
        assert box.request(1).grants["i"].count == 0
        await anyio.sleep(0.25)
        assert box.request(1).grants["i"].count == 1

    anyio.run(run)


def test_own_calls_reduce_grants() -> None:
    async def run() -> None:
        box = ControlBox()
        box.request(1)
        await anyio.sleep(0.25)
        record_own_calls(box.granter, "i", 30)
        assert box.request(1).grants["i"].count == 0
        record_own_calls(box.granter, "unknown", 1)

    anyio.run(run)
