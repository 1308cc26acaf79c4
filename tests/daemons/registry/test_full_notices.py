"""Control boxes pass on reports of full engines, only to boxes that know the messages."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ledgeladder.coordination.full_notices import build_relay
from ledgeladder.daemons.registry import demand_totals, full_notices, peer_links
from ledgeladder.links.frames import FRAME_LIMIT_BYTES, FrameBuffer
from ledgeladder.links.messages import DemandReport, FullNotice, FullReport
from ledgeladder.routing.full_engines import NOTICE_INTERVAL_SECONDS

NOTICE = FullNotice(instances=("i-1",))
REPORT = FullReport(instances=("i-1",))


class Recorder:
    """A link that records the posted messages."""

    def __init__(self) -> None:
        self.posted: list[Any] = []
        self.peer_box = "box"
        self.peer = SimpleNamespace(instance=f"p-{id(self)}", failure_domain="a")

    def post_frame(self, frame: bytes) -> None:
        self.posted += FrameBuffer(limit=FRAME_LIMIT_BYTES).feed(frame)


class Bed:
    """A control box with two others, one of an earlier version, and some entry boxes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, entries: int) -> None:
        self.now = 100.0
        self.new, self.old = Recorder(), Recorder()
        self.entries = [Recorder() for _ in range(entries)]
        self.state: Any = SimpleNamespace(
            notices=build_relay(NOTICE_INTERVAL_SECONDS),
            peers=SimpleNamespace(
                links={"10.0.0.2": self.new, "10.0.0.3": self.old}, demand_readers={"10.0.0.2"}
            ),
            demands={},
            demand_shares={},
        )
        monkeypatch.setattr(full_notices.anyio, "current_time", lambda: self.now)

    def receive(self, link: Any, message: Any, *, is_control: bool = False) -> None:
        tasks: Any = None
        peer_links._handle_message(self.state, tasks, link, message, is_control=is_control)

    @property
    def counts(self) -> list[int]:
        return [link.posted.count(NOTICE) for link in self.entries]


def test_report_reaches_control_boxes_and_the_entry_boxes_that_know_notices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bed = Bed(monkeypatch, entries=4)
    for link in bed.entries[1:3]:
        bed.receive(link, DemandReport(pools={}))
    bed.receive(bed.entries[0], REPORT)
    assert bed.counts == [0, 1, 1, 0]
    assert (bed.new.posted, bed.old.posted) == ([NOTICE], [])
    # The box that reported first is told of later refusals once it reads notices.
    bed.receive(bed.entries[0], DemandReport(pools={}))
    bed.now += NOTICE_INTERVAL_SECONDS
    bed.receive(bed.entries[1], REPORT)
    assert bed.counts == [1, 1, 2, 0]


def test_notice_of_a_control_box_is_passed_to_entry_boxes_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bed = Bed(monkeypatch, entries=2)
    for link in bed.entries:
        bed.receive(link, DemandReport(pools={}))
    for _ in range(3):
        bed.receive(bed.new, NOTICE, is_control=True)
    assert bed.counts == [1, 1]
    assert not bed.new.posted
    assert not bed.old.posted


def test_entry_boxes_that_report_elsewhere_or_are_gone_get_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bed = Bed(monkeypatch, entries=3)
    for link in bed.entries:
        bed.receive(link, DemandReport(pools={}))
    for link in bed.entries[:2]:
        demand_totals.forget_demand(bed.state, link)  # type: ignore[arg-type]
    bed.receive(bed.new, NOTICE, is_control=True)
    assert bed.counts == [0, 0, 1]


def test_control_boxes_cannot_report_and_entry_boxes_cannot_announce(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bed = Bed(monkeypatch, entries=2)
    for link in bed.entries:
        bed.receive(link, DemandReport(pools={}))
    bed.receive(bed.new, REPORT, is_control=True)
    bed.receive(bed.entries[0], NOTICE)
    assert bed.counts == [0, 0]
    assert not bed.new.posted


def test_storm_of_reports_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    bed = Bed(monkeypatch, entries=50)
    for link in bed.entries:
        bed.receive(link, DemandReport(pools={}))
    for _ in range(20):
        for link in bed.entries:
            bed.receive(link, REPORT)
    assert sum(bed.counts) == 49
    assert bed.new.posted == [NOTICE]
