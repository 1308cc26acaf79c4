"""The moment up to which a control box knows the heartbeats that the others received."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ledgeladder.daemons.registry.state import controls_last_seen


def build_state(known: list[str], linked: list[str], received: dict[str, float]) -> Any:
    links = {
        number: SimpleNamespace(peer_box=address, received_at=at)
        for number, (address, at) in enumerate(received.items())
    }
    return SimpleNamespace(
        peers=SimpleNamespace(known=dict.fromkeys(known, 0.0), links=dict.fromkeys(linked)),
        accepted_control_links=links,
    )


@pytest.mark.parametrize(
    ("known", "linked", "received", "expected"),
    [
        ([], [], {}, float("inf")),
        (["b", "c"], ["b", "c"], {"b": 9.9, "c": 8.0}, 8.0),
        # A control box that has not opened a link to this box has never been seen.
        (["b", "c"], ["b", "c"], {"b": 9.9}, float("-inf")),
        (["b", "c"], ["b"], {"b": 9.9, "c": 9.9}, None),
    ],
)
def test_least_recently_seen_control_box_counts(
    known: list[str], linked: list[str], received: dict[str, float], expected: float | None
) -> None:
    assert controls_last_seen(build_state(known, linked, received)) == expected
