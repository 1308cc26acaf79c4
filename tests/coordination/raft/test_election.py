"""Elections right after a start, which must not violate a lease granted before it."""

from __future__ import annotations

import random
from collections.abc import Collection

import pytest

from ledgeladder.coordination import raft

MEMBERS = ("a", "b", "c")
STEP_SECONDS = 0.005
ELECTION_SECONDS = raft.Timing().election_timeout


def start(member_id: str, now: float, rng: random.Random) -> raft.Replica:
    return raft.restore_replica(
        member_id=member_id,
        timing=raft.Timing(),
        hard_state=raft.HardState(),
        snapshot=None,
        entries=[],
        initial_members=raft.Members(voters=MEMBERS),
        now=now,
        rng=rng,
    )


def seconds_to_election(seed: int, up: Collection[str] = MEMBERS) -> float:
    """Start members within 0.1 s and return when one of them becomes the leader.

    Messages take one step; writes are synced at once.
    """
    rng = random.Random(seed)
    starts = {member_id: rng.uniform(0.0, 0.1) for member_id in up}
    replicas: dict[str, raft.Replica] = {}
    in_flight: list[raft.Envelope] = []
    now = 0.0
    while not any(replica.is_leader for replica in replicas.values()):
        now += STEP_SECONDS
        assert now < 60.0
        for member_id, started_at in starts.items():
            if started_at <= now and member_id not in replicas:
                replicas[member_id] = start(member_id, now, rng)
        delivered, in_flight = in_flight, []
        for envelope in delivered:
            if envelope.target in replicas:
                raft.receive(replicas[envelope.target], envelope, now, rng)
        for replica in replicas.values():
            raft.tick(replica, now, rng)
            ready = raft.take_ready(replica)
            raft.record_synced(replica, ready, now, rng)
            in_flight += ready.messages
    return now


def vote_replies(
    replica: raft.Replica, request: raft.VoteRequest, now: float
) -> list[raft.VoteReply]:
    """Return the replies of a member to a vote request."""
    rng = random.Random(1)
    envelope = raft.Envelope(sender="b", target="a", message=request)
    raft.receive(replica, envelope, now, rng)
    sent = [item.message for item in raft.take_ready(replica).messages]
    return [item for item in sent if isinstance(item, raft.VoteReply)]


def request(*, pre_vote: bool, unanimous: bool = False) -> raft.VoteRequest:
    return raft.VoteRequest(
        term=1, last_index=0, last_term=0, pre_vote=pre_vote, unanimous=unanimous
    )


def test_members_that_start_together_elect_before_the_election_timeout() -> None:
    """No lease can exist if every voter is newly started."""
    times = sorted(seconds_to_election(seed) for seed in range(200))
    assert times[len(times) // 2] < ELECTION_SECONDS


@pytest.mark.parametrize("seed", range(20))
def test_missing_voter_delays_the_election_by_the_timeout(seed: int) -> None:
    """The missing voter may lead with a lease that one of the others granted before its restart."""
    assert seconds_to_election(seed, ("a", "b")) >= ELECTION_SECONDS


def test_newly_started_member_grants_only_unanimous_elections() -> None:
    assert vote_replies(start("a", 0.0, random.Random(1)), request(pre_vote=False), 0.1) == []
    replies = vote_replies(start("a", 0.0, random.Random(1)), request(pre_vote=True), 0.1)
    assert [(item.granted, item.newly_started) for item in replies] == [(False, True)]
    unanimous_request = request(pre_vote=False, unanimous=True)
    granted = vote_replies(start("a", 0.0, random.Random(1)), unanimous_request, 0.1)
    assert [item.granted for item in granted] == [True]


def test_member_that_saw_a_leader_answers_no_vote_request() -> None:
    for vote_request in (request(pre_vote=True), request(pre_vote=False, unanimous=True)):
        replica = start("a", 0.0, random.Random(1))
        heartbeat = raft.AppendRequest(
            term=0, previous_index=0, previous_term=0, entries=(), commit_index=0, round=1
        )
        envelope = raft.Envelope(sender="c", target="a", message=heartbeat)
        raft.receive(replica, envelope, 0.05, random.Random(1))
        raft.take_ready(replica)
        assert vote_replies(replica, vote_request, 0.1) == []


def test_unanimous_election_is_not_won_by_a_majority() -> None:
    rng = random.Random(1)
    replica = start("a", 0.0, rng)
    raft.tick(replica, replica.election_due, rng)
    now = 0.3

    def reply(sender: str, **fields: bool) -> None:
        message = raft.VoteReply(term=1, **fields)
        envelope = raft.Envelope(sender=sender, target="a", message=message)
        raft.receive(replica, envelope, now, rng)

    reply("b", pre_vote=True, granted=False, newly_started=True)
    assert replica.term == 0
    reply("c", pre_vote=True, granted=False, newly_started=True)
    assert replica.term == 1
    reply("b", pre_vote=False, granted=True)
    assert not replica.is_leader
    reply("c", pre_vote=False, granted=True)
    assert replica.is_leader


def test_own_vote_waits_for_the_election_timeout() -> None:
    """This member may have granted a lease before its restart to a leader the others cannot see."""
    rng = random.Random(1)
    replica = start("a", 0.0, rng)
    raft.tick(replica, replica.election_due, rng)
    message = raft.VoteReply(term=1, pre_vote=True, granted=True)
    envelope = raft.Envelope(sender="b", target="a", message=message)
    raft.receive(replica, envelope, 0.2, rng)
    assert replica.term == 0
