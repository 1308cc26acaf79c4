"""Messages, log entries and snapshots of the replicated log."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """Content of a log entry."""

    COMMAND = 0
    """A command for the state machine."""

    MEMBERS = 1
    """A new set of members, in force as soon as it is appended."""

    BARRIER = 2
    """No data; a new leader appends one to commit the entries of earlier terms."""


class LogEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    """Position in the log, from 1."""

    term: int
    """Term of the leader that appended it."""

    kind: EntryKind
    """What `data` is."""

    data: bytes = b""
    """Encoded command or members."""


class Members(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Members that replicate the log."""

    voters: tuple[str, ...]
    """Member ids whose votes and acknowledgements count."""

    learners: tuple[str, ...] = ()
    """Member ids that receive the log but count toward no quorum."""

    @property
    def all_ids(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of the state machine after one log entry."""

    index: int
    """Index of the last entry that the snapshot contains."""

    term: int
    """Term of that entry."""

    members: Members
    """Members in force at that entry."""

    data: bytes
    """Encoded state of the state machine."""


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag="vote?", array_like=True):
    """A candidate's request for a vote or a pre-vote."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    """True for a pre-vote, which changes no state of the receiver."""

    leadership_transfer: bool = False
    """True if the old leader requested this election and has given up its lease."""

    unanimous: bool = False
    """True if the candidate needs the votes of all voters. A leader that grants its vote stops
    leading, so no lease can outlast such an election."""


class VoteReply(msgspec.Struct, frozen=True, kw_only=True, tag="vote", array_like=True):
    """Reply to a vote request."""

    term: int
    pre_vote: bool
    granted: bool

    newly_started: bool = False
    """True if the voter has neither led nor seen a leader since its process started."""


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True, tag="append?", array_like=True):
    """Entries from the leader; a heartbeat has none."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int
    """Heartbeat round, echoed in the reply; the leader computes its lease from it."""


class AppendReply(msgspec.Struct, frozen=True, kw_only=True, tag="append", array_like=True):
    """Reply to an append or snapshot request."""

    term: int
    accepted: bool
    index: int
    """Last matching index if accepted, else a hint for the last index that may match."""

    round: int


class SnapshotRequest(msgspec.Struct, frozen=True, kw_only=True, tag="snap?", array_like=True):
    """A snapshot from the leader, which replaces the follower's log."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True, tag="elect!", array_like=True):
    """A leader's request to the transfer target to start an election at once."""

    term: int


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | TimeoutNow


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with its sender and target."""

    sender: str
    target: str
    message: Message


class HardState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State besides the log that must survive restarts."""

    term: int = 0
    voted_for: str = ""
    """Member that received this member's vote in `term`, or empty."""
