"""Quarantine of a request that crashes every upstream that runs it, over real processes.

Guards against one request content crashing one upstream after the other: crashed attempts count for
the content under any attempt id and at every box.
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

CRASH_LIMIT = 3
"""Upstreams that one content may crash before it is quarantined."""

MAX_EXTRA_RUNS = 3
"""Further runs that may start before every box knows of the quarantine."""

ATTEMPTS = 9
"""Attempts of the caller, sent to the gateways in turn."""


@pytest.fixture(scope="module", params=[False, True], ids=["new-ids", "same-ids"])
def fleet(request: pytest.FixtureRequest) -> Iterator[DiscoveredFleet]:
    """A system whose upstreams restart under new ids or under the same ids."""
    with running_discovered_fleet(crash_word=CRASH_WORD, keep_ids=request.param) as running:
        yield running


def send(fleet: DiscoveredFleet, route: str, body: str, gateway: int) -> httpx.Response | None:
    """Send one attempt; returns None if the connection failed or the answer was cut off."""
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
    """Return whether every gateway serves a request that crashes no upstream."""
    answers = (send(fleet, route, secrets.token_hex(4), item) for item in range(fleet.gateways))
    return all(answer is not None and answer.status_code == 200 for answer in answers)


def restart_upstreams(fleet: DiscoveredFleet) -> None:
    """Restart the upstreams, as their platform does with those that exited."""
    for name in list(fleet.boxes):
        if name.startswith(("engines", "services")):
            fleet.restart(name)


@pytest.mark.parametrize("route", ["draft", "status", "preview"])
def test_content_that_crashes_upstreams_reaches_few_of_them(
    fleet: DiscoveredFleet, route: str
) -> None:
    """The same content arrives under new attempt ids at every box, as a stream, as a repeatable
    request and as one that may run once."""
    body = f"{CRASH_WORD} {route}"
    answers: list[httpx.Response | None] = []
    for number in range(ATTEMPTS):
        wait_until(lambda: is_served(fleet, route), 30, f"{route} served")
        answers.append(send(fleet, route, body, number % fleet.gateways))
        restart_upstreams(fleet)
    # The last attempts are refused as not run. Retry-After is short until the control boxes have
    # confirmed that the upstreams exited, then much longer.
    for answer in answers[-fleet.gateways :]:
        assert_refused(answer)

    def is_quarantined(gateway: int) -> bool:
        answer = send(fleet, route, body, gateway)
        return float(assert_refused(answer).headers["retry-after"]) > 60

    for gateway in range(fleet.gateways):
        wait_until(lambda: is_quarantined(gateway), 20, "content quarantined")  # noqa: B023
    runs = [line for line in fleet.ledger() if line["body"] == body]
    assert CRASH_LIMIT <= len(runs) <= CRASH_LIMIT + MAX_EXTRA_RUNS


def assert_refused(answer: httpx.Response | None) -> httpx.Response:
    """Check that an answer says that the request was not run."""
    assert answer is not None
    assert answer.status_code == 503
    assert answer.headers["ledgeladder-execution"] == "not-run"
    return answer


def test_content_stays_quarantined_when_all_boxes_are_killed(fleet: DiscoveredFleet) -> None:
    """The same content arrives again after all boxes were killed at the same time."""
    body = f"{CRASH_WORD} after a loss of all boxes"
    wait_until(lambda: is_served(fleet, "status"), 30, "status served")
    for number in range(ATTEMPTS):
        send(fleet, "status", body, number % fleet.gateways)
        restart_upstreams(fleet)
        wait_until(lambda: is_served(fleet, "status"), 30, "status served")

    def is_quarantined(gateway: int) -> bool:
        answer = send(fleet, "status", body, gateway)
        refused = answer is not None and answer.status_code == 503
        return refused and float(answer.headers["retry-after"]) > 60  # type: ignore[union-attr]

    wait_until(lambda: is_quarantined(0), 20, "content quarantined")
    runs = len([line for line in fleet.ledger() if line["body"] == body])
    boxes = [name for name in fleet.boxes if name.startswith(("registry", "gateway"))]
    for name in boxes:
        fleet.kill(name)
    for name in boxes:
        fleet.restart(name)
    for gateway in range(fleet.gateways):
        wait_until(lambda: is_quarantined(gateway), 30, "content quarantined again")  # noqa: B023
    assert len([line for line in fleet.ledger() if line["body"] == body]) == runs
