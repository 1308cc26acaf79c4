"""The face of the replicated log: events go in, work for the driver comes out.

No sockets, files or clocks are used here. A driver calls `tick`, `receive` and `propose` with the
monotonic time and a random source, then takes a `Ready`, does what it says in its order, and calls
`synced`.
"""

from __future__ import annotations

import random

import msgspec

from .election import (
    append_entry,
    become_follower,
    check_quorum,
    receive_vote_reply,
    receive_vote_request,
    reset_election_timer,
    start_election,
    start_pre_vote,
)
from .log import RaftLog
from .messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    Envelope,
    HardState,
    LogEntry,
    Members,
    Snapshot,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from .replica import Ready, Replica, Role, Timing
from .replication import (
    advance_commit,
    broadcast,
    receive_append,
    receive_append_reply,
    receive_snapshot,
)


def restore_replica(
    *,
    member_id: str,
    timing: Timing,
    hard_state: HardState,
    snapshot: Snapshot | None,
    entries: list[LogEntry],
    initial_members: Members,
    now: float,
    rng: random.Random,
) -> Replica:
    """Build a member from what its disk holds.

    Args:
        member_id: Own member id.
        timing: Intervals.
        hard_state: Term and vote on disk.
        snapshot: Newest snapshot on disk.
        entries: Entries on disk after the snapshot.
        initial_members: Members of a cluster that has no snapshot yet.
        now: Monotonic time in seconds.
        rng: Source of the election time-out.

    Returns:
        A follower.
    """
    log = RaftLog(base_members=initial_members, entries=entries)
    if snapshot is not None:
        log = RaftLog(
            base_index=snapshot.index,
            base_term=snapshot.term,
            base_members=snapshot.members,
            entries=[entry for entry in entries if entry.index > snapshot.index],
        )
    replica = Replica(
        member_id=member_id,
        timing=timing,
        hard_state=hard_state,
        log=log,
        commit_index=log.base_index,
        delivered_index=log.base_index,
        synced_index=log.last_index,
        leader_last_seen_at=now,
    )
    reset_election_timer(replica, now, rng)
    return replica


def tick(replica: Replica, now: float, rng: random.Random) -> None:
    """Let time pass: heartbeats, elections, check of the quorum.

    Args:
        replica: The member.
        now: Monotonic time in seconds.
        rng: Source of election time-outs.
    """
    if replica.is_leader:
        check_quorum(replica, now, rng)
        if replica.transfer_target and now >= replica.transfer_deadline:
            # The target may still stand at any time, so the lease cannot be taken up again.
            become_follower(replica, replica.term, "", now, rng)
        if replica.is_leader and now >= replica.heartbeat_due:
            broadcast(replica, now)
        return
    if now >= replica.election_due:
        start_pre_vote(replica, now, rng)


def next_due(replica: Replica) -> float:
    """Return when `tick` has to be called next at the latest, on the monotonic clock."""
    return replica.heartbeat_due if replica.is_leader else replica.election_due


def receive(replica: Replica, envelope: Envelope, now: float, rng: random.Random) -> None:
    """Take in one message.

    Args:
        replica: The member.
        envelope: The message; one for another member id is ignored.
        now: Monotonic time in seconds.
        rng: Source of election time-outs.
    """
    if envelope.target != replica.member_id:
        return
    sender, message = envelope.sender, envelope.message
    match message:
        case VoteRequest():
            receive_vote_request(replica, sender, message, now, rng)
        case VoteReply():
            receive_vote_reply(replica, sender, message, now, rng)
        case AppendRequest():
            receive_append(replica, sender, message, now, rng)
        case AppendReply():
            receive_append_reply(replica, sender, message, now, rng)
        case SnapshotRequest():
            receive_snapshot(replica, sender, message, now, rng)
        case TimeoutNow():
            if message.term == replica.term and replica.role is Role.FOLLOWER:
                start_election(replica, now, rng, leadership_transfer=True)


def propose(replica: Replica, data: bytes) -> int | None:
    """Append a command to the log if this member leads.

    Args:
        replica: The member.
        data: Encoded command.

    Returns:
        The index at which the command will be committed, unless another leader replaces it first;
        None if this member does not lead or is handing over.
    """
    if not replica.is_leader or replica.transfer_target:
        return None
    return append_entry(replica, EntryKind.COMMAND, data)


def propose_members(replica: Replica, members: Members) -> bool:
    """Append a change of members that adds or removes at most one voter.

    Args:
        replica: The member.
        members: The whole new set.

    Returns:
        False if this member does not lead, if an earlier change is not committed yet, if nothing
        of the current term is committed yet, or if more than one voter would change.
    """
    if not replica.is_leader or replica.transfer_target:
        return False
    if replica.log.members_index > replica.commit_index:
        return False
    if replica.log.term_at(replica.commit_index) != replica.term:
        return False
    if len(set(members.voters) ^ set(replica.log.members.voters)) > 1 or not members.voters:
        return False
    append_entry(replica, EntryKind.MEMBERS, msgspec.msgpack.encode(members))
    return True


def flush(replica: Replica, now: float) -> None:
    """Send appended entries to the other members now and not with the next heartbeat."""
    if replica.is_leader and replica.unsynced_entries:
        broadcast(replica, now)


def take_ready(replica: Replica) -> Ready:
    """Take the pending work out of a member.

    Args:
        replica: The member.

    Returns:
        The work; `synced` must be called once it is written and synced.
    """
    committed: tuple[LogEntry, ...] = ()
    last = min(replica.commit_index, replica.log.last_index)
    if last > replica.delivered_index:
        committed = replica.log.between(replica.delivered_index + 1, last)
        replica.delivered_index = last
    ready = Ready(
        hard_state=replica.hard_state if replica.hard_state_dirty else None,
        snapshot=replica.incoming_snapshot,
        entries=tuple(replica.unsynced_entries),
        messages=tuple(replica.outbox),
        committed=committed,
        snapshot_targets=tuple(replica.snapshot_targets),
    )
    replica.hard_state_dirty = False
    replica.incoming_snapshot = None
    replica.unsynced_entries.clear()
    replica.outbox.clear()
    replica.snapshot_targets.clear()
    return ready


def record_synced(replica: Replica, ready: Ready, now: float, rng: random.Random) -> None:
    """Note that the entries of a `Ready` are on disk.

    Args:
        replica: The member.
        ready: The work that was written and synced.
        now: Monotonic time in seconds.
        rng: Source of election time-outs.
    """
    if ready.entries:
        last = ready.entries[-1]
        if replica.log.term_at(last.index) == last.term:
            replica.synced_index = max(replica.synced_index, last.index)
    advance_commit(replica)
    removed = replica.is_leader and not replica.is_voter
    if removed and replica.log.members_index <= replica.commit_index:
        become_follower(replica, replica.term, "", now, rng)
