"""A sans-IO Raft core: elections, log replication, snapshots, membership changes.

Submodules are imported on first use of one of their names. Entry boxes only decode the messages, so
they start without the modules that run a replica.
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
        record_synced,
        restore_replica,
        take_ready,
        tick,
    )
    from .election import holds_lease, lease_until, quorum, step_down, transfer_leadership
    from .log import RaftLog
    from .messages import (
        AppendReply,
        AppendRequest,
        EntryKind,
        Envelope,
        HardState,
        LogEntry,
        Members,
        Message,
        Snapshot,
        SnapshotRequest,
        TimeoutNow,
        VoteReply,
        VoteRequest,
    )
    from .replica import Progress, Ready, Replica, Role, Timing
    from .replication import send_snapshot

__all__ = [
    "AppendReply",
    "AppendRequest",
    "TimeoutNow",
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
    "step_down",
    "holds_lease",
    "lease_until",
    "next_due",
    "send_snapshot",
    "propose",
    "propose_members",
    "quorum",
    "receive",
    "restore_replica",
    "transfer_leadership",
    "record_synced",
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
    "record_synced": "core",
    "take_ready": "core",
    "tick": "core",
    "step_down": "election",
    "holds_lease": "election",
    "lease_until": "election",
    "quorum": "election",
    "transfer_leadership": "election",
    "RaftLog": "log",
    "AppendReply": "messages",
    "AppendRequest": "messages",
    "TimeoutNow": "messages",
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
    "send_snapshot": "replication",
}
"""Submodule that defines each exported name."""


def __getattr__(name: str) -> Any:
    """Import the submodule that defines a name on first access."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(import_module(f".{module}", __name__), name)
    globals()[name] = value
    return value
