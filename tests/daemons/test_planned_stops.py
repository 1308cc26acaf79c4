"""Planned stops of entries, control boxes and upstreams cut nothing."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest

from standins.fleet import Fleet, running_fleet, wait_until
from standins.keys import new_key

from .callers import Stream, book, engine_stats
from .conftest import started

TOKENS = 30


@pytest.fixture(scope="module")
def eight() -> Iterator[Fleet]:
    with running_fleet(entries_per_domain=(3, 3, 2)) as running:
        yield started(running)


class Balancer:
    """Sends streams to entries that say they are ready, as the platform's balancer does."""

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
                self.bookings.append(book(self.fleet, entry, new_key()).status_code)
            time.sleep(0.1)

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)
        for stream in self.streams:
            stream.join()


def test_rolling_restart_of_all_boxes_under_load(eight: Fleet) -> None:
    balancer = Balancer(eight)
    for name in eight.entry_names:
        assert eight.terminate(name) == 0
        eight.launch(name)
        wait_until(lambda name=name: eight.is_ready(name), 20, f"{name} ready again")
    for name in eight.control_names:
        assert eight.terminate(name) == 0
        eight.launch(name)
        eight.wait_leader()
        # The next box may stop only once this one holds the log again.
        wait_until(lambda name=name: in_step(eight, name), 20, f"{name} in step")
    balancer.stop()
    cut = [(stream.prompt, stream.error) for stream in balancer.streams if not stream.whole]
    assert not cut
    assert len(balancer.streams) > 50
    assert set(balancer.bookings) == {200}


def in_step(fleet: Fleet, name: str) -> bool:
    leader = fleet.leader()
    if leader is None:
        return False
    own, leading = fleet.status(name), fleet.status(leader)
    return own is not None and leading is not None and own["version"] == leading["version"] > 0


def test_leaving_engine_gets_no_new_work(eight: Fleet) -> None:
    name = "fast-a1"
    control = f"{eight.url(name)}/standin/control"
    running = [
        Stream(fleet=eight, entry="entry-a1", prompt=f"before {number}", count=60)
        for number in range(12)
    ]
    wait_until(lambda: engine_stats(eight, name)["held"] > 0, 20, "work on the engine")
    eight.client.post(control, json={"leaving": True})
    time.sleep(2.0)
    runs = engine_stats(eight, name)["counts"].get("runs", 0)
    later = [
        Stream(fleet=eight, entry=entry, prompt=f"after {entry} {number}", count=8)
        for entry in eight.entry_names
        for number in range(4)
    ]
    for stream in running + later:
        stream.join()
        assert stream.whole, stream.error
    assert engine_stats(eight, name)["counts"].get("runs", 0) == runs
    eight.client.post(control, json={"leaving": False})


def test_engine_on_the_platform_list_gets_no_new_work(eight: Fleet) -> None:
    name = "fast-b1"
    eight.client.post(f"{eight.url('platform')}/standin/leaving", json=[eight.addresses[name]])
    time.sleep(eight.platform_lag + 2.0)
    runs = engine_stats(eight, name)["counts"].get("runs", 0)
    streams = [
        Stream(fleet=eight, entry=entry, prompt=f"listed {entry} {number}", count=8)
        for entry in eight.entry_names
        for number in range(4)
    ]
    for stream in streams:
        stream.join()
        assert stream.whole, stream.error
    assert engine_stats(eight, name)["counts"].get("runs", 0) == runs
    eight.client.post(f"{eight.url('platform')}/standin/leaving", json=[])
