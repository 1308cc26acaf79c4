"""The face of the replicated log, whose modules are loaded at their first use."""

from __future__ import annotations

import pytest

from ledgeladder.coordination import raft


@pytest.mark.parametrize("name", raft.__all__)
def test_every_name_is_found(name: str) -> None:
    assert getattr(raft, name).__module__.startswith(raft.__name__) or name == "Message"


def test_other_names_are_none() -> None:
    with pytest.raises(AttributeError):
        raft.nothing  # noqa: B018
