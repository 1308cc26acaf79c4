"""Durable state of a box: identity, journal, snapshot."""

from __future__ import annotations

from .errors import StorageError
from .files import NO_DESCRIPTOR_ERRORS
from .identity import (
    INITIAL_INCARNATION,
    Identity,
    box_of,
    create_identity,
    member_id,
    read_identity,
)
from .journal import Journal, RecoveredState, load_snapshot, open_journal

__all__ = [
    "INITIAL_INCARNATION",
    "NO_DESCRIPTOR_ERRORS",
    "Identity",
    "Journal",
    "RecoveredState",
    "StorageError",
    "box_of",
    "create_identity",
    "load_snapshot",
    "member_id",
    "open_journal",
    "read_identity",
]
