"""The journal and the snapshot of one member of the replicated log."""

from __future__ import annotations

import logging
import os
from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec

from ..coordination.raft import HardState, LogEntry, Snapshot
from ..model import ResultCode
from .errors import StorageError, storage_error
from .files import open_unbuffered, replace_file, translate_disk_errors, write_all
from .identity import FORMAT_VERSION
from .records import Tail, frame_record, scan_records

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from io import FileIO

    from .files import Sync

logger = logging.getLogger(__name__)

JOURNAL_FILE: Final = "journal"
SNAPSHOT_FILE: Final = "snapshot"
MAGIC: Final = b"LLJ"
PREFIX: Final = MAGIC + bytes([FORMAT_VERSION])
"""First bytes of the journal and of the snapshot."""


class StateRecord(msgspec.Struct, frozen=True, kw_only=True, tag="state", array_like=True):
    """A journal record with a new term or vote."""

    hard_state: HardState


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, tag="entry", array_like=True):
    """A journal record with a log entry; it replaces one of the same index and all after it."""

    entry: LogEntry


JournalRecord = StateRecord | EntryRecord

_BATCH_DECODER: Final = msgspec.msgpack.Decoder(list[JournalRecord])
_SNAPSHOT_DECODER: Final = msgspec.msgpack.Decoder(Snapshot)


class RecoveredState(msgspec.Struct, frozen=True, kw_only=True):
    """What a data folder held when it was opened."""

    hard_state: HardState
    """Last term and vote."""

    snapshot: Snapshot | None
    """Newest snapshot."""

    entries: list[LogEntry]
    """Entries after the snapshot."""

    torn_bytes: int
    """Length of a torn tail that was removed."""


class Journal(msgspec.Struct, kw_only=True):
    """An open journal; every write is synced before it returns."""

    folder: Path
    """Data folder."""

    file: FileIO
    """The journal, positioned at its end."""

    size: int
    """Length of the journal in bytes."""

    sync: Sync
    """Makes the data of an open file last."""

    tail_is_clean: bool = True
    """False if bytes of a write that failed may stand behind `size`."""

    def write(self, hard_state: HardState | None, entries: Sequence[LogEntry]) -> None:
        """Append records and sync once.

        Args:
            hard_state: New term and vote, if they changed.
            entries: New entries.

        Raises:
            StorageError: If the disk is full or does not sync. After `DISK_FULL` the same may be
                written again; after anything else the journal must not be used any more.
        """
        records: list[JournalRecord] = []
        if hard_state is not None:
            records.append(StateRecord(hard_state=hard_state))
        records.extend(EntryRecord(entry=entry) for entry in entries)
        if not records:
            return
        # One frame a sync: a frame that is not whole can then only be the last one.
        content = frame_record(msgspec.msgpack.encode(records))
        with translate_disk_errors(self.folder / JOURNAL_FILE):
            self._truncate_tail()
            self.tail_is_clean = False
            write_all(self.file, content)
            self.sync(self.file.fileno())
        self.tail_is_clean = True
        self.size += len(content)

    def remove_torn_tail(self) -> None:
        """Remove what is not whole behind the last good record, and sync what stays.

        Raises:
            OSError: If the disk refuses.
        """
        self._truncate_tail()
        self.sync(self.file.fileno())
        self.tail_is_clean = True

    def _truncate_tail(self) -> None:
        """Remove what a write that failed has left, so that the next frame follows a whole one."""
        if self.tail_is_clean:
            return
        self.file.truncate(self.size)
        self.file.seek(self.size)

    def save_snapshot(
        self, snapshot: Snapshot, hard_state: HardState, entries: Sequence[LogEntry]
    ) -> None:
        """Store a snapshot, then start a journal that holds only what follows it.

        A crash between the two steps leaves old entries in the journal, which opening skips.

        Args:
            snapshot: The snapshot to keep.
            hard_state: Current term and vote.
            entries: Entries after the snapshot.

        Raises:
            StorageError: If the disk is full or does not sync.
        """
        framed = PREFIX + frame_record(msgspec.msgpack.encode(snapshot))
        replace_file(self.folder / SNAPSHOT_FILE, framed, sync=self.sync)
        records: list[JournalRecord] = [StateRecord(hard_state=hard_state)]
        records.extend(EntryRecord(entry=entry) for entry in entries)
        content = PREFIX + frame_record(msgspec.msgpack.encode(records))
        path = self.folder / JOURNAL_FILE
        replace_file(path, content, sync=self.sync)
        self.file.close()
        self.file = open_unbuffered(path, "ab")
        self.size = len(content)
        self.tail_is_clean = True

    def close(self) -> None:
        """Close the journal."""
        self.file.close()


