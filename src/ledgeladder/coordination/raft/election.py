"""Elections: pre-votes, votes, leadership transfer and the leader's lease.

Follows "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014) and the
pre-vote, check-quorum and lease extensions in Ongaro's dissertation, sections 6.4 and 9.6.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from .messages import (
    EntryKind,
    Envelope,
    HardState,
    LogEntry,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from .replica import Progress, Replica, Role

if TYPE_CHECKING:
    from .messages import Message


NEWLY_STARTED_TIMEOUT_FACTOR: Final = 0.1
"""Fraction of the election timeout after which a newly started member starts a pre-vote.

If all voters are newly started, no lease can exist and they elect a leader without waiting for the
full timeout. With a larger fraction, they elect it later after a restart of all boxes; this one
still leaves time for the links to open first."""


def quorum(count: int) -> int:
    """Return the size of a majority of `count` voters."""
    return count // 2 + 1


def send(replica: Replica, target: str, message: Message) -> None:
    """Queue a message, which is sent after all earlier writes are synced."""
    replica.outbox.append(Envelope(sender=replica.member_id, target=target, message=message))


def set_hard_state(replica: Replica, term: int, voted_for: str) -> None:
    """Set term and vote and mark them for writing."""
    replica.hard_state = HardState(term=term, voted_for=voted_for)
    replica.hard_state_dirty = True


def reset_election_timer(replica: Replica, now: float, rng: random.Random) -> None:
    """Restart the election timer with a random timeout, which makes split votes rare.

    A newly started member uses a shorter one, see `NEWLY_STARTED_TIMEOUT_FACTOR`.
    """
    factor = NEWLY_STARTED_TIMEOUT_FACTOR if replica.newly_started else 1.0
    replica.election_due = now + factor * replica.timing.election_timeout * (1.0 + rng.random())


def become_follower(
    replica: Replica, term: int, leader_id: str, now: float, rng: random.Random
) -> None:
    """Become a follower in the current term or a later one.

    Args:
        replica: The member.
        term: The new term, at least the current one.
        leader_id: Leader of that term, or empty if unknown.
        now: Monotonic time in seconds.
        rng: Random source for the election timeout.
    """
    if term > replica.term:
        set_hard_state(replica, term, "")
    replica.role = Role.FOLLOWER
    replica.leader_id = leader_id
    replica.progress.clear()
    replica.votes.clear()
    replica.transfer_target = ""
    reset_election_timer(replica, now, rng)


def start_pre_vote(replica: Replica, now: float, rng: random.Random) -> None:
    """Start a pre-vote: ask whether an election could be won, without raising the term."""
    reset_election_timer(replica, now, rng)
    if not replica.is_voter:
        return
    replica.role = Role.PRE_CANDIDATE
    replica.leader_id = ""
    replica.votes = {replica.member_id: True}
    replica.newly_started_voters = {replica.member_id} if replica.newly_started else set()
    _request_votes(replica, term=replica.term + 1, pre_vote=True)
    _count_votes(replica, now, rng)


def start_election(
    replica: Replica,
    now: float,
    rng: random.Random,
    *,
    leadership_transfer: bool = False,
    unanimous: bool = False,
) -> None:
    """Raise the term and request votes.

    Args:
        replica: The member.
        now: Monotonic time in seconds.
        rng: Random source for the election timeout.
        leadership_transfer: True if the old leader requested the election.
        unanimous: True if all voters are newly started. Voters then grant votes before the timeout
            that protects a lease, and the candidate needs the votes of all of them.
    """
    if not replica.is_voter:
        return
    reset_election_timer(replica, now, rng)
    replica.role = Role.CANDIDATE
    replica.leader_id = ""
    replica.needs_all_votes = unanimous
    set_hard_state(replica, replica.term + 1, replica.member_id)
    replica.votes = {replica.member_id: True}
    _request_votes(
        replica,
        term=replica.term,
        pre_vote=False,
        leadership_transfer=leadership_transfer,
        unanimous=unanimous,
    )
    _count_votes(replica, now, rng)


def _request_votes(
    replica: Replica,
    *,
    term: int,
    pre_vote: bool,
    leadership_transfer: bool = False,
    unanimous: bool = False,
) -> None:
    request = VoteRequest(
        term=term,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        pre_vote=pre_vote,
        leadership_transfer=leadership_transfer,
        unanimous=unanimous,
    )
    for voter in replica.log.members.voters:
        if voter != replica.member_id:
            send(replica, voter, request)


def _count_votes(replica: Replica, now: float, rng: random.Random) -> None:
    voters = replica.log.members.voters
    granted = sum(1 for voter in voters if replica.votes.get(voter))
    is_election = replica.role is Role.CANDIDATE
    needed = len(voters) if is_election and replica.needs_all_votes else quorum(len(voters))
    if granted < needed:
        return
    if replica.role is Role.PRE_CANDIDATE:
        # The lease rule that binds other voters applies to this member's own vote too.
        if now >= replica.leader_last_seen_at + replica.timing.election_timeout:
            start_election(replica, now, rng)
    elif replica.role is Role.CANDIDATE:
        _become_leader(replica, now)


def _become_leader(replica: Replica, now: float) -> None:
    replica.newly_started = False
    replica.role = Role.LEADER
    replica.leader_id = replica.member_id
    replica.transfer_target = ""
    replica.lease_forfeited = False
    replica.round_sent_at.clear()
    replica.progress = {
        member: Progress(next_index=replica.log.last_index + 1, last_seen_at=now)
        for member in replica.log.members.all_ids
        if member != replica.member_id
    }
    replica.heartbeat_due = now
    # Entries of earlier terms commit only through an entry of this term (Raft, section 5.4.2).
    append_entry(replica, EntryKind.BARRIER, b"")


def append_entry(replica: Replica, kind: EntryKind, data: bytes) -> int:
    """Append one entry to the leader's own log.

    Args:
        replica: The leader.
        kind: What `data` is.
        data: Encoded payload.

    Returns:
        The index of the entry.
    """
    entry = LogEntry(index=replica.log.last_index + 1, term=replica.term, kind=kind, data=data)
    replica.log.append((entry,))
    replica.unsynced_entries.append(entry)
    if kind is EntryKind.MEMBERS:
        track_members(replica)
    return entry.index


def track_members(replica: Replica) -> None:
    """Start and stop replicating to match the newest members in the log."""
    wanted = set(replica.log.members.all_ids) - {replica.member_id}
    for member in wanted - set(replica.progress):
        replica.progress[member] = Progress(next_index=replica.log.last_index + 1)
    for member in set(replica.progress) - wanted:
        del replica.progress[member]


def receive_vote_request(
    replica: Replica, sender: str, request: VoteRequest, now: float, rng: random.Random
) -> None:
    """Handle a vote request.

    A member that saw a leader within the minimum election timeout does not answer, except to report
    that it is newly started. This keeps a rejoining member from disrupting a working leader. It
    also makes the lease safe: a member that answered a heartbeat votes for no other member before
    the lease from that answer expires. A member counts its own start as contact with a leader,
    since it may have answered one before it stopped.
    """
    leader_recently_seen = now < replica.leader_last_seen_at + replica.timing.election_timeout
    lease_is_excluded = request.leadership_transfer or (request.unanimous and replica.newly_started)
    if leader_recently_seen and not lease_is_excluded:
        _send_newly_started(replica, sender, request)
        return
    if request.term > replica.term and not request.pre_vote:
        become_follower(replica, request.term, "", now, rng)
    if request.term < replica.term:
        send(
            replica, sender, VoteReply(term=replica.term, pre_vote=request.pre_vote, granted=False)
        )
        return
    up_to_date = _is_up_to_date(replica, request)
    if request.pre_vote:
        granted = up_to_date and request.term > replica.term
        # A rejection carries this member's term: a pre-vote must not raise the sender's term.
        term = request.term if granted else replica.term
        newly_started = granted and replica.newly_started
        send(
            replica,
            sender,
            VoteReply(term=term, pre_vote=True, granted=granted, newly_started=newly_started),
        )
        return
    granted = up_to_date and replica.hard_state.voted_for in ("", sender)
    if granted and not replica.hard_state.voted_for:
        set_hard_state(replica, replica.term, sender)
        reset_election_timer(replica, now, rng)
    send(replica, sender, VoteReply(term=replica.term, pre_vote=False, granted=granted))


def _is_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    """Return whether a candidate's log is at least as up to date as this member's."""
    own = (replica.log.last_term, replica.log.last_index)
    return (request.last_term, request.last_index) >= own


def _send_newly_started(replica: Replica, sender: str, request: VoteRequest) -> None:
    """Report being newly started if only the start timeout prevents granting a pre-vote."""
    would_grant = _is_up_to_date(replica, request) and request.term > replica.term
    if request.pre_vote and replica.newly_started and would_grant:
        reply = VoteReply(term=request.term, pre_vote=True, granted=False, newly_started=True)
        send(replica, sender, reply)


def receive_vote_reply(
    replica: Replica, sender: str, reply: VoteReply, now: float, rng: random.Random
) -> None:
    """Handle a reply to a pre-vote or vote request."""
    expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    expected_term = replica.term + 1 if reply.pre_vote else replica.term
    if reply.newly_started and replica.role is expected_role and reply.term == expected_term:
        replica.newly_started_voters.add(sender)
        if replica.newly_started_voters.issuperset(replica.log.members.voters):
            start_election(replica, now, rng, unanimous=True)
            return
    if reply.newly_started and not reply.granted:
        return
    if not reply.granted and reply.term > replica.term:
        become_follower(replica, reply.term, "", now, rng)
        return
    if replica.role is not expected_role or reply.term != expected_term:
        return
    replica.votes[sender] = reply.granted
    _count_votes(replica, now, rng)


def lease_until(replica: Replica, now: float) -> float:
    """Return when the lease of a leader expires, on the monotonic clock.

    Args:
        replica: The member.
        now: Monotonic time in seconds.

    Returns:
        The expiry time in seconds, or minus infinity without a lease.
    """
    if not replica.is_leader or replica.lease_forfeited:
        return float("-inf")
    answered_at = []
    for voter in replica.log.members.voters:
        if voter == replica.member_id:
            answered_at.append(now)
            continue
        progress = replica.progress.get(voter)
        answered_round = progress.answered_round if progress else 0
        answered_at.append(replica.round_sent_at.get(answered_round, float("-inf")))
    answered_at.sort(reverse=True)
    needed = quorum(len(answered_at))
    return answered_at[needed - 1] + replica.timing.lease_duration


def holds_lease(replica: Replica, now: float) -> bool:
    """Return whether this member leads with a valid lease."""
    return now < lease_until(replica, now)


def check_quorum(replica: Replica, now: float, rng: random.Random) -> None:
    """Step down if no majority answered within the maximum election timeout."""
    limit = now - 2 * replica.timing.election_timeout
    voters = replica.log.members.voters
    alive = sum(
        1
        for voter in voters
        if voter == replica.member_id
        or (voter in replica.progress and replica.progress[voter].last_seen_at >= limit)
    )
    if alive < quorum(len(voters)):
        become_follower(replica, replica.term, "", now, rng)


def transfer_leadership(replica: Replica, target: str, now: float) -> bool:
    """Start a leadership transfer to a voter.

    Args:
        replica: The leader.
        target: The voter that becomes the leader.
        now: Monotonic time in seconds.

    Returns:
        False if this member does not lead or the target is not another voter.
    """
    if not replica.is_leader or target == replica.member_id:
        return False
    if target not in replica.log.members.voters:
        return False
    replica.transfer_target = target
    replica.transfer_deadline = now + 2 * replica.timing.election_timeout
    replica.lease_forfeited = True
    send_timeout_now(replica)
    return True


def send_timeout_now(replica: Replica) -> None:
    """Request an election from the transfer target once it has the whole log."""
    progress = replica.progress.get(replica.transfer_target)
    if progress is not None and progress.match_index == replica.log.last_index:
        send(replica, replica.transfer_target, TimeoutNow(term=replica.term))


def step_down(replica: Replica, now: float, rng: random.Random) -> Envelope | None:
    """Stop leading at once, without writing to the disk.

    Args:
        replica: The member.
        now: Monotonic time in seconds.
        rng: Random source for the election timeout.

    Returns:
        A message to send at once, which requests an election from the voter with the longest
        matching log; None if this member does not lead or has no other voter. If the message is
        lost, another voter starts an election after its timeout.
    """
    if not replica.is_leader:
        return None
    voters = [item for item in replica.log.members.voters if item in replica.progress]
    target = max(voters, key=lambda item: replica.progress[item].match_index, default=None)
    become_follower(replica, replica.term, "", now, rng)
    if target is None:
        return None
    message = TimeoutNow(term=replica.term)
    return Envelope(sender=replica.member_id, target=target, message=message)


def start_heartbeat_round(replica: Replica, now: float) -> int:
    """Start a new heartbeat round and record its send time."""
    replica.round += 1
    replica.round_sent_at[replica.round] = now
    # A round older than the lease duration can no longer extend the lease.
    oldest = next(iter(replica.round_sent_at))
    while replica.round_sent_at[oldest] < now - replica.timing.lease_duration:
        del replica.round_sent_at[oldest]
        oldest = next(iter(replica.round_sent_at))
    return replica.round


def accept_leader(replica: Replica, sender: str, term: int, now: float, rng: random.Random) -> bool:
    """Follow the sender of an append or snapshot request unless its term is stale.

    Returns:
        True if the request has the current term or a later one.
    """
    if term < replica.term:
        return False
    replica.newly_started = False
    become_follower(replica, term, sender, now, rng)
    replica.leader_last_seen_at = now
    return True
