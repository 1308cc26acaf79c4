"""New streams are admitted by priority while the room of a contended pool is short."""

from __future__ import annotations

import logging
import random

import anyio
import msgspec
import pytest
from pythonjsonlogger.json import JsonFormatter

from ledgeladder.daemons.gateway.admission import admit_stream
from ledgeladder.daemons.gateway.checks import Permit
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.daemons.gateway.stream_session import StreamSession
from ledgeladder.daemons.gateway.waiting import run_queue
from ledgeladder.http1 import HttpRequest
from ledgeladder.model import Execution, ProblemError, ResultCode
from ledgeladder.model.demand import ClassDemand, PoolDemand
from ledgeladder.model.exchange import CallerFacts
from ledgeladder.model.registration import Holding, Registration
from ledgeladder.model.traffic import (
    CardKind,
    EngineProfile,
    PoolWeight,
    RequestKind,
    RouteRule,
    UpstreamPool,
)
from ledgeladder.routing.admission_level import AdmissionLevel
from ledgeladder.routing.event_stream import EventOrder
from ledgeladder.routing.fleet_demand import apply_totals, local_pool_demand
from ledgeladder.routing.forwarding_table import ForwardedUpstream, put_registration
from ledgeladder.routing.return_times import MIN_RETURN_SECONDS
from ledgeladder.routing.stream_patience import stream_timeouts

from .builders import gateway_state

PROFILE = EngineProfile(
    model="m",
    layers=10,
    layer_mb=1.0,
    kv_token_bytes=0.0,
    step_ms=1.0,
    step_ms_per_request=0.1,
    prefill_tokens_per_s=100_000,
    steps_per_pass=1,
    load_seconds=1.0,
    parallel_loads=1,
    mean_prompt_tokens=800,
    mean_answer_tokens=200,
    cards={"fast": CardKind(name="fast", memory_mb=100.0, step_factor=1.0, prefill_factor=1.0)},
)
POOL = UpstreamPool(name="p", max_connections=10, engine=PROFILE)
ROUTE = RouteRule(
    name="r",
    host="h",
    path_prefix="/",
    kind=RequestKind.STREAM,
    resumable=True,
    timeout=30.0,
    target_latency=1.0,
    gap_target=0.2,
    priority=0,
    pools=(PoolWeight(pool="p", weight=1.0),),
    max_attempts=3,
    public=True,
)
HASTY = msgspec.structs.replace(ROUTE, target_latency=0.1)
"""A route whose requests expect a first event soon."""

SLOTS = 100


class Caller(msgspec.Struct, kw_only=True):
    """A request and what became of it."""

    request: HttpRequest
    permit: Permit
    session: StreamSession


def caller(
    priority: int,
    *,
    timeout: float = 30.0,
    resume_after: int | None = None,
    account: str = "x",
    route: RouteRule = ROUTE,
) -> Caller:
    now = anyio.current_time()
    facts = CallerFacts(
        attempt_id="t",
        host="h",
        path="/",
        timeout=timeout,
        key=None,
        resume_after=resume_after,
        prompt_tokens=800,
        answer_tokens=200,
    )
    return Caller(
        request=HttpRequest(
            method=b"POST", target=b"/", headers=[], fields={}, body=b"x", arrived_at=now
        ),
        permit=Permit(
            facts=facts,
            route=route,
            pool=POOL,
            account=account,
            priority=priority,
            deadline=now + timeout,
            version=1,
        ),
        session=StreamSession(
            order=EventOrder(last_id=resume_after),
            timeouts=stream_timeouts(
                target_latency=1.0, gap_target=0.2, probe_seconds=0.1, first_seconds=0.1
            ),
            tokens=1000,
        ),
    )


async def admit(state: GatewayState, item: Caller) -> None:
    await admit_stream(state, item.permit, item.request, item.session, 200)


def engine(state: GatewayState, in_flight: int) -> ForwardedUpstream:
    """Add an engine that holds all layers."""
    registration = Registration(
        instance="i-1",
        sequence=1,
        pool="p",
        address="127.0.0.1:1",
        failure_domain="a",
        card="fast",
        slots=SLOTS,
        holdings=(Holding(first=0, end=10),),
    )
    found = put_registration(state.table, registration, anyio.current_time())
    assert found is not None
    found.in_flight = in_flight
    return found


