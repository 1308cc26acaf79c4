"""What a gateway tells control boxes of its own load."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.gateway import control_link
from ledgeladder.links.messages import LoadReport
from ledgeladder.model.registration import Liveness, Registration

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
        control_link, "primary_of", lambda _peers: "10.0.0.1" if is_primary else "10.0.0.2"
    )
    rounds = 0

    async def sleep(seconds: float) -> None:
        nonlocal rounds
        rounds += 1
        held.in_flight = 1 + rounds // 4
        if rounds == ROUNDS:
            raise TimeoutError

    monkeypatch.setattr(control_link.anyio, "sleep", sleep)

    async def run() -> None:
        link = SimpleNamespace(post=posted.append)
        with pytest.raises(TimeoutError):
            await control_link._report_load(state, "10.0.0.1", link)  # type: ignore[arg-type]

    anyio.run(run)
    if not is_primary:
        assert not posted
        assert held.reported_in_flight == 0
        return
    assert all(isinstance(message, LoadReport) for message in posted)
    told = [message.loads["i-1"].in_flight for message in posted if message.loads]
    assert told == sorted(set(told)), "the same load is not told again within a second"
    assert held.reported_in_flight == told[-1]


def said(born_ms: int, sequence: int = 1) -> Liveness:
    registration = Registration(
        instance=f"i-1#{born_ms}",
        upstream="i-1",
        born_ms=born_ms,
        sequence=sequence,
        pool="p",
        address="127.0.0.1:1",
    )
    return Liveness(registration=registration, age=0.0)


def test_run_that_starts_under_the_same_id_ends_the_one_before() -> None:
    """Streams on the run before are cut at once; nothing that was noted of it counts any more."""

    async def play() -> None:
        state = gateway_state()
        cut: list[str] = []
        control_link.apply_registrations(state, (said(1000, sequence=40),))
        before = state.table.upstreams["i-1#1000"]
        before.in_flight = 7
        before.on_lost.add(lambda engine: cut.append(engine.registration.instance))
        control_link.apply_registrations(state, (said(2000),))
        assert cut == ["i-1#1000"]
        assert before.ended_at > 0.0
        (held,) = state.table.pools["p"]
        assert held.registration.instance == "i-1#2000"
        assert held.in_flight == 0
        # A late word of the run before, in the table of another control box for example.
        control_link.apply_registrations(state, (said(1000, sequence=41),))
        assert list(state.table.upstreams) == ["i-1#2000"]

    anyio.run(play)
