"""Damaged, foreign and failing data folders are recovered or rejected with the right code."""

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

from .descriptors import free_descriptors


def entry(index: int, term: int = 1, data: bytes = b"data") -> LogEntry:
    return LogEntry(index=index, term=term, kind=EntryKind.COMMAND, data=data)


def snapshot(index: int) -> Snapshot:
    return Snapshot(index=index, term=1, members=Members(voters=("a/1",)), data=b"state")


def fill_journal(folder: Path, count: int = 5) -> None:
    journal, _ = open_journal(folder)
    for index in range(1, count + 1):
        journal.write(HardState(term=1, voted_for="a/1"), [entry(index)])
    journal.close()


def recovered_indexes(folder: Path) -> list[int]:
    journal, recovered = open_journal(folder)
    journal.close()
    return [item.index for item in recovered.entries]


def open_error_code(folder: Path) -> ResultCode:
    with pytest.raises(StorageError) as raised:
        open_journal(folder)
    return raised.value.problem.code


def test_written_records_are_read_back(tmp_path: Path) -> None:
    fill_journal(tmp_path)
    journal, recovered = open_journal(tmp_path)
    assert recovered.hard_state == HardState(term=1, voted_for="a/1")
    assert [item.index for item in recovered.entries] == [1, 2, 3, 4, 5]
    journal.write(None, [entry(3, term=2)])
    journal.close()
    assert recovered_indexes(tmp_path) == [1, 2, 3]


def test_torn_tail_of_any_length_is_removed(tmp_path: Path) -> None:
    fill_journal(tmp_path)
    path = tmp_path / JOURNAL_FILE
    original = path.read_bytes()
    for length in range(4, len(original)):
        path.write_bytes(original[:length])
        indexes = recovered_indexes(tmp_path)
        assert indexes == list(range(1, len(indexes) + 1))
        assert path.stat().st_size <= length


def test_trailing_zeros_are_a_torn_tail(tmp_path: Path) -> None:
    fill_journal(tmp_path)
    with open(tmp_path / JOURNAL_FILE, "ab") as file:
        file.write(b"\0" * 100)
    assert recovered_indexes(tmp_path) == [1, 2, 3, 4, 5]


def test_flipped_bit_never_yields_wrong_entries(tmp_path: Path) -> None:
    fill_journal(tmp_path)
    path = tmp_path / JOURNAL_FILE
    original = path.read_bytes()
    rng = random.Random(1)
    for _ in range(200):
        position = rng.randrange(len(original))
        damaged = bytearray(original)
        damaged[position] ^= 1 << rng.randrange(8)
        path.write_bytes(bytes(damaged))
        try:
            indexes = recovered_indexes(tmp_path)
        except StorageError as error:
            assert error.problem.code in (ResultCode.JOURNAL_CORRUPT, ResultCode.JOURNAL_FORMAT)
            continue
        # A larger length looks like a torn last record; all records before it must be recovered.
        assert indexes == list(range(1, len(indexes) + 1))


def test_damaged_snapshot_is_rejected(tmp_path: Path) -> None:
    fill_journal(tmp_path)
    journal, _ = open_journal(tmp_path)
    journal.save_snapshot(snapshot(4), HardState(term=1), [entry(5)])
    journal.close()
    assert recovered_indexes(tmp_path) == [5]
    path = tmp_path / SNAPSHOT_FILE
    content = bytearray(path.read_bytes())
    content[-1] ^= 1
    path.write_bytes(bytes(content))
    assert open_error_code(tmp_path) is ResultCode.JOURNAL_CORRUPT


def test_entries_before_the_snapshot_are_skipped_after_a_crash(tmp_path: Path) -> None:
    fill_journal(tmp_path)
    old = (tmp_path / JOURNAL_FILE).read_bytes()
    journal, _ = open_journal(tmp_path)
    journal.save_snapshot(snapshot(3), HardState(term=1), [entry(4), entry(5)])
    journal.close()
    (tmp_path / JOURNAL_FILE).write_bytes(old)
    assert recovered_indexes(tmp_path) == [4, 5]


