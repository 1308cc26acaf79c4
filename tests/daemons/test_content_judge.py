"""Merging crash reports of entry boxes, and quarantining request contents."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from returns.result import Success

from ledgeladder.coordination.commands import Acknowledgement, QuarantineCommand
from ledgeladder.coordination.content_watch import compute_part_fingerprint
from ledgeladder.coordination.crash_book import CRASH_LIMIT, UNCONFIRMED_QUARANTINE_SECONDS
from ledgeladder.coordination.loss_evidence import LossEvidence
from ledgeladder.coordination.part_crashes import MOMENT_SECONDS, SETTLE_SECONDS
from ledgeladder.coordination.quarantine import QUARANTINE_MS, Quarantine, add_fingerprint
from ledgeladder.coordination.registrations import RegistrationTable, apply_registration
from ledgeladder.daemons import content_judge
from ledgeladder.daemons.content_judge import QuarantineController
from ledgeladder.daemons.registry.upstream_ends import has_exited
from ledgeladder.links import post_to_all
from ledgeladder.links.frames import FRAME_LIMIT_BYTES, FrameBuffer
from ledgeladder.links.messages import (
    ContentServed,
    CrashReport,
    QuarantineUpdate,
    SuspectUpdate,
)
from ledgeladder.model.registration import Registration

FINGERPRINT = b"content"
PART = compute_part_fingerprint("pool", "part")


class Recorder:
    """A link that records the messages posted on it."""

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post_frame(self, frame: bytes) -> None:
        self.posted += FrameBuffer(limit=FRAME_LIMIT_BYTES).feed(frame)


def build_controller(entries: Recorder, peers: Recorder, alive: set[str]) -> QuarantineController:
    node: Any = SimpleNamespace(
        replica=SimpleNamespace(is_leader=True), state=SimpleNamespace(quarantine=Quarantine())
    )
    return QuarantineController(
        node=node,
        broadcast_to_entries=lambda message: post_to_all([entries], message),  # type: ignore[list-item]
        broadcast_to_peers=lambda message: post_to_all([peers], message),  # type: ignore[list-item]
        has_exited=lambda instance: instance not in alive,
    )


def report(number: int) -> CrashReport:
    return CrashReport(fingerprint=FINGERPRINT, instance=f"i-{number}")


def evaluate(
    controller: QuarantineController,
    monkeypatch: pytest.MonkeyPatch,
    evaluation: Callable[[QuarantineController], Awaitable[None]] = content_judge.quarantine_blamed,
) -> list[bytes]:
    """Run one evaluation of the leader, and return the fingerprints that it quarantines."""
    committed: list[bytes] = []

    async def submit(_node: object, command: QuarantineCommand) -> Success[Acknowledgement]:
        committed.append(command.fingerprint)
        return Success(Acknowledgement(accepted=True))

    monkeypatch.setattr(content_judge, "submit", submit)
    anyio.run(evaluation, controller)
    return committed


def report_crashes(controller: QuarantineController, crashes: int) -> None:
    async def send() -> None:
        for number in range(crashes):
            content_judge.handle_crash_report(controller, report(number), to_peers=number == 0)
            content_judge.handle_crash_report(controller, report(number), to_peers=True)

    anyio.run(send)


def test_crash_reports_of_different_boxes_add_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller may retry at other boxes, each of which sees a single crash."""
    entries, peers = Recorder(), Recorder()
    controller = build_controller(entries, peers, alive=set())
    report_crashes(controller, CRASH_LIMIT)
    # A report of an entry box is forwarded once, and known ones are not.
    assert peers.posted == [report(0)]
    assert entries.posted == [
        SuspectUpdate(fingerprint=FINGERPRINT, crashes=crashes) for crashes in (2, 3)
    ]
    assert evaluate(controller, monkeypatch) == [FINGERPRINT]
    assert evaluate(controller, monkeypatch) == []


def test_crashes_without_confirmed_exit_do_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """A box behind a partition that refuses connections takes all upstreams for crashed."""
    controller = build_controller(Recorder(), Recorder(), alive={"i-0"})
    report_crashes(controller, CRASH_LIMIT)
    assert evaluate(controller, monkeypatch) == []


def test_answered_content_is_cleared(monkeypatch: pytest.MonkeyPatch) -> None:
    peers = Recorder()
    controller = build_controller(Recorder(), peers, alive=set())
    report_crashes(controller, CRASH_LIMIT)
    content_judge.handle_content_served(
        controller, ContentServed(fingerprint=FINGERPRINT), to_peers=True
    )
    assert peers.posted[-1] == ContentServed(fingerprint=FINGERPRINT)
    assert evaluate(controller, monkeypatch) == []