def contended_state(*, in_flight: int, asked: dict[int, float] | None = None) -> GatewayState:
    """Return the state of a box that knows one engine and the demand of all boxes."""
    state = gateway_state()
    state.contended = frozenset({"p"})
    state.rng = random.Random(1)
    state.stream_pace.mean = 3.0
    engine(state, in_flight)
    classes = {
        rank: ClassDemand(asked=rate, admitted=rate / 2, tokens=rate * 1000.0)
        for rank, rate in (asked or {}).items()
    }
    if asked is not None:
        apply_totals(state.demand, {"p": PoolDemand(classes=classes)}, 1, anyio.current_time())
    return state


async def count_admitted(state: GatewayState, priority: int, number: int) -> int:
    """Return how many of some requests are admitted, each by the same view of the room."""
    admitted = 0
    for _ in range(number):
        state.room.views.clear()
        try:
            await admit(state, caller(priority, timeout=1.0, route=HASTY))
            admitted += 1
        except ProblemError as error:
            assert error.problem.code is ResultCode.OUT_OF_ROOM
    return admitted


def counters(state: GatewayState) -> dict[str, int]:
    return {name: count for name, count in state.metrics.counters.items() if "admission" in name}


def test_full_fleet_serves_the_most_urgent_and_a_least_share_of_others() -> None:
    """Load: the most urgent ask for part of what a full fleet can run, the others for far more."""

    async def run() -> None:
        state = contended_state(in_flight=SLOTS, asked={0: 2.0, 1: 200.0})
        urgent = await count_admitted(state, 0, 10)
        other = await count_admitted(state, 1, 300)
        assert urgent == 10
        assert 0 < other < 60
        found = counters(state)
        assert found["admission-admitted-p0"] == urgent
        assert found["admission-admitted-p1"] == other
        assert found["admission-refused-p1"] == 300 - other

    anyio.run(run)


@pytest.mark.parametrize("asked", [None, {0: 1e6, 1: 1e6}])
def test_idle_fleet_refuses_nobody(asked: dict[int, float] | None) -> None:
    """Load: none; the demand figures are missing or say the opposite."""

    async def run() -> None:
        state = contended_state(in_flight=0, asked=asked)
        for priority in (0, 1, 5):
            assert await count_admitted(state, priority, 20) == 20

    anyio.run(run)


def test_resumed_streams_and_other_pools_pass_without_a_decision() -> None:
    """Load: a full fleet; the caller of a resumed stream has part of the answer."""

    async def run() -> None:
        state = contended_state(in_flight=10 * SLOTS, asked={0: 1e4, 1: 1e4})
        for _ in range(50):
            await admit(state, caller(1, resume_after=3))
        state.contended = frozenset()
        for _ in range(50):
            await admit(state, caller(1))
        assert not counters(state)
        assert not state.room.views
        assert not state.demand.local

    anyio.run(run)


def test_switched_off_admission_admits_all_and_still_records_the_demand() -> None:
    async def run() -> None:
        state = contended_state(in_flight=10 * SLOTS, asked={0: 1e4, 1: 1e4})
        section = msgspec.structs.replace(state.settings.gateway, admission="off")
        state.settings = msgspec.structs.replace(state.settings, gateway=section)
        for _ in range(50):
            await admit(state, caller(1))
        known = local_pool_demand(state.demand, "p", anyio.current_time()).classes[1]
        assert known.asked == pytest.approx(known.admitted)
        assert known.asked > 0.0
        assert not counters(state)

    anyio.run(run)