def load_snapshot(folder: Path) -> Snapshot | None:
    """Read the newest snapshot.

    Args:
        folder: Data folder.

    Returns:
        The snapshot, or None if there is none.

    Raises:
        StorageError: If it is damaged or newer than this program.
    """
    path = folder / SNAPSHOT_FILE
    if not path.exists():
        return None
    content = path.read_bytes()
    _check_prefix(path, content)
    scan = scan_records(content, len(PREFIX))
    if scan.tail is not Tail.CLEAN or len(scan.payloads) != 1:
        raise _corruption_error(path, scan.valid_length)
    try:
        return _SNAPSHOT_DECODER.decode(scan.payloads[0])
    except msgspec.DecodeError as error:
        raise _corruption_error(path, len(PREFIX)) from error


def open_journal(folder: Path, *, sync: Sync = os.fsync) -> tuple[Journal, RecoveredState]:
    """Open a data folder and read what it holds.

    A full disk hinders nobody from reading: a torn tail is then removed with the next write.

    Args:
        folder: Data folder, which must exist.
        sync: Makes the data of an open file last.

    Returns:
        The journal, ready for writing, and what was recovered.

    Raises:
        StorageError: If anything but a torn tail is wrong, the disk fails, or a new folder finds
            no room for its files.
    """
    snapshot = load_snapshot(folder)
    path = folder / JOURNAL_FILE
    if not path.exists():
        replace_file(path, PREFIX, sync=sync)
    content = path.read_bytes()
    _check_prefix(path, content)
    scan = scan_records(content, len(PREFIX))
    if scan.tail is Tail.CORRUPT:
        raise _corruption_error(path, scan.valid_length)
    hard_state, entries = _replay(path, scan.payloads, snapshot.index if snapshot else 0)
    torn_bytes = len(content) - scan.valid_length
    file = open_unbuffered(path, "r+b")
    journal = Journal(
        folder=folder, file=file, size=scan.valid_length, sync=sync, tail_is_clean=not torn_bytes
    )
    file.seek(scan.valid_length)
    try:
        with translate_disk_errors(path):
            journal.remove_torn_tail()
    except StorageError as error:
        if error.problem.code is not ResultCode.DISK_FULL:
            raise
        logger.warning("disk is full", extra={"detail": error.problem.detail})
    recovered = RecoveredState(
        hard_state=hard_state, snapshot=snapshot, entries=entries, torn_bytes=torn_bytes
    )
    return journal, recovered


def _replay(path: Path, payloads: list[bytes], base: int) -> tuple[HardState, list[LogEntry]]:
    hard_state = HardState()
    entries: list[LogEntry] = []
    for record in _decode_records(path, payloads):
        if isinstance(record, StateRecord):
            hard_state = record.hard_state
            continue
        entry = record.entry
        if entry.index <= base:
            continue
        expected = base + len(entries) + 1
        if entry.index > expected:
            detail = f"{path}: entry {entry.index} follows entry {expected - 1}"
            raise storage_error(ResultCode.JOURNAL_CORRUPT, detail)
        del entries[entry.index - base - 1 :]
        entries.append(entry)
    return hard_state, entries


def _decode_records(path: Path, payloads: list[bytes]) -> Iterator[JournalRecord]:
    for payload in payloads:
        try:
            yield from _BATCH_DECODER.decode(payload)
        except msgspec.DecodeError as error:
            raise _corruption_error(path, 0) from error


def _check_prefix(path: Path, content: bytes) -> None:
    if content.startswith(PREFIX):
        return
    if content.startswith(MAGIC) and len(content) >= len(PREFIX):
        detail = f"{path}: format {content[3]}, this program reads format {FORMAT_VERSION}"
        raise storage_error(ResultCode.JOURNAL_FORMAT, detail)
    raise _corruption_error(path, 0)


def _corruption_error(path: Path, offset: int) -> Exception:
    detail = (
        f"{path}: bad record at offset {offset}; keep the folder for inspection and start the box "
        "with an empty one, so that it rejoins as a learner"
    )
    return storage_error(ResultCode.JOURNAL_CORRUPT, detail)
