"""Seeded schedules of the replicated log find no violated invariant, but detect injected bugs."""

from __future__ import annotations

import os
from typing import Any

import pytest
from msgspec.structs import replace

from ledgeladder.coordination import raft
from ledgeladder.coordination.raft import core, election, replication

from .schedule import InvariantError, Schedule, run

SCHEDULES = int(os.environ.get("LEDGELADDER_SCHEDULES", "300"))


@pytest.mark.parametrize("voters", [3, 5])
def test_invariants_hold(voters: int) -> None:
    for seed in range(SCHEDULES):
        try:
            run(seed, voters=voters)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}, {voters} voters: {error}") from error


@pytest.mark.parametrize("voters", [3, 5])
@pytest.mark.parametrize("wipes_leader", [False, True])
def test_acknowledged_commands_survive_wiped_disks_and_power_loss(
    voters: int, wipes_leader: bool
) -> None:
    """A minority of disks, with or without the leader's, is wiped right after a command was
    acknowledged, while all other boxes lose power."""
    for seed in range(SCHEDULES // 6):
        schedule = Schedule(seed=seed, voters=voters, fault_rate=0.0)
        schedule.settle()
        for _ in range(60):
            schedule.step()
        acknowledged = next(
            list(member.applied) for member in schedule.members.values() if member.replica.is_leader
        )
        ranked = sorted(
            schedule.members.values(),
            key=lambda member: member.replica.is_leader is not wipes_leader,
        )
        before = set(schedule.members)
        for member in ranked[: (voters - 1) // 2]:
            schedule.wipe_disk(member)
        for member in schedule.members.values():
            if member.replica.member_id in before:
                schedule.crash(member)
        assert len(before - set(schedule.members)) == (voters - 1) // 2
        schedule.in_flight.clear()
        schedule.settle()
        for member in schedule.members.values():
            assert set(acknowledged) <= set(member.applied), f"seed {seed}"


def violates_invariant(seeds: int = 400, **options: Any) -> bool:
    """Return whether some schedule violates an invariant; missing progress does not count."""
    for seed in range(seeds):
        try:
            run(seed, **options)
        except AssertionError as error:
            if "no progress" not in str(error):
                return True
    return False


def test_detects_skipped_sync() -> None:
    assert violates_invariant(skip_sync=True)


def test_detects_double_vote(monkeypatch: pytest.MonkeyPatch) -> None:
    original = election.receive_vote_request

    def handle_without_vote(replica, sender, request, now, rng):
        replica.hard_state = without_vote(replica.hard_state)
        original(replica, sender, request, now, rng)

    monkeypatch.setattr(core, "receive_vote_request", handle_without_vote)
    assert violates_invariant()


def without_vote(state: raft.HardState) -> raft.HardState:
    return raft.HardState(term=state.term, voted_for="")


def test_detects_missing_term_check(monkeypatch: pytest.MonkeyPatch) -> None:
    def accept_any_term(replica, sender, term, now, rng):
        election.become_follower(replica, max(term, replica.term), sender, now, rng)
        replica.leader_last_seen_at = now
        return True

    monkeypatch.setattr(replication, "accept_leader", accept_any_term)
    assert violates_invariant()


def test_detects_counted_learner(monkeypatch: pytest.MonkeyPatch) -> None:
    def commit_with_learners(replica):
        if not replica.is_leader:
            return
        matched = [replica.synced_index]
        matched += [progress.match_index for progress in replica.progress.values()]
        matched.sort(reverse=True)
        candidate = matched[raft.quorum(len(replica.log.members.voters)) - 1]
        if candidate > replica.commit_index and replica.log.term_at(candidate) == replica.term:
            replica.commit_index = candidate

    monkeypatch.setattr(core, "advance_commit", commit_with_learners)
    monkeypatch.setattr(replication, "advance_commit", commit_with_learners)
    assert violates_invariant(observers=2)


def leader_of_term_four() -> raft.Replica:
    """Return a leader of five voters whose log ends with an entry of term 2 and one of term 4."""
    entries = [
        raft.LogEntry(index=index, term=term, kind=raft.EntryKind.COMMAND, data=b"")
        for index, term in ((1, 1), (2, 2), (3, 4))
    ]
    replica = raft.Replica(
        member_id="a",
        hard_state=raft.HardState(term=4, voted_for="a"),
        log=raft.RaftLog(base_members=raft.Members(voters=tuple("abcde")), entries=entries),
        role=raft.Role.LEADER,
        commit_index=1,
        synced_index=3,
    )
    replica.progress = {name: raft.Progress(next_index=1) for name in "bcde"}
    return replica


def test_entry_of_earlier_term_commits_only_through_the_current_term() -> None:
    """Guards against figure 8 of the Raft paper, which the random schedules do not reach."""
    replica = leader_of_term_four()
    replica.progress["b"].match_index = 2
    replica.progress["c"].match_index = 2
    replication.advance_commit(replica)
    assert replica.commit_index == 1
    replica.progress["b"].match_index = 3
    replica.progress["c"].match_index = 3
    replication.advance_commit(replica)
    assert replica.commit_index == 3


def test_detects_lease_beyond_election_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    original = raft.Timing
    monkeypatch.setattr(raft, "Timing", lambda: replace(original(), lease_duration=1.5))
    assert violates_invariant()


def test_missing_progress_raises_an_error() -> None:
    with pytest.raises(InvariantError):
        schedule = run(1, steps=1)
        for member in schedule.members.values():
            member.clock_rate = 0.0
            member.applied.clear()
        schedule.in_flight.clear()
        schedule.settle()
