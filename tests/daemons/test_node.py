"""The driver of one member of the replicated log."""

from __future__ import annotations

import random
from pathlib import Path

from ledgeladder.coordination import raft
from ledgeladder.daemons.control.node import ControlNode, open_node, process_ready
from ledgeladder.storage import create_identity

from ..storage.descriptors import free_descriptors


def new_node(folder: Path) -> ControlNode:
    return open_node(
        identity=create_identity(folder, cluster="c", box="a", initial=True),
        folder=folder,
        initial_members=raft.Members(voters=("a/initial", "b/initial", "c/initial")),
        timing=raft.Timing(),
        snapshot_entries=100,
        send=lambda envelope: None,
        on_change=lambda: None,
        rng=random.Random(1),
    )


def test_box_is_an_applicant_under_its_newest_id_only(tmp_path: Path) -> None:
    """With both ids recorded, a leader would replace each with the other endlessly."""
    node = new_node(tmp_path)
    node.record_applicant("b/initial")
    node.record_applicant("d/1")
    node.record_applicant("b/2")
    assert node.applicants == {"b/2", "d/1"}
    node.journal.close()


def test_snapshot_that_cannot_be_opened_ends_nothing(tmp_path: Path) -> None:
    """Guards against a control box that ends since connections have used up its descriptors."""
    node = new_node(tmp_path)
    members = node.replica.log.members
    snapshot = raft.Snapshot(index=1, term=1, members=members, data=b"")
    node.journal.save_snapshot(snapshot, node.replica.hard_state, [])
    node.replica.snapshot_targets.append("b/initial")
    with free_descriptors(0):
        process_ready(node)
    node.replica.snapshot_targets.append("b/initial")
    process_ready(node)
    node.journal.close()
