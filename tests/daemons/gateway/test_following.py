"""What a gateway tells control boxes of its own load."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.gateway import following
from ledgeladder.links.messages import LoadReport

from .builders import engine, gateway_state

ROUNDS = 12


@pytest.mark.parametrize("is_primary", [True, False])
def test_only_a_report_that_is_sent_counts_as_reported(
    monkeypatch: pytest.MonkeyPatch, is_primary: bool
) -> None:
    """The pattern: many boxes on the same engines, each with three links and one that is told.

    A box takes its reported load off the sums that come back. Counting what was never sent makes
    the others' load look too small, and all boxes choose engines that are full.
    """
    posted: list[Any] = []
    state = gateway_state()
    held = engine()
    state.table.upstreams["i-1"] = held
    state.peers = SimpleNamespace(known={"10.0.0.1": 0.0})  # type: ignore[assignment]
    monkeypatch.setattr(
        following, "primary_of", lambda _peers: "10.0.0.1" if is_primary else "10.0.0.2"
    )
    rounds = 0

    async def sleep(seconds: float) -> None:
        nonlocal rounds
        rounds += 1
        held.in_flight = 1 + rounds // 4
        if rounds == ROUNDS:
            raise TimeoutError

    monkeypatch.setattr(following.anyio, "sleep", sleep)

    async def run() -> None:
        link = SimpleNamespace(post=posted.append)
        with pytest.raises(TimeoutError):
            await following._keep_reporting(state, "10.0.0.1", link)  # type: ignore[arg-type]

    anyio.run(run)
    if not is_primary:
        assert not posted
        assert held.reported_in_flight == 0
        return
    assert all(isinstance(message, LoadReport) for message in posted)
    told = [message.loads["i-1"].in_flight for message in posted if message.loads]
    assert told == sorted(set(told)), "the same load is not told again within a second"
    assert held.reported_in_flight == told[-1]
