"""Who a data folder belongs to: cluster, box, and one incarnation of its disk."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Final

import msgspec

from ..model import ResultCode
from .errors import storage_error
from .files import replace_file

IDENTITY_FILE: Final = "identity.json"
FORMAT_VERSION: Final = 2
"""Version of everything in a data folder. Version 1 framed each journal record by itself."""

INITIAL_INCARNATION: Final = "initial"
"""Incarnation of the folders that a cluster is first created with."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the identity file."""

    format: int
    """Version of the folder's format."""

    cluster: str
    """Name of the cluster."""

    box: str
    """Name of the box."""

    incarnation: str
    """Random name of this disk content; a box whose disk was lost gets another."""

    @property
    def member_id(self) -> str:
        """The id under which the box takes part in the replicated log."""
        return member_id(self.box, self.incarnation)


def member_id(box: str, incarnation: str) -> str:
    """Combine a box and an incarnation into a member id."""
    return f"{box}/{incarnation}"


def box_of(member: str) -> str:
    """Return the box part of a member id."""
    return member.partition("/")[0]


def create_identity(folder: Path, *, cluster: str, box: str, initial: bool) -> Identity:
    """Create the data folder and its identity.

    Args:
        folder: Data folder; created if missing.
        cluster: Name of the cluster.
        box: Name of the box.
        initial: True only when a whole new cluster is created.

    Returns:
        The identity that was written.

    Raises:
        StorageError: If the folder already has an identity, or the disk fails.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    if path.exists():
        raise storage_error(ResultCode.FOLDER_FOREIGN, f"{path} exists; use an empty data folder")
    incarnation = INITIAL_INCARNATION if initial else secrets.token_hex(8)
    identity = Identity(format=FORMAT_VERSION, cluster=cluster, box=box, incarnation=incarnation)
    replace_file(path, msgspec.json.encode(identity))
    return identity


def read_identity(folder: Path, *, cluster: str, box: str) -> Identity | None:
    """Read and check the identity of a data folder.

    Args:
        folder: Data folder.
        cluster: Name of the cluster that it must belong to.
        box: Name of the box that it must belong to.

    Returns:
        The identity, or None if the folder has none.

    Raises:
        StorageError: If the folder belongs elsewhere, is newer, or cannot be read.
    """
    path = folder / IDENTITY_FILE
    if not path.exists():
        return None
    try:
        identity = msgspec.json.decode(path.read_bytes(), type=Identity)
    except msgspec.DecodeError as error:
        raise storage_error(ResultCode.JOURNAL_CORRUPT, f"{path}: {error}") from error
    if identity.format > FORMAT_VERSION:
        detail = f"{path}: format {identity.format}, this program reads up to {FORMAT_VERSION}"
        raise storage_error(ResultCode.JOURNAL_FORMAT, detail)
    if (identity.cluster, identity.box) != (cluster, box):
        detail = f"{path}: belongs to box {identity.box} of cluster {identity.cluster}"
        raise storage_error(ResultCode.FOLDER_FOREIGN, detail)
    return identity
