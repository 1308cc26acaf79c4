"""A replicated log as a sans-IO core: elections, replication, snapshots, change of members.

Its modules are loaded when a name of them is first used: entry boxes know the messages only, since
those travel in the same frames as theirs, and start without the five modules that run a replica.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from .core import (
        flush,
        next_due,
        propose,
        propose_members,
        receive,
        restore_replica,
        synced,
        take_ready,
        tick,
    )
    from .election import give_up_lead, holds_lease, lease_until, quorum, start_handover
    from .log import RaftLog
    from .messages import (
        AppendReply,
        AppendRequest,
        ElectNow,
        EntryKind,
        Envelope,
        HardState,
        LogEntry,
        Members,
        Message,
        Snapshot,
        SnapshotRequest,
        VoteReply,
        VoteRequest,
    )
    from .replica import Progress, Ready, Replica, Role, Timing
    from .replication import offer_snapshot

__all__ = [
    "AppendReply",
    "AppendRequest",
    "ElectNow",
    "EntryKind",
    "Envelope",
    "HardState",
    "LogEntry",
    "Members",
    "Message",
    "Progress",
    "RaftLog",
    "Ready",
    "Replica",
    "Role",
    "Snapshot",
    "SnapshotRequest",
    "Timing",
    "VoteReply",
    "VoteRequest",
    "flush",
    "give_up_lead",
    "holds_lease",
    "lease_until",
    "next_due",
    "offer_snapshot",
    "propose",
    "propose_members",
    "quorum",
    "receive",
    "restore_replica",
    "start_handover",
    "synced",
    "take_ready",
    "tick",
]

_MODULES: Final = {
    "flush": "core",
    "next_due": "core",
    "propose": "core",
    "propose_members": "core",
    "receive": "core",
    "restore_replica": "core",
    "synced": "core",
    "take_ready": "core",
    "tick": "core",
    "give_up_lead": "election",
    "holds_lease": "election",
    "lease_until": "election",
    "quorum": "election",
    "start_handover": "election",
    "RaftLog": "log",
    "AppendReply": "messages",
    "AppendRequest": "messages",
    "ElectNow": "messages",
    "EntryKind": "messages",
    "Envelope": "messages",
    "HardState": "messages",
    "LogEntry": "messages",
    "Members": "messages",
    "Message": "messages",
    "Snapshot": "messages",
    "SnapshotRequest": "messages",
    "VoteReply": "messages",
    "VoteRequest": "messages",
    "Progress": "replica",
    "Ready": "replica",
    "Replica": "replica",
    "Role": "replica",
    "Timing": "replica",
    "offer_snapshot": "replication",
}
"""Module of each name."""


def __getattr__(name: str) -> Any:
    """Load the module of a name that is used for the first time."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f".{module}", __name__), name)
    globals()[name] = value
    return value
