"""A control box's part in limits of upstreams: news, and requests that are lent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio

from ledgeladder.coordination.rate_limit import ReportedLimit
from ledgeladder.daemons.rate_lender import (
    NEWS_SECONDS,
    TELL_SECONDS,
    RateLender,
    answer_grants,
    keep_telling_limits,
    note_own_calls,
    take_limits,
)
from ledgeladder.links.messages import GrantReply, GrantRequest, RateLimitNews

RATE = 30.0


class Lender:
    """A control box that keeps what it tells."""

    def __init__(self) -> None:
        self.entries: list[Any] = []
        self.peers: list[Any] = []
        self.sure = True
        self.lender = RateLender(
            parts=lambda: 3,
            may_lend=lambda: self.sure,
            tell_entries=self.entries.append,
            tell_peers=self.peers.append,
        )

    def ask(self, count: int, rate: float = RATE) -> GrantReply:
        replies: list[GrantReply] = []
        link: Any = SimpleNamespace(peer_box="10.0.0.1", post=replies.append)
        request = GrantRequest(call=1, counts={"i": count}, limits={"i": told(rate)})
        answer_grants(self.lender, link, request)
        return replies[0]


def told(rate: float = RATE, age: float = 0.0, ended: float | None = None) -> ReportedLimit:
    return ReportedLimit(rate=rate, advertised_age=age, withdrawn_age=ended)


def test_news_of_an_entry_box_goes_to_all_once() -> None:
    async def play() -> None:
        box = Lender()
        take_limits(box.lender, {"i": told()}, to_peers=True)
        take_limits(box.lender, {"i": told()}, to_peers=True)
        assert len(box.entries) == len(box.peers) == 1
        assert isinstance(box.entries[0], RateLimitNews)
        await anyio.sleep(NEWS_SECONDS)
        take_limits(box.lender, {"i": told(age=NEWS_SECONDS, ended=0.0)}, to_peers=False)
        assert (len(box.entries), len(box.peers)) == (2, 1)

    anyio.run(play)


def test_upstream_that_names_another_figure_each_time_costs_a_bounded_number_of_messages() -> None:
    """The pattern: hundreds of boxes tell what they heard, each another figure."""

    async def play() -> None:
        box = Lender()
        for rate in range(1, 200):
            take_limits(box.lender, {"i": told(float(rate))}, to_peers=True)
        assert len(box.entries) == len(box.peers) == 1
        assert box.lender.books["i"].limit.rate == 199.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_telling_limits, box.lender)
            await anyio.sleep(TELL_SECONDS + 0.1)
            tasks.cancel_scope.cancel()
        assert len(box.entries) == len(box.peers) == 2

    anyio.run(play)


def test_part_of_a_voter_is_lent_and_no_more() -> None:
    async def play() -> None:
        box = Lender()
        assert box.ask(100).grants["i"].count == 0
        await anyio.sleep(0.25)
        lent = box.ask(100).grants["i"].count
        assert 2 <= lent <= RATE / 3
        assert box.ask(100).grants["i"].count == 0

    anyio.run(play)


def test_box_that_is_not_sure_to_be_a_voter_lends_and_saves_nothing() -> None:
    async def play() -> None:
        box = Lender()
        box.ask(1)
        await anyio.sleep(0.25)
        box.sure = False
        assert box.ask(1).grants == {}
        box.sure = True
        assert box.ask(1).grants["i"].count == 0
        await anyio.sleep(0.25)
        assert box.ask(1).grants["i"].count == 1

    anyio.run(play)


def test_own_calls_leave_nothing_to_lend() -> None:
    async def play() -> None:
        box = Lender()
        box.ask(1)
        await anyio.sleep(0.25)
        note_own_calls(box.lender, "i", 30)
        assert box.ask(1).grants["i"].count == 0
        note_own_calls(box.lender, "unknown", 1)

    anyio.run(play)
