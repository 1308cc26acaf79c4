"""Journal and snapshot of one member of the replicated log."""

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
"""First bytes of the journal and of the snapshot: file type and format version."""


class StateRecord(msgspec.Struct, frozen=True, kw_only=True, tag="state", array_like=True):
    """A journal record with a new term or vote."""

    hard_state: HardState


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, tag="entry", array_like=True):
    """A journal record with a log entry, which replaces one of the same index and all after it."""

    entry: LogEntry


JournalRecord = StateRecord | EntryRecord

_BATCH_DECODER: Final = msgspec.msgpack.Decoder(list[JournalRecord])
_SNAPSHOT_DECODER: Final = msgspec.msgpack.Decoder(Snapshot)


class RecoveredState(msgspec.Struct, frozen=True, kw_only=True):
    """State read from a data folder when it is opened."""

    hard_state: HardState
    """Latest term and vote."""

    snapshot: Snapshot | None
    """Newest snapshot."""

    entries: list[LogEntry]
    """Entries after the snapshot."""

    torn_bytes: int
    """Length of the torn tail, in bytes; 0 if there was none."""


class Journal(msgspec.Struct, kw_only=True):
    """An open journal; each write is synced before it returns."""

    folder: Path
    """Data folder."""

    file: FileIO
    """The journal file, positioned at its end."""

    size: int
    """Length of the valid part of the journal, in bytes."""

    sync: Sync
    """Syncs an open file descriptor to the disk."""

    tail_is_clean: bool = True
    """False if the file may contain bytes of a failed write after `size`."""

    def write(self, hard_state: HardState | None, entries: Sequence[LogEntry]) -> None:
        """Append records in one synced write.

        Args:
            hard_state: New term and vote, if they changed.
            entries: New log entries.

        Raises:
            StorageError: If the disk is full or the sync fails. After `DISK_FULL` the write may be
                retried; after any other code the journal must no longer be used.
        """
        records: list[JournalRecord] = []
        if hard_state is not None:
            records.append(StateRecord(hard_state=hard_state))
        records.extend(EntryRecord(entry=entry) for entry in entries)
        if not records:
            return
        # With one frame per sync, only the last frame can be incomplete after a crash.
        content = frame_record(msgspec.msgpack.encode(records))
        with translate_disk_errors(self.folder / JOURNAL_FILE):
            self._truncate_tail()
            self.tail_is_clean = False
            write_all(self.file, content)
            self.sync(self.file.fileno())
        self.tail_is_clean = True
        self.size += len(content)

    def remove_torn_tail(self) -> None:
        """Remove incomplete data after the last valid record, and sync the rest.

        Raises:
            OSError: If truncating or syncing fails.
        """
        self._truncate_tail()
        self.sync(self.file.fileno())
        self.tail_is_clean = True

    def _truncate_tail(self) -> None:
        """Remove the bytes of a failed write, since a frame must follow a complete one."""
        if self.tail_is_clean:
            return
        self.file.truncate(self.size)
        self.file.seek(self.size)

    def save_snapshot(
        self, snapshot: Snapshot, hard_state: HardState, entries: Sequence[LogEntry]
    ) -> None:
        """Store a snapshot, then start a new journal with only the entries after it.

        A crash between the two steps leaves old entries in the journal; `open_journal` skips them.

        Args:
            snapshot: The snapshot to store.
            hard_state: Current term and vote.
            entries: Entries after the snapshot.

        Raises:
            StorageError: If the disk is full or a sync fails.
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
    """Read the snapshot of a data folder.

    Args:
        folder: Data folder.

    Returns:
        The snapshot, or None if there is none.

    Raises:
        StorageError: If it is damaged or has another format version.
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
    """Open a data folder and read its content.

    On a full disk the folder can still be read; the next write then removes a torn tail.

    Args:
        folder: Data folder, which must exist.
        sync: Syncs an open file descriptor to the disk.

    Returns:
        The journal, ready for writing, and the recovered state.

    Raises:
        StorageError: If the folder is damaged other than by a torn tail, a sync fails, or the disk
            has no space for the files of a new folder.
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
