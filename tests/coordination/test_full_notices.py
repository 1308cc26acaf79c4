"""Notices of full engines reach each entry box once, in bounded number.

A full engine refuses an attempt of every box, and each attempt takes a retry, unless the first box
tells the others. Reports come in storms: all boxes are refused at once, by many engines.
"""

from __future__ import annotations

import random
from collections import Counter

import pytest

from ledgeladder.coordination.full_notices import (
    MAX_BYTES_PER_SECOND,
    MESSAGE_BYTES,
    NoticeThrottle,
    build_relay,
    pass_notices,
    relay_notices,
)
from ledgeladder.links.frames import encode_frame
from ledgeladder.links.messages import FullNotice, FullReport

INTERVAL = 0.125
SEEDS = range(20)


@pytest.mark.parametrize("name", ["", "i", "engine-7#1700000000000", "é" * 40, "x" * 300])
def test_counted_size_is_an_upper_bound_of_the_frame(name: str) -> None:
    counted = MESSAGE_BYTES + len(name.encode())
    for message in (FullReport(instances=(name,)), FullNotice(instances=(name,))):
        assert len(encode_frame(message)) <= counted


@pytest.mark.parametrize("seed", SEEDS)
def test_a_storm_of_reports_is_bounded_by_engine_and_by_bytes(seed: int) -> None:
    rng = random.Random(seed)
    throttle = NoticeThrottle(interval=INTERVAL)
    names = [f"engine-{number}#1700000000000" for number in range(rng.choice([1, 5, 200]))]
    passed: list[tuple[float, str]] = []
    reported = 0
    now = 0.0
    while now < 5.0:
        chosen = rng.choices(names, k=rng.randrange(1, 4))
        reported += len(chosen)
        passed += [(now, name) for name in pass_notices(throttle, chosen, now)]
        now += rng.expovariate(2000.0)
    by_engine: dict[str, float] = {}
    for at, name in passed:
        assert at - by_engine.get(name, float("-inf")) >= INTERVAL
        by_engine[name] = at
    frames = [(at, len(encode_frame(FullNotice(instances=(name,))))) for at, name in passed]
    for start, _size in frames:
        in_second = sum(size for at, size in frames if start <= at < start + 1.0)
        assert in_second <= MAX_BYTES_PER_SECOND
    assert reported > len(passed) > 0
    assert len(throttle.passed_at) <= MAX_BYTES_PER_SECOND / MESSAGE_BYTES
    assert (throttle.dropped > 0) == (len(names) == 200)


def test_an_engine_that_stays_full_is_announced_again() -> None:
    throttle = NoticeThrottle(interval=INTERVAL)
    assert pass_notices(throttle, ("i-1",), 0.0) == ("i-1",)
    assert pass_notices(throttle, ("i-1", "i-2", "i-2"), 0.1) == ("i-2",)
    assert pass_notices(throttle, ("i-1", "i-2"), INTERVAL) == ("i-1",)
    assert pass_notices(throttle, ("i-1", "i-2"), 0.1 + INTERVAL) == ("i-2",)


def test_a_notice_of_a_control_box_goes_to_entry_boxes_only() -> None:
    """Otherwise notices would circulate between control boxes."""
    relay = build_relay(INTERVAL)
    from_entry = relay_notices(relay, ("i-1",), 0.0, from_control=False)
    assert from_entry.to_controls == from_entry.to_entries == ("i-1",)
    from_control = relay_notices(relay, ("i-2",), 0.0, from_control=True)
    assert (from_control.to_controls, from_control.to_entries) == ((), ("i-2",))
    # What another control box announced doesn't hold back a report of an own entry box.
    own = relay_notices(relay, ("i-2",), 0.1, from_control=False)
    assert (own.to_controls, own.to_entries) == (("i-2",), ())


class Fleet:
    """Control boxes with the entry boxes that report to each; links lose and double messages."""

    def __init__(self, rng: random.Random, controls: int, entries: int) -> None:
        self.rng = rng
        self.relays = {number: build_relay(INTERVAL) for number in range(controls)}
        self.primary = {entry: entry % controls for entry in range(entries)}
        self.received: Counter[int] = Counter()
        self.between_controls = 0

    def copies(self) -> int:
        return self.rng.choice([0, 1, 1, 1, 2])

    def report(self, entry: int, now: float, *, faulty: bool) -> None:
        home = self.primary[entry]
        for _ in range(self.copies() if faulty else 1):
            fan_out = relay_notices(self.relays[home], ("i-1",), now, from_control=False)
            self.deliver(home, fan_out.to_entries, sender=entry)
            for other, relay in self.relays.items():
                if other != home and fan_out.to_controls:
                    for _copy in range(self.copies() if faulty else 1):
                        self.between_controls += 1
                        passed = relay_notices(relay, fan_out.to_controls, now, from_control=True)
                        assert not passed.to_controls
                        self.deliver(other, passed.to_entries)

    def deliver(self, control: int, instances: tuple[str, ...], sender: int | None = None) -> None:
        if instances:
            here = {entry for entry, home in self.primary.items() if home == control}
            self.received.update(here - {sender})


def test_one_refusal_reaches_every_other_box_once() -> None:
    fleet = Fleet(random.Random(1), controls=8, entries=410)
    fleet.report(7, 0.0, faulty=False)
    assert fleet.received == Counter({entry: 1 for entry in range(410) if entry != 7})


@pytest.mark.parametrize("seed", SEEDS)
def test_all_boxes_that_are_refused_at_once_cause_one_notice_each(seed: int) -> None:
    """Reports of one engine in one interval are passed once, whatever is lost or doubled."""
    rng = random.Random(seed)
    fleet = Fleet(rng, controls=5, entries=60)
    for entry in rng.sample(range(60), 60):
        fleet.report(entry, rng.uniform(0.0, INTERVAL * 0.99), faulty=True)
    assert fleet.received
    assert max(fleet.received.values()) <= 1
    assert fleet.between_controls <= 2 * 5 * 4


def test_restarted_control_box_passes_notices_at_once() -> None:
    fleet = Fleet(random.Random(1), controls=3, entries=9)
    fleet.report(0, 0.0, faulty=False)
    fleet.relays[1] = build_relay(INTERVAL)
    fleet.report(1, 0.01, faulty=False)
    # Its state bounds its own links only: the others passed this notice already.
    assert fleet.received == Counter({1: 1, 4: 2, 7: 2, 2: 1, 5: 1, 8: 1, 3: 1, 6: 1})
