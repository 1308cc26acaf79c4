"""Requests that wait for a moment that is near, and for nothing else.

The load is the one of `tests/routing/test_wait_queue.py`: callers whose streams a loss of power
cut come back once only, 0.2 to 0.7 s before their box is sure of its document.
"""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest

from ledgeladder.coordination.freshness import ask, take_answer
from ledgeladder.daemons.gateway.checks import START_SECONDS, Permit
from ledgeladder.daemons.gateway.notes import RequestTrace
from ledgeladder.daemons.gateway.state import answer_pace
from ledgeladder.daemons.gateway.waiting import (
    is_starting,
    run_queue,
    wait_for_turn,
    wait_for_upstreams,
)
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
from ledgeladder.routing.forwarding_table import put_registration, takes_work
from ledgeladder.routing.route_index import build_index

from ...routing.sample_site import PROFILE
from .builders import gateway_state

if TYPE_CHECKING:
    from ledgeladder.daemons.gateway.state import GatewayState
    from ledgeladder.routing.forwarding_table import ForwardedUpstream


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
        tasks.start_soon(run_queue, state.start_queue)
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
            tasks.start_soon(run_queue, state.start_queue)
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
            assert len(state.start_queue.queue.waiting) == 1
            tasks.cancel_scope.cancel()
        assert not state.start_queue.queue.waiting
        assert not state.start_queue.admissions

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


SERVICES = UpstreamPool(name="services", max_connections=10, engine=None)


def resting_service(state: GatewayState, seconds: float) -> ForwardedUpstream:
    """Register a service that wants nothing for some seconds."""
    now = anyio.current_time()
    registration = Registration(
        instance="s", sequence=1, address="s:1", pool=SERVICES.name, slots=6
    )
    service = put_registration(state.table, registration, now)
    assert service is not None
    service.wishes.rest_until = now + seconds
    return service


def permit(patience: float, *, pool: UpstreamPool = SERVICES, priority: int = 1) -> Permit:
    return Permit(
        facts=facts(patience=patience),
        route=ROUTE,
        pool=pool,
        account=None,
        priority=priority,
        deadline=anyio.current_time() + patience,
        version=1,
    )


async def wait(state: GatewayState, held: Permit, seconds: float) -> bool:
    """Wait for half of the time that a request has."""
    until = anyio.current_time() + (held.facts.patience or 0.0) / 2
    return await wait_for_upstreams(
        state, held, request(), RequestTrace(), seconds=seconds, until=until
    )


def test_request_that_has_the_time_waits_until_upstreams_have_rested() -> None:
    async def run() -> None:
        state = gateway_state()
        service = resting_service(state, 0.1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            assert await wait(state, permit(5.0), 0.1)
            assert takes_work(service, anyio.current_time())
            tasks.cancel_scope.cancel()
        assert not state.upstream_queue.queue.waiting
        assert not state.upstream_queue.admissions

    anyio.run(run)


def test_request_that_could_not_be_served_then_is_not_kept() -> None:
    async def run() -> None:
        state = gateway_state()
        resting_service(state, 3.0)
        with anyio.fail_after(0.05):
            assert not await wait(state, permit(5.0), 3.0)

    anyio.run(run)


def test_request_is_kept_no_longer_than_half_of_its_time() -> None:
    async def run() -> None:
        state = gateway_state()
        resting_service(state, 60.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            with anyio.fail_after(1.0):
                assert not await wait(state, permit(0.4), 0.1)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_those_that_wait_go_on_one_after_the_other_the_urgent_first() -> None:
    """The pattern: many callers wait for the same rest; the upstream must not get all at once."""

    async def run() -> list[tuple[str, float]]:
        state = gateway_state()
        resting_service(state, 0.1)
        answer_pace(state, SERVICES.name).mean = 0.12
        went: list[tuple[str, float]] = []

        async def call(name: str, priority: int) -> None:
            held = permit(5.0, priority=priority)
            assert await wait(state, held, 0.1)
            went.append((name, anyio.current_time()))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            async with anyio.create_task_group() as waiting:
                for name, priority in (("usual", 3), ("late", 5), ("urgent", 0)):
                    waiting.start_soon(call, name, priority)
            tasks.cancel_scope.cancel()
        return went

    went = anyio.run(run)
    assert [name for name, _at in went] == ["urgent", "usual", "late"]
    times = [at for _name, at in went]
    # Six slots and answers in 0.12 s: one each 0.02 s is worked off.
    assert all(later - earlier >= 0.019 for earlier, later in pairwise(times))


def test_streams_wait_until_each_layer_has_an_engine_that_wants_work() -> None:
    """The pattern: the only holder of a range rests while the others are free."""

    async def run() -> None:
        state = gateway_state()
        half, now = PROFILE.layers // 2, anyio.current_time()
        for name, first, end in (("a", 0, half), ("b", half, PROFILE.layers)):
            registration = Registration(
                instance=name,
                sequence=1,
                address=f"{name}:1",
                pool=POOL.name,
                holdings=(Holding(first=first, end=end),),
            )
            put_registration(state.table, registration, now)
        state.table.upstreams["a"].wishes.rest_until = now + 0.1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            assert await wait(state, permit(5.0, pool=POOL), 0.1)
            assert anyio.current_time() >= now + 0.1
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_request_whose_turn_would_come_too_late_is_not_kept() -> None:
    """The pattern: more callers than what rests takes, which waited in vain until they left."""

    async def run() -> None:
        state = gateway_state()
        resting_service(state, 0.1)
        state.upstream_queue.admission_pace.mean = 1.0
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(wait, state, permit(60.0), 0.1)
            await anyio.wait_all_tasks_blocked()
            with anyio.fail_after(0.05):
                assert not await wait(state, permit(6.0), 0.1)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_full_queue_refuses_at_once() -> None:
    async def run() -> None:
        state = gateway_state()
        state.upstream_queue.queue.most_requests = 0
        resting_service(state, 0.1)
        with anyio.fail_after(0.05):
            assert not await wait(state, permit(5.0), 0.1)

    anyio.run(run)
