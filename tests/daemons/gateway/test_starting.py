"""Requests at a box that starts: they wait for a moment that is near, and for nothing else.

The load is the one of `tests/routing/test_start_queue.py`: callers whose streams a loss of power
cut come back once only, 0.2 to 0.7 s before their box is sure of its document.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest

from ledgeladder.coordination.freshness import ask, take_answer
from ledgeladder.daemons.gateway.checks import START_SECONDS
from ledgeladder.daemons.gateway.starting import is_starting, run_start_queue, wait_for_turn
from ledgeladder.http1 import HttpRequest
from ledgeladder.model.exchange import CallerFacts
from ledgeladder.model.registration import Holding, Registration
from ledgeladder.model.traffic import (
    CallerLimits,
    PoolWeight,
    RequestKind,
    RouteRule,
    TrafficConfiguration,
    UpstreamPool,
)
from ledgeladder.routing.forwarding_table import put_registration
from ledgeladder.routing.route_index import build_index

from ...routing.sample_site import PROFILE
from .builders import gateway_state

if TYPE_CHECKING:
    from ledgeladder.daemons.gateway.state import GatewayState


POOL = UpstreamPool(name="engines", max_connections=10, engine=PROFILE)
ROUTE = RouteRule(
    name="r",
    host="h",
    path_prefix="/x/",
    kind=RequestKind.STREAM,
    resumable=True,
    timeout=20.0,
    target_latency=0.5,
    gap_target=0.2,
    priority=1,
    pools=(PoolWeight(pool=POOL.name, weight=1.0),),
    max_attempts=2,
    public=True,
)


def facts(*, patience: float = 20.0, resume_after: int | None = None) -> CallerFacts:
    return CallerFacts(
        attempt_id="r",
        host="h",
        path="/x/",
        patience=patience,
        key=None,
        resume_after=resume_after,
    )


def request() -> HttpRequest:
    now = anyio.current_time()
    return HttpRequest(method=b"POST", target=b"/x/", headers=[], fields={}, arrived_at=now)


def make_sure(state: GatewayState) -> None:
    """Put a document in force and confirm it as the newest."""
    state.configuration = TrafficConfiguration(
        version=1, routes=(), pools={}, accounts=(), limits=CallerLimits()
    )
    take_answer(state.freshness, ask(state.freshness, anyio.current_time()), 1, 0.0)


def started(*, uptime: float = 0.0) -> GatewayState:
    state = gateway_state()
    state.started_at = anyio.current_time() - uptime
    return state


async def served_order(state: GatewayState, callers: dict[str, CallerFacts]) -> list[str]:
    """Let callers wait, make the box sure of its document, and return the order of their turns."""
    order: list[str] = []

    async def call(name: str, said: CallerFacts) -> None:
        await wait_for_turn(state, request(), said)
        order.append(name)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_start_queue, state)
        async with anyio.create_task_group() as waiting:
            for name, said in callers.items():
                waiting.start_soon(call, name, said)
                await anyio.sleep(0)
            await anyio.wait_all_tasks_blocked()
            assert not order
            make_sure(state)
        tasks.cancel_scope.cancel()
    return order


def test_callers_wait_and_cut_streams_go_first() -> None:
    async def run() -> list[str]:
        callers = {"new": facts(), "cut": facts(resume_after=3), "newer": facts()}
        return await served_order(started(), callers)

    assert anyio.run(run) == ["cut", "new", "newer"]


def test_box_that_serves_or_should_have_served_lets_nobody_wait() -> None:
    async def run() -> None:
        state = started()
        assert is_starting(state, facts(), anyio.current_time())
        make_sure(state)
        assert not is_starting(state, facts(), anyio.current_time())
        assert not is_starting(started(uptime=START_SECONDS), facts(), anyio.current_time())

    anyio.run(run)


def test_streams_wait_for_a_failure_domain_with_all_layers() -> None:
    """Upstreams tell of themselves once a second, so that some are known after the document is."""

    async def run() -> None:
        state = started()
        make_sure(state)
        assert state.configuration is not None
        state.configuration = msgspec.structs.replace(
            state.configuration, routes=(ROUTE,), pools={POOL.name: POOL}
        )
        state.index = build_index(state.configuration)
        half = PROFILE.layers // 2
        now = anyio.current_time()

        def register(domain: str, first: int, end: int) -> None:
            name = f"{domain}-{first}"
            registration = Registration(
                instance=name,
                sequence=1,
                address=f"{name}:1",
                pool=POOL.name,
                failure_domain=domain,
                holdings=(Holding(first=first, end=end),),
            )
            put_registration(state.table, registration, now)

        register("a", 0, half)
        register("b", half, PROFILE.layers)
        assert is_starting(state, facts(), now)
        register("a", half, PROFILE.layers)
        assert not is_starting(state, facts(), now)

    anyio.run(run)


def test_box_that_stops_keeps_nobody() -> None:
    async def run() -> None:
        state = started()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_start_queue, state)
            async with anyio.create_task_group() as waiting:
                waiting.start_soon(wait_for_turn, state, request(), facts())
                await anyio.wait_all_tasks_blocked()
                state.refusing = True
            tasks.cancel_scope.cancel()
        assert not is_starting(state, facts(), anyio.current_time())

    anyio.run(run)


def test_caller_that_leaves_is_dropped() -> None:
    async def run() -> None:
        state = started()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait_for_turn, state, request(), facts())
            await anyio.wait_all_tasks_blocked()
            assert len(state.start_waits.queue.waiting) == 1
            tasks.cancel_scope.cancel()
        assert not state.start_waits.queue.waiting
        assert not state.start_waits.turns

    anyio.run(run)


@pytest.mark.parametrize("patience", [-1.0, 0.0])
def test_caller_without_time_is_not_kept(patience: float) -> None:
    async def run() -> float:
        return await wait_for_turn(started(), request(), facts(patience=patience))

    assert anyio.run(run) == 0.0


def test_document_that_never_comes_ends_the_wait() -> None:
    async def run() -> float:
        state = started(uptime=START_SECONDS - 0.05)
        return await wait_for_turn(state, request(), facts())

    assert 0.0 < anyio.run(run) < START_SECONDS