def test_only_unexpired_quarantine_prevents_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A content is quarantined again after expiry, and not while another leader's entry lasts."""
    for age_ms, expected in ((QUARANTINE_MS + 1000, [FINGERPRINT]), (1000, [])):
        controller = build_controller(Recorder(), Recorder(), alive=set())
        add_fingerprint(
            controller.node.state.quarantine,
            FINGERPRINT,
            content_judge.wall_clock_ms() - age_ms,
        )
        report_crashes(controller, CRASH_LIMIT)
        assert evaluate(controller, monkeypatch) == expected
        assert FINGERPRINT not in controller.crash_table.suspects


def test_each_quarantined_content_is_broadcast_once() -> None:
    entries = Recorder()
    controller = build_controller(entries, Recorder(), alive=set())
    content_judge.broadcast_quarantine(controller)
    assert entries.posted == []
    add_fingerprint(controller.node.state.quarantine, FINGERPRINT, content_judge.wall_clock_ms())
    content_judge.broadcast_quarantine(controller)
    content_judge.broadcast_quarantine(controller)
    (update,) = entries.posted
    assert isinstance(update, QuarantineUpdate)
    assert list(update.seconds_left) == [FINGERPRINT]


def test_registry_confirms_exit_only_with_evidence() -> None:
    """An upstream that sends heartbeats has not exited, even if it was reported as crashed."""
    state: Any = SimpleNamespace(
        table=RegistrationTable(heartbeat=1.0),
        losses=LossEvidence(),
        peers=SimpleNamespace(links={}, known={}),
        accepted_control_links={},
    )

    async def run() -> None:
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

    anyio.run(run)


def part_controller(
    monkeypatch: pytest.MonkeyPatch, alive: set[str]
) -> tuple[QuarantineController, Recorder, Recorder, list[float]]:
    """Return a controller with its entry boxes, the peers that read parts, and the time."""
    entries, peers, clock = Recorder(), Recorder(), [0.0]
    controller = build_controller(entries, Recorder(), alive)
    controller.broadcast_parts_to_peers = lambda message: post_to_all([peers], message)  # type: ignore[list-item]
    monkeypatch.setattr(content_judge.anyio, "current_time", lambda: clock[0])
    return controller, entries, peers, clock


def report_part(controller: QuarantineController, number: int, *, to_peers: bool = True) -> None:
    """Report a crash under a part, each time with another request."""
    content = b"content-%d" % number
    crash = CrashReport(fingerprint=PART, instance=f"i-{number}", content=content)
    content_judge.handle_crash_report(controller, crash, to_peers=to_peers)


def report_part_and_content(controller: QuarantineController, clock: list[float]) -> None:
    """Report crashes under a part, in each of which one and the same request ran as well."""
    for number in range(CRASH_LIMIT):
        report_part(controller, number)
        content_judge.handle_crash_report(controller, report(number), to_peers=False)
        clock[0] += MOMENT_SECONDS


def test_part_is_announced_once_its_crashes_have_settled(monkeypatch: pytest.MonkeyPatch) -> None:
    controller, entries, peers, clock = part_controller(monkeypatch, set())
    for number in range(CRASH_LIMIT):
        report_part(controller, number, to_peers=number > 0)
        content_judge.announce_blamed_parts(controller)
        clock[0] += MOMENT_SECONDS
    assert {item.crashes for item in entries.posted} == {CRASH_LIMIT - 1}
    assert len(peers.posted) == CRASH_LIMIT - 1
    clock[0] += SETTLE_SECONDS
    for _ in range(3):
        content_judge.announce_blamed_parts(controller)
    blamed = [item for item in entries.posted if item.crashes == CRASH_LIMIT]
    assert blamed == [SuspectUpdate(fingerprint=PART, crashes=CRASH_LIMIT)]
    report_part(controller, CRASH_LIMIT)
    content_judge.announce_blamed_parts(controller)
    assert entries.posted[-1] == blamed[0]


