"""Elections: pre-votes, votes, stepping down and the leader's lease.

After "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014) and the
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
"""Part of an election time-out after which a member that has just started asks whether all others
have, too: 0.06 to 0.12 s, where links are up after 0.055 s and a vote takes a few milliseconds.
Where they have, a leader is there 0.6 s sooner than after the silence that protects a lease. With a
quarter of the time-out it was there 0.33 s after the links were up, when a first round had failed
for one link that came later."""


def quorum(count: int) -> int:
    """Return the size of a majority of `count` voters."""
    return count // 2 + 1


def send(replica: Replica, target: str, message: Message) -> None:
    """Queue a message until everything before it is synced."""
    replica.outbox.append(Envelope(sender=replica.member_id, target=target, message=message))


def set_hard_state(replica: Replica, term: int, voted_for: str) -> None:
    """Change term and vote and mark them as not yet written."""
    replica.hard_state = HardState(term=term, voted_for=voted_for)
    replica.hard_state_dirty = True


def reset_election_timer(replica: Replica, now: float, rng: random.Random) -> None:
    """Push the next election out by a random time, so that members rarely stand together.

    A fresh member asks sooner: if all others are fresh too, nobody leads.
    """
    share = NEWLY_STARTED_TIMEOUT_FACTOR if replica.newly_started else 1.0
    replica.election_due = now + share * replica.timing.election_timeout * (1.0 + rng.random())


def become_follower(
    replica: Replica, term: int, leader_id: str, now: float, rng: random.Random
) -> None:
    """Follow, in the same term or a later one.

    Args:
        replica: The member.
        term: Term to be in, never below the current one.
        leader_id: Leader of that term, or empty if not known.
        now: Monotonic time in seconds.
        rng: Source of the election time-out.
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
    """Ask whether an election could be won, without raising the term."""
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
    """Raise the term and ask for votes.

    Args:
        replica: The member.
        now: Monotonic time in seconds.
        rng: Source of the election time-out.
        leadership_transfer: True if the old leader asked for it.
        unanimous: True if all voters have just started, so that nobody leads: their votes are taken
            before the time-out that protects a lease, and all of them are needed.
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
    is_real = replica.role is Role.CANDIDATE
    needed = len(voters) if is_real and replica.needs_all_votes else quorum(len(voters))
    if granted < needed:
        return
    if replica.role is Role.PRE_CANDIDATE:
        # The own vote is bound by the own silence as those of others are.
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
    # Entries of earlier terms commit only under an entry of this term (Raft, section 5.4.2).
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
    """Start and stop replicating to members as the newest members say."""
    wanted = set(replica.log.members.all_ids) - {replica.member_id}
    for member in wanted - set(replica.progress):
        replica.progress[member] = Progress(next_index=replica.log.last_index + 1)
    for member in set(replica.progress) - wanted:
        del replica.progress[member]


def receive_vote_request(
    replica: Replica, sender: str, request: VoteRequest, now: float, rng: random.Random
) -> None:
    """Answer a candidate.

    A member that has heard a leader within the least election time-out stays silent. That keeps a
    rejoining member from unseating a working leader, and it makes the lease hold: whoever answered
    a heartbeat votes for nobody else until the lease that the answer gave has run out. A member
    that has just started counts as having heard a leader, since it may have before it stopped.
    """
    leader_recently_seen = now < replica.leader_last_seen_at + replica.timing.election_timeout
    agreed = request.leadership_transfer or (request.unanimous and replica.newly_started)
    if leader_recently_seen and not agreed:
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
        # A refusal carries the own term, lest a mere trial raise the term of whoever asked.
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
    """Tell whether a candidate's log holds at least what the own one does."""
    own = (replica.log.last_term, replica.log.last_index)
    return (request.last_term, request.last_index) >= own


def _send_newly_started(replica: Replica, sender: str, request: VoteRequest) -> None:
    """Answer a trial that the member would grant but for its silence after a start."""
    would_grant = _is_up_to_date(replica, request) and request.term > replica.term
    if request.pre_vote and replica.newly_started and would_grant:
        reply = VoteReply(term=request.term, pre_vote=True, granted=False, newly_started=True)
        send(replica, sender, reply)


def receive_vote_reply(
    replica: Replica, sender: str, reply: VoteReply, now: float, rng: random.Random
) -> None:
    """Count a vote."""
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
    """Return until when a leader may act outside, on the monotonic clock.

    Args:
        replica: The member.
        now: Monotonic time in seconds.

    Returns:
        The end of the lease, or minus infinity without one.
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
    """Tell whether a leader may act outside right now."""
    return now < lease_until(replica, now)


def check_quorum(replica: Replica, now: float, rng: random.Random) -> None:
    """Step down if no majority answered within the longest election time-out."""
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
    """Begin to hand the leadership to a voter.

    Args:
        replica: The leader.
        target: The voter that is to lead.
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
    """Tell the hand-over target to stand as soon as it holds the whole log."""
    progress = replica.progress.get(replica.transfer_target)
    if progress is not None and progress.match_index == replica.log.last_index:
        send(replica, replica.transfer_target, TimeoutNow(term=replica.term))


def step_down(replica: Replica, now: float, rng: random.Random) -> Envelope | None:
    """Stop leading at once, without a word to the disk.

    Args:
        replica: The member.
        now: Monotonic time in seconds.
        rng: Source of the election time-out.

    Returns:
        A message that asks the voter with most of the log to stand, to be sent at once; None if
        this member does not lead or is alone. If it is lost, others stand after a time-out.
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
    """Open a new heartbeat round and remember when it was sent."""
    replica.round += 1
    replica.round_sent_at[replica.round] = now
    # A round older than the lease cannot extend it any more.
    oldest = next(iter(replica.round_sent_at))
    while replica.round_sent_at[oldest] < now - replica.timing.lease_duration:
        del replica.round_sent_at[oldest]
        oldest = next(iter(replica.round_sent_at))
    return replica.round


def accept_leader(replica: Replica, sender: str, term: int, now: float, rng: random.Random) -> bool:
    """Follow the sender of an append or snapshot request unless its term is old.

    Returns:
        True if the request is of the current term or a newer one.
    """
    if term < replica.term:
        return False
    replica.newly_started = False
    become_follower(replica, term, sender, now, rng)
    replica.leader_last_seen_at = now
    return True
