"""Requests wait only if they can be served soon.

Callers whose streams were interrupted by a power loss retry only once, shortly before their box has
confirmed its document.
"""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest

from ledgeladder.coordination.freshness import handle_reply, open_query
from ledgeladder.daemons.gateway.checks import STARTUP_SECONDS, Permit
from ledgeladder.daemons.gateway.notes import RequestTrace
from ledgeladder.daemons.gateway.state import answer_pace
from ledgeladder.daemons.gateway.waiting import (
    is_starting,
    run_queue,
    wait_for_start,
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
from ledgeladder.routing.forwarding_table import accepts_work, put_registration
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


def facts(*, timeout: float = 20.0, resume_after: int | None = None) -> CallerFacts:
    return CallerFacts(
        attempt_id="r",
        host="h",
        path="/x/",
        timeout=timeout,
        key=None,
        resume_after=resume_after,
    )


def request() -> HttpRequest:
    now = anyio.current_time()
    return HttpRequest(method=b"POST", target=b"/x/", headers=[], fields={}, arrived_at=now)


def confirm_document(state: GatewayState) -> None:
    """Put a document in force and confirm it as the newest."""
    state.configuration = TrafficConfiguration(
        version=1, routes=(), pools={}, accounts=(), limits=CallerLimits()
    )
    handle_reply(state.freshness, open_query(state.freshness, anyio.current_time()), 1, 0.0)


def starting_state(*, uptime: float = 0.0) -> GatewayState:
    state = gateway_state()
    state.started_at = anyio.current_time() - uptime
    return state


async def served_order(state: GatewayState, callers: dict[str, CallerFacts]) -> list[str]:
    """Let callers wait, confirm the document, and return the order of their admission."""
    order: list[str] = []

    async def call(name: str, stated: CallerFacts) -> None:
        await wait_for_start(state, request(), stated)
        order.append(name)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_queue, state.start_queue)
        async with anyio.create_task_group() as waiting:
            for name, stated in callers.items():
                waiting.start_soon(call, name, stated)
                await anyio.sleep(0)
            await anyio.wait_all_tasks_blocked()
            assert not order
            confirm_document(state)
        tasks.cancel_scope.cancel()
    return order


def test_callers_wait_and_interrupted_streams_are_admitted_first() -> None:
    async def run() -> list[str]:
        callers = {"new": facts(), "cut": facts(resume_after=3), "newer": facts()}
        return await served_order(starting_state(), callers)

    assert anyio.run(run) == ["cut", "new", "newer"]


def test_no_request_waits_after_startup_or_its_time_limit() -> None:
    async def run() -> None:
        state = starting_state()
        assert is_starting(state, facts(), anyio.current_time())
        confirm_document(state)
        assert not is_starting(state, facts(), anyio.current_time())
        assert not is_starting(
            starting_state(uptime=STARTUP_SECONDS), facts(), anyio.current_time()
        )

    anyio.run(run)


def test_streams_wait_for_a_failure_domain_that_covers_all_layers() -> None:
    """Registrations arrive once a second, so some upstreams become known after the document."""

    async def run() -> None:
        state = starting_state()
        confirm_document(state)
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


def test_stopping_box_keeps_no_request_waiting() -> None:
    async def run() -> None:
        state = starting_state()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.start_queue)
            async with anyio.create_task_group() as waiting:
                waiting.start_soon(wait_for_start, state, request(), facts())
                await anyio.wait_all_tasks_blocked()
                state.refusing = True
            tasks.cancel_scope.cancel()
        assert not is_starting(state, facts(), anyio.current_time())

    anyio.run(run)


def test_disconnecting_caller_is_removed_from_the_queue() -> None:
    async def run() -> None:
        state = starting_state()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait_for_start, state, request(), facts())
            await anyio.wait_all_tasks_blocked()
            assert len(state.start_queue.queue.waiting) == 1
            tasks.cancel_scope.cancel()
        assert not state.start_queue.queue.waiting
        assert not state.start_queue.admissions

    anyio.run(run)


@pytest.mark.parametrize("timeout", [-1.0, 0.0])
def test_caller_without_time_left_does_not_wait(timeout: float) -> None:
    async def run() -> float:
        return await wait_for_start(starting_state(), request(), facts(timeout=timeout))

    assert anyio.run(run) == 0.0


