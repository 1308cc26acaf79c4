"""A control box with a full disk rejects writes and resumes once there is space."""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from pathlib import Path

import anyio
import pytest
from returns.result import Failure

from ledgeladder.coordination import raft
from ledgeladder.coordination.commands import PublishCommand
from ledgeladder.daemons.control.node import ControlNode, open_node, process_ready, run_log, submit
from ledgeladder.model import ResultCode
from ledgeladder.storage import StorageError, create_identity, open_journal
from ledgeladder.storage import journal as journal_module
from ledgeladder.storage.journal import JOURNAL_FILE


class Disk:
    """A simulated disk; while it is full, a write stores half of its bytes and fails."""

    def __init__(self) -> None:
        self.full = False
        self.failures = 0

    def write_all(self, file: object, content: bytes) -> None:
        if self.full:
            self.failures += 1
            file.write(content[: len(content) // 2])  # type: ignore[attr-defined]
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        file.write(content)  # type: ignore[attr-defined]


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> Disk:
    simulated = Disk()
    monkeypatch.setattr(journal_module, "write_all", simulated.write_all)
    return simulated


def build(
    folder: Path, voters: tuple[str, ...], send: Callable[[raft.Envelope], None]
) -> ControlNode:
    folder.mkdir()
    return open_node(
        identity=create_identity(folder, cluster="c", box="a", initial=True),
        folder=folder,
        initial_members=raft.Members(voters=voters),
        timing=raft.Timing(),
        snapshot_entries=100,
        send=send,
        on_change=lambda: None,
        rng=random.Random(1),
    )


def lead(node: ControlNode) -> float:
    """Make a node the leader with the votes of all voters; return the time of its election."""
    replica = node.replica
    # A node grants no vote, not even its own, until one election timeout after its start.
    now = replica.leader_last_seen_at + replica.timing.election_timeout + 0.01
    raft.tick(replica, now, node.rng)
    process_ready(node)
    for pre_vote in (True, False):
        for voter in replica.log.members.voters:
            if voter != replica.member_id:
                reply = raft.VoteReply(term=1, pre_vote=pre_vote, granted=True)
                envelope = raft.Envelope(sender=voter, target=replica.member_id, message=reply)
                raft.receive(replica, envelope, now, node.rng)
        process_ready(node)
    assert replica.is_leader
    return now


def test_journal_accepts_a_failed_write_again_once_there_is_space(
    tmp_path: Path, disk: Disk
) -> None:
    journal, _ = open_journal(tmp_path)
    entries = [
        raft.LogEntry(index=n, term=1, kind=raft.EntryKind.COMMAND, data=b"x") for n in (1, 2)
    ]
    journal.write(None, entries[:1])
    disk.full = True
    for _ in range(2):
        with pytest.raises(StorageError) as caught:
            journal.write(None, entries[1:])
        assert caught.value.problem.code is ResultCode.DISK_FULL
    disk.full = False
    journal.write(None, entries[1:])
    journal.close()
    _, recovered = open_journal(tmp_path)
    assert recovered.entries == entries
    assert recovered.torn_bytes == 0


def test_folder_can_be_opened_while_the_disk_is_full(tmp_path: Path) -> None:
    """The torn tail cannot be truncated yet, so the next write must truncate it."""
    journal, _ = open_journal(tmp_path)
    entry = raft.LogEntry(index=1, term=1, kind=raft.EntryKind.COMMAND, data=b"x")
    journal.write(None, [entry])
    journal.close()
    with (tmp_path / JOURNAL_FILE).open("ab") as file:
        file.write(b"\x00\x00\x00\x40torn")

    def fail_sync(_descriptor: int) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    journal, recovered = open_journal(tmp_path, sync=fail_sync)
    assert recovered.entries == [entry]
    journal.sync = os.fsync
    following = raft.LogEntry(index=2, term=1, kind=raft.EntryKind.COMMAND, data=b"y")
    journal.write(None, [following])
    journal.close()
    _, recovered = open_journal(tmp_path)
    assert recovered.entries == [entry, following]


def test_leader_with_full_disk_only_hands_over_the_leadership(tmp_path: Path, disk: Disk) -> None:
    sent: list[raft.Envelope] = []
    node = build(tmp_path / "a", ("a/initial", "b/initial", "c/initial"), sent.append)
    now = lead(node)
    sent.clear()
    disk.full = True
    assert raft.propose(node.replica, b"command") is not None
    raft.flush(node.replica, now)
    process_ready(node)
    assert not node.replica.is_leader
    assert [type(item.message) for item in sent] == [raft.TimeoutNow]
    # It must not acknowledge entries or grant votes that it cannot store.
    sent.clear()
    vote = raft.VoteRequest(
        term=9, last_index=9, last_term=9, pre_vote=False, leadership_transfer=True
    )
    node.receive(raft.Envelope(sender="b/initial", target="a/initial", message=vote))
    process_ready(node)
    assert sent == []
    assert node.replica.term == 1
    disk.full = False
    process_ready(node)
    node.receive(raft.Envelope(sender="b/initial", target="a/initial", message=vote))
    process_ready(node)
    assert node.replica.term == 9
    node.journal.close()


def test_full_disk_rejects_writes_with_a_result_code_and_loses_no_acknowledged_one(
    tmp_path: Path, disk: Disk
) -> None:
    node = build(tmp_path / "a", ("a/initial",), lambda envelope: None)

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_log, node)
            while not node.replica.is_leader:
                await anyio.sleep(0.01)
            first = await submit(node, PublishCommand(version=1, body=b"one", time_ms=1))
            disk.full = True
            tasks.start_soon(submit, node, PublishCommand(version=2, body=b"two", time_ms=2))
            while not node.disk_is_full:
                await anyio.sleep(0.01)
            rejected = await submit(node, PublishCommand(version=3, body=b"three", time_ms=3))
            assert isinstance(rejected, Failure)
            assert rejected.failure().code is ResultCode.DISK_FULL
            assert node.state.published.version == first.unwrap().version == 1
            disk.full = False
            while node.disk_is_full or not node.replica.is_leader:
                await anyio.sleep(0.01)
            assert (await submit(node, PublishCommand(version=4, body=b"four", time_ms=4))).unwrap()
            tasks.cancel_scope.cancel()

    anyio.run(play)
    node.journal.close()
    _, recovered = open_journal(tmp_path / "a")
    commands = [item for item in recovered.entries if item.kind is raft.EntryKind.COMMAND]
    assert len(commands) >= 2
    assert disk.failures > 0
