"""The package resolves every public name to its lazily imported submodule."""

from __future__ import annotations

import pytest

from ledgeladder.coordination import raft


@pytest.mark.parametrize("name", raft.__all__)
def test_every_public_name_is_resolved(name: str) -> None:
    assert getattr(raft, name).__module__.startswith(raft.__name__) or name == "Message"


def test_unknown_name_raises_attribute_error() -> None:
    with pytest.raises(AttributeError):
        raft.nothing  # noqa: B018
