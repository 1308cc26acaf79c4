"""Elections of members that all start at about the same time, and what keeps leases safe."""

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


def seconds_to_leader(seed: int, up: Collection[str] = MEMBERS) -> float:
    """Start members within 0.1 s, and return when one of them leads.

    Messages take one step and are written at once.
    """
    rng = random.Random(seed)
    starts = {member_id: rng.uniform(0.0, 0.1) for member_id in up}
    replicas: dict[str, raft.Replica] = {}
    bag: list[raft.Envelope] = []
    now = 0.0
    while not any(replica.is_leader for replica in replicas.values()):
        now += STEP_SECONDS
        assert now < 60.0
        for member_id, at in starts.items():
            if at <= now and member_id not in replicas:
                replicas[member_id] = start(member_id, now, rng)
        arriving, bag = bag, []
        for envelope in arriving:
            if envelope.target in replicas:
                raft.receive(replicas[envelope.target], envelope, now, rng)
        for replica in replicas.values():
            raft.tick(replica, now, rng)
            ready = raft.take_ready(replica)
            raft.record_synced(replica, ready, now, rng)
            bag += ready.messages
    return now


def answers(replica: raft.Replica, request: raft.VoteRequest, now: float) -> list[raft.VoteReply]:
    """Return what a member answers to a candidate."""
    rng = random.Random(1)
    envelope = raft.Envelope(sender="b", target="a", message=request)
    raft.receive(replica, envelope, now, rng)
    sent = [item.message for item in raft.take_ready(replica).messages]
    return [item for item in sent if isinstance(item, raft.VoteReply)]


def request(*, pre_vote: bool, unanimous: bool = False) -> raft.VoteRequest:
    return raft.VoteRequest(
        term=1, last_index=0, last_term=0, pre_vote=pre_vote, unanimous=unanimous
    )


def test_members_that_all_start_together_need_no_silence() -> None:
    """Nobody leads where every voter has just started."""
    times = sorted(seconds_to_leader(seed) for seed in range(200))
    assert times[len(times) // 2] < ELECTION_SECONDS


@pytest.mark.parametrize("seed", range(20))
def test_without_one_of_them_the_silence_holds(seed: int) -> None:
    """The one that is missing may lead, with a lease that one of the others has granted."""
    assert seconds_to_leader(seed, ("a", "b")) >= ELECTION_SECONDS


def test_member_in_its_silence_grants_only_what_needs_all_votes() -> None:
    assert answers(start("a", 0.0, random.Random(1)), request(pre_vote=False), 0.1) == []
    told = answers(start("a", 0.0, random.Random(1)), request(pre_vote=True), 0.1)
    assert [(item.granted, item.newly_started) for item in told] == [(False, True)]
    agreed = request(pre_vote=False, unanimous=True)
    granted = answers(start("a", 0.0, random.Random(1)), agreed, 0.1)
    assert [item.granted for item in granted] == [True]


def test_member_that_has_heard_a_leader_stays_silent_to_all_of_them() -> None:
    for asked in (request(pre_vote=True), request(pre_vote=False, unanimous=True)):
        replica = start("a", 0.0, random.Random(1))
        heartbeat = raft.AppendRequest(
            term=0, previous_index=0, previous_term=0, entries=(), commit_index=0, round=1
        )
        envelope = raft.Envelope(sender="c", target="a", message=heartbeat)
        raft.receive(replica, envelope, 0.05, random.Random(1))
        raft.take_ready(replica)
        assert answers(replica, asked, 0.1) == []


def test_votes_of_a_majority_are_not_enough_for_it() -> None:
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


def test_own_vote_is_bound_by_the_own_silence() -> None:
    """The others may have lost a leader whose lease this member granted before it restarted."""
    rng = random.Random(1)
    replica = start("a", 0.0, rng)
    raft.tick(replica, replica.election_due, rng)
    message = raft.VoteReply(term=1, pre_vote=True, granted=True)
    envelope = raft.Envelope(sender="b", target="a", message=message)
    raft.receive(replica, envelope, 0.2, rng)
    assert replica.term == 0
