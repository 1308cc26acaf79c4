"""A gateway applies the back-pressure that upstreams signal in the heads of answers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.daemons.gateway import upstream_call
from ledgeladder.daemons.gateway.backpressure import (
    handle_backpressure,
    log_backoff_ends,
    record_backoff,
)
from ledgeladder.daemons.gateway.state import GatewayState
from ledgeladder.daemons.gateway.upstream_call import BackpressureError, open_answer
from ledgeladder.model.exchange import AnswerFacts
from ledgeladder.platform.exchange import read_answer_facts
from ledgeladder.routing.attempt_counts import AttemptCounts
from ledgeladder.routing.forwarding_table import ForwardedUpstream, is_backing_off

from .builders import engine, gateway_state

PERMIT: Any = SimpleNamespace(
    facts=SimpleNamespace(attempt_id="a1"), pool=SimpleNamespace(name="p")
)


def two_upstreams() -> tuple[GatewayState, ForwardedUpstream, ForwardedUpstream]:
    state = gateway_state()
    head, later = engine("i-1", "10.0.0.1:80"), engine("i-2", "10.0.0.2:80")
    state.table.pools["p"] = [head, later]
    return state, head, later


def facts(status: int, **fields: str) -> AnswerFacts:
    named = [(name.replace("_", "-").encode(), text.encode()) for name, text in fields.items()]
    return read_answer_facts(status, named)


def apply(status: int, **fields: str) -> list[tuple[bool, bool]]:
    """Return whether each of two upstreams backs off and drains after the first one answered."""

    async def play() -> list[tuple[bool, bool]]:
        state, head, later = two_upstreams()
        handle_backpressure(state, PERMIT, head, facts(status, **fields), 0.0)
        now = anyio.current_time()
        return [(is_backing_off(item, now), item.draining) for item in (head, later)]

    return anyio.run(play)


AVAILABLE = (False, False)


@pytest.mark.parametrize(
    ("status", "fields", "head", "later"),
    [
        (503, {"not_executed": "1", "retry_after": "3"}, (True, False), AVAILABLE),
        (429, {"not_executed": "1", "retry_after": "3"}, (True, False), AVAILABLE),
        (503, {"not_executed": "1"}, AVAILABLE, AVAILABLE),
        (503, {"not_executed": "1", "retry_after": "-3"}, AVAILABLE, AVAILABLE),
        (200, {"retry_after": "3"}, AVAILABLE, AVAILABLE),
        (
            503,
            {"not_executed": "1", "retry_after": "3", "at_server": "10.0.0.2:80"},
            (True, False),
            (True, False),
        ),
        (200, {"server_leaving": "1"}, (False, True), AVAILABLE),
        (503, {"not_executed": "1", "server_leaving": "1"}, (False, True), AVAILABLE),
        (421, {"server_leaving": "1", "retry_after": "3"}, AVAILABLE, AVAILABLE),
    ],
)
def test_backpressure_applies_to_the_answering_upstream_and_the_culprit(
    status: int, fields: dict[str, str], head: tuple[bool, bool], later: tuple[bool, bool]
) -> None:
    assert apply(status, **fields) == [head, later]


@pytest.mark.parametrize("signal", ["backoff", "draining"])
def test_backpressure_signalled_while_connecting_stops_the_request(
    monkeypatch: pytest.MonkeyPatch, signal: str
) -> None:
    closed: list[bool] = []

    class Connection:
        async def close(self) -> None:
            closed.append(True)

    async def play() -> None:
        state, head, _later = two_upstreams()

        async def connect_late(*_args: Any, **_options: Any) -> Connection:
            signals = {"retry_after": "3"} if signal == "backoff" else {"server_leaving": "1"}
            handle_backpressure(state, PERMIT, head, facts(503, **signals), 0.0)
            return Connection()

        monkeypatch.setattr(upstream_call, "_get_connection", connect_late)
        request: Any = None
        with pytest.raises(BackpressureError):
            await open_answer(
                state,
                PERMIT,
                request,
                request,
                head,
                fresh_connection=False,
                record_sent=AttemptCounts().record_sent,
            )

    anyio.run(play)
    assert closed == [True]


def test_each_backoff_is_logged_once_at_its_start_and_once_at_its_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")

    async def play() -> None:
        state, head, later = two_upstreams()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log_backoff_ends, state)
            for seconds in (0.05, 0.04, 0.03):
                record_backoff(state, head, seconds)
            record_backoff(state, later, 0.02)
            while state.backoff_watch.upstreams:
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert state.metrics.counters["upstream-asked-rest"] == 2

    anyio.run(play)
    messages = [record.message for record in caplog.records]
    assert messages.count("upstream requested back-off") == 2
    assert messages.count("upstream back-off ended") == 2
