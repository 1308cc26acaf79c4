"""Boxes that request to join the replicated log."""

from __future__ import annotations

import random
from pathlib import Path

from ledgeladder.coordination import raft
from ledgeladder.daemons.control.node import open_node
from ledgeladder.storage import create_identity


def test_box_is_an_applicant_under_its_newest_id_only(tmp_path: Path) -> None:
    """With both ids recorded, a leader would replace each with the other endlessly."""
    node = open_node(
        identity=create_identity(tmp_path, cluster="c", box="a", initial=True),
        folder=tmp_path,
        initial_members=raft.Members(voters=("a/initial", "b/initial", "c/initial")),
        timing=raft.Timing(),
        snapshot_entries=100,
        send=lambda envelope: None,
        on_change=lambda: None,
        rng=random.Random(1),
    )
    node.record_applicant("b/initial")
    node.record_applicant("d/1")
    node.record_applicant("b/2")
    assert node.applicants == {"b/2", "d/1"}
    node.journal.close()