def test_newer_format_is_rejected(tmp_path: Path) -> None:
    fill_journal(tmp_path)
    path = tmp_path / JOURNAL_FILE
    path.write_bytes(b"LLJ\x09" + path.read_bytes()[4:])
    assert open_error_code(tmp_path) is ResultCode.JOURNAL_FORMAT


@pytest.mark.parametrize(
    ("number", "code"),
    [(errno.ENOSPC, ResultCode.DISK_FULL), (errno.EIO, ResultCode.SYNC_FAILED)],
)
def test_failed_sync_is_not_retried(tmp_path: Path, number: int, code: ResultCode) -> None:
    calls = []

    def fail_after_two_syncs(descriptor: int) -> None:
        calls.append(descriptor)
        if len(calls) > 2:
            raise OSError(number, os.strerror(number))

    journal, _ = open_journal(tmp_path, sync=fail_after_two_syncs)
    with pytest.raises(StorageError) as raised:
        journal.write(None, [entry(1)])
    assert raised.value.problem.code is code
    assert len(calls) == 3


def test_folder_of_another_cluster_or_box_is_rejected(tmp_path: Path) -> None:
    create_identity(tmp_path, cluster="one", box="a", initial=True)
    assert read_identity(tmp_path, cluster="one", box="a") is not None
    for cluster, box in (("two", "a"), ("one", "b")):
        with pytest.raises(StorageError) as raised:
            read_identity(tmp_path, cluster=cluster, box=box)
        assert raised.value.problem.code is ResultCode.FOLDER_FOREIGN
    with pytest.raises(StorageError):
        create_identity(tmp_path, cluster="one", box="a", initial=False)


def test_new_folders_get_different_incarnations(tmp_path: Path) -> None:
    member_ids = [
        create_identity(tmp_path / str(number), cluster="one", box="a", initial=False).member_id
        for number in range(3)
    ]
    assert len(set(member_ids)) == 3


def test_last_write_with_missing_blocks_is_a_torn_tail(tmp_path: Path) -> None:
    """Power loss during a sync can leave a write of full length with missing blocks."""
    journal, _ = open_journal(tmp_path)
    journal.write(HardState(term=1), [entry(1)])
    synced = journal.size
    journal.write(None, [entry(index, data=b"x" * 3000) for index in range(2, 6)])
    journal.close()
    path = tmp_path / JOURNAL_FILE
    original = path.read_bytes()
    for block in range(synced + 8, len(original) - 512, 512):
        path.write_bytes(original[:block] + b"\0" * 512 + original[block + 512 :])
        assert recovered_indexes(tmp_path) == [1]


def test_missing_blocks_before_a_synced_write_are_rejected(tmp_path: Path) -> None:
    journal, _ = open_journal(tmp_path)
    journal.write(HardState(term=1), [entry(1)])
    synced = journal.size
    journal.write(None, [entry(2, data=b"x" * 3000)])
    journal.write(None, [entry(3)])
    journal.close()
    path = tmp_path / JOURNAL_FILE
    original = path.read_bytes()
    path.write_bytes(original[: synced + 100] + b"\0" * 512 + original[synced + 612 :])
    assert open_error_code(tmp_path) is ResultCode.JOURNAL_CORRUPT


@pytest.mark.parametrize("free", [0, 1, 2])
def test_snapshot_without_descriptors_fails_like_a_full_disk_and_loses_nothing(
    tmp_path: Path, free: int
) -> None:
    """Guards against a process that ends since connections have used up its descriptors."""
    fill_journal(tmp_path)
    journal, _ = open_journal(tmp_path)
    taken = True
    with free_descriptors(free):
        try:
            journal.save_snapshot(snapshot(3), HardState(term=1), [entry(4), entry(5)])
        except StorageError as error:
            assert error.problem.code is ResultCode.DISK_FULL
            taken = False
    assert taken == (free >= 1)
    journal.write(None, [entry(6)])
    journal.close()
    assert recovered_indexes(tmp_path)[-3:] == [4, 5, 6]
