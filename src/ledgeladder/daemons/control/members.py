"""Who should be a member of the replicated log next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...coordination import raft
from ...storage import box_of

if TYPE_CHECKING:
    from collections.abc import Collection

LEARNER_SEEN_SECONDS = 1.0
"""A learner that answered within this time may be promoted."""


def next_members(
    replica: raft.Replica, applicants: Collection[str], now: float
) -> raft.Members | None:
    """Choose the next single change of members, if one is due.

    A box that returns under a new member id takes the place of its old id: the old voter is
    removed and the new one added as a learner. A learner becomes a voter once it holds everything
    that is committed, so that a vote never rests on an empty disk.

    Args:
        replica: The leader.
        applicants: Member ids that asked to join.
        now: Monotonic time in seconds.

    Returns:
        The whole new set, or None if nothing is due.
    """
    members = replica.log.members
    for learner in members.learners:
        if _caught_up(replica, learner, now):
            remaining = tuple(other for other in members.learners if other != learner)
            return raft.Members(voters=(*members.voters, learner), learners=remaining)
    for applicant in sorted(applicants):
        if applicant in members.everyone:
            continue
        box = box_of(applicant)
        voters = tuple(voter for voter in members.voters if box_of(voter) != box)
        learners = tuple(learner for learner in members.learners if box_of(learner) != box)
        if voters:
            return raft.Members(voters=voters, learners=(*learners, applicant))
    return None


def _caught_up(replica: raft.Replica, learner: str, now: float) -> bool:
    progress = replica.progress.get(learner)
    if progress is None or progress.heard_at < now - LEARNER_SEEN_SECONDS:
        return False
    return progress.match_index >= replica.commit_index > 0
