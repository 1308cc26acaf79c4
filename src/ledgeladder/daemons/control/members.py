"""Choice of membership changes of the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...coordination import raft
from ...storage import box_of

if TYPE_CHECKING:
    from collections.abc import Collection

LEARNER_TIMEOUT_SECONDS = 1.0
"""Inactivity after which a learner is not promoted."""


def next_members(
    replica: raft.Replica, applicants: Collection[str], now: float
) -> raft.Members | None:
    """Choose the next single-server membership change, if one is due.

    A box that requests to join under a new member id replaces its old id: the old member is removed
    and the new one is added as a learner. A learner becomes a voter once it has all committed
    entries, since a voter with an empty disk could elect a leader that lacks them.

    Args:
        replica: The leader.
        applicants: Member ids that requested to join.
        now: Monotonic time in seconds.

    Returns:
        The complete new membership, or None if no change is due.
    """
    members = replica.log.members
    for learner in members.learners:
        if _caught_up(replica, learner, now):
            remaining = tuple(other for other in members.learners if other != learner)
            return raft.Members(voters=(*members.voters, learner), learners=remaining)
    for applicant in sorted(applicants):
        if applicant in members.all_ids:
            continue
        box = box_of(applicant)
        voters = tuple(voter for voter in members.voters if box_of(voter) != box)
        learners = tuple(learner for learner in members.learners if box_of(learner) != box)
        if voters:
            return raft.Members(voters=voters, learners=(*learners, applicant))
    return None


def _caught_up(replica: raft.Replica, learner: str, now: float) -> bool:
    progress = replica.progress.get(learner)
    if progress is None or progress.last_seen_at < now - LEARNER_TIMEOUT_SECONDS:
        return False
    return progress.match_index >= replica.commit_index > 0
