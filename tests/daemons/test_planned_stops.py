"""Planned stops of entries, control boxes and upstreams interrupt no requests."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest

from standins.fleet import Fleet, running_fleet, wait_until
from standins.keys import new_key

from .callers import Stream, engine_stats, send_at_most_once
from .conftest import configure_and_wait

TOKENS = 30


@pytest.fixture(scope="module")
def eight_entries() -> Iterator[Fleet]:
    with running_fleet(entries_per_domain=(3, 3, 2)) as running:
        yield configure_and_wait(running)


class LoadBalancer:
    """Sends requests to entries that report ready, as the load balancer of the platform does."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ready = list(fleet.entry_names)
        self.streams: list[Stream] = []
        self.bookings: list[int] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.check_ready, daemon=True),
            threading.Thread(target=self.send, daemon=True),
            threading.Thread(target=self.book, daemon=True),
        ]
        for thread in self.threads:
            thread.start()

    def check_ready(self) -> None:
        while not self.stopping.is_set():
            self.ready = [name for name in self.fleet.entry_names if self.fleet.is_ready(name)]
            time.sleep(0.05)

    def send(self) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            ready = self.ready
            if ready:
                entry = ready[number % len(ready)]
                prompt = f"rolling {number}"
                stream = Stream(fleet=self.fleet, entry=entry, prompt=prompt, count=TOKENS)
                self.streams.append(stream)
            time.sleep(0.06)

    def book(self) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            ready = self.ready
            if ready:
                entry = ready[number % len(ready)]
                self.bookings.append(send_at_most_once(self.fleet, entry, new_key()).status_code)
            time.sleep(0.1)

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)
        for stream in self.streams:
            stream.join()


def test_rolling_restart_of_all_boxes_under_load(eight_entries: Fleet) -> None:
    balancer = LoadBalancer(eight_entries)
    for name in eight_entries.entry_names:
        assert eight_entries.terminate(name) == 0
        eight_entries.launch(name)
        wait_until(lambda name=name: eight_entries.is_ready(name), 20, f"{name} ready again")
    for name in eight_entries.control_names:
        assert eight_entries.terminate(name) == 0
        eight_entries.launch(name)
        eight_entries.wait_leader()
        # The next box may stop only after this one has caught up with the log.
        wait_until(lambda name=name: has_caught_up(eight_entries, name), 20, f"{name} caught up")
    balancer.stop()
    interrupted = [
        (stream.prompt, stream.error) for stream in balancer.streams if not stream.is_complete
    ]
    assert not interrupted
    assert len(balancer.streams) > 50
    assert set(balancer.bookings) == {200}


def has_caught_up(fleet: Fleet, name: str) -> bool:
    leader = fleet.leader()
    if leader is None:
        return False
    own_status, leader_status = fleet.status(name), fleet.status(leader)
    return (
        own_status is not None
        and leader_status is not None
        and own_status["version"] == leader_status["version"] > 0
    )


def test_draining_engine_gets_no_new_work(eight_entries: Fleet) -> None:
    name = "fast-a1"
    control = f"{eight_entries.url(name)}/standin/control"
    running = [
        Stream(fleet=eight_entries, entry="entry-a1", prompt=f"before {number}", count=60)
        for number in range(12)
    ]
    wait_until(lambda: engine_stats(eight_entries, name)["held"] > 0, 20, "work on the engine")
    eight_entries.client.post(control, json={"leaving": True})
    time.sleep(2.0)
    runs = engine_stats(eight_entries, name)["counts"].get("runs", 0)
    later = [
        Stream(fleet=eight_entries, entry=entry, prompt=f"after {entry} {number}", count=8)
        for entry in eight_entries.entry_names
        for number in range(4)
    ]
    for stream in running + later:
        stream.join()
        assert stream.is_complete, stream.error
    assert engine_stats(eight_entries, name)["counts"].get("runs", 0) == runs
    eight_entries.client.post(control, json={"leaving": False})


def test_engine_on_the_platform_list_gets_no_new_work(eight_entries: Fleet) -> None:
    name = "fast-b1"
    eight_entries.client.post(
        f"{eight_entries.url('platform')}/standin/leaving", json=[eight_entries.addresses[name]]
    )
    time.sleep(eight_entries.platform_lag + 2.0)
    runs = engine_stats(eight_entries, name)["counts"].get("runs", 0)
    streams = [
        Stream(fleet=eight_entries, entry=entry, prompt=f"listed {entry} {number}", count=8)
        for entry in eight_entries.entry_names
        for number in range(4)
    ]
    for stream in streams:
        stream.join()
        assert stream.is_complete, stream.error
    assert engine_stats(eight_entries, name)["counts"].get("runs", 0) == runs
    eight_entries.client.post(f"{eight_entries.url('platform')}/standin/leaving", json=[])
