"""Merging what entry boxes saw, and putting contents in quarantine."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from returns.result import Success

from ledgeladder.coordination.commands import Noted, QuarantineCommand
from ledgeladder.coordination.crash_book import CRASH_LIMIT, CrashBook
from ledgeladder.coordination.loss_evidence import LossEvidence
from ledgeladder.coordination.quarantine import Quarantine, add_content
from ledgeladder.coordination.registrations import RegistrationTable, take_registration
from ledgeladder.daemons.registry import crashes
from ledgeladder.links.frames import FRAME_LIMIT, FrameBuffer
from ledgeladder.links.messages import (
    ContentServed,
    CrashReport,
    QuarantineNews,
    SuspectNews,
)
from ledgeladder.model.registration import Registration

CONTENT = b"content"


class Recorder:
    """A link that keeps what is posted on it."""

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post_frame(self, frame: bytes) -> None:
        self.posted += FrameBuffer(limit=FRAME_LIMIT).feed(frame)


def registry_state() -> Any:
    quarantine = Quarantine()
    return SimpleNamespace(
        crashes=CrashBook(),
        table=RegistrationTable(heartbeat=1.0),
        losses=LossEvidence(),
        peers=SimpleNamespace(links={"10.0.0.2": Recorder()}, known={"10.0.0.2": 0.0}),
        accepted={1: Recorder()},
        told_quarantine=0,
        node=SimpleNamespace(
            replica=SimpleNamespace(is_leader=True),
            state=SimpleNamespace(quarantine=quarantine),
        ),
    )


def report(number: int) -> CrashReport:
    return CrashReport(content=CONTENT, instance=f"i-{number}")


def judge(state: Any, monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Let the leader judge; returns what it commits."""
    committed: list[bytes] = []

    async def submit(_node: object, command: QuarantineCommand) -> Success[Noted]:
        committed.append(command.content)
        return Success(Noted(accepted=True))

    monkeypatch.setattr(crashes, "submit", submit)
    anyio.run(crashes._judge, state)
    return committed


def test_ends_under_requests_of_different_boxes_add_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pattern: its caller comes again at other boxes, each of which sees one end."""
    state = registry_state()

    async def take() -> None:
        for number in range(CRASH_LIMIT):
            crashes.take_crash_report(state, report(number), to_peers=number == 0)
            crashes.take_crash_report(state, report(number), to_peers=True)

    anyio.run(take)
    # What an entry box told is passed on once, and what is known already is not.
    assert state.peers.links["10.0.0.2"].posted == [report(0)]
    told = [SuspectNews(content=CONTENT, ends=ends) for ends in (2, 3)]
    assert state.accepted[1].posted == told
    assert judge(state, monkeypatch) == [CONTENT]
    assert judge(state, monkeypatch) == []


def test_upstreams_that_go_on_sending_heartbeats_count_for_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The pattern: a box behind a cut that refuses connections takes all upstreams for ended."""
    state = registry_state()

    async def take() -> None:
        for number in range(CRASH_LIMIT):
            alive = Registration(instance=f"i-{number}", sequence=1, address=f"10.0.0.9:{number}")
            take_registration(state.table, alive, anyio.current_time())
            crashes.take_crash_report(state, report(number), to_peers=True)

    anyio.run(take)
    assert judge(state, monkeypatch) == []


def test_answered_content_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    state = registry_state()

    async def take() -> None:
        for number in range(CRASH_LIMIT):
            crashes.take_crash_report(state, report(number), to_peers=False)
        crashes.take_served(state, ContentServed(content=CONTENT), to_peers=True)

    anyio.run(take)
    assert state.peers.links["10.0.0.2"].posted == [ContentServed(content=CONTENT)]
    assert judge(state, monkeypatch) == []


def test_entry_boxes_are_told_of_each_new_content_once() -> None:
    state = registry_state()
    crashes.tell_quarantine(state)
    assert state.accepted[1].posted == []
    add_content(state.node.state.quarantine, CONTENT, crashes.wall_clock_ms())
    crashes.tell_quarantine(state)
    crashes.tell_quarantine(state)
    (news,) = state.accepted[1].posted
    assert isinstance(news, QuarantineNews)
    assert list(news.seconds_left) == [CONTENT]
