"""Merging what entry boxes saw, and putting contents in quarantine."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from returns.result import Success

from ledgeladder.coordination.commands import Acknowledgement, QuarantineCommand
from ledgeladder.coordination.crash_book import CRASH_LIMIT
from ledgeladder.coordination.loss_evidence import LossEvidence
from ledgeladder.coordination.quarantine import QUARANTINE_MS, Quarantine, add_fingerprint
from ledgeladder.coordination.registrations import RegistrationTable, apply_registration
from ledgeladder.daemons import content_judge
from ledgeladder.daemons.content_judge import ContentJudge
from ledgeladder.daemons.registry.upstream_exits import has_exited
from ledgeladder.links import post_to_all
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


def judge_of(entries: Recorder, peers: Recorder, alive: set[str]) -> ContentJudge:
    node: Any = SimpleNamespace(
        replica=SimpleNamespace(is_leader=True), state=SimpleNamespace(quarantine=Quarantine())
    )
    return ContentJudge(
        node=node,
        tell_entries=lambda message: post_to_all([entries], message),  # type: ignore[list-item]
        tell_peers=lambda message: post_to_all([peers], message),  # type: ignore[list-item]
        has_ended=lambda instance: instance not in alive,
    )


def report(number: int) -> CrashReport:
    return CrashReport(content=CONTENT, instance=f"i-{number}")


def judge_now(judge: ContentJudge, monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Let the leader judge; returns what it commits."""
    committed: list[bytes] = []

    async def submit(_node: object, command: QuarantineCommand) -> Success[Acknowledgement]:
        committed.append(command.fingerprint)
        return Success(Acknowledgement(accepted=True))

    monkeypatch.setattr(content_judge, "submit", submit)
    anyio.run(content_judge.judge_contents, judge)
    return committed


def take_ends(judge: ContentJudge, ends: int) -> None:
    async def take() -> None:
        for number in range(ends):
            content_judge.take_crash_report(judge, report(number), to_peers=number == 0)
            content_judge.take_crash_report(judge, report(number), to_peers=True)

    anyio.run(take)


def test_ends_under_requests_of_different_boxes_add_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pattern: its caller comes again at other boxes, each of which sees one end."""
    entries, peers = Recorder(), Recorder()
    judge = judge_of(entries, peers, alive=set())
    take_ends(judge, CRASH_LIMIT)
    # What an entry box told is passed on once, and what is known already is not.
    assert peers.posted == [report(0)]
    assert entries.posted == [SuspectNews(content=CONTENT, ends=ends) for ends in (2, 3)]
    assert judge_now(judge, monkeypatch) == [CONTENT]
    assert judge_now(judge, monkeypatch) == []


def test_upstreams_that_have_not_ended_count_for_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pattern: a box behind a cut that refuses connections takes all upstreams for ended."""
    judge = judge_of(Recorder(), Recorder(), alive={"i-0"})
    take_ends(judge, CRASH_LIMIT)
    assert judge_now(judge, monkeypatch) == []


def test_answered_content_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    peers = Recorder()
    judge = judge_of(Recorder(), peers, alive=set())
    take_ends(judge, CRASH_LIMIT)
    content_judge.take_served(judge, ContentServed(content=CONTENT), to_peers=True)
    assert peers.posted[-1] == ContentServed(content=CONTENT)
    assert judge_now(judge, monkeypatch) == []


def test_only_a_content_whose_time_is_not_over_counts_as_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One that comes again after its hour is put aside again, and one that another leader put aside
    is looked at no more."""
    for age_ms, expected in ((QUARANTINE_MS + 1000, [CONTENT]), (1000, [])):
        judge = judge_of(Recorder(), Recorder(), alive=set())
        add_fingerprint(
            judge.node.state.quarantine, CONTENT, content_judge.wall_clock_ms() - age_ms
        )
        take_ends(judge, CRASH_LIMIT)
        assert judge_now(judge, monkeypatch) == expected
        assert CONTENT not in judge.book.suspects


def test_entry_boxes_are_told_of_each_new_content_once() -> None:
    entries = Recorder()
    judge = judge_of(entries, Recorder(), alive=set())
    content_judge.tell_quarantine(judge)
    assert entries.posted == []
    add_fingerprint(judge.node.state.quarantine, CONTENT, content_judge.wall_clock_ms())
    content_judge.tell_quarantine(judge)
    content_judge.tell_quarantine(judge)
    (news,) = entries.posted
    assert isinstance(news, QuarantineNews)
    assert list(news.seconds_left) == [CONTENT]


def test_registry_takes_a_run_for_ended_once_it_is_sure() -> None:
    """Heartbeats that go on say that it has not, whatever entry boxes found."""
    state: Any = SimpleNamespace(
        table=RegistrationTable(heartbeat=1.0),
        losses=LossEvidence(),
        peers=SimpleNamespace(links={}, known={}),
        accepted_control_links={},
    )

    async def play() -> None:
        now = anyio.current_time()
        alive = Registration(instance="i-0", sequence=1, address="10.0.0.9:1")
        apply_registration(state.table, alive, now)
        assert not has_exited(state, "i-0")
        assert has_exited(state, "i-unknown")
        later = Registration(instance="i-1", sequence=1, address="10.0.0.9:1")
        apply_registration(state.table, later, now + 0.1)
        assert has_exited(state, "i-0")
        assert not has_exited(state, "i-1")
        state.table.known["i-1"].last_seen_at = now - 10.0
        assert has_exited(state, "i-1")

    anyio.run(play)