def test_refusal_says_not_run_and_when_to_come_back(caplog: pytest.LogCaptureFixture) -> None:
    async def run() -> None:
        state = contended_state(in_flight=2 * SLOTS, asked={0: 1e3, 1: 1e3})
        with caplog.at_level(logging.INFO), pytest.raises(ProblemError) as raised:
            for _ in range(50):
                await admit(state, caller(1, account="shop"))
        problem = raised.value.problem
        assert problem.code is ResultCode.OUT_OF_ROOM
        assert problem.status == 503
        assert problem.known_execution is Execution.NOT_RUN
        assert problem.retry_after is not None
        assert problem.retry_after >= MIN_RETURN_SECONDS
        told.append(problem.retry_after)

    told: list[float] = []
    anyio.run(run)
    line = next(item for item in caplog.records if item.getMessage() == "admission")
    assert (line.decision, line.pool, line.priority, line.account) == ("refused", "p", 1, "shop")  # type: ignore[attr-defined]
    for field in ("free", "reserved", "demand_age", "class_share", "account_share", "waited"):
        assert isinstance(getattr(line, field), float)
    assert [line.retry_after] == [round(item, 2) for item in told]  # type: ignore[attr-defined]


def test_log_line_of_a_box_without_totals_is_valid_json(caplog: pytest.LogCaptureFixture) -> None:
    """Failure: totals never arrived, so the demand has no age; JSON has no infinity."""

    async def run() -> None:
        state = contended_state(in_flight=2 * SLOTS)
        state.entry_count = 100
        with caplog.at_level(logging.INFO), pytest.raises(ProblemError):
            for _ in range(200):
                await admit(state, caller(1, route=HASTY))

    anyio.run(run)
    lines = [item for item in caplog.records if item.getMessage() == "admission"]
    assert lines
    for line in lines:
        msgspec.json.decode(JsonFormatter().format(line))
        assert line.demand_age is None  # type: ignore[attr-defined]


def test_cut_off_box_neither_admits_nor_refuses_all_under_load() -> None:
    """Failure: totals never arrive; the box scales its own demand to all boxes."""

    async def run() -> None:
        state = contended_state(in_flight=10)
        state.entry_count = 10
        admitted = await count_admitted(state, 0, 150) + await count_admitted(state, 1, 150)
        assert 0 < admitted < 300

    anyio.run(run)


def test_stale_demand_is_not_used() -> None:
    """Failure: totals of a burst are the last that arrived, long ago."""

    async def run() -> None:
        state = contended_state(in_flight=60, asked={0: 1e5, 1: 1e5})
        assert state.demand.totals_at is not None
        state.demand.totals_at -= 60.0
        assert await count_admitted(state, 1, 20) == 20

    anyio.run(run)


def test_admitted_requests_take_room_until_the_next_view() -> None:
    """Load: many requests at once at one box, before any is sent to an engine."""

    async def run() -> None:
        state = contended_state(in_flight=0)
        for _ in range(10):
            await admit(state, caller(0))
        assert state.room.views["p"].taken == pytest.approx(10.0)

    anyio.run(run)


class _Draws(random.Random):
    """A random source that always returns the same number."""

    def __init__(self, value: float) -> None:
        super().__init__()
        self.value = value

    def random(self) -> float:
        return self.value


PATIENT = msgspec.structs.replace(ROUTE, target_latency=20.0)
"""A route whose requests wait long enough for any machine that runs the tests."""


def waiting_state() -> GatewayState:
    """Return a state in which requests wait: shares were cut a moment ago, and rise."""
    state = contended_state(in_flight=60)
    demand = {rank: ClassDemand(asked=1.0, admitted=50.0) for rank in range(3)}
    now = anyio.current_time()
    apply_totals(state.demand, {"p": PoolDemand(classes=demand)}, 1, now)
    state.rng = _Draws(0.95)
    for rank in range(3):
        state.room.levels["p", rank] = AdmissionLevel(value=0.85, at=now)
    return state


async def wait_until_queued(state: GatewayState, number: int) -> None:
    """Wait until some requests wait; fail instead of hanging if they were decided on at once."""
    with anyio.fail_after(20.0):
        while len(state.room.queue.queue.waiting) < number:
            await anyio.sleep(0)


def free_room(state: GatewayState) -> None:
    for item in state.table.upstreams.values():
        item.in_flight = 0
    state.room.views.clear()


