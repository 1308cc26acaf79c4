"""Checks of the soak on who gets the room: each finds the failure that it is there for."""

from __future__ import annotations

import json
import random
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest

from ledgeladder.http1 import HttpRequest
from ledgeladder.model import ResultCode
from ledgeladder.platform.configuration import decode_configuration
from ledgeladder.routing.contention import pool_ranks
from standins.discovered_fleet import KEY, SECOND_KEY
from standins.registered_upstream import StandIn, answer_stream
from standins.shared_room import (
    ACCOUNTS,
    DEADLINE_SECONDS,
    DEADLINE_SLACK_SECONDS,
    LARGE_KEY,
    MIN_ASKED,
    SMALL_KEY,
    STREAM_PRIORITIES,
    Pause,
    check_shared_room,
    check_shares,
    choose_request,
    refused_by_admission,
    shared_room_document,
)
from standins.soak import Call


def call(number: int = 0, **fields: object) -> Call:
    """Return a served stream of the small account at the first gateway."""
    usual: dict[str, object] = {
        "id": f"c-{number}",
        "route": "bulk",
        "key": SMALL_KEY,
        "sent_at": 100.0,
        "ended_at": 101.0,
        "body": b"x",
        "status": 200,
        "complete": True,
    }
    return Call(**(usual | fields))  # type: ignore[arg-type]


def refused(count: int, **fields: object) -> list[Call]:
    usual: dict[str, object] = {"status": 503, "retry_after": 0.5}
    return [call(number, **(usual | fields)) for number in range(count)]


def test_document_shares_the_room_of_the_engines_only() -> None:
    document = json.dumps(shared_room_document(3)).encode()
    assert set(pool_ranks(decode_configuration(document).unwrap())) == {"engines"}


def test_requests_that_keep_the_promises_pass() -> None:
    calls = [call(number) for number in range(MIN_ASKED)]
    calls += refused(3, id="r", ended_at=100.0 + DEADLINE_SECONDS)
    assert check_shared_room(calls, [{"id": "c-1"}], [], {"r"}) == []


@pytest.mark.parametrize("status", [429, 503])
def test_refusal_without_a_time_to_come_back_is_found(status: int) -> None:
    found = check_shared_room([call(status=status, retry_after=0.0)], [], [], set())
    assert found == [f"refused with {status} and no time to come back: c-0"]


def test_run_behind_a_refusal_by_admission_is_found() -> None:
    log = [
        {"message": "admission", "decision": "waited", "request": "c-1"},
        {"message": "admission", "decision": "refused", "request": "c-0"},
        {"message": "request", "request": "c-2"},
    ]
    assert refused_by_admission(log) == {"c-0"}
    found = check_shared_room(refused(2), [{"id": "c-0"}, {"id": "c-1"}], [], {"c-0"})
    assert found == ["refused by admission, and ran: c-0"]


def test_answer_after_the_deadline_is_found_unless_its_gateway_was_paused() -> None:
    late = 100.0 + DEADLINE_SECONDS + DEADLINE_SLACK_SECONDS + 0.5
    other = Pause(name="gateway-1", since=101.0, until=104.0)
    before = Pause(name="gateway-0", since=90.0, until=99.0)
    own = Pause(name="gateway-0", since=101.0, until=104.0)
    calls = [call(ended_at=late)]
    assert len(check_shared_room(calls, [], [other, before], set())) == 1
    assert check_shared_room(calls, [], [own], set()) == []


@pytest.mark.parametrize(
    ("fields", "group"),
    [
        ({"route": "urgent", "key": LARGE_KEY, "gateway": 0}, "priority 0"),
        ({"route": "bulk", "key": LARGE_KEY, "gateway": 0}, "printers"),
        ({"route": "bulk", "gateway": 2}, "zone-c"),
    ],
)
def test_priority_account_or_domain_that_is_never_served_is_found(
    fields: dict[str, object], group: str
) -> None:
    served = [
        call(number, route=route, key=key, gateway=gateway)
        for number, (route, key, gateway) in enumerate(
            (route, key, gateway)
            for route in STREAM_PRIORITIES
            for key in (KEY, LARGE_KEY, SMALL_KEY)
            for gateway in range(3)
        )
    ]
    others = [
        item
        for item in served
        if group not in (ACCOUNTS[item.key], f"zone-{'abc'[item.gateway]}")
        and not (group == "priority 0" and item.route == "urgent" and item.key != KEY)
    ]
    assert check_shares(others + refused(MIN_ASKED - 1, **fields)) == []
    assert check_shares(others + refused(MIN_ASKED, **fields)) == [
        f"{group} asked {MIN_ASKED} times and was never served"
    ]
    assert check_shares(served + refused(MIN_ASKED, **fields)) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"route": "status"},
        {"key": SECOND_KEY},
        {"status": 0},
        {"code": int(ResultCode.STARTING)},
        {"sent_at": 102.0, "ended_at": 103.0},
    ],
)
def test_requests_that_no_decision_about_room_refused_are_left_out_of_shares(
    fields: dict[str, object],
) -> None:
    """Plain, revoked, unanswered, at a gateway that is not ready, or while nobody was served."""
    others = [call(key=LARGE_KEY, route="draft", gateway=number) for number in (1, 2)]
    assert check_shares(others + refused(MIN_ASKED, **fields)) == []
    assert len(check_shares(others + refused(MIN_ASKED))) == 3


@pytest.mark.parametrize(("streams", "statuses"), [(0, [200]), (1, [200]), (2, [503])])
def test_full_engine_refuses_as_not_run(tmp_path: Path, streams: int, statuses: list[int]) -> None:
    """A stream beyond its slots leaves no run in the ledger, and names the load."""
    upstream = StandIn(
        address="127.0.0.1:1",
        listen="127.0.0.1:1",
        pool="engines",
        zone="zone-a",
        card="big",
        controls=[],
        ledger=tmp_path / "ledger",
        seconds=0.0,
        instance="e-1",
        layers=(0, 16),
        slots=2,
        streams=streams,
    )
    answers: list[tuple[int, dict[bytes, bytes]]] = []

    async def answer(status: int, headers: list[tuple[bytes, bytes]], _body: bytes) -> None:
        answers.append((status, dict(headers)))

    async def end() -> None:
        pass

    fields = {b"attempt-id": b"a", b"path": b"127.0.0.1:1=0-16", b"token-count": b"1,0"}
    request = HttpRequest(method=b"POST", target=b"/x", headers=[], fields=fields)
    exchange = SimpleNamespace(answer=answer, begin=answer, end=end)
    anyio.run(answer_stream, upstream, request, exchange)
    assert [status for status, _headers in answers] == statuses
    headers = answers[0][1]
    assert headers[b"Replica-Load"] == (b"2,0,2" if streams == 2 else b"%d,0,2" % (streams + 1))
    assert (b"Not-Executed" in headers) == (statuses == [503])
    assert b"Retry-After" not in headers
    events = [json.loads(line)["event"] for line in upstream.ledger.read_text().splitlines()]
    assert events == (["full"] if statuses == [503] else ["run"])
    assert upstream.streams == streams


def test_ordinary_callers_ask_for_every_priority_and_account() -> None:
    rng = random.Random(1)
    chosen = [choose_request(rng) for _ in range(200)]
    assert {route for route, _key in chosen} >= set(STREAM_PRIORITIES)
    counts = {key: sum(item == key for _route, item in chosen) for key in ACCOUNTS}
    assert max(counts, key=counts.__getitem__) == LARGE_KEY
