"""State of one member of the replicated log, and the work that it returns to its driver."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from .log import RaftLog
from .messages import Envelope, HardState, LogEntry, Snapshot


class Role(StrEnum):
    """Role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals of the protocol, in seconds on the monotonic clock."""

    heartbeat_interval: float = 0.1
    """Time between heartbeats of the leader."""

    election_timeout: float = 0.5
    """Minimum time without a leader before a follower starts an election; the maximum is twice
    this."""

    lease_duration: float = 0.4
    """Time a lease lasts; shorter than `election_timeout` to allow for clock drift."""


class Progress(msgspec.Struct, kw_only=True):
    """Replication state of one other member, kept by the leader."""

    next_index: int
    """Index of the next entry to send."""

    match_index: int = 0
    """Index of the last entry that the member has acknowledged as synced."""

    answered_round: int = 0
    """Newest heartbeat round that the member answered."""

    last_seen_at: float = 0.0
    """When the member last answered, on the monotonic clock."""

    awaiting_snapshot: bool = False
    """True from the request for a snapshot until the next accepted reply."""

    snapshot_sent_at: float = 0.0
    """When the snapshot was last requested from the driver, on the monotonic clock."""


class Replica(msgspec.Struct, kw_only=True):
    """One member: its durable state, volatile state and pending output."""

    member_id: str
    """Own member id; a box whose disk was lost gets a new one."""

    timing: Timing = msgspec.field(default_factory=Timing)
    """Protocol intervals."""

    hard_state: HardState = msgspec.field(default_factory=HardState)
    """Term and vote."""

    log: RaftLog = msgspec.field(default_factory=RaftLog)
    """The log after the last snapshot."""

    role: Role = Role.FOLLOWER
    """Current role."""

    leader_id: str = ""
    """Leader of the current term, if known."""

    commit_index: int = 0
    """Index of the last entry known to be committed."""

    delivered_index: int = 0
    """Index of the last committed entry that was returned to the driver."""

    synced_index: int = 0
    """Index of the last entry that is synced to the local disk."""

    votes: dict[str, bool] = msgspec.field(default_factory=dict)
    """Votes received in the current election."""

    progress: dict[str, Progress] = msgspec.field(default_factory=dict)
    """Replication state of the other members while leading."""

    newly_started: bool = True
    """True until it first leads or sees a leader after its process started."""

    newly_started_voters: set[str] = msgspec.field(default_factory=set)
    """Voters that reported being newly started in the current pre-vote."""

    needs_all_votes: bool = False
    """True in an election that requires the votes of all voters."""

    election_due: float = 0.0
    """When to start a pre-vote unless a leader is seen."""

    leader_last_seen_at: float = 0.0
    """When a leader was last seen; initially the process start, see `receive_vote_request`."""

    heartbeat_due: float = 0.0
    """When to send the next heartbeat."""

    round: int = 0
    """Newest heartbeat round."""

    round_sent_at: dict[int, float] = msgspec.field(default_factory=dict)
    """Send times of recent rounds."""

    transfer_target: str = ""
    """Member that the leadership is being transferred to, or empty."""

    transfer_deadline: float = 0.0
    """When an unfinished leadership transfer is aborted."""

    lease_forfeited: bool = False
    """True after a leadership transfer started: this member gets no lease in this term."""

    outbox: list[Envelope] = msgspec.field(default_factory=list)
    """Messages to send once the writes below are synced."""

    unsynced_entries: list[LogEntry] = msgspec.field(default_factory=list)
    """Entries to write; an entry replaces a stored one of the same index and all after it."""

    hard_state_dirty: bool = False
    """True if `hard_state` has changes to write."""

    incoming_snapshot: Snapshot | None = None
    """Snapshot from the leader to write and to restore the state machine from."""

    snapshot_targets: list[str] = msgspec.field(default_factory=list)
    """Members that need the newest snapshot from this leader."""

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """True while this member is in the leader role."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """True if this member is a voter according to its own log."""
        return self.member_id in self.log.members.voters


class Ready(msgspec.Struct, frozen=True, kw_only=True):
    """Work for the driver, to be processed in the order of the fields.

    Everything up to `entries` must be written and synced before any of `messages` is sent.
    """

    hard_state: HardState | None
    """Term and vote to write."""

    snapshot: Snapshot | None
    """Snapshot to write, which replaces the journal, and to restore from."""

    entries: tuple[LogEntry, ...]
    """Entries to write."""

    messages: tuple[Envelope, ...]
    """Messages to send; the protocol tolerates their loss."""

    committed: tuple[LogEntry, ...]
    """Entries to apply to the state machine."""

    snapshot_targets: tuple[str, ...]
    """Members to call `send_snapshot` for."""