def test_waiting_requests_are_admitted_by_priority_then_deadline() -> None:
    """Load: a fleet whose shares were just cut and that gets free while requests wait."""

    async def run() -> list[str]:
        state = waiting_state()
        admitted: list[str] = []

        async def call(name: str, priority: int, timeout: float) -> None:
            await admit(state, caller(priority, timeout=timeout, route=PATIENT))
            admitted.append(name)

        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as callers:
                callers.start_soon(call, "least", 2, 20.0)
                callers.start_soon(call, "late", 1, 25.0)
                callers.start_soon(call, "soon", 1, 20.0)
                callers.start_soon(call, "urgent", 0, 30.0)
                await wait_until_queued(state, 4)
                free_room(state)
                tasks.start_soon(run_queue, state.room.queue)
            tasks.cancel_scope.cancel()
        assert counters(state) == {
            "admission-waited-p0": 1,
            "admission-waited-p1": 2,
            "admission-waited-p2": 1,
        }
        assert not state.room.queue.queue.waiting
        assert not +state.room.waiting
        return admitted

    assert anyio.run(run) == ["urgent", "soon", "late", "least"]


def test_request_that_gets_no_room_is_refused_after_its_wait() -> None:
    """Load: a full fleet that stays full, and runs about nine tenths of what is asked for. The
    queue decides again meanwhile, and the share never exceeds the request's random number."""

    async def run() -> None:
        state = contended_state(in_flight=SLOTS, asked={1: 33.0})
        state.rng = _Draws(0.95)
        item = caller(1, timeout=4.0, route=msgspec.structs.replace(ROUTE, target_latency=2.0))
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_queue, state.room.queue)
                with pytest.raises(ProblemError):
                    await admit(state, item)
                tasks.cancel_scope.cancel()
        assert state.room.queue.queue.last_ticket == 1
        assert counters(state) == {"admission-refused-p1": 1}
        assert 0.75 < state.room.levels["p", 1].value < 0.95
        assert not state.room.queue.queue.waiting

    anyio.run(run)


def test_request_without_time_left_does_not_wait() -> None:
    """Load: a full fleet; what is left until the deadline is less than a stream takes."""

    async def run() -> None:
        state = waiting_state()
        with pytest.raises(ProblemError):
            await admit(state, caller(1, timeout=2.0, route=PATIENT))
        assert state.room.queue.queue.last_ticket == 0

    anyio.run(run)


def test_waiting_is_bounded_in_number() -> None:
    """Load: more requests than the queue holds."""

    async def run() -> None:
        state = waiting_state()
        state.room.queue.queue.max_requests = 0
        with pytest.raises(ProblemError):
            await admit(state, caller(1, route=PATIENT))
        assert state.room.waiting["p", 1] == 0

    anyio.run(run)


def test_caller_that_disconnects_stops_waiting() -> None:
    """Failure: a caller leaves while its request waits."""

    async def run() -> None:
        state = waiting_state()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(admit, state, caller(1, route=PATIENT))
            await wait_until_queued(state, 1)
            tasks.cancel_scope.cancel()
        assert not state.room.queue.queue.waiting
        assert not +state.room.waiting

    anyio.run(run)


def test_box_that_stops_lets_no_request_wait() -> None:
    """Failure: a planned stop begins while the fleet is full."""

    async def run() -> None:
        state = waiting_state()
        state.stopping = True
        with pytest.raises(ProblemError):
            await admit(state, caller(1, route=PATIENT))
        assert state.room.queue.queue.last_ticket == 0

    anyio.run(run)


def test_requests_that_wait_go_ahead_once_the_box_stops() -> None:
    """Failure: a planned stop begins while requests wait. It ends before their wait would."""

    async def run() -> None:
        state = contended_state(in_flight=SLOTS, asked={1: 33.0})
        state.rng = _Draws(1.5)  # More than any share: it is never admitted otherwise.
        with anyio.fail_after(20.0):
            async with anyio.create_task_group() as tasks:
                async with anyio.create_task_group() as callers:
                    callers.start_soon(
                        admit,
                        state,
                        caller(1, route=msgspec.structs.replace(ROUTE, target_latency=2.0)),
                    )
                    await wait_until_queued(state, 1)
                    state.stopping = True
                    tasks.start_soon(run_queue, state.room.queue)
                tasks.cancel_scope.cancel()
        assert counters(state) == {"admission-waited-p1": 1}

    anyio.run(run)
