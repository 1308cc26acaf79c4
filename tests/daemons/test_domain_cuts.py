"""Both sides of a network partition keep serving, and recover after it heals."""

from __future__ import annotations

import threading
import time
from collections import Counter

import httpx
import pytest

from standins.fault_proxy import Fault
from standins.fleet import DOMAINS, Fleet, domain_host, wait_until
from standins.keys import new_key

from .callers import answer_is_right, complete, executions, send_at_most_once
from .test_control_faults import entry_versions, priority_change, submit, version

TOKENS = 6


class Callers:
    """Send requests to every entry until stopped, and count the outcomes."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.stopping = threading.Event()
        self.outcomes: dict[str, Counter[str]] = {name: Counter() for name in fleet.entry_names}
        self.threads = [
            threading.Thread(target=self.call, args=(name,), daemon=True)
            for name in fleet.entry_names
        ]
        for thread in self.threads:
            thread.start()

    def call(self, entry: str) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            prompt = f"{entry} {number}"
            response = complete(self.fleet, entry, prompt, TOKENS)
            if response.status_code != 200:
                self.outcomes[entry][response.json()["error"]["type"]] += 1
            elif answer_is_right(response, prompt, TOKENS):
                self.outcomes[entry]["whole"] += 1
            else:
                self.outcomes[entry]["wrong"] += 1

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)

    def wait_for_more(self, seconds: float = 30.0) -> None:
        """Wait until every entry has completely answered several more requests."""
        before = {name: counter["whole"] for name, counter in self.outcomes.items()}
        wait_until(
            lambda: all(self.outcomes[name]["whole"] >= before[name] + 5 for name in before),
            seconds,
            f"answers on every side, got {self.outcomes}",
        )


@pytest.mark.parametrize("domain", DOMAINS)
def test_isolated_domain(healed: Fleet, domain: str) -> None:
    assert healed.proxy is not None
    hosts = [domain_host(name) for name in DOMAINS]
    inside = next(n for n in healed.entry_names if healed.processes[n].domain == domain)
    outside = next(n for n in healed.entry_names if healed.processes[n].domain != domain)
    callers = Callers(healed)
    try:
        run_partition(healed, callers, domain, inside, outside, hosts)
    finally:
        callers.stop()
    for counter in callers.outcomes.values():
        assert counter["wrong"] == 0
        assert set(counter) <= {"whole", "wrong", "no_route", "upstream_lost"}, counter


def run_partition(
    healed: Fleet, callers: Callers, domain: str, inside: str, outside: str, hosts: list[str]
) -> None:
    assert healed.proxy is not None
    callers.wait_for_more()
    base = version(healed)
    healed.proxy.isolate(domain_host(domain), hosts)
    callers.wait_for_more()

    accepted = submit(healed, priority_change(f"cut-{domain}", base, 5), 30)
    assert accepted["version"] == base + 1
    key = new_key()
    refused = send_at_most_once(healed, inside, key)
    assert refused.json()["error"]["type"] == "no_quorum"
    assert refused.headers["ledgeladder-execution"] == "not-run"
    assert "retry-after" in refused.headers
    assert executions(healed, key) == 0
    wait_until(
        lambda: send_at_most_once(healed, outside, new_key()).status_code == 200, 20, "a booking"
    )

    healed.proxy.heal()
    callers.wait_for_more()
    wait_until(lambda: entry_versions(healed) == {base + 1}, 30, "all entries on one version")
    wait_until(
        lambda: send_at_most_once(healed, inside, new_key()).status_code == 200,
        20,
        "a booking inside",
    )


def test_entry_restarted_in_a_partition_syncs_with_its_side(healed: Fleet) -> None:
    assert healed.proxy is not None
    domain = "domain-b"
    hosts = [domain_host(name) for name in DOMAINS]
    base = version(healed)
    healed.proxy.isolate(domain_host(domain), hosts)
    # Delays the only control box on this side, which exposes an entry that is ready too early.
    host, _, port = healed.addresses["control-2/link"].rpartition(":")
    healed.proxy.set_target((host, int(port)), Fault(delay=0.3))
    time.sleep(0.2)
    healed.kill("entry-b1")
    healed.launch("entry-b1")
    # The first ready page must report the version that is known on its side.
    assert first_ready_page(healed, "entry-b1") == f"ready, version {base}\n"


def first_ready_page(fleet: Fleet, entry: str) -> str:
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            response = fleet.client.get(f"{fleet.url(entry)}/ready", timeout=2)
        except httpx.HTTPError:
            continue
        if response.status_code == 200:
            return response.text
    raise TimeoutError(f"{entry} was not ready within 20 s")
