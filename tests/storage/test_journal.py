"""Faults of the data folder, each by its name."""

from __future__ import annotations

import errno
import os
import random
from pathlib import Path

import pytest

from ledgeladder.coordination.raft import EntryKind, HardState, LogEntry, Members, Snapshot
from ledgeladder.model import ResultCode
from ledgeladder.storage import StorageError, create_identity, open_journal, read_identity
from ledgeladder.storage.journal import JOURNAL_FILE, SNAPSHOT_FILE


def entry(index: int, term: int = 1, data: bytes = b"data") -> LogEntry:
    return LogEntry(index=index, term=term, kind=EntryKind.COMMAND, data=data)


def snapshot(index: int) -> Snapshot:
    return Snapshot(index=index, term=1, members=Members(voters=("a/1",)), data=b"state")


def filled(folder: Path, count: int = 5) -> None:
    journal, _ = open_journal(folder)
    for index in range(1, count + 1):
        journal.write(HardState(term=1, voted_for="a/1"), [entry(index)])
    journal.close()


def reopened(folder: Path) -> list[int]:
    journal, recovered = open_journal(folder)
    journal.close()
    return [item.index for item in recovered.entries]


def code_of(folder: Path) -> ResultCode:
    with pytest.raises(StorageError) as caught:
        open_journal(folder)
    return caught.value.problem.code


def test_everything_written_is_read_again(tmp_path: Path) -> None:
    filled(tmp_path)
    journal, recovered = open_journal(tmp_path)
    assert recovered.hard_state == HardState(term=1, voted_for="a/1")
    assert [item.index for item in recovered.entries] == [1, 2, 3, 4, 5]
    journal.write(None, [entry(3, term=2)])
    journal.close()
    assert reopened(tmp_path) == [1, 2, 3]


def test_torn_tail_is_cut_at_every_length(tmp_path: Path) -> None:
    filled(tmp_path)
    path = tmp_path / JOURNAL_FILE
    whole = path.read_bytes()
    for length in range(4, len(whole)):
        path.write_bytes(whole[:length])
        indexes = reopened(tmp_path)
        assert indexes == list(range(1, len(indexes) + 1))
        assert path.stat().st_size <= length


def test_zeros_at_the_end_are_a_torn_tail(tmp_path: Path) -> None:
    filled(tmp_path)
    with open(tmp_path / JOURNAL_FILE, "ab") as file:
        file.write(b"\0" * 100)
    assert reopened(tmp_path) == [1, 2, 3, 4, 5]


def test_flipped_byte_is_refused_wherever_it_is(tmp_path: Path) -> None:
    filled(tmp_path)
    path = tmp_path / JOURNAL_FILE
    whole = path.read_bytes()
    rng = random.Random(1)
    for _ in range(200):
        position = rng.randrange(len(whole))
        damaged = bytearray(whole)
        damaged[position] ^= 1 << rng.randrange(8)
        path.write_bytes(bytes(damaged))
        try:
            indexes = reopened(tmp_path)
        except StorageError as error:
            assert error.problem.code in (ResultCode.JOURNAL_CORRUPT, ResultCode.JOURNAL_FORMAT)
            continue
        # A length that grew looks like a short last record; nothing before it may be missing.
        assert indexes == list(range(1, len(indexes) + 1))


def test_damaged_snapshot_is_refused(tmp_path: Path) -> None:
    filled(tmp_path)
    journal, _ = open_journal(tmp_path)
    journal.save_snapshot(snapshot(4), HardState(term=1), [entry(5)])
    journal.close()
    assert reopened(tmp_path) == [5]
    path = tmp_path / SNAPSHOT_FILE
    content = bytearray(path.read_bytes())
    content[-1] ^= 1
    path.write_bytes(bytes(content))
    assert code_of(tmp_path) is ResultCode.JOURNAL_CORRUPT


def test_crash_between_snapshot_and_journal(tmp_path: Path) -> None:
    filled(tmp_path)
    old = (tmp_path / JOURNAL_FILE).read_bytes()
    journal, _ = open_journal(tmp_path)
    journal.save_snapshot(snapshot(3), HardState(term=1), [entry(4), entry(5)])
    journal.close()
    (tmp_path / JOURNAL_FILE).write_bytes(old)
    assert reopened(tmp_path) == [4, 5]


def test_newer_format_is_refused(tmp_path: Path) -> None:
    filled(tmp_path)
    path = tmp_path / JOURNAL_FILE
    path.write_bytes(b"LLJ\x09" + path.read_bytes()[4:])
    assert code_of(tmp_path) is ResultCode.JOURNAL_FORMAT


@pytest.mark.parametrize(
    ("number", "code"),
    [(errno.ENOSPC, ResultCode.DISK_FULL), (errno.EIO, ResultCode.SYNC_FAILED)],
)
def test_failing_sync_is_never_tried_again(tmp_path: Path, number: int, code: ResultCode) -> None:
    calls = []

    def failing(descriptor: int) -> None:
        calls.append(descriptor)
        if len(calls) > 2:
            raise OSError(number, os.strerror(number))

    journal, _ = open_journal(tmp_path, sync=failing)
    with pytest.raises(StorageError) as caught:
        journal.write(None, [entry(1)])
    assert caught.value.problem.code is code
    assert len(calls) == 3


def test_folder_of_somebody_else(tmp_path: Path) -> None:
    create_identity(tmp_path, cluster="one", box="a", initial=True)
    assert read_identity(tmp_path, cluster="one", box="a") is not None
    for cluster, box in (("two", "a"), ("one", "b")):
        with pytest.raises(StorageError) as caught:
            read_identity(tmp_path, cluster=cluster, box=box)
        assert caught.value.problem.code is ResultCode.FOLDER_FOREIGN
    with pytest.raises(StorageError):
        create_identity(tmp_path, cluster="one", box="a", initial=False)


def test_lost_disk_gets_another_incarnation(tmp_path: Path) -> None:
    made = [
        create_identity(tmp_path / str(number), cluster="one", box="a", initial=False).member_id
        for number in range(3)
    ]
    assert len(set(made)) == 3


def test_last_write_with_missing_blocks_is_a_torn_tail(tmp_path: Path) -> None:
    """Power loss in the middle of a sync leaves a write of full length with holes."""
    journal, _ = open_journal(tmp_path)
    journal.write(HardState(term=1), [entry(1)])
    synced = journal.size
    journal.write(None, [entry(index, data=b"x" * 3000) for index in range(2, 6)])
    journal.close()
    path = tmp_path / JOURNAL_FILE
    whole = path.read_bytes()
    for block in range(synced + 8, len(whole) - 512, 512):
        path.write_bytes(whole[:block] + b"\0" * 512 + whole[block + 512 :])
        assert reopened(tmp_path) == [1]


def test_same_damage_before_a_synced_write_is_refused(tmp_path: Path) -> None:
    journal, _ = open_journal(tmp_path)
    journal.write(HardState(term=1), [entry(1)])
    synced = journal.size
    journal.write(None, [entry(2, data=b"x" * 3000)])
    journal.write(None, [entry(3)])
    journal.close()
    path = tmp_path / JOURNAL_FILE
    whole = path.read_bytes()
    path.write_bytes(whole[: synced + 100] + b"\0" * 512 + whole[synced + 612 :])
    assert code_of(tmp_path) is ResultCode.JOURNAL_CORRUPT
