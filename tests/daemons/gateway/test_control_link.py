"""Load reports to control boxes, and registrations received from them."""

from __future__ import annotations

import zlib
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from returns.result import Success

from ledgeladder.daemons.gateway import control_link
from ledgeladder.links.messages import DocumentPush, LoadReport
from ledgeladder.model.registration import Liveness, Registration
from ledgeladder.model.traffic import (
    CallerLimits,
    TrafficConfiguration,
    UpstreamPool,
)

from ...routing.sample_site import PROFILE, stream_route
from .builders import engine, gateway_state

ROUNDS = 12


@pytest.mark.parametrize("is_primary", [True, False])
def test_only_a_report_that_is_sent_counts_as_reported(
    monkeypatch: pytest.MonkeyPatch, is_primary: bool
) -> None:
    """Only the preferred control box receives reports.

    A box subtracts its reported load from the received totals. Subtracting load that was never sent
    underestimates the load of the other boxes, and all boxes choose engines that are full.
    """
    posted: list[Any] = []
    state = gateway_state()
    upstream = engine()
    state.table.upstreams["i-1"] = upstream
    state.peers = SimpleNamespace(known={"10.0.0.1": 0.0})  # type: ignore[assignment]
    monkeypatch.setattr(
        control_link, "primary_of", lambda _peers: "10.0.0.1" if is_primary else "10.0.0.2"
    )
    rounds = 0

    async def sleep(seconds: float) -> None:
        nonlocal rounds
        rounds += 1
        upstream.in_flight = 1 + rounds // 4
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
        assert upstream.reported_in_flight == 0
        return
    assert all(isinstance(message, LoadReport) for message in posted)
    reported = [message.loads["i-1"].in_flight for message in posted if message.loads]
    assert reported == sorted(set(reported)), "the same load is not reported again within a second"
    assert upstream.reported_in_flight == reported[-1]


def registered(started_ms: int, sequence: int = 1) -> Liveness:
    registration = Registration(
        instance=f"i-1#{started_ms}",
        upstream="i-1",
        started_ms=started_ms,
        sequence=sequence,
        pool="p",
        address="127.0.0.1:1",
    )
    return Liveness(registration=registration, age=0.0)


def test_new_instance_of_an_upstream_replaces_the_previous_one() -> None:
    """Streams on the previous instance must be interrupted, and its recorded state discarded."""

    async def play() -> None:
        state = gateway_state()
        interrupted: list[str] = []
        control_link.apply_registrations(state, (registered(1000, sequence=40),))
        previous = state.table.upstreams["i-1#1000"]
        previous.in_flight = 7
        previous.on_lost.add(lambda engine: interrupted.append(engine.registration.instance))
        control_link.apply_registrations(state, (registered(2000),))
        assert interrupted == ["i-1#1000"]
        assert previous.exited_at > 0.0
        (current,) = state.table.pools["p"]
        assert current.registration.instance == "i-1#2000"
        assert current.in_flight == 0
        # A delayed registration of the previous instance, for example from another control box.
        control_link.apply_registrations(state, (registered(1000, sequence=41),))
        assert list(state.table.upstreams) == ["i-1#2000"]

    anyio.run(play)


def test_document_tells_the_priorities_of_pools(monkeypatch: pytest.MonkeyPatch) -> None:
    """A later document with one priority ends what applies to contended pools."""
    state = gateway_state()
    pool = UpstreamPool(name="p", max_connections=1, engine=PROFILE)
    priorities: list[dict[str, tuple[int, ...]]] = []
    for version, ranks in ((1, (3, 0)), (2, (3,))):
        document = TrafficConfiguration(
            version=version,
            pools={"p": pool},
            routes=tuple(stream_route(f"r-{rank}", rank, "p", public=True) for rank in ranks),
            limits=CallerLimits(),
            accounts=(),
        )
        monkeypatch.setattr(
            control_link, "decode_configuration", lambda _body, found=document: Success(found)
        )
        control_link.apply_document(state, DocumentPush(version=version, body=zlib.compress(b"")))
        priorities.append(state.index.ranks)
        assert state.contended == set(state.index.ranks)
    assert priorities == [{"p": (0, 33)}, {}]
