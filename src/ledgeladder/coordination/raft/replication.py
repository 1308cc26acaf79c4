"""Log replication: appending, acknowledging, committing, and snapshots for lagging members."""

from __future__ import annotations

import random
from typing import Final

from .election import (
    accept_leader,
    become_follower,
    quorum,
    send,
    send_timeout_now,
    start_heartbeat_round,
)
from .messages import AppendReply, AppendRequest, LogEntry, Snapshot, SnapshotRequest
from .replica import Progress, Replica

MAX_APPEND_ENTRIES: Final = 512
"""Maximum number of entries in one append request."""

SNAPSHOT_RETRY_SECONDS: Final = 5.0
"""Time without an answer to a snapshot after which it is sent again."""


def broadcast(replica: Replica, now: float) -> None:
    """Send every member its missing entries, or a heartbeat."""
    start_heartbeat_round(replica, now)
    replica.heartbeat_due = now + replica.timing.heartbeat_interval
    for member, progress in replica.progress.items():
        send_append(replica, member, progress, now)


def send_append(replica: Replica, member: str, progress: Progress, now: float) -> None:
    """Send one member its missing entries.

    Args:
        replica: The leader.
        member: The member to send to.
        progress: Its replication state.
        now: Monotonic time in seconds.
    """
    previous_term = replica.log.term_at(progress.next_index - 1)
    if previous_term is None:
        _request_snapshot(replica, member, progress, now)
        return
    entries = replica.log.slice(progress.next_index, MAX_APPEND_ENTRIES)
    request = AppendRequest(
        term=replica.term,
        previous_index=progress.next_index - 1,
        previous_term=previous_term,
        entries=entries,
        commit_index=replica.commit_index,
        round=replica.round,
    )
    # Requests are pipelined; a rejection resets this index.
    progress.next_index += len(entries)
    send(replica, member, request)


def _request_snapshot(replica: Replica, member: str, progress: Progress, now: float) -> None:
    waited = now - progress.snapshot_sent_at
    if progress.awaiting_snapshot and waited < SNAPSHOT_RETRY_SECONDS:
        return
    progress.awaiting_snapshot = True
    progress.snapshot_sent_at = now
    replica.snapshot_targets.append(member)


def send_snapshot(replica: Replica, member: str, snapshot: Snapshot) -> None:
    """Send a member the newest snapshot, read by the driver.

    Args:
        replica: The leader.
        member: The member that needs it.
        snapshot: The newest snapshot on the leader's disk.
    """
    if replica.is_leader and member in replica.progress:
        request = SnapshotRequest(term=replica.term, snapshot=snapshot, round=replica.round)
        send(replica, member, request)


def receive_append(
    replica: Replica, sender: str, request: AppendRequest, now: float, rng: random.Random
) -> None:
    """Handle an append request: store its entries if the log matches the entry before them."""
    if not accept_leader(replica, sender, request.term, now, rng):
        _reply(replica, sender, request.round, accepted=False, index=replica.log.last_index)
        return
    log = replica.log
    if request.previous_index < log.base_index:
        # Entries up to the snapshot are committed, hence they match.
        _reply(replica, sender, request.round, accepted=True, index=log.base_index)
        return
    if log.term_at(request.previous_index) != request.previous_term:
        hint = _conflict_hint(replica, request.previous_index)
        _reply(replica, sender, request.round, accepted=False, index=hint)
        return
    _store(replica, request.entries)
    match_index = request.previous_index + len(request.entries)
    replica.commit_index = max(replica.commit_index, min(request.commit_index, match_index))
    _reply(replica, sender, request.round, accepted=True, index=match_index)


def _conflict_hint(replica: Replica, index: int) -> int:
    """Return the last index before the conflicting term, at least the commit index."""
    log = replica.log
    if index > log.last_index:
        return log.last_index
    conflicting = log.term_at(index)
    while index > log.base_index and log.term_at(index) == conflicting:
        index -= 1
    return max(index, replica.commit_index)


def _store(replica: Replica, entries: tuple[LogEntry, ...]) -> None:
    log = replica.log
    for position, entry in enumerate(entries):
        existing_term = log.term_at(entry.index)
        if existing_term == entry.term:
            continue
        if existing_term is not None:
            if entry.index <= replica.commit_index:
                raise AssertionError(f"entry {entry.index} is committed and would be replaced")
            log.truncate(entry.index)
            replica.synced_index = min(replica.synced_index, entry.index - 1)
            replica.unsynced_entries = [
                unsynced for unsynced in replica.unsynced_entries if unsynced.index < entry.index
            ]
        new_entries = entries[position:]
        log.append(new_entries)
        replica.unsynced_entries.extend(new_entries)
        return


def _reply(replica: Replica, target: str, round_number: int, *, accepted: bool, index: int) -> None:
    reply = AppendReply(term=replica.term, accepted=accepted, index=index, round=round_number)
    send(replica, target, reply)


def receive_snapshot(
    replica: Replica, sender: str, request: SnapshotRequest, now: float, rng: random.Random
) -> None:
    """Handle a snapshot from the leader: replace the log if the snapshot is ahead."""
    if not accept_leader(replica, sender, request.term, now, rng):
        _reply(replica, sender, request.round, accepted=False, index=replica.log.last_index)
        return
    snapshot = request.snapshot
    if snapshot.index > replica.commit_index:
        replica.log.reset(snapshot.index, snapshot.term, snapshot.members)
        replica.unsynced_entries.clear()
        replica.incoming_snapshot = snapshot
        replica.commit_index = snapshot.index
        replica.delivered_index = snapshot.index
        replica.synced_index = snapshot.index
    _reply(replica, sender, request.round, accepted=True, index=replica.commit_index)


def receive_append_reply(
    replica: Replica, sender: str, reply: AppendReply, now: float, rng: random.Random
) -> None:
    """Handle a reply: update the member's progress and advance the commit index."""
    if reply.term > replica.term:
        become_follower(replica, reply.term, "", now, rng)
        return
    progress = replica.progress.get(sender)
    if not replica.is_leader or reply.term != replica.term or progress is None:
        return
    progress.last_seen_at = now
    progress.answered_round = max(progress.answered_round, reply.round)
    if not reply.accepted:
        progress.next_index = max(progress.match_index, reply.index) + 1
        send_append(replica, sender, progress, now)
        return
    progress.awaiting_snapshot = False
    if reply.index > progress.match_index:
        progress.match_index = reply.index
        advance_commit(replica)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    if progress.next_index <= replica.log.last_index:
        send_append(replica, sender, progress, now)
    if replica.transfer_target == sender:
        send_timeout_now(replica)


def advance_commit(replica: Replica) -> None:
    """Commit up to the last entry synced by a majority of voters, if it is of the current term."""
    if not replica.is_leader:
        return
    matched = []
    for voter in replica.log.members.voters:
        if voter == replica.member_id:
            matched.append(replica.synced_index)
            continue
        progress = replica.progress.get(voter)
        matched.append(progress.match_index if progress else 0)
    if not matched:
        return
    matched.sort(reverse=True)
    candidate = matched[quorum(len(matched)) - 1]
    if candidate > replica.commit_index and replica.log.term_at(candidate) == replica.term:
        replica.commit_index = candidate
