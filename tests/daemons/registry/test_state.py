"""Up to which moment a control box knows what the others have heard."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ledgeladder.daemons.registry.state import controls_last_seen


def registry(known: list[str], linked: list[str], received: dict[str, float]) -> Any:
    links = {
        number: SimpleNamespace(peer_box=address, received_at=at)
        for number, (address, at) in enumerate(received.items())
    }
    return SimpleNamespace(
        peers=SimpleNamespace(known=dict.fromkeys(known, 0.0), links=dict.fromkeys(linked)),
        accepted_control_links=links,
    )


@pytest.mark.parametrize(
    ("known", "linked", "received", "until"),
    [
        ([], [], {}, float("inf")),
        (["b", "c"], ["b", "c"], {"b": 9.9, "c": 8.0}, 8.0),
        # One that has no link to this box yet tells it nothing.
        (["b", "c"], ["b", "c"], {"b": 9.9}, float("-inf")),
        (["b", "c"], ["b"], {"b": 9.9, "c": 9.9}, None),
    ],
)
def test_box_that_was_heard_longest_ago_decides(
    known: list[str], linked: list[str], received: dict[str, float], until: float | None
) -> None:
    assert controls_last_seen(registry(known, linked, received)) == until
