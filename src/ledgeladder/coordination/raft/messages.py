"""Messages, log entries and snapshots of the replicated log."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What a log entry carries."""

    COMMAND = 0
    """A command for the state machine."""

    MEMBERS = 1
    """A new set of members, in force as soon as it is appended."""

    BARRIER = 2
    """Nothing; a new leader appends one to commit the entries of earlier terms."""


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
    """Who replicates the log."""

    voters: tuple[str, ...]
    """Member ids whose votes and acknowledgements count."""

    learners: tuple[str, ...] = ()
    """Member ids that receive the log and count for nothing."""

    @property
    def all_ids(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The state machine's state after one log entry."""

    index: int
    """Index of the last entry that the snapshot contains."""

    term: int
    """Term of that entry."""

    members: Members
    """Members in force at that entry."""

    data: bytes
    """Encoded state of the state machine."""


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True, tag="vote?", array_like=True):
    """A candidate asks for a vote, or before that whether it would get one."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    """True for a pre-vote, which changes nothing at the receiver."""

    leadership_transfer: bool = False
    """True if the old leader asked for this election, so that its lease has been given up."""

    unanimous: bool = False
    """True if the candidate will lead only with the votes of all voters. A leader that grants its
    vote leads no more, so no lease can outlast such an election."""


class VoteReply(msgspec.Struct, frozen=True, kw_only=True, tag="vote", array_like=True):
    """Answer to a vote request."""

    term: int
    pre_vote: bool
    granted: bool

    newly_started: bool = False
    """True if the voter has not heard a leader since its process started."""


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True, tag="append?", array_like=True):
    """The leader sends entries, or none as a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int
    """Heartbeat round, echoed in the reply, from which the leader reckons its lease."""


class AppendReply(msgspec.Struct, frozen=True, kw_only=True, tag="append", array_like=True):
    """Answer to an append or snapshot request."""

    term: int
    accepted: bool
    index: int
    """Last index known to match if accepted, else the index to try next."""

    round: int


class SnapshotRequest(msgspec.Struct, frozen=True, kw_only=True, tag="snap?", array_like=True):
    """The leader replaces a follower's log by a snapshot."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True, tag="elect!", array_like=True):
    """A leader that hands over asks the target to start an election at once."""

    term: int


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | TimeoutNow


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with its sender and its target."""

    sender: str
    target: str
    message: Message


class HardState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a member must never forget between restarts, beside its log."""

    term: int = 0
    voted_for: str = ""
    """Member that got this member's vote in `term`; empty if none did."""
