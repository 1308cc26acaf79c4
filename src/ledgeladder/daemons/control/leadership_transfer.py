"""Leadership transfer before a planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...coordination import raft
from .. import clock

if TYPE_CHECKING:
    from .node import ControlNode


def start_leadership_transfer(node: ControlNode) -> bool:
    """Start to transfer the leadership to the voter with the longest replicated log.

    Returns:
        False if there is no such voter or the transfer was not started.
    """
    replica = node.replica
    voters = [voter for voter in replica.log.members.voters if voter in replica.progress]
    if not voters:
        return False
    best = max(voters, key=lambda voter: replica.progress[voter].match_index)
    started = raft.transfer_leadership(replica, best, clock.now())
    node.notify()
    return started
