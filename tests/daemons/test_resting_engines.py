"""Engines that requested back-off get neither orders nor slowdown queries."""

from __future__ import annotations

import json
from pathlib import Path

import anyio
import pytest

from ledgeladder.coordination.engine_orders import OrderOutcome
from ledgeladder.daemons.gateway import slowdown_queries
from ledgeladder.daemons.gateway.slowdown_queries import query_slowdowns
from ledgeladder.daemons.registry import order_sending
from ledgeladder.http1 import serve_http1
from ledgeladder.model.registration import Holding, Registration
from ledgeladder.routing.forwarding_table import is_backing_off
from standins.registered_upstream import StandIn, build_site

from .gateway import builders
from .test_late_orders import engine
from .test_late_orders import state as leader

BACKOFF_SECONDS = "30"


def set_mood(upstream: StandIn, **mood: str) -> None:
    upstream.mood = upstream.ledger.with_name("mood")
    upstream.mood.write_text(json.dumps(mood))


def refused(upstream: StandIn) -> int:
    return upstream.ledger.read_text().count('"refused"') if upstream.ledger.exists() else 0


def test_engine_gets_no_order_until_its_backoff_is_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against repeated orders to an engine that is backing off."""
    monkeypatch.setattr(order_sending, "may_order", lambda state: True)
    upstream = engine(tmp_path)
    registered = Registration(instance=upstream.instance, sequence=1, address=upstream.address)
    state = leader(1)
    holding = Holding(first=0, end=8)

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http1, upstream.listen, build_site(upstream))
            await anyio.sleep(0.1)
            set_mood(upstream, rest_of_calls=BACKOFF_SECONDS)
            for _ in range(4):
                outcome = await order_sending.send_order(state, registered, holding, 1)
                assert outcome is OrderOutcome.BACKING_OFF
            assert refused(upstream) == 1
            set_mood(upstream)
            state.backoffs.until[upstream.instance] = anyio.current_time()
            outcome = await order_sending.send_order(state, registered, holding, 1)
            assert outcome is OrderOutcome.STARTED
            assert not state.backoffs.until
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert upstream.layers == (0, 8)


def test_engine_that_is_backing_off_gets_no_slowdown_query(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # On a busy machine an answer may take longer than the timeout of a stream.
    monkeypatch.setattr(slowdown_queries, "QUERY_TIMEOUT_SECONDS", 5.0)
    upstream = engine(tmp_path)

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http1, upstream.listen, build_site(upstream))
            await anyio.sleep(0.1)
            set_mood(upstream, rest_of_calls=BACKOFF_SECONDS)
            state = builders.gateway_state()
            queried = builders.engine(address=upstream.address)
            for _ in range(3):
                queried.slowdown_at = float("-inf")
                await query_slowdowns(state, builders.path_over(queried))
            assert is_backing_off(queried, anyio.current_time())
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert refused(upstream) == 1
