"""A box that is refused by a full engine tells the others, which then send it nothing for a moment.

Without notices, each box loses an attempt, and a retry, to find out by itself.
"""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
import pytest

from ledgeladder.daemons.gateway import full_notices
from ledgeladder.daemons.gateway.full_notices import handle_full_notice, report_full
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.daemons.gateway.stream_attempt import _evaluate_refusal
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.links.messages import FullNotice, FullReport
from ledgeladder.model.registration import Holding, UpstreamState
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.forwarding_table import (
    FULL_AVOID_SECONDS,
    ForwardedUpstream,
    is_usable,
    put_registration,
)
from ledgeladder.routing.full_engines import NOTICE_INTERVAL_SECONDS
from ledgeladder.routing.stream_patience import stream_timeouts

from .builders import engine, gateway_state, path_over

CONTROLS = ("10.0.0.1", "10.0.0.2")


class Bed:
    """A gateway with two control boxes, of which the first gets its reports."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, readers: tuple[str, ...]) -> None:
        self.now = 100.0
        self.posted: dict[str, list[Any]] = {address: [] for address in CONTROLS}
        links = {
            address: SimpleNamespace(post=posted.append) for address, posted in self.posted.items()
        }
        self.state: GatewayState = gateway_state()
        self.state.contended = frozenset({"p"})
        self.state.peers = SimpleNamespace(  # type: ignore[assignment]
            links=links, ranked=list(CONTROLS), demand_readers=set(readers)
        )
        monkeypatch.setattr(full_notices.anyio, "current_time", lambda: self.now)

    def add(self, name: str, first: int, end: int) -> ForwardedUpstream:
        registration = msgspec.structs.replace(
            engine(name, f"{name}:1").registration,
            pool="p",
            holdings=(Holding(first=first, end=end),),
        )
        added = put_registration(self.state.table, registration, self.now)
        assert added is not None
        return added

    @property
    def counters(self) -> dict[str, int]:
        return {
            name: count
            for name, count in self.state.metrics.counters.items()
            if name.startswith("full-")
        }


def test_refusals_are_reported_to_one_control_box_in_bounded_number(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    bed = Bed(monkeypatch, readers=CONTROLS)
    full = bed.add("i-1", 0, 4)
    with caplog.at_level(logging.INFO):
        for _ in range(50):
            report_full(bed.state, full)
        bed.now += NOTICE_INTERVAL_SECONDS
        report_full(bed.state, full)
    assert bed.posted == {CONTROLS[0]: [FullReport(instances=("i-1",))] * 2, CONTROLS[1]: []}
    assert bed.counters == {"full-reported": 2}
    lines = [record for record in caplog.records if record.message == "engine full"]
    assert len(lines) == 2
    assert (lines[0].__dict__["upstream"], lines[0].__dict__["in_flight"]) == ("i-1", 0)


@pytest.mark.parametrize("readers", [(), CONTROLS[1:]])
def test_control_box_of_an_earlier_version_is_sent_no_report(
    monkeypatch: pytest.MonkeyPatch, readers: tuple[str, ...]
) -> None:
    """It would close the link on a message that it does not know."""
    bed = Bed(monkeypatch, readers=readers)
    report_full(bed.state, bed.add("i-1", 0, 4))
    assert not any(bed.posted.values())
    assert not bed.counters


def test_refusal_without_control_boxes_has_the_same_effect_as_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for peers in (None, SimpleNamespace(links={}, ranked=[], demand_readers=set())):
        bed = Bed(monkeypatch, readers=())
        bed.state.peers = peers  # type: ignore[assignment]
        report_full(bed.state, bed.add("i-1", 0, 4))
        assert not bed.counters


def test_refusals_of_a_draining_engine_are_not_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    bed = Bed(monkeypatch, readers=CONTROLS)
    leaving = bed.add("i-1", 0, 4)
    leaving.registration = msgspec.structs.replace(
        leaving.registration, state=UpstreamState.DRAINING
    )
    report_full(bed.state, leaving)
    assert not any(bed.posted.values())


@pytest.mark.parametrize("reports", [True, False])
def test_refused_attempt_leads_to_a_report_unless_another_instance_answered(reports: bool) -> None:
    posted: list[Any] = []
    state = gateway_state()
    state.contended = frozenset({engine().registration.pool})
    link = SimpleNamespace(post=posted.append)
    state.peers = SimpleNamespace(  # type: ignore[assignment]
        links={"10.0.0.1": link}, ranked=["10.0.0.1"], demand_readers={"10.0.0.1"}
    )
    timeouts = stream_timeouts(
        target_latency=0.5, gap_target=0.2, probe_seconds=0.04, first_seconds=0.1
    )
    session = StreamSession(order=EventOrder(last_id=None), timeouts=timeouts, tokens=10)
    path = path_over(engine())

    async def run() -> None:
        await _evaluate_refusal(state, session, path, path.head, reports=reports)

    anyio.run(run)
    assert posted == ([FullReport(instances=("i-1",))] if reports else [])
    assert path.head.avoid_until > 0.0


def test_notice_of_another_box_is_applied_unless_the_engine_is_the_only_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bed = Bed(monkeypatch, readers=CONTROLS)
    first, second, only = bed.add("i-1", 0, 4), bed.add("i-2", 0, 4), bed.add("i-3", 4, 8)
    notice = FullNotice(instances=("i-1", "i-2", "i-3", "unknown"))
    handle_full_notice(bed.state, notice)
    assert [is_usable(item, bed.now) for item in (first, second, only)] == [False, True, True]
    assert first.avoid_until == bed.now + FULL_AVOID_SECONDS
    assert bed.counters == {"full-noticed": 1, "full-ignored": 2}
    assert not any(bed.posted.values()), "a notice is never reported again"
    bed.now += FULL_AVOID_SECONDS
    assert is_usable(first, bed.now)


def test_pools_without_priorities_neither_report_nor_apply_notices(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    bed = Bed(monkeypatch, readers=CONTROLS)
    bed.state.contended = frozenset({"other"})
    full = bed.add("i-1", 0, 80)
    bed.add("i-2", 0, 80)
    with caplog.at_level(logging.INFO):
        report_full(bed.state, full)
    handle_full_notice(bed.state, FullNotice(instances=("i-1",)))
    assert not any(bed.posted.values())
    assert is_usable(full, bed.now)
    assert not bed.counters
    assert not caplog.records
