"""At-most-once requests are not run twice if their entry is killed and the caller retries."""

from __future__ import annotations

import contextlib
import threading
import time

import httpx
import pytest

from standins.fault_proxy import Fault
from standins.fleet import Fleet, domain_host, wait_until
from standins.keys import new_key

from .callers import executions, send_at_most_once

FIRST, SECOND = "entry-a1", "entry-b1"
HOUR_MS = 3_600_000


def book_in_background(fleet: Fleet, key: str, seconds: float) -> threading.Thread:
    def run() -> None:
        with contextlib.suppress(httpx.HTTPError):
            send_at_most_once(fleet, FIRST, key, seconds=seconds)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def claims_held(fleet: Fleet) -> int:
    status = fleet.status(fleet.wait_leader())
    assert status is not None
    return int(status["claims"])


def drop_replies_of_controls(fleet: Fleet, entry: str) -> None:
    """Let commands of an entry reach the control boxes, but drop the replies."""
    assert fleet.proxy is not None
    source = domain_host(fleet.processes[entry].domain)
    for name in fleet.control_names:
        host = domain_host(fleet.processes[name].domain)
        fleet.proxy.set_between(source, host, Fault(drop_from_target=True))


def test_recorded_answer_is_returned_to_a_retry(healed: Fleet) -> None:
    key = new_key()
    first = send_at_most_once(healed, FIRST, key)
    assert first.status_code == 200, first.text
    again = send_at_most_once(healed, SECOND, key)
    assert (again.status_code, again.content) == (200, first.content)
    assert executions(healed, key) == 1


def test_entry_killed_before_claim(healed: Fleet) -> None:
    key = new_key()
    assert healed.proxy is not None
    source = domain_host(healed.processes[FIRST].domain)
    for name in healed.control_names:
        target = domain_host(healed.processes[name].domain)
        healed.proxy.set_between(source, target, Fault(drop_to_target=True))
    thread = book_in_background(healed, key, 0.0)
    time.sleep(0.3)
    healed.kill(FIRST)
    thread.join(10)
    healed.proxy.heal()
    healed.wait_leader()
    answer = send_at_most_once(healed, SECOND, key)
    assert answer.status_code == 200, answer.text
    assert executions(healed, key) == 1


def test_entry_killed_after_claim(healed: Fleet) -> None:
    key = new_key()
    before = claims_held(healed)
    drop_replies_of_controls(healed, FIRST)
    thread = book_in_background(healed, key, 0.0)
    wait_until(lambda: claims_held(healed) > before, 10, "the claim")
    healed.kill(FIRST)
    thread.join(10)
    assert healed.proxy is not None
    healed.proxy.heal()
    answer = send_at_most_once(healed, SECOND, key)
    assert answer.json()["error"]["type"] in ("claim_running", "claim_unknown")
    assert answer.headers["ledgeladder-execution"] != "not-run"
    assert executions(healed, key) == 0


def test_entry_killed_after_dispatch(healed: Fleet) -> None:
    key = new_key()
    before = claims_held(healed)
    thread = book_in_background(healed, key, 3.0)
    wait_until(lambda: claims_held(healed) > before, 10, "the claim")
    time.sleep(0.5)
    healed.kill(FIRST)
    thread.join(10)
    answer = send_at_most_once(healed, SECOND, key, seconds=3.0)
    assert answer.json()["error"]["type"] in ("claim_running", "claim_unknown")
    wait_until(lambda: executions(healed, key) == 1, 10, "the one execution")
    assert send_at_most_once(healed, SECOND, key, seconds=3.0).status_code == 409
    assert executions(healed, key) == 1


def test_entry_killed_after_answer(healed: Fleet) -> None:
    key = new_key()
    first = send_at_most_once(healed, FIRST, key)
    healed.kill(FIRST)
    again = send_at_most_once(healed, SECOND, key)
    assert (again.status_code, again.content) == (200, first.content)
    assert executions(healed, key) == 1


def test_concurrent_requests_on_all_boxes_run_once(healed: Fleet) -> None:
    key = new_key()
    answers: list[httpx.Response] = []
    threads = [
        threading.Thread(
            target=lambda entry=entry: answers.append(send_at_most_once(healed, entry, key))
        )
        for entry in healed.entry_names * 4
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert executions(healed, key) == 1
    assert {answer.status_code for answer in answers} <= {200, 409}
    assert any(answer.status_code == 200 for answer in answers)


def test_call_stays_unknown_after_its_service_was_killed(healed: Fleet) -> None:
    key = new_key()
    thread_answer: list[httpx.Response] = []
    thread = threading.Thread(
        target=lambda: thread_answer.append(send_at_most_once(healed, FIRST, key, seconds=3.0))
    )
    thread.start()
    time.sleep(0.8)
    for name in healed.processes:
        if name.startswith("service-"):
            healed.kill(name)
    thread.join(20)
    assert thread_answer[0].headers["ledgeladder-execution"] == "unknown"
    for name in healed.processes:
        if name.startswith("service-"):
            healed.launch(name)
    healed.wait_upstreams()
    again = send_at_most_once(healed, SECOND, key, seconds=3.0)
    assert again.json()["error"]["type"] == "claim_unknown"
    assert executions(healed, key) == 0


def test_not_run_is_reported_and_may_be_retried(healed: Fleet) -> None:
    key = new_key()
    services = [name for name in healed.processes if name.startswith("service-")]
    assert healed.proxy is not None
    for name in services:
        healed.kill(name)
    for target in list(healed.proxy.targets):
        if f"{target[0]}:{target[1]}" in [healed.addresses[name] for name in services]:
            healed.proxy.set_target(target, Fault(refuse=True))
    refused = send_at_most_once(healed, FIRST, key)
    assert refused.status_code in (502, 503)
    healed.proxy.heal()
    for name in services:
        healed.launch(name)
    healed.wait_upstreams()
    answer = send_at_most_once(healed, SECOND, key)
    assert executions(healed, key) <= 1
    assert (answer.status_code == 200) == (executions(healed, key) == 1)


@pytest.mark.parametrize(
    ("key", "kind"),
    [
        ("", "idempotency_key_missing"),
        ("booking-17", "idempotency_key_invalid"),
        (new_key(1), "idempotency_key_expired"),
        (new_key(time.time_ns() // 1_000_000 + 2 * HOUR_MS), "idempotency_key_invalid"),
    ],
)
def test_bad_keys(healed: Fleet, key: str, kind: str) -> None:
    answer = send_at_most_once(healed, FIRST, key)
    assert answer.json()["error"]["type"] == kind
    assert executions(healed, key) == 0


def test_same_key_with_another_body(healed: Fleet) -> None:
    key = new_key()
    send_at_most_once(healed, FIRST, key, what="one")
    answer = send_at_most_once(healed, SECOND, key, what="two")
    assert answer.json()["error"]["type"] == "idempotency_key_reused"
    assert executions(healed, key) == 1
