"""Entry points of the replicated log: accepts events and returns work for a driver.

This package uses no sockets, files or clocks. A driver calls `tick`, `receive` and `propose` with
the monotonic time and a random number generator, takes a `Ready`, processes its fields in order,
and calls `record_synced`.
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
    """Build a member from its stored state.

    Args:
        member_id: Own member id.
        timing: Protocol intervals.
        hard_state: Term and vote on disk.
        snapshot: Newest snapshot on disk.
        entries: Entries on disk after the snapshot.
        initial_members: Members to start from when there is no snapshot.
        now: Monotonic time in seconds.
        rng: Random source for the election timeout.

    Returns:
        The member, as a follower.
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
    """Process elapsed time: send heartbeats, start elections, check the quorum.

    Args:
        replica: The member.
        now: Monotonic time in seconds.
        rng: Random source for election timeouts.
    """
    if replica.is_leader:
        check_quorum(replica, now, rng)
        if replica.transfer_target and now >= replica.transfer_deadline:
            # The target may still start an election, so this leader cannot regain its lease.
            become_follower(replica, replica.term, "", now, rng)
        if replica.is_leader and now >= replica.heartbeat_due:
            broadcast(replica, now)
        return
    if now >= replica.election_due:
        start_pre_vote(replica, now, rng)


def next_due(replica: Replica) -> float:
    """Return the latest monotonic time at which `tick` must be called next."""
    return replica.heartbeat_due if replica.is_leader else replica.election_due


def receive(replica: Replica, envelope: Envelope, now: float, rng: random.Random) -> None:
    """Handle one message.

    Args:
        replica: The member.
        envelope: The message; ignored if addressed to another member id.
        now: Monotonic time in seconds.
        rng: Random source for election timeouts.
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
        The index at which the command will be committed, unless another leader overwrites it first;
        None if this member does not lead or is transferring its leadership.
    """
    if not replica.is_leader or replica.transfer_target:
        return None
    return append_entry(replica, EntryKind.COMMAND, data)


def propose_members(replica: Replica, members: Members) -> bool:
    """Append a membership change that adds or removes at most one voter.

    Args:
        replica: The member.
        members: The complete new set.

    Returns:
        False if this member does not lead or is transferring its leadership, if an earlier change
        or the first entry of the current term is not committed yet, if more than one voter would
        change, or if no voter would remain.
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
    """Send appended entries without waiting for the next heartbeat."""
    if replica.is_leader and replica.unsynced_entries:
        broadcast(replica, now)


def take_ready(replica: Replica) -> Ready:
    """Return the pending work of a member and clear it.

    Args:
        replica: The member.

    Returns:
        The work; call `record_synced` once it is written and synced.
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
    """Record that the entries of a `Ready` are on disk.

    Args:
        replica: The member.
        ready: The work that was written and synced.
        now: Monotonic time in seconds.
        rng: Random source for election timeouts.
    """
    if ready.entries:
        last = ready.entries[-1]
        if replica.log.term_at(last.index) == last.term:
            replica.synced_index = max(replica.synced_index, last.index)
    advance_commit(replica)
    removed = replica.is_leader and not replica.is_voter
    if removed and replica.log.members_index <= replica.commit_index:
        become_follower(replica, replica.term, "", now, rng)
