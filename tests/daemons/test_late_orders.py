"""Delayed orders to engines that do not check the term of an order."""

from __future__ import annotations

import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination.engine_orders import OrderOutcome
from ledgeladder.coordination.rests import Backoffs
from ledgeladder.daemons.engine_call import fetch_report, send_call
from ledgeladder.daemons.rate_lender import RateGranter
from ledgeladder.daemons.registry import order_sending
from ledgeladder.http1 import connect, serve_http1
from ledgeladder.model.registration import Holding, Registration
from ledgeladder.platform.engine_calls import place_call, read_outcome
from standins.registered_upstream import StandIn, build_site

LOCAL = "127.0.0.1"


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return f"{LOCAL}:{probe.getsockname()[1]}"


def engine(folder: Path) -> StandIn:
    address = free_address()
    return StandIn(
        address=address,
        listen=address,
        pool="p",
        zone="a",
        card="big",
        controls=[],
        ledger=folder / "ledger",
        seconds=0.0,
        checks_fences=False,
    )


def state(term: int) -> Any:
    return SimpleNamespace(
        settings=SimpleNamespace(box=SimpleNamespace(address=LOCAL)),
        node=SimpleNamespace(replica=SimpleNamespace(term=term)),
        backoffs=Backoffs(),
        rate_granter=RateGranter(
            parts=lambda: 1,
            may_grant=lambda: True,
            broadcast_to_entries=lambda _message: None,
            broadcast_to_peers=lambda _message: None,
        ),
    )


def test_delayed_order_is_rejected_after_a_newer_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A frozen old leader must not override the order of its successor when it resumes."""
    monkeypatch.setattr(order_sending, "may_order", lambda state: True)
    upstream = engine(tmp_path)
    registered = Registration(instance=upstream.instance, sequence=1, address=upstream.address)
    old, new = Holding(first=0, end=8), Holding(first=8, end=16)

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http1, upstream.listen, build_site(upstream))
            await anyio.sleep(0.1)
            report = await fetch_report(upstream.address, source=LOCAL, seconds=1.0)
            assert report is not None
            assert report.started_orders == 0
            late = place_call(upstream.instance, old, 1, report.started_orders, wait=True)
            assert (
                await order_sending.send_order(state(2), registered, new, 2) is OrderOutcome.STARTED
            )
            connection = await connect(upstream.address, source=LOCAL, seconds=1.0)
            head = await send_call(connection, late)
            assert read_outcome(head.status_code) is OrderOutcome.CONFLICT
            await connection.close()
            tasks.cancel_scope.cancel()

    anyio.run(play)
    assert upstream.layers == (8, 16)


def test_leader_with_expired_lease_sends_no_order(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(order_sending, "may_order", lambda state: False)
    upstream = engine(tmp_path)
    registered = Registration(instance=upstream.instance, sequence=1, address=upstream.address)

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http1, upstream.listen, build_site(upstream))
            await anyio.sleep(0.1)
            holding = Holding(first=0, end=8)
            outcome = await order_sending.send_order(state(1), registered, holding, 1)
            assert outcome is OrderOutcome.NO_ANSWER
            tasks.cancel_scope.cancel()

    anyio.run(play)
    assert upstream.layers is None
