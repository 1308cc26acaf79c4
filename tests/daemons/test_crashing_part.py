"""Requests that share one part of their prompts, which crashes each engine that writes on it.

Guards against a watch that knows whole requests only, to which such requests look unrelated.
"""

from __future__ import annotations

import contextlib
import itertools
import secrets
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from standins.discovered_fleet import (
    HOST,
    KEY,
    SECOND_KEY,
    DiscoveredFleet,
    running_discovered_fleet,
    wait_until,
)

CRASH_PART = "bad0"
"""Part that crashes engines."""

SHARED_PART = "5c1e"
"""First part of all prompts, sound ones as well."""

ACCOUNT_PART = "91bd"
"""Second part of sound prompts, and of some that crash engines."""

CONTACT_SECONDS = 3.0
"""Time within which all boxes must know of the crashes."""

CRASHES = 5
"""Crashes after which the part must be known."""

MAX_MORE_REQUESTS = 3
"""Requests with the part that may still reach engines once the boxes must know."""

CRASHING_INTERVAL_SECONDS = 0.4
"""Time between two requests with the part."""

SOUND_INTERVAL_SECONDS = 0.1
"""Time between two sound requests of one caller."""

RESTART_SECONDS = 2.0
"""Time until a crashed engine starts again."""

ATTACK_SECONDS = 20.0
"""Time in which requests with the part are sent."""

CUT_GATEWAYS = [(), (0, 1)]
"""Gateways that are cut off from all upstreams: their connections are relayed, and they see crashes
only through the gateway that relays."""


class Traffic:
    """Sound requests and requests with the part at all gateways, and engines that restart."""

    def __init__(self, fleet: DiscoveredFleet) -> None:
        self.fleet = fleet
        self.until = time.monotonic() + ATTACK_SECONDS
        self.sound: list[tuple[float, int]] = []
        self.crashing: list[tuple[float, httpx.Response]] = []

    def send_sound(self, gateway: int) -> None:
        """Send sound requests to one gateway, one after the other."""
        while time.monotonic() < self.until:
            sent_at = time.time()
            parts = [SHARED_PART, ACCOUNT_PART, secrets.token_hex(4)]
            answer = send(self.fleet, gateway, parts, KEY)
            self.sound.append((sent_at, answer.status_code))
            time.sleep(SOUND_INTERVAL_SECONDS)

    def send_crashing(self) -> None:
        """Send requests with the part, no two alike, to one gateway after the other."""
        for number in itertools.count():
            if time.monotonic() > self.until:
                return
            middle = [ACCOUNT_PART] if number % 2 else [secrets.token_hex(4)]
            parts = [SHARED_PART, *middle, CRASH_PART, secrets.token_hex(4)]
            key = KEY if number % 3 else SECOND_KEY
            sent_at = time.time()
            answer = send(self.fleet, number % self.fleet.gateways, parts, key)
            self.crashing.append((sent_at, answer))
            time.sleep(CRASHING_INTERVAL_SECONDS)

    def restart_engines(self, ended: threading.Event) -> None:
        """Start crashed engines again."""
        exited: dict[str, float] = {}
        while not ended.wait(0.1):
            for name, box in self.fleet.boxes.items():
                if box.popen is not None and box.popen.poll() is not None:
                    exited.setdefault(name, time.monotonic())
            for name, at in list(exited.items()):
                if time.monotonic() - at > RESTART_SECONDS:
                    del exited[name]
                    self.fleet.restart(name)


def send(fleet: DiscoveredFleet, gateway: int, parts: list[str], key: str) -> httpx.Response:
    """Send one streaming request; a connection that breaks off counts as 502."""
    fields = {
        "Host": HOST,
        "Attempt-Id": secrets.token_hex(8),
        "Deadline-Ms": "4000",
        "Authorization": f"Token {key}",
        "Token-Count": "10,3",
        "Prompt-Prefix": ",".join(f"{part}:5" for part in parts),
    }
    url = f"http://{fleet.caller_address(gateway)}/draft/{secrets.token_hex(3)}"
    with contextlib.suppress(httpx.HTTPError):
        return fleet.client.post(url, headers=fields)
    return httpx.Response(502)


def serves(fleet: DiscoveredFleet, gateway: int) -> bool:
    """Return whether a gateway serves a sound request."""
    return send(fleet, gateway, [SHARED_PART, "x"], KEY).status_code == 200


@pytest.fixture(scope="module", params=CUT_GATEWAYS, ids=["all-reach", "two-cut-off"])
def traffic(request: pytest.FixtureRequest) -> Iterator[Traffic]:
    """Traffic that has been sent for `ATTACK_SECONDS`."""
    with running_discovered_fleet(
        crash_part=CRASH_PART, engines=8, cut_gateways=request.param
    ) as fleet:
        gateways = range(fleet.gateways)
        wait_until(lambda: all(serves(fleet, item) for item in gateways), 20, "streams")
        sent = Traffic(fleet)
        ended = threading.Event()
        with ThreadPoolExecutor() as threads:
            restarts = threads.submit(sent.restart_engines, ended)
            senders = [threads.submit(sent.send_sound, item) for item in range(fleet.gateways)]
            senders.append(threads.submit(sent.send_crashing))
            for sender in senders:
                sender.result()
            ended.set()
            restarts.result()
        yield sent


def known_at(fleet: DiscoveredFleet) -> float:
    """Return when the fifth engine crashed, or the last one if there were fewer."""
    crashes = sorted(line["at"] for line in fleet.ledger("crash"))
    assert crashes
    return crashes[:CRASHES][-1]


def test_part_that_crashes_engines_reaches_few_once_known(traffic: Traffic) -> None:
    runs = [line["at"] for line in traffic.fleet.ledger() if CRASH_PART in line["parts"]]
    known = known_at(traffic.fleet) + CONTACT_SECONDS
    later = [round(at - known, 2) for at in sorted(runs) if at > known]
    assert len(later) <= MAX_MORE_REQUESTS, later


def test_sound_requests_that_share_the_other_parts_are_served(traffic: Traffic) -> None:
    """At half of their usual rate at least, which is all of them."""
    known = known_at(traffic.fleet) + 2 * CONTACT_SECONDS
    statuses = [status for at, status in traffic.sound if at > known]
    assert len(statuses) >= 20
    assert statuses.count(200) * 2 >= len(statuses)


def test_refusals_are_final_and_coded(traffic: Traffic) -> None:
    """Requests with the part are refused at once, as not run, with the time of their release."""
    known = known_at(traffic.fleet) + CONTACT_SECONDS
    answers = [answer for at, answer in traffic.crashing if at > known]
    refused = [item for item in answers if item.headers.get("ledgeladder-code") == "1206"]
    assert len(refused) >= len(answers) - MAX_MORE_REQUESTS
    assert {item.status_code for item in refused} == {503}
    assert all(float(item.headers["retry-after"]) > 0 for item in refused)