def test_blamed_part_clears_the_requests_that_stood_beside_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Sound streams that moved from one crash to the next would be quarantined themselves."""
    controller, _entries, _peers, clock = part_controller(monkeypatch, set())
    report_part_and_content(controller, clock)
    clock[0] += SETTLE_SECONDS
    content_judge.announce_blamed_parts(controller)
    assert evaluate(controller, monkeypatch) == []


def test_answer_at_any_box_clears_a_part(monkeypatch: pytest.MonkeyPatch) -> None:
    controller, entries, peers, clock = part_controller(monkeypatch, set())
    for number in range(CRASH_LIMIT):
        report_part(controller, number)
        clock[0] += MOMENT_SECONDS
    served = ContentServed(fingerprint=PART)
    content_judge.handle_content_served(controller, served, to_peers=True)
    assert peers.posted[-1] == served
    clock[0] += SETTLE_SECONDS
    content_judge.announce_blamed_parts(controller)
    assert {item.crashes for item in entries.posted} == {CRASH_LIMIT - 1}


@pytest.mark.parametrize("confirmed", [True, False])
def test_leader_commits_a_part_once_its_crashes_are_confirmed(
    monkeypatch: pytest.MonkeyPatch, confirmed: bool
) -> None:
    alive = set() if confirmed else {"i-0"}
    controller, _entries, _peers, clock = part_controller(monkeypatch, alive)
    for number in range(CRASH_LIMIT):
        report_part(controller, number)
        clock[0] += MOMENT_SECONDS
    clock[0] += SETTLE_SECONDS
    committed = evaluate(controller, monkeypatch, content_judge.quarantine_parts)
    assert committed == ([PART] if confirmed else [])


def test_part_that_is_answered_while_another_is_committed_is_left_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The commit waits for a majority, and messages of entry boxes arrive meanwhile."""
    controller, _entries, _peers, clock = part_controller(monkeypatch, set())
    parts = [compute_part_fingerprint("pool", name) for name in ("a", "b")]
    for number in range(2 * CRASH_LIMIT):
        crash = CrashReport(
            fingerprint=parts[number % 2], instance=f"i-{number}", content=b"%d" % number
        )
        content_judge.handle_crash_report(controller, crash, to_peers=False)
        clock[0] += MOMENT_SECONDS
    clock[0] += SETTLE_SECONDS
    committed: list[bytes] = []

    async def submit(_node: object, command: QuarantineCommand) -> Success[Acknowledgement]:
        committed.append(command.fingerprint)
        (other,) = set(parts) - {command.fingerprint}
        served = ContentServed(fingerprint=other)
        content_judge.handle_content_served(controller, served, to_peers=False)
        return Success(Acknowledgement(accepted=True))

    monkeypatch.setattr(content_judge, "submit", submit)
    anyio.run(content_judge.quarantine_parts, controller)
    assert len(committed) == 1


def links_late(controller: QuarantineController) -> list[Any]:
    """Return the messages on contents that an entry box gets when it links."""
    late = Recorder()
    content_judge.post_contents(controller, SimpleNamespace(post=late.posted.append))  # type: ignore[arg-type]
    return late.posted


def test_box_that_links_late_refuses_what_is_announced(monkeypatch: pytest.MonkeyPatch) -> None:
    """It would send the part to engines until the leader has confirmed the crashes."""
    controller, entries, _peers, clock = part_controller(monkeypatch, set())
    report_part_and_content(controller, clock)
    told = links_late(controller)
    assert SuspectUpdate(fingerprint=PART, crashes=CRASH_LIMIT - 1) in told
    assert SuspectUpdate(fingerprint=FINGERPRINT, crashes=CRASH_LIMIT) in told
    clock[0] += SETTLE_SECONDS
    content_judge.announce_blamed_parts(controller)
    assert entries.posted[-1] == SuspectUpdate(fingerprint=PART, crashes=CRASH_LIMIT)
    assert entries.posted[-1] in links_late(controller)


def test_box_that_links_after_the_announcement_expired_is_told_of_suspects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Crashes that nobody confirms come from a partition, and their contents are released."""
    controller, _entries, _peers, clock = part_controller(monkeypatch, {"i-0"})
    report_part_and_content(controller, clock)
    clock[0] += SETTLE_SECONDS
    content_judge.announce_blamed_parts(controller)
    clock[0] += UNCONFIRMED_QUARANTINE_SECONDS
    suspects = [item for item in links_late(controller) if isinstance(item, SuspectUpdate)]
    assert {item.crashes for item in suspects} == {CRASH_LIMIT - 1}


def test_few_of_many_suspects_are_told_to_a_box_that_links(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Parts made up by the thousand must not fill its link."""
    controller, _entries, _peers, _clock = part_controller(monkeypatch, set())
    for number in range(4 * content_judge.MAX_RETOLD_SUSPECTS):
        for instance in ("i-1", "i-2"):
            part = compute_part_fingerprint("pool", str(number))
            crash = CrashReport(fingerprint=part, instance=instance, content=b"c")
            content_judge.handle_crash_report(controller, crash, to_peers=False)
    told = links_late(controller)
    assert len(told) <= 2 * content_judge.MAX_RETOLD_SUSPECTS + 1
    assert told[1].fingerprint == compute_part_fingerprint("pool", str(number))
