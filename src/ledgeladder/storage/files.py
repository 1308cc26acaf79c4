"""Durable file operations: synced writes, atomic replacement, synced folders."""

from __future__ import annotations

import errno
import os
from collections.abc import Iterator
from contextlib import contextmanager
from io import FileIO
from pathlib import Path
from typing import TYPE_CHECKING, Final

from ..model import ResultCode
from .errors import storage_error

if TYPE_CHECKING:
    from collections.abc import Callable

    Sync = Callable[[int], None]
    """Syncs an open file descriptor to the disk; raises `OSError` on failure."""


NO_DESCRIPTOR_ERRORS: Final = frozenset({errno.EMFILE, errno.ENFILE})
"""Errors of opening a file for want of descriptors, which leave the disk as it was."""


@contextmanager
def translate_disk_errors(path: Path) -> Iterator[None]:
    """Translate an `OSError` inside the block into a `StorageError` with a result code.

    A failed sync must not be repeated: the kernel may have dropped the dirty pages, and a second
    sync would report success although the data is lost.

    Args:
        path: File that the error message names.

    Raises:
        StorageError: With code DISK_FULL or SYNC_FAILED.
    """
    try:
        yield
    except OSError as error:
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            raise storage_error(ResultCode.DISK_FULL, f"{path}: {error.strerror}") from error
        detail = f"{path}: {error.strerror}; restart the process to read the folder again"
        raise storage_error(ResultCode.SYNC_FAILED, detail) from error


def open_unbuffered(path: Path, mode: str) -> FileIO:
    """Open a file without a buffer, since a buffer would write again after a failed write.

    Args:
        path: File to open.
        mode: `ab` or `r+b`.

    Raises:
        OSError: If it cannot be opened.
    """
    return FileIO(path, mode.replace("b", ""))


def write_all(file: FileIO, content: bytes) -> None:
    """Write all bytes to an unbuffered file.

    Raises:
        OSError: If not all bytes can be written.
    """
    remaining = memoryview(content)
    while remaining:
        written = file.write(remaining)
        if not written:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        remaining = remaining[written:]


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes renames and new files in it durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes, *, sync: Sync = os.fsync) -> None:
    """Replace a file atomically: after a crash it has either the old or the new content.

    Args:
        path: File to replace.
        content: New content.
        sync: Syncs an open file descriptor to the disk.

    Raises:
        StorageError: If the sync fails, or with code DISK_FULL if the disk is full or the process
            has no descriptor left; the file is then unchanged.
    """
    temporary = path.with_suffix(path.suffix + ".tmp")
    with translate_disk_errors(path):
        try:
            with _create(temporary) as file:
                write_all(file, content)
                sync(file.fileno())
        except OSError:
            # Free the space that the incomplete file uses on a full disk.
            temporary.unlink(missing_ok=True)
            raise
        os.replace(temporary, path)
        sync_folder(path.parent)


def _create(path: Path) -> FileIO:
    """Create an empty file.

    Raises:
        StorageError: With code DISK_FULL if no descriptor is left. Nothing was written, so that the
            caller may try again.
        OSError: If it cannot be created otherwise.
    """
    try:
        return FileIO(path, "w")
    except OSError as error:
        if error.errno not in NO_DESCRIPTOR_ERRORS:
            raise
        raise storage_error(ResultCode.DISK_FULL, f"{path}: {error.strerror}") from error
