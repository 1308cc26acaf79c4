"""A request that ends every upstream that runs it, over real processes.

What was seen: 17 engines of 33 ended within 40 s, one after the other, and a third of all callers
were not served. How it came about: one request ended its engine some tens of milliseconds after it
began to run. The box sent it on to the next engine, and so on until the budget of repeats was
spent; its caller sent it again, to other boxes, which began anew. Cause: a run whose engine had
died did not count, and no box knew what another had learnt of the same content. Proof: the crashed
runs of one attempt in the logs of one box, and the crashed runs of one content under several
attempts.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterator

import httpx
import pytest

from standins.discovered_fleet import (
    HOST,
    KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)

CRASH_WORD = "ends-its-upstream"

CRASHES = 3
"""Upstreams that one content may end before it is sent nowhere."""

LATE_RUNS = 3
"""Runs that may come before every box knows that."""

ATTEMPTS = 9
"""Times that the caller comes again, to all boxes in turn."""


@pytest.fixture(scope="module", params=[False, True], ids=["new-ids", "same-ids"])
def fleet(request: pytest.FixtureRequest) -> Iterator[DiscoveredFleet]:
    """A system whose upstreams start again under new ids, or under those that they had."""
    with running_discovered_fleet(crash_word=CRASH_WORD, keep_ids=request.param) as running:
        yield running


def send(fleet: DiscoveredFleet, route: str, body: str, gateway: int) -> httpx.Response | None:
    """Send one attempt; None if its answer was broken off."""
    fields = {
        "Host": HOST,
        "Attempt-Id": secrets.token_hex(8),
        "Deadline-Ms": "6000",
        "Authorization": f"Token {KEY}",
    }
    if route == "draft":
        fields["Token-Count"] = "10,10"
    url = f"http://{fleet.caller_address(gateway)}/{route}/x"
    try:
        return fleet.client.post(url, headers=fields, content=body)
    except httpx.HTTPError:
        return None


def is_served(fleet: DiscoveredFleet, route: str) -> bool:
    """Tell whether every gateway serves a request that does no harm."""
    answers = (send(fleet, route, secrets.token_hex(4), item) for item in range(fleet.gateways))
    return all(answer is not None and answer.status_code == 200 for answer in answers)


def bring_back(fleet: DiscoveredFleet) -> None:
    """Start the upstreams again that have ended, as their platform does."""
    for name in list(fleet.boxes):
        if name.startswith(("engines", "services")):
            fleet.restart(name)


@pytest.mark.parametrize("route", ["draft", "status", "preview"])
def test_content_that_ends_upstreams_is_sent_to_few_of_them(
    fleet: DiscoveredFleet, route: str
) -> None:
    """The pattern: the same content under new attempt ids, at every box, for as long as its caller
    likes; on streams, repeatable requests and those that may run once."""
    body = f"{CRASH_WORD} {route}"
    answers: list[httpx.Response | None] = []
    for number in range(ATTEMPTS):
        wait_until(lambda: is_served(fleet, route), 30, f"{route} served")
        answers.append(send(fleet, route, body, number % fleet.gateways))
        bring_back(fleet)
    # From some attempt on its callers are told at once that it was not run, and when to come back:
    # in a moment until the control boxes have confirmed that its upstreams ended, then much later.
    for answer in answers[-fleet.gateways :]:
        assert_refused(answer)

    def is_held(gateway: int) -> bool:
        answer = send(fleet, route, body, gateway)
        return float(assert_refused(answer).headers["retry-after"]) > 60

    for gateway in range(fleet.gateways):
        wait_until(lambda: is_held(gateway), 20, "content held")  # noqa: B023
    runs = [line for line in fleet.ledger() if line["body"] == body]
    assert CRASHES <= len(runs) <= CRASHES + LATE_RUNS


def assert_refused(answer: httpx.Response | None) -> httpx.Response:
    """Check that an answer says that the request was not run."""
    assert answer is not None
    assert answer.status_code == 503
    assert answer.headers["ledgeladder-execution"] == "not-run"
    return answer


def test_content_stays_held_over_a_loss_of_all_boxes(fleet: DiscoveredFleet) -> None:
    """The pattern: the same content comes again after all boxes were killed at the same moment."""
    body = f"{CRASH_WORD} after a loss of all boxes"
    wait_until(lambda: is_served(fleet, "status"), 30, "status served")
    for number in range(ATTEMPTS):
        send(fleet, "status", body, number % fleet.gateways)
        bring_back(fleet)
        wait_until(lambda: is_served(fleet, "status"), 30, "status served")

    def is_held(gateway: int) -> bool:
        answer = send(fleet, "status", body, gateway)
        held = answer is not None and answer.status_code == 503
        return held and float(answer.headers["retry-after"]) > 60  # type: ignore[union-attr]

    wait_until(lambda: is_held(0), 20, "content held")
    runs = len([line for line in fleet.ledger() if line["body"] == body])
    boxes = [name for name in fleet.boxes if name.startswith(("registry", "gateway"))]
    for name in boxes:
        fleet.kill(name)
    for name in boxes:
        fleet.restart(name)
    for gateway in range(fleet.gateways):
        wait_until(lambda: is_held(gateway), 30, "content held again")  # noqa: B023
    assert len([line for line in fleet.ledger() if line["body"] == body]) == runs
