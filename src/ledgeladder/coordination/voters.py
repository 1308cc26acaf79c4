"""Chooses the voters of the replicated log while boxes join and leave without an operator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from . import raft

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

LEARNER_TIMEOUT_SECONDS: Final = 1.0
"""Inactivity after which a learner is not promoted; several heartbeat intervals."""

VOTER_TIMEOUT_SECONDS: Final = 2.0
"""Inactivity after which a voter is replaced by a learner with the whole log. This exceeds the time
of an election, and leaves time for the change before the platform lets another box fail."""


def next_voters(
    replica: raft.Replica,
    applicants: Collection[str],
    now: float,
    *,
    wanted: int,
    box_of: Callable[[str], str],
) -> raft.Members | None:
    """Choose the next single change of members, if one is due.

    Args:
        replica: The leader.
        applicants: Member ids that requested to join.
        now: Monotonic time in seconds.
        wanted: Number of voters, odd.
        box_of: Returns the box of a member id.

    Returns:
        The whole new set, or None if nothing is due.
    """
    members = replica.log.members
    replacement = _replace_lost_disk(members, applicants, box_of)
    if replacement is not None:
        return replacement
    learner = next((item for item in members.learners if _caught_up(replica, item, now)), None)
    if learner is not None:
        if len(members.voters) < wanted:
            rest = tuple(item for item in members.learners if item != learner)
            return raft.Members(voters=(*members.voters, learner), learners=rest)
        inactive = _inactive_voter(replica, now)
        if inactive is not None:
            voters = tuple(voter for voter in members.voters if voter != inactive)
            return raft.Members(voters=voters, learners=members.learners)
    new_learner = next((item for item in sorted(applicants) if item not in members.all_ids), None)
    if new_learner is None:
        return None
    return raft.Members(voters=members.voters, learners=(*members.learners, new_learner))


def _replace_lost_disk(
    members: raft.Members, applicants: Collection[str], box_of: Callable[[str], str]
) -> raft.Members | None:
    """Replace the member of a box whose disk was wiped; its old id never returns."""
    for applicant in sorted(applicants):
        if applicant in members.all_ids:
            continue
        box = box_of(applicant)
        voters = tuple(item for item in members.voters if box_of(item) != box)
        learners = tuple(item for item in members.learners if box_of(item) != box)
        replaced = (voters, learners) != (members.voters, members.learners)
        if replaced and voters:
            return raft.Members(voters=voters, learners=(*learners, applicant))
    return None


def _inactive_voter(replica: raft.Replica, now: float) -> str | None:
    for voter in replica.log.members.voters:
        progress = replica.progress.get(voter)
        if progress is not None and progress.last_seen_at < now - VOTER_TIMEOUT_SECONDS:
            return voter
    return None


def _caught_up(replica: raft.Replica, learner: str, now: float) -> bool:
    progress = replica.progress.get(learner)
    if progress is None or progress.last_seen_at < now - LEARNER_TIMEOUT_SECONDS:
        return False
    return progress.match_index >= replica.commit_index > 0
