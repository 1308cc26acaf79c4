"""Sums of demand at control boxes under lost, late, doubled and moved reports and restarts."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
import pytest

from ledgeladder.daemons.registry import demand_totals, peer_links
from ledgeladder.daemons.registry.demand_totals import (
    broadcast_demand,
    build_demand_share,
    build_demand_totals,
    demand_gauges,
    domain_demand,
    drop_expired_demand,
    forget_demand,
    record_demand_report,
    record_demand_share,
)
from ledgeladder.links.frames import FRAME_LIMIT_BYTES, FrameBuffer, encode_frame
from ledgeladder.links.messages import (
    DemandReport,
    DemandShare,
    DemandTotals,
    LinkMessage,
    PeerHint,
)
from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.routing.demand_sums import (
    DEMAND_BYTES_PER_SECOND,
    MAX_DEMAND_BYTES,
    REPORT_ACCOUNTS,
    TOTAL_ACCOUNTS,
    sum_pools,
)
from ledgeladder.routing.load_sharing import LOAD_VALID_SECONDS, MAX_REPORT_SECONDS

EXPIRED = LOAD_VALID_SECONDS + 0.01


class Recorder:
    """A link that records the posted messages."""

    def __init__(self, box: str, instance: str = "", domain: str = "a") -> None:
        self.peer_box = box
        self.peer = SimpleNamespace(instance=instance or box, failure_domain=domain)
        self.posted: list[LinkMessage] = []
        self.bytes = 0

    def post_frame(self, frame: bytes) -> None:
        self.posted.extend(FrameBuffer(limit=FRAME_LIMIT_BYTES).feed(frame))
        self.bytes += len(frame)


def control() -> Any:
    return SimpleNamespace(
        demands={},
        demand_shares={},
        loads={},
        shares={},
        peers=SimpleNamespace(known={}, links={}, demand_readers=set()),
    )


def report(tokens: float, account: str = "x", pool: str = "p") -> DemandReport:
    item = ClassDemand(asked=1.0, admitted=1.0, tokens=tokens, accounts={account: tokens})
    return DemandReport(pools={pool: PoolDemand(classes={0: item})})


def send(state: Any, link: Recorder, message: DemandReport, now: float) -> None:
    record_demand_report(state, link, message, now)  # type: ignore[arg-type]


def share(source: Any, link: Recorder, target: Any, now: float) -> None:
    message, _size = build_demand_share(source)
    record_demand_share(target, link, message, now)  # type: ignore[arg-type]


def tokens_in(state: Any, now: float) -> float:
    drop_expired_demand(state, now)
    totals, _size = build_demand_totals(state)
    return sum(item.tokens for demand in totals.pools.values() for item in demand.classes.values())


def play(
    monkeypatch: pytest.MonkeyPatch, state: Any, seconds: float, each_round: Any = lambda now: None
) -> None:
    """Run the broadcasts of a control box in virtual time."""
    clock = [100.0]

    async def sleep(step: float) -> None:
        clock[0] += step
        if clock[0] > 100.0 + seconds:
            raise TimeoutError
        each_round(clock[0])

    monkeypatch.setattr(demand_totals.anyio, "current_time", lambda: clock[0])
    monkeypatch.setattr(demand_totals.anyio, "sleep", sleep)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await broadcast_demand(state)

    anyio.run(run)


def test_lost_report_leaves_the_one_before_until_it_expires() -> None:
    state, link = control(), Recorder("e1")
    send(state, link, report(100.0), 0.0)
    assert tokens_in(state, LOAD_VALID_SECONDS) == 100.0
    assert tokens_in(state, EXPIRED) == 0.0
    assert not state.demands


def test_doubled_reports_count_once_also_over_two_links() -> None:
    """A box whose link was replaced still has the old one until that is found inactive."""
    state, old, new = control(), Recorder("e1"), Recorder("e1")
    for _ in range(3):
        send(state, old, report(100.0), 0.0)
    send(state, new, report(60.0), 0.5)
    assert tokens_in(state, 0.5) == 60.0
    forget_demand(state, old)  # type: ignore[arg-type]
    assert tokens_in(state, 0.5) == 60.0
    forget_demand(state, new)  # type: ignore[arg-type]
    assert tokens_in(state, 0.5) == 0.0


def test_doubled_and_late_shares_count_once() -> None:
    here, there = control(), control()
    link = Recorder("c2")
    send(there, Recorder("e1"), report(100.0), 0.0)
    share(there, link, here, 0.0)
    share(there, link, here, 0.1)
    # The other control box connects again; its previous link closes later.
    again = Recorder("c2")
    share(there, again, here, 0.2)
    forget_demand(here, link)  # type: ignore[arg-type]
    assert tokens_in(here, 0.2) == 100.0
    assert tokens_in(here, 0.2 + EXPIRED) == 0.0


def test_entry_box_that_moves_is_counted_once_after_a_withdrawal() -> None:
    old, new = control(), control()
    old_link, new_link = Recorder("e1"), Recorder("e1")
    send(old, old_link, report(100.0), 0.0)
    send(new, new_link, report(100.0), 0.5)
    send(old, old_link, DemandReport(pools={}), 0.5)
    share(old, Recorder("c-old"), new, 0.6)
    share(new, Recorder("c-new"), old, 0.6)
    assert tokens_in(old, 0.6) == tokens_in(new, 0.6) == 100.0


def test_entry_box_that_moves_without_a_withdrawal_counts_twice_for_a_bounded_time() -> None:
    """Its link to the old control box has failed but is not yet closed there."""
    old, new = control(), control()
    old_link, new_link, between = Recorder("e1"), Recorder("e1"), Recorder("c-old")
    send(old, old_link, report(100.0), 0.0)
    bound = LOAD_VALID_SECONDS + MAX_REPORT_SECONDS
    step = 0.25
    doubled_until = 0.0
    next_share = 0.0
    for number in range(1, 40):
        now = number * step
        send(new, new_link, report(100.0), now)
        drop_expired_demand(old, now)
        if now >= next_share:
            share(old, between, new, now)
            next_share = now + MAX_REPORT_SECONDS
        if tokens_in(new, now) > 100.0:
            doubled_until = now
    assert 0.0 < doubled_until <= bound
    assert tokens_in(new, 10.0) == 100.0


def test_restarted_control_box_has_the_sums_after_one_round() -> None:
    others, entries = control(), [Recorder(f"e{number}") for number in range(6)]
    for link in entries[3:]:
        send(others, link, report(10.0), 0.0)
    restarted = control()
    assert build_demand_totals(restarted)[0] == DemandTotals(pools={}, entries=0)
    for link in entries[:3]:
        send(restarted, link, report(10.0), 0.2)
    share(others, Recorder("c2"), restarted, 0.2)
    totals, _size = build_demand_totals(restarted)
    assert totals.entries == 6
    assert tokens_in(restarted, 0.2) == 60.0
    # The others saw its link close and drop its share until the next one.
    gone = Recorder("c1")
    share(restarted, gone, others, 0.3)
    assert tokens_in(others, 0.3) == 60.0
    forget_demand(others, gone)  # type: ignore[arg-type]
    assert tokens_in(others, 0.3) == 30.0


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


def many_reports(seed: int, boxes: int, accounts: int, pools: int) -> list[DemandReport]:
    rng = random.Random(seed)
    return [
        DemandReport(
            pools={
                f"pool-{pool}": PoolDemand(
                    classes={
                        priority: ClassDemand(
                            asked=rng.uniform(0.0, 20.0),
                            admitted=rng.uniform(0.0, 20.0),
                            tokens=rng.uniform(50_000.0, 90_000.0),
                            accounts={
                                f"client-account-{rng.randrange(accounts)}": rng.uniform(1.0, 5e3)
                                for _ in range(REPORT_ACCOUNTS)
                            },
                        )
                        for priority in range(3)
                    }
                )
                for pool in range(pools)
            }
        )
        for _ in range(boxes)
    ]


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


@pytest.mark.parametrize("seed", range(10))
def test_classes_conserve_the_reports_over_all_control_boxes(seed: int) -> None:
    """Each control box has the same total, whichever entry boxes report to it."""
    rng = random.Random(seed)
    controls = [control() for _ in range(3)]
    reports = many_reports(seed, 40, 5000, 2)
    for number, message in enumerate(reports):
        link = Recorder(f"e{number}", domain=rng.choice("abc"))
        send(rng.choice(controls), link, message, 0.0)
    for number, source in enumerate(controls):
        for target in controls:
            if target is not source:
                share(source, Recorder(f"c{number}"), target, 0.0)
    expected = sum_pools(message.pools for message in reports)
    for state in controls:
        totals, _size = build_demand_totals(state)
        assert totals.entries == len(reports)
        assert totals.pools.keys() == expected.keys()
        for pool, demand in totals.pools.items():
            for priority, item in demand.classes.items():
                full = expected[pool].classes[priority]
                assert item.tokens == pytest.approx(full.tokens)
                assert item.asked == pytest.approx(full.asked)
                assert item.admitted == pytest.approx(full.admitted)


def test_accounts_that_come_and_go_leave_nothing_behind() -> None:
    state, link = control(), Recorder("e1")
    for number in range(5000):
        send(state, link, report(10.0, f"account-{number}"), number * 0.25)
    ((pools,),) = (list(domain.values()) for domain in domain_demand(state).values())
    assert list(pools.classes[0].accounts) == ["account-4999"]


def test_gauges_name_pool_priority_and_failure_domain() -> None:
    state = control()
    send(state, Recorder("e1", domain="b"), report(100.0), 0.0)
    send(state, Recorder("e2", domain="b"), report(20.0), 0.0)
    gauges = demand_gauges(state, 0.0)
    labels = 'pool="p",priority="0",failure_domain="b"'
    assert gauges[f"demand_tokens_per_second{{{labels}}}"] == 120.0
    assert gauges[f"demand_asked_per_second{{{labels}}}"] == 2.0
    assert demand_gauges(state, EXPIRED) == {}


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
