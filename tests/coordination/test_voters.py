"""Boxes with a disk that are wiped, replaced and added without an operator."""

from __future__ import annotations

from ledgeladder.coordination import raft
from ledgeladder.coordination.raft import Members, Progress, RaftLog, Replica, Role
from ledgeladder.coordination.voters import next_voters
from ledgeladder.storage import box_of

NOW = 100.0


def leader(
    voters: tuple[str, ...], learners: tuple[str, ...] = (), inactive: tuple[str, ...] = ()
) -> Replica:
    members = Members(voters=voters, learners=learners)
    replica = Replica(
        member_id=voters[0],
        log=RaftLog(base_index=5, base_term=1, base_members=members),
        role=Role.LEADER,
        commit_index=5,
    )
    for member in members.all_ids[1:]:
        last_seen = NOW - 60.0 if member in inactive else NOW
        replica.progress[member] = Progress(next_index=6, match_index=5, last_seen_at=last_seen)
    return replica


def choose(replica: Replica, *applicants: str, wanted: int = 3) -> raft.Members | None:
    return next_voters(replica, set(applicants), NOW, wanted=wanted, box_of=box_of)


def test_wiped_box_loses_its_old_vote_at_once() -> None:
    chosen = choose(leader(("a/1", "b/1", "c/1")), "c/2")
    assert chosen == Members(voters=("a/1", "b/1"), learners=("c/2",))


def test_learner_that_caught_up_becomes_a_voter() -> None:
    chosen = choose(leader(("a/1", "b/1"), ("c/2",)))
    assert chosen == Members(voters=("a/1", "b/1", "c/2"))


def test_learner_that_is_behind_or_inactive_does_not_vote() -> None:
    replica = leader(("a/1", "b/1"), ("c/2",))
    replica.progress["c/2"].match_index = 4
    assert choose(replica) is None
    assert choose(leader(("a/1", "b/1"), ("c/2",), inactive=("c/2",))) is None


def test_new_box_replaces_only_an_inactive_voter() -> None:

    replica = leader(("a/1", "b/1", "c/1"), inactive=("c/1",))
    assert choose(replica) is None
    joined = choose(replica, "d/1")
    assert joined == Members(voters=("a/1", "b/1", "c/1"), learners=("d/1",))
    caught_up = leader(("a/1", "b/1", "c/1"), ("d/1",), inactive=("c/1",))
    assert choose(caught_up) == Members(voters=("a/1", "b/1"), learners=("d/1",))
    assert choose(leader(("a/1", "b/1", "c/1"), ("d/1",))) is None


def test_voters_grow_to_the_wanted_number() -> None:
    replica = leader(("a/1", "b/1", "c/1"), ("d/1", "e/1"))
    chosen = choose(replica, wanted=5)
    assert chosen is not None
    assert len(chosen.voters) == 4


def test_log_refuses_to_change_two_voters_at_once() -> None:
    replica = leader(("a/1", "b/1", "c/1"), ("d/1", "e/1"))
    # Changes are refused in any term but that of the newest committed entry.
    replica.hard_state = raft.HardState(term=1)
    assert not raft.propose_members(replica, Members(voters=("a/1",)))
    assert raft.propose_members(replica, Members(voters=("a/1", "b/1")))


def test_never_more_than_one_voter_changes() -> None:
    cases = [
        (leader(("a/1", "b/1", "c/1")), ("b/2", "c/2")),
        (leader(("a/1", "b/1", "c/1"), ("d/1",), inactive=("b/1", "c/1")), ("e/1",)),
        (leader(("a/1", "b/1"), ("c/2", "d/1")), ("c/3",)),
    ]
    for replica, applicants in cases:
        chosen = choose(replica, *applicants)
        assert chosen is not None
        assert len(set(chosen.voters) ^ set(replica.log.members.voters)) <= 1
