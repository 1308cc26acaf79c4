"""Seeded schedules of the replicated log, and proof that they catch planted bugs."""

from __future__ import annotations

import os
from dataclasses import replace

import pytest

from ledgeladder.coordination import raft
from ledgeladder.coordination.raft import core, election, replication

from .schedule import InvariantError, run

SCHEDULES = int(os.environ.get("LEDGELADDER_SCHEDULES", "300"))


@pytest.mark.parametrize("voters", [3, 5])
def test_invariants_hold(voters: int) -> None:
    for seed in range(SCHEDULES):
        try:
            run(seed, voters=voters)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}, {voters} voters: {error}") from error


def caught(voters: int = 3, skip_sync: bool = False, seeds: int = 400) -> bool:
    for seed in range(seeds):
        try:
            run(seed, voters=voters, skip_sync=skip_sync)
        except AssertionError:
            return True
    return False


def test_catches_skipped_sync() -> None:
    assert caught(skip_sync=True)


def test_catches_double_vote(monkeypatch: pytest.MonkeyPatch) -> None:
    original = election.receive_vote_request

    def forgetful(replica, sender, request, now, rng):
        replica.hard_state = replace_vote(replica.hard_state)
        original(replica, sender, request, now, rng)

    monkeypatch.setattr(core, "receive_vote_request", forgetful)
    assert caught()


def replace_vote(state: raft.HardState) -> raft.HardState:
    return raft.HardState(term=state.term, voted_for="")


def test_catches_missing_term_check(monkeypatch: pytest.MonkeyPatch) -> None:
    def careless(replica, sender, term, now, rng):
        election.become_follower(replica, max(term, replica.term), sender, now, rng)
        replica.leader_heard_at = now
        return True

    monkeypatch.setattr(replication, "accept_leader", careless)
    assert caught()


def test_catches_counted_learner(monkeypatch: pytest.MonkeyPatch) -> None:
    def generous(replica):
        if not replica.is_leader:
            return
        matched = [replica.synced_index]
        matched += [progress.match_index for progress in replica.progress.values()]
        matched.sort(reverse=True)
        candidate = matched[raft.quorum(len(replica.log.members.voters)) - 1]
        if candidate > replica.commit_index and replica.log.term_at(candidate) == replica.term:
            replica.commit_index = candidate

    monkeypatch.setattr(core, "advance_commit", generous)
    monkeypatch.setattr(replication, "advance_commit", generous)
    assert caught()


def test_catches_commit_of_earlier_term(monkeypatch: pytest.MonkeyPatch) -> None:
    def hasty(replica):
        if not replica.is_leader:
            return
        matched = [replica.synced_index if voter == replica.member_id else
                   getattr(replica.progress.get(voter), "match_index", 0)
                   for voter in replica.log.members.voters]  # fmt: skip
        matched.sort(reverse=True)
        replica.commit_index = max(replica.commit_index, matched[raft.quorum(len(matched)) - 1])

    monkeypatch.setattr(core, "advance_commit", hasty)
    monkeypatch.setattr(replication, "advance_commit", hasty)
    assert caught(voters=5, seeds=1500)


def test_catches_lease_beyond_election_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    original = raft.Timing
    monkeypatch.setattr(raft, "Timing", lambda: replace(original(), lease=1.5))
    assert caught()


def test_no_progress_is_an_error() -> None:
    with pytest.raises(InvariantError):
        schedule = run(1, steps=1)
        for member in schedule.members.values():
            member.rate = 0.0
            member.applied.clear()
        schedule.bag.clear()
        schedule.settle()
