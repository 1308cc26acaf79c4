"""Identity of a data folder: its cluster, its box, and the incarnation of the disk."""

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
"""Format version of a data folder. Version 1 framed each journal record separately."""

INITIAL_INCARNATION: Final = "initial"
"""Incarnation of the data folders of a new cluster."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the identity file."""

    format: int
    """Format version of the folder."""

    cluster: str
    """Name of the cluster."""

    box: str
    """Name of the box."""

    incarnation: str
    """Random id of this data folder; a box whose disk was lost gets a new one."""

    @property
    def member_id(self) -> str:
        """Member id of the box in the replicated log."""
        return member_id(self.box, self.incarnation)


def member_id(box: str, incarnation: str) -> str:
    """Return the member id of a box and an incarnation."""
    return f"{box}/{incarnation}"


def box_of(member: str) -> str:
    """Return the box of a member id."""
    return member.partition("/")[0]


def create_identity(folder: Path, *, cluster: str, box: str, initial: bool) -> Identity:
    """Create the data folder and its identity.

    Args:
        folder: Data folder; created if missing.
        cluster: Name of the cluster.
        box: Name of the box.
        initial: True only for the first boxes of a new cluster.

    Returns:
        The new identity.

    Raises:
        StorageError: If the folder already has an identity, or a write fails.
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
        cluster: Expected name of the cluster.
        box: Expected name of the box.

    Returns:
        The identity, or None if the folder has none.

    Raises:
        StorageError: If the folder belongs to another cluster or box, has a newer format, or cannot
            be decoded.
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
