"""State of one member of the replicated log, and what it asks its driver to do."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from .log import RaftLog
from .messages import Envelope, HardState, LogEntry, Snapshot


class Role(StrEnum):
    """What a member currently is."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals of the protocol, in seconds on the monotonic clock."""

    heartbeat_interval: float = 0.1
    """Time between heartbeats of a leader."""

    election_timeout: float = 0.5
    """Least silence after which a follower stands for election; at most twice this."""

    lease_duration: float = 0.4
    """How long a leader may act after a quorum answered; below `election` by the clock drift."""


class Progress(msgspec.Struct, kw_only=True):
    """What a leader knows of one other member."""

    next_index: int
    """First entry to send next."""

    match_index: int = 0
    """Last entry known to be held and synced by the member."""

    answered_round: int = 0
    """Newest heartbeat round that the member answered."""

    last_seen_at: float = 0.0
    """When the member last answered."""

    awaiting_snapshot: bool = False
    """True while a snapshot is being fetched or is under way."""

    snapshot_sent_at: float = 0.0
    """When the snapshot was last asked for."""


class Replica(msgspec.Struct, kw_only=True):
    """One member: its durable state, its volatile state, and its pending output."""

    member_id: str
    """Own member id; a box whose disk was lost returns under a new one."""

    timing: Timing = msgspec.field(default_factory=Timing)
    """Intervals."""

    hard_state: HardState = msgspec.field(default_factory=HardState)
    """Term and vote."""

    log: RaftLog = msgspec.field(default_factory=RaftLog)
    """The log after the last snapshot."""

    role: Role = Role.FOLLOWER
    """Current role."""

    leader_id: str = ""
    """Leader of the current term, if known."""

    commit_index: int = 0
    """Last entry known to be committed."""

    delivered_index: int = 0
    """Last committed entry that was given to the driver."""

    synced_index: int = 0
    """Last entry that the own disk holds for certain."""

    votes: dict[str, bool] = msgspec.field(default_factory=dict)
    """Votes received in the current election."""

    progress: dict[str, Progress] = msgspec.field(default_factory=dict)
    """Other members, while leading."""

    newly_started: bool = True
    """True until it leads or hears a leader for the first time since its process started."""

    newly_started_voters: set[str] = msgspec.field(default_factory=set)
    """Voters that said in the current trial that they are fresh."""

    needs_all_votes: bool = False
    """True in an election that takes the votes of all voters."""

    election_due: float = 0.0
    """When to stand for election unless a leader is heard."""

    leader_last_seen_at: float = 0.0
    """When a leader was last heard; starts at the process start, see `election`."""

    heartbeat_due: float = 0.0
    """When to send the next heartbeat."""

    round: int = 0
    """Newest heartbeat round."""

    round_sent_at: dict[int, float] = msgspec.field(default_factory=dict)
    """When recent rounds were sent."""

    transfer_target: str = ""
    """Member that the leadership is being handed to."""

    transfer_deadline: float = 0.0
    """When an unfinished hand-over is given up."""

    lease_forfeited: bool = False
    """True once a hand-over was asked for in this term: no lease until the next term."""

    outbox: list[Envelope] = msgspec.field(default_factory=list)
    """Messages to send once everything below is synced."""

    unsynced_entries: list[LogEntry] = msgspec.field(default_factory=list)
    """Entries to write; one with an index already written replaces it and all after it."""

    hard_state_dirty: bool = False
    """True if `hard_state` must be written."""

    incoming_snapshot: Snapshot | None = None
    """Snapshot to write and to restore the state machine from."""

    snapshot_targets: list[str] = msgspec.field(default_factory=list)
    """Members that need the newest snapshot from this leader."""

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """True while this member believes that it leads."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """True if this member's vote counts by its own log."""
        return self.member_id in self.log.members.voters


class Ready(msgspec.Struct, frozen=True, kw_only=True):
    """Work for the driver, to be done in the order of the fields.

    Everything up to `entries` is written and synced before any of `messages` is sent.
    """

    hard_state: HardState | None
    """Term and vote to write."""

    snapshot: Snapshot | None
    """Snapshot to write, replacing the journal, and to restore from."""

    entries: tuple[LogEntry, ...]
    """Entries to write."""

    messages: tuple[Envelope, ...]
    """Messages to send; losing one is harmless."""

    committed: tuple[LogEntry, ...]
    """Entries to apply to the state machine."""

    snapshot_targets: tuple[str, ...]
    """Members to call `send_snapshot` for."""
