"""Checks of the soak on silences: each finds the failure that it is there for."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from returns.result import Success

from ledgeladder.platform.configuration import decode_configuration
from standins.shared_room import DEADLINE_SECONDS, Pause
from standins.silence import (
    CHANGES,
    IN_FORCE_SECONDS,
    MAX_ATTEMPTS,
    MAX_SECONDS,
    RETRY_WINDOW_SECONDS,
    SPREADS,
    TOLERATED_REQUESTS,
    RouteTimeout,
    change_documents,
    check_answers,
    check_attempts,
    check_blame,
    check_retry_budget,
    choose_names,
    choose_silence,
    has_timed_out,
    held_layers,
    logged_outcomes,
    record_acknowledged,
    record_timeout,
    silence_document,
)
from standins.soak import Call

UPSTREAMS = [*(f"engines-{number}" for number in range(6)), "services-0", "services-1"]
GATEWAYS = ["gateway-0", "gateway-1"]
REGISTRIES = ["registry-0"]


def call(**fields: Any) -> Call:
    """Return a whole stream of one second at the first gateway."""
    usual: dict[str, Any] = {
        "id": "c-1",
        "route": "letter",
        "key": "key",
        "sent_at": 100.0,
        "ended_at": 101.0,
        "body": b"x",
        "status": 200,
        "complete": True,
    }
    return Call(**(usual | fields))


def run(identity: str, at: float = 100.0) -> dict[str, Any]:
    return {"id": identity, "at": at}


def test_silences_have_every_spread_and_stay_within_their_bounds() -> None:
    rng = random.Random(1)
    silences = [choose_silence(rng, UPSTREAMS, GATEWAYS, REGISTRIES) for _ in range(500)]
    assert {item.spread for item in silences} == set(SPREADS)
    assert {item.change for item in silences} == set(CHANGES)
    assert any("gateway-1" in item.waves[0].names for item in silences)
    assert any("registry-0" in item.waves[0].names for item in silences)
    assert all(sum(wave.seconds for wave in item.waves) <= MAX_SECONDS for item in silences)
    assert all(wave.names for item in silences for wave in item.waves)


def test_silence_of_a_domain_leaves_the_others() -> None:
    rng = random.Random(2)
    names = {choose_names(rng, "domain", UPSTREAMS) for _ in range(200)}
    assert ("engines-0", "engines-3", "services-0") in names
    assert len(names) == 3


@pytest.mark.parametrize("kind", CHANGES)
def test_documents_are_valid_except_those_that_must_be_refused(kind: str) -> None:
    for change in change_documents(random.Random(3), kind):
        document = silence_document(2)
        change(document)
        assert document != silence_document(2)
        decoded = decode_configuration(json.dumps(document).encode())
        assert isinstance(decoded, Success) == (kind != "invalid")


@pytest.mark.parametrize(
    "fields",
    [
        {"complete": False},
        {"status": 0, "complete": False},
        {"status": 502},
        {"status": 504},
        {"status": 404},
        {"status": 503},
    ],
)
def test_answer_that_is_not_whole_is_found(fields: dict[str, Any]) -> None:
    assert check_answers([call(**fields)], [], {}, [], [])


def test_whole_answer_and_refusal_that_did_not_run_are_no_failures() -> None:
    calls = [call(), call(id="c-2", status=503, retry_after=0.5)]
    outcomes = {"c-2": "OUT_OF_ROOM: no room at engines"}
    assert not check_answers(calls, [run("c-1")], outcomes, [], [])


def test_refusal_that_ran_is_found() -> None:
    refused = call(status=503, retry_after=0.5, route="status")
    assert check_answers([refused], [run("c-1")], {"c-1": "OUT_OF_ROOM: no room"}, [], [])


def test_refusal_because_engines_are_taken_for_lost_is_found() -> None:
    refused = call(status=503, retry_after=0.5)
    log = [
        {"message": "request", "request": "c-1", "outcome": "NO_ROUTE: no path; 3 lost"},
        {"message": "attempt overdue", "request": "c-1"},
    ]
    assert check_answers([refused], [], logged_outcomes(log), [], [])


def test_call_that_lasted_until_its_deadline_has_timed_out() -> None:
    late = call(status=504, ended_at=100.0 + DEADLINE_SECONDS)
    assert not check_answers([late], [run("c-1")], {}, [], [])


def test_timeout_of_a_later_document_is_no_excuse() -> None:
    timeouts = [RouteTimeout(seconds=8.0, sent_at=0.0), RouteTimeout(seconds=3.0, sent_at=102.0)]
    cut = call(ended_at=103.5, complete=False)
    assert not has_timed_out(cut, timeouts, [])
    assert has_timed_out(call(sent_at=102.0, ended_at=105.0), timeouts, [])


def test_timeout_of_a_document_that_was_replaced_is_no_excuse() -> None:
    timeouts: list[RouteTimeout] = []
    for sent_at, milliseconds in ((10.0, 3000), (20.0, 8000)):
        document = {"routes": [{"timeoutMs": milliseconds}]}
        record_timeout(timeouts, document, sent_at)
        record_acknowledged(timeouts, sent_at + 1)
    within = 21.0 + IN_FORCE_SECONDS / 2
    after = 21.0 + 2 * IN_FORCE_SECONDS
    assert has_timed_out(call(sent_at=within, ended_at=within + 3), timeouts, [])
    assert not has_timed_out(call(sent_at=after, ended_at=after + 3), timeouts, [])


def test_suspended_gateway_may_read_a_later_document_first() -> None:
    timeouts = [RouteTimeout(seconds=8.0, sent_at=0.0), RouteTimeout(seconds=3.0, sent_at=101.0)]
    late = call(ended_at=104.0, complete=False)
    pauses = [Pause(name="gateway-0", since=99.9, until=102.0)]
    assert has_timed_out(late, timeouts, pauses)
    assert not has_timed_out(late, timeouts, [Pause(name="gateway-1", since=99.9, until=102.0)])


def test_wave_of_retries_is_found() -> None:
    calls = [call(id=f"c-{number}") for number in range(10)]
    arrivals = [run(item.id, 100.0 + number) for item in calls for number in range(2)]
    assert check_retry_budget(calls, arrivals, reserve=7)
    assert not check_retry_budget(calls, arrivals, reserve=8)


def test_requests_that_run_on_too_many_upstreams_are_found() -> None:
    runs = [
        {"id": f"c-{number}", "upstream": f"i-{upstream}"}
        for number in range(TOLERATED_REQUESTS + 1)
        for upstream in range(MAX_ATTEMPTS + 1)
    ]
    assert check_attempts(runs)
    assert not check_attempts(item for item in runs if item["id"] != "c-0")
    assert not check_attempts(item for item in runs if item["upstream"] != "i-0")


def test_retries_of_streams_and_of_plain_requests_have_budgets_of_their_own() -> None:
    routes = ("letter", "status")
    calls = [call(id=f"{route}-{number}", route=route) for route in routes for number in range(10)]
    arrivals = [run(item.id, 100.0 + number) for item in calls for number in range(2)]
    assert len(check_retry_budget(calls, arrivals, reserve=7)) == 2
    assert not check_retry_budget(calls, arrivals, reserve=8)


def test_retries_in_windows_apart_are_no_wave() -> None:
    calls = [call(id=f"c-{number}") for number in range(10)]
    arrivals = [run(item.id) for item in calls]
    arrivals += [
        run(item.id, 100.0 + number * RETRY_WINDOW_SECONDS) for number, item in enumerate(calls)
    ]
    assert not check_retry_budget(calls, arrivals, reserve=1)


@pytest.mark.parametrize(
    "line",
    [
        {"message": "upstream restarted"},
        {"message": "upstream exited while running a request"},
        {"message": "upstream state changed", "state": "gone"},
    ],
)
def test_blamed_upstream_is_found(line: dict[str, str]) -> None:
    sound = {"message": "upstream state changed", "state": "ready"}
    assert len(check_blame({"gateway-0": [sound, line]})) == 1


def test_newest_order_counts_as_held() -> None:
    orders = [{"upstream": "a", "layers": [0, 4]}, {"upstream": "a", "layers": [4, 8]}]
    assert held_layers(orders) == {"a": (4, 8)}
