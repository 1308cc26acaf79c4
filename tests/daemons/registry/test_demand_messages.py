"""Messages of demand from control boxes: to whom, how often, how large, and over versions."""

from __future__ import annotations

import random
from typing import Any

import anyio
import msgspec
import pytest

from ledgeladder.daemons.registry import peer_links
from ledgeladder.daemons.registry.demand_totals import forget_demand
from ledgeladder.links.frames import FRAME_LIMIT_BYTES, FrameBuffer, encode_frame
from ledgeladder.links.messages import (
    DemandReport,
    DemandShare,
    DemandTotals,
    PeerHint,
)
from ledgeladder.routing.demand_sums import (
    DEMAND_BYTES_PER_SECOND,
    MAX_DEMAND_BYTES,
    TOTAL_ACCOUNTS,
)
from ledgeladder.routing.load_sharing import LOAD_VALID_SECONDS, MAX_REPORT_SECONDS

from .demand_builders import (
    Recorder,
    control,
    many_reports,
    play,
    report,
    send,
)


def test_boxes_of_earlier_versions_are_sent_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """They would close a link on which a message of an unknown type arrives."""
    state = control()
    old_entry, entry = Recorder("e-old"), Recorder("e-new")
    old_control, new_control = Recorder("c-old"), Recorder("c-new")
    state.entry_links = {1: old_entry, 2: entry}
    state.peers.links = {"c-old": old_control, "c-new": new_control}
    state.peers.demand_readers = {"c-new"}
    play(monkeypatch, state, 5.0, lambda now: send(state, entry, report(100.0), now))
    assert not old_entry.posted
    assert not old_control.posted
    assert {type(message) for message in entry.posted} == {DemandTotals}
    assert {type(message) for message in new_control.posted} == {DemandShare}


def test_totals_end_when_an_entry_box_no_longer_reports(monkeypatch: pytest.MonkeyPatch) -> None:
    state, entry = control(), Recorder("e1")
    send(state, entry, report(100.0), 100.0)
    play(monkeypatch, state, 60.0)
    assert 1 <= len(entry.posted) <= (LOAD_VALID_SECONDS + 1) / MAX_REPORT_SECONDS


def test_control_box_without_reports_withdraws_its_share(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its entry boxes moved to other control boxes, which count them now."""
    state, other = control(), Recorder("c2")
    state.peers.links, state.peers.demand_readers = {"c2": other}, {"c2"}
    link = Recorder("e1")
    send(state, link, report(100.0), 100.0)

    def each_round(now: float) -> None:
        if now > 101.0:
            forget_demand(state, link)  # type: ignore[arg-type]

    play(monkeypatch, state, 3.0, each_round)
    shares = [message for message in other.posted if isinstance(message, DemandShare)]
    assert shares[0].entries == 1
    assert shares[-1] == DemandShare(domains={}, entries=0)


def test_quiet_totals_arrive_before_they_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    state, entry = control(), Recorder("e1")
    play(monkeypatch, state, 30.0, lambda now: send(state, entry, DemandReport(pools={}), now))
    assert len(entry.posted) >= 30.0 / LOAD_VALID_SECONDS * 2
    assert len(entry.posted) <= 30.0 / MAX_REPORT_SECONDS + 1


@pytest.mark.parametrize(("accounts", "pools"), [(40, 2), (5000, 2), (5000, 12)])
def test_messages_keep_to_the_bandwidth_with_many_accounts(
    monkeypatch: pytest.MonkeyPatch, accounts: int, pools: int
) -> None:
    state = control()
    entries = [Recorder(f"e{number}", domain="abcdef"[number % 6]) for number in range(70)]
    other = Recorder("c2")
    state.peers.links, state.peers.demand_readers = {"c2": other}, {"c2"}
    seeds = iter(range(10**6))
    links = random.Random(3)

    def each_round(now: float) -> None:
        reports = many_reports(next(seeds), len(entries), accounts, pools)
        for link, message in zip(entries, reports, strict=True):
            if links.random() < 0.8:
                send(state, link, message, now)

    play(monkeypatch, state, 20.0, each_round)
    allowed = 20.0 * DEMAND_BYTES_PER_SECOND + 2 * MAX_DEMAND_BYTES
    assert entries[0].bytes <= allowed
    assert other.bytes <= allowed
    assert len(entries[0].posted) >= 20.0 / LOAD_VALID_SECONDS
    for message in entries[0].posted:
        assert isinstance(message, DemandTotals)
        assert all(
            len(item.accounts) <= TOTAL_ACCOUNTS
            for demand in message.pools.values()
            for item in demand.classes.values()
        )
        assert pools * 3 == sum(len(demand.classes) for demand in message.pools.values())


def test_reports_are_taken_from_entry_boxes_and_shares_from_control_boxes() -> None:
    """An entry box that sent a share could claim the demand of others."""
    sums, link = DemandShare(domains={"a": report(7.0).pools}, entries=3), Recorder("b")
    for is_control in (False, True):
        state: Any = control()

        async def handle(state: Any = state, is_control: bool = is_control) -> None:
            for message in (report(5.0), sums):
                peer_links._handle_message(
                    state, None, link, message, is_control=is_control  # type: ignore[arg-type]
                )

        anyio.run(handle)
        assert len(state.demands) == (0 if is_control else 1)
        assert len(state.demand_shares) == (1 if is_control else 0)


class EarlierHint(msgspec.Struct, frozen=True, kw_only=True, tag="peers", array_like=True):
    """`PeerHint` as an earlier version knows it."""

    addresses: tuple[str, ...]
    domains: dict[str, str] = {}


def test_hints_pass_between_versions() -> None:
    hint = PeerHint(addresses=("10.0.0.1",), domains={"10.0.0.1": "a"}, reads_demand=True)
    earlier = msgspec.msgpack.decode(msgspec.msgpack.encode(hint), type=EarlierHint)
    assert earlier.domains == {"10.0.0.1": "a"}
    (received,) = FrameBuffer(limit=FRAME_LIMIT_BYTES).feed(
        encode_frame(earlier)  # type: ignore[arg-type]
    )
    assert received == PeerHint(addresses=("10.0.0.1",), domains={"10.0.0.1": "a"})
