"""A gateway applies and reports rate limits of upstreams, and requests rate grants."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ledgeladder.coordination.rate_limit import GRANT_TTL_SECONDS, ReportedLimit
from ledgeladder.daemons import limit_keeper
from ledgeladder.daemons.gateway import upstream_call
from ledgeladder.daemons.gateway.backpressure import handle_backpressure, request_grants
from ledgeladder.daemons.gateway.state import GatewayState, rate_limiter_of
from ledgeladder.daemons.gateway.upstream_call import BackpressureError, open_answer
from ledgeladder.daemons.limit_keeper import apply_limits, handle_grant_reply, run_rate_limiter
from ledgeladder.links.frames import LENGTH_PREFIX, decode_payload
from ledgeladder.links.messages import Grant, GrantReply, GrantRequest, RateLimitUpdate
from ledgeladder.platform.exchange import read_answer_facts
from ledgeladder.routing.attempt_counts import AttemptCounts
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    accepts_work,
    put_registration,
)
from ledgeladder.routing.rate_grants import any_limited

from .builders import engine, gateway_state
from .test_backpressure import PERMIT

ADVERTISED = ReportedLimit(rate=2.0, advertised_age=0.0, withdrawn_age=None)


class ControlBox:
    """A link that records the messages sent over it."""

    def __init__(self) -> None:
        self.updates: list[RateLimitUpdate] = []
        self.requests: list[GrantRequest] = []

    def post(self, message: Any) -> None:
        (self.updates if isinstance(message, RateLimitUpdate) else self.requests).append(message)

    def post_frame(self, frame: bytes) -> None:
        message = decode_payload(frame[LENGTH_PREFIX.size :])
        assert isinstance(message, RateLimitUpdate)
        self.updates.append(message)


def linked(count: int = 3) -> tuple[GatewayState, ForwardedUpstream, list[ControlBox]]:
    """Return a box with one upstream, and its links to control boxes."""
    state = gateway_state()
    known = put_registration(state.table, engine().registration, 0.0)
    assert known is not None
    boxes = [ControlBox() for _ in range(count)]
    peers: Any = SimpleNamespace(links={f"10.0.0.{item}": box for item, box in enumerate(boxes)})
    state.peers = peers
    return state, known, boxes


def handle_answer(
    state: GatewayState, upstream: ForwardedUpstream, sent_at: float, status: int = 200, **more: str
) -> None:
    """Handle the head of an answer that the upstream signed."""
    fields = {"replica-seal": "x"} | {name.replace("_", "-"): text for name, text in more.items()}
    headers = [(name.encode(), text.encode()) for name, text in fields.items()]
    handle_backpressure(state, PERMIT, upstream, read_answer_facts(status, headers), sent_at)


@pytest.mark.parametrize(
    ("limit", "rate"),
    [
        ("2", 2.0),
        ("2.25", 2.25),
        ("0", 0.0),
        ("-1", None),
        ("soon", None),
        ("nan", None),
        ("1e9", None),
    ],
)
def test_rate_advertised_in_an_answer_is_applied(limit: str, rate: float | None) -> None:
    async def play() -> None:
        state, upstream, _boxes = linked()
        handle_answer(state, upstream, 0.0, server_limit=limit)
        limit_state = upstream.limit
        assert (None if limit_state is None else limit_state.limit.rate) == rate
        assert accepts_work(upstream, anyio.current_time()) is (rate is None)
        assert any_limited([upstream.limit], anyio.current_time()) is (rate is not None)

    anyio.run(play)


@pytest.mark.parametrize(
    ("status", "fields", "later", "ends"),
    [
        (200, {}, True, True),
        (200, {"server_limit": "1e9"}, True, True),
        (503, {"not_executed": "1"}, True, True),
        # Sent before the limit was advertised, so the answer may be older than the limit.
        (200, {}, False, False),
        (200, {"server_limit": "soon"}, True, False),
        # Another instance has taken over the address.
        (421, {}, True, False),
        # Not signed by the upstream itself.
        (502, {"replica_seal": ""}, True, False),
    ],
)
def test_limit_ends_with_an_answer_that_advertises_none(
    status: int, fields: dict[str, str], later: bool, ends: bool
) -> None:
    async def play() -> None:
        state, upstream, _boxes = linked()
        handle_answer(state, upstream, 0.0, server_limit="2")
        now = anyio.current_time()
        if fields.get("replica_seal") == "":
            facts = read_answer_facts(status, [])
            handle_backpressure(state, PERMIT, upstream, facts, now + 1.0)
        else:
            handle_answer(state, upstream, now + 1.0 if later else 0.0, status, **fields)
        assert upstream.limit is not None
        assert upstream.limit.limit.is_advertised is not ends

    anyio.run(play)


def test_update_of_a_control_box_limits_an_upstream_that_registers_later() -> None:
    async def play() -> None:
        state, _upstream, _boxes = linked()
        apply_limits(rate_limiter_of(state), {"i-9": ADVERTISED})
        known = put_registration(state.table, engine("i-9", "127.0.0.1:9").registration, 0.0)
        assert known is not None
        assert not accepts_work(known, anyio.current_time())
        apply_limits(
            rate_limiter_of(state),
            {"i-9": ReportedLimit(rate=2.0, advertised_age=9.0, withdrawn_age=0.0)},
        )
        assert known.limit is not None
        assert not known.limit.limit.is_advertised

    anyio.run(play)


async def run_keeper(state: GatewayState, seconds: float) -> None:
    with anyio.move_on_after(seconds):
        await run_rate_limiter(rate_limiter_of(state))


def test_box_reports_limits_and_requests_grants_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(limit_keeper, "MIN_UPDATE_INTERVAL_SECONDS", 0.001)

    async def play() -> None:
        state, upstream, boxes = linked()
        handle_answer(state, upstream, 0.0, server_limit="2")
        for _ in range(5):
            request_grants(state, "")
        await run_keeper(state, 0.1)
        assert [len(box.updates) for box in boxes] == [1, 1, 1]
        requests = [request for box in boxes for request in box.requests]
        assert sum(request.counts["i-1"] for request in requests) == 1
        request_grants(state, "")
        await run_keeper(state, 0.1)
        assert sum(len(box.requests) for box in boxes) == len(requests)

    anyio.run(play)


def test_grant_is_usable_until_it_expires() -> None:
    async def play() -> None:
        state, upstream, boxes = linked()
        handle_answer(state, upstream, 0.0, server_limit="2")
        request_grants(state, "")
        await run_keeper(state, 0.05)
        call = next(request.call for box in boxes for request in box.requests)
        handle_grant_reply(rate_limiter_of(state), reply(call, 1))
        assert accepts_work(upstream, anyio.current_time())
        assert not accepts_work(upstream, state.table.limits.requested_at + GRANT_TTL_SECONDS)
        # A duplicate reply, or one to an unknown request, grants nothing.
        handle_grant_reply(rate_limiter_of(state), reply(call, 1))
        handle_grant_reply(rate_limiter_of(state), reply(99, 1))
        assert upstream.limit is not None
        assert len(upstream.limit.grants) <= 1

    anyio.run(play)


def reply(call: int, count: int) -> GrantReply:
    return GrantReply(call=call, grants={"i-1": Grant(count=count, wait=1.0, limit=ADVERTISED)})


def test_late_reply_grants_nothing() -> None:
    async def play() -> None:
        state, upstream, boxes = linked(1)
        handle_answer(state, upstream, 0.0, server_limit="2")
        request_grants(state, "")
        await run_keeper(state, 0.05)
        call = boxes[0].requests[0].call
        rate_limiter_of(state).requested_at[call] -= GRANT_TTL_SECONDS
        handle_grant_reply(rate_limiter_of(state), reply(call, 1))
        assert not accepts_work(upstream, anyio.current_time())

    anyio.run(play)


def test_box_without_links_sends_nothing_to_a_limited_upstream() -> None:
    async def play() -> None:
        state, upstream, _boxes = linked(0)
        handle_answer(state, upstream, 0.0, server_limit="2")
        request_grants(state, "")
        await run_keeper(state, 0.05)
        assert not accepts_work(upstream, anyio.current_time())

    anyio.run(play)


@pytest.mark.parametrize("position", ["first", "later"])
def test_limit_that_becomes_known_while_connecting_stops_the_request(
    monkeypatch: pytest.MonkeyPatch, position: str
) -> None:
    closed: list[bool] = []

    class Connection:
        async def close(self) -> None:
            closed.append(True)

    async def play() -> None:
        state, first, _boxes = linked()
        later = put_registration(state.table, engine("i-2", "127.0.0.1:2").registration, 0.0)
        assert later is not None

        async def connect_late(*_args: Any, **_options: Any) -> Connection:
            handle_answer(state, first if position == "first" else later, 0.0, server_limit="2")
            return Connection()

        monkeypatch.setattr(upstream_call, "_get_connection", connect_late)
        request: Any = None
        with pytest.raises(BackpressureError):
            await open_answer(
                state,
                request,
                request,
                request,
                first,
                fresh_connection=False,
                record_sent=AttemptCounts().record_sent,
                later_engines=[later],
            )

    anyio.run(play)
    assert closed == [True]
