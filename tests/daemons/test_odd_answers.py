"""Real gateways whose upstreams send bytes that are no whole answer, directly and by relay."""

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
from standins.fault_proxy import FaultProxy, OpenConnections

ROUTES = ["draft", "status", "preview"]
PROMISES = {408, 421, 429, 503}
"""Statuses that promise that a request was not run."""

EVENT = "id: 0\ndata: token-0\n\n"
HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nReplica-Seal: s\r\n"
WITH_LENGTH = f"{HEAD}Content-Length: {2 * len(EVENT)}\r\n\r\n{EVENT}"
IN_CHUNKS = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n{len(EVENT):x}\r\n{EVENT}\r\n"
REFUSAL = "HTTP/1.1 503 Full\r\nAttempt-Id: ATTEMPT\r\nNot-Executed: 1\r\nContent-Length: 0"

BROKEN = {
    "status 000": WITH_LENGTH.replace("200", "000"),
    "status 099": WITH_LENGTH.replace("200", "099"),
    "status 101": WITH_LENGTH.replace("200", "101"),
    "status 600": f"HTTP/1.1 600 X{HEAD[15:]}Content-Length: 0\r\n\r\n",
    "status 999": f"HTTP/1.1 999 X{HEAD[15:]}Content-Length: 0\r\n\r\n",
    "status 999, not run": f"HTTP/1.1 999 X{HEAD[15:]}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "no bytes": "",
    "part of a status line": HEAD[:9],
    "part of a field": HEAD[:-4],
    "part of a length": f"{HEAD}Content-Length: 4",
    "part of a refusal": REFUSAL,
    "no frame": f"{HEAD}\r\n",
    "no frame, line feeds": f"{HEAD}\r\n".replace("\r\n", "\n"),
    "no id and no seal": "HTTP/1.1 200 OK\r\n\r\n",
    "short of its length": WITH_LENGTH,
    "no last chunk": IN_CHUNKS,
}
"""Answers that are neither whole nor a promise."""


@pytest.fixture(scope="module")
def fleet() -> Iterator[DiscoveredFleet]:
    with running_discovered_fleet(proxy=FaultProxy()) as running:
        wait_until(lambda: serves_all(running), 20, "requests of all kinds")
        yield running


@pytest.fixture(scope="module", params=["direct", "relayed"])
def way(request: pytest.FixtureRequest, fleet: DiscoveredFleet) -> Iterator[str]:
    """How the gateway reaches upstreams."""
    assert fleet.proxy is not None
    if request.param == "relayed":
        fleet.proxy.drop_packets([fleet.ip(2, 0)], OpenConnections.HANG)
        wait_until(lambda: serves_all(fleet), 20, "relayed requests")
    yield request.param
    fleet.proxy.heal()
    wait_until(lambda: serves_all(fleet), 20, "requests again")


def set_mode(fleet: DiscoveredFleet, **mode: object) -> None:
    """Set how all upstreams answer."""
    for name in fleet.boxes:
        if name.startswith(("engines", "services")):
            fleet.set_response_mode(name, **mode)


def send(fleet: DiscoveredFleet, route: str, attempt: str) -> httpx.Response:
    """Send one request through the first gateway.

    Raises:
        httpx.HTTPError: If there is no whole answer.
    """
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "4000",
        "Authorization": f"Token {KEY}",
    }
    if route == "draft":
        fields["Token-Count"] = "10,2"
    url = f"http://{fleet.caller_address(0)}/{route}/x"
    return fleet.client.post(url, headers=fields, content=b"x")


def serves_all(fleet: DiscoveredFleet) -> bool:
    return all(send(fleet, route, secrets.token_hex(8)).status_code == 200 for route in ROUTES)


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("answer", BROKEN)
@pytest.mark.parametrize("route", ROUTES)
def test_caller_gets_neither_a_whole_success_nor_an_unproved_promise(
    fleet: DiscoveredFleet, way: str, route: str, answer: str, *, resets: bool
) -> None:
    """Failure: odd bytes of an upstream reached a caller as its answer."""
    wait_until(lambda: serves_all(fleet), 20, "requests of all kinds")
    set_mode(fleet, raw=BROKEN[answer], resets=resets)
    attempt = secrets.token_hex(8)
    status: int | None = None
    try:
        status = send(fleet, route, attempt).status_code
    except (httpx.ReadError, httpx.RemoteProtocolError):
        # A stream that had begun breaks off without its last chunk.
        assert route == "draft"
    finally:
        set_mode(fleet)
    runs = [entry for entry in fleet.ledger() if entry["id"] == attempt]
    assert status in {None, 502, 503, 504}
    if status in PROMISES:
        assert not runs
    if route == "preview":
        assert len(runs) <= 1
