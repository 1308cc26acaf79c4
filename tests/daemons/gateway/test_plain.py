"""Requests to plain services that stall or answer late."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ledgeladder.coordination.content_watch import (
    compute_part_fingerprint,
    record_own_part_crash,
)
from ledgeladder.coordination.part_crashes import part_crash_count
from ledgeladder.daemons.gateway import plain
from ledgeladder.daemons.gateway.notes import RequestTrace
from ledgeladder.daemons.gateway.plain import _Attempts, _run_attempt
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.http1 import connect
from ledgeladder.model.traffic import RequestKind
from ledgeladder.routing.forwarding_table import put_registration
from ledgeladder.routing.repeat_window import RetryWindow

from .builders import engine, gateway_state

LOCAL = "127.0.0.1"


def permit(now: float) -> Any:
    return SimpleNamespace(
        route=SimpleNamespace(
            kind=RequestKind.REPEATABLE, repeatable=True, max_attempts=2, target_latency=0.01
        ),
        pool=SimpleNamespace(name="p", engine=None),
        facts=SimpleNamespace(attempt_id="a1", host="h", path="/", key="k", prompt_parts=("5c1e",)),
        account=None,
        priority=5,
        deadline=now + 5.0,
    )


def test_idle_connections_are_closed_after_a_stalled_one() -> None:
    async def play() -> int:
        async def stall(stream: SocketStream) -> None:
            async with stream:
                await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host=LOCAL)
            port = listener.extra(SocketAttribute.local_port)
            tasks.start_soon(listener.serve, stall)
            state = gateway_state()
            address = f"{LOCAL}:{port}"
            upstream = engine(address=address)
            other = engine(address=f"{LOCAL}:1")
            for item in (upstream, other):
                put_registration(state.table, item.registration, anyio.current_time())
            state.table.pools["p"] = [upstream, other]
            for _ in range(3):
                connection = await connect(address, source=LOCAL, seconds=1.0)
                connection.keep_until = anyio.current_time() + 60.0
                state.connections.idle.setdefault(address, []).append(connection)
            request: Any = SimpleNamespace(
                method=b"GET", target=b"/", body=b"", headers=[(b"Host", b"x")], fields={}
            )
            final = await _run_attempt(
                state, permit(anyio.current_time()), request, _Attempts(), upstream, RequestTrace()
            )
            assert not final
            tasks.cancel_scope.cancel()
        return len(state.connections.idle.get(address, []))

    assert anyio.run(play) == 0


ANSWER_SECONDS = 0.2
"""Answer time of the services in the test below, longer than the timeout of a first attempt."""


def answer_after(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Have all upstreams answer after some seconds."""

    async def open_late(*_args: Any, **_options: Any) -> Any:
        await anyio.sleep(seconds)
        facts = SimpleNamespace(not_run=False, wrong_upstream=False, signed=True)
        headers = SimpleNamespace(raw_items=list)
        return SimpleNamespace(facts=facts, head=SimpleNamespace(status_code=200, headers=headers))

    async def read_nothing(*_args: Any) -> bytes:
        return b""

    monkeypatch.setattr(plain, "open_answer", open_late)
    monkeypatch.setattr(plain, "read_body", read_nothing)


async def forward(state: GatewayState, budget: RetryWindow) -> None:
    """Forward one request to three services, and check that it is answered."""
    answered: list[int] = []

    async def answer(status: int, _headers: Any, _body: bytes) -> None:
        answered.append(status)

    for number in range(3):
        item = engine(f"s-{number}", f"{LOCAL}:{number + 1}")
        state.table.pools.setdefault("p", []).append(item)
    state.retry_budgets["p"] = budget
    now = anyio.current_time()
    request: Any = SimpleNamespace(arrived_at=now, method=b"GET", target=b"/", body=b"")
    exchange: Any = SimpleNamespace(answer=answer)
    await plain.forward_plain(state, permit(now), request, exchange, RequestTrace())
    assert answered == [200]


def test_answer_clears_the_parts_of_its_prompt(monkeypatch: pytest.MonkeyPatch) -> None:
    """A part that all requests share would be blamed for crashes by chance."""
    answer_after(monkeypatch, 0.0)

    async def play() -> None:
        state = gateway_state()
        part = compute_part_fingerprint("p", "5c1e")
        for number in range(2):
            record_own_part_crash(state.quarantine, part, f"i-{number}", b"%d" % number, 0.0)
        assert state.quarantine.part_crashes is not None
        await forward(state, RetryWindow(ratio=0.0, reserve=0.0, seconds=10.0))
        assert part_crash_count(state.quarantine.part_crashes, part) == 0

    anyio.run(play)


@pytest.mark.parametrize("reserve", [0.0, 200.0])
def test_attempt_is_cancelled_only_if_a_retry_is_available(
    monkeypatch: pytest.MonkeyPatch, reserve: float
) -> None:
    """Guards against cancelling a late attempt when the retry budget is used up."""
    answer_after(monkeypatch, ANSWER_SECONDS)

    async def play() -> int:
        budget = RetryWindow(ratio=0.0, reserve=reserve, seconds=10.0)
        await forward(gateway_state(), budget)
        return len(budget.retries)

    retries = anyio.run(play)
    assert retries == (1 if reserve else 0)