def test_wait_ends_after_the_startup_time_without_a_document() -> None:
    async def run() -> float:
        state = starting_state(uptime=STARTUP_SECONDS - 0.05)
        return await wait_for_start(state, request(), facts())

    assert 0.0 < anyio.run(run) < STARTUP_SECONDS


SERVICES = UpstreamPool(name="services", max_connections=10, engine=None)


def backing_off_service(state: GatewayState, seconds: float) -> ForwardedUpstream:
    """Register a service that backs off for some seconds."""
    now = anyio.current_time()
    registration = Registration(
        instance="s", sequence=1, address="s:1", pool=SERVICES.name, slots=6
    )
    service = put_registration(state.table, registration, now)
    assert service is not None
    service.backpressure.backoff_until = now + seconds
    return service


def permit(timeout: float, *, pool: UpstreamPool = SERVICES, priority: int = 1) -> Permit:
    return Permit(
        facts=facts(timeout=timeout),
        route=ROUTE,
        pool=pool,
        account=None,
        priority=priority,
        deadline=anyio.current_time() + timeout,
        version=1,
    )


async def wait(state: GatewayState, request_permit: Permit, seconds: float) -> bool:
    """Wait for up to half of the request's timeout."""
    until = anyio.current_time() + (request_permit.facts.timeout or 0.0) / 2
    return await wait_for_upstreams(
        state, request_permit, request(), RequestTrace(), seconds=seconds, until=until
    )


def test_request_waits_until_the_backoff_of_upstreams_ends() -> None:
    async def run() -> None:
        state = gateway_state()
        service = backing_off_service(state, 0.1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            assert await wait(state, permit(5.0), 0.1)
            assert accepts_work(service, anyio.current_time())
            tasks.cancel_scope.cancel()
        assert not state.upstream_queue.queue.waiting
        assert not state.upstream_queue.admissions

    anyio.run(run)


def test_request_does_not_wait_for_a_backoff_beyond_its_deadline() -> None:
    async def run() -> None:
        state = gateway_state()
        backing_off_service(state, 3.0)
        with anyio.fail_after(0.05):
            assert not await wait(state, permit(5.0), 3.0)

    anyio.run(run)


def test_request_waits_no_longer_than_half_of_its_timeout() -> None:
    async def run() -> None:
        state = gateway_state()
        backing_off_service(state, 60.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            with anyio.fail_after(1.0):
                assert not await wait(state, permit(0.4), 0.1)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_waiting_requests_are_admitted_one_by_one_by_priority() -> None:
    """Guards against sending all waiting requests at once when a back-off ends."""

    async def run() -> list[tuple[str, float]]:
        state = gateway_state()
        backing_off_service(state, 0.1)
        answer_pace(state, SERVICES.name).mean = 0.12
        admitted: list[tuple[str, float]] = []

        async def call(name: str, priority: int) -> None:
            request_permit = permit(5.0, priority=priority)
            assert await wait(state, request_permit, 0.1)
            admitted.append((name, anyio.current_time()))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            async with anyio.create_task_group() as waiting:
                for name, priority in (("usual", 3), ("late", 5), ("urgent", 0)):
                    waiting.start_soon(call, name, priority)
            tasks.cancel_scope.cancel()
        return admitted

    admitted = anyio.run(run)
    assert [name for name, _at in admitted] == ["urgent", "usual", "late"]
    times = [at for _name, at in admitted]
    # Six slots and answers in 0.12 s: one request each 0.02 s is completed.
    assert all(later - earlier >= 0.019 for earlier, later in pairwise(times))


def test_streams_wait_until_each_layer_has_an_engine_that_accepts_work() -> None:
    """The only engine with a range of layers backs off while the others are available."""

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
        state.table.upstreams["a"].backpressure.backoff_until = now + 0.1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_queue, state.upstream_queue)
            assert await wait(state, permit(5.0, pool=POOL), 0.1)
            assert anyio.current_time() >= now + 0.1
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_request_that_would_be_admitted_too_late_does_not_wait() -> None:
    """Guards against callers that wait although too many requests wait before them."""

    async def run() -> None:
        state = gateway_state()
        backing_off_service(state, 0.1)
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
        state.upstream_queue.queue.max_requests = 0
        backing_off_service(state, 0.1)
        with anyio.fail_after(0.05):
            assert not await wait(state, permit(5.0), 0.1)

    anyio.run(run)
