"""Registrations that arrive late, twice, out of order and over several control boxes."""

from __future__ import annotations

import random

import msgspec

from ledgeladder.coordination.registrations import (
    RegistrationTable,
    end_of,
    forget_silent,
    name_run,
    superseded,
    take_ages,
    take_all,
    take_registration,
    tell_all,
)
from ledgeladder.model.registration import Holding, Registration, UpstreamState


def said(sequence: int, state: UpstreamState = UpstreamState.READY, first: int = 0) -> Registration:
    return Registration(
        instance="i-1",
        sequence=sequence,
        pool="engines",
        address="10.0.0.1:80",
        state=state,
        holdings=(Holding(first=first, end=first + 10),),
    )


def test_order_of_arrival_does_not_matter() -> None:
    messages = [said(1), said(2, first=10), said(3, UpstreamState.LEAVING), said(4)]
    for seed in range(50):
        rng = random.Random(seed)
        table = RegistrationTable()
        shuffled = messages * 2
        rng.shuffle(shuffled)
        for message in shuffled:
            take_registration(table, message, rng.random())
        held = table.known["i-1"].registration
        assert held.sequence == 4
        # An end that was announced is never taken back by a later heartbeat, unless the
        # announcement itself was the late one.
        leaving_seen_first = shuffled.index(messages[2]) < shuffled.index(messages[3])
        expected = UpstreamState.LEAVING if leaving_seen_first else UpstreamState.READY
        assert held.state is expected


def test_late_heartbeat_does_not_bring_back_what_has_ended() -> None:
    table = RegistrationTable()
    take_registration(table, said(1), 0.0)
    assert take_registration(table, end_of("i-1"), 1.0)
    assert not take_registration(table, said(9), 2.0)
    assert not table.known


def test_merge_of_two_boxes_and_their_clocks() -> None:
    here, there = RegistrationTable(), RegistrationTable()
    take_registration(there, said(5), 100.0)
    news = take_all(here, tell_all(there, 103.0), 7.0)
    assert news == [said(5)]
    assert here.known["i-1"].heard_at == 4.0
    take_ages(here, [("i-1", 0.5), ("i-unknown", 0.1)], 8.0)
    assert here.known["i-1"].heard_at == 7.5
    assert not forget_silent(here, 12.0, 5.0)
    assert forget_silent(here, 13.0, 5.0) == ["i-1"]
    # Silence is not an end: the next heartbeat brings it back.
    assert take_registration(here, said(6), 14.0)


def test_unchanged_heartbeat_is_no_news() -> None:
    table = RegistrationTable()
    assert take_registration(table, said(1), 0.0)
    assert not take_registration(table, msgspec.structs.replace(said(1), sequence=2), 1.0)
    assert take_registration(table, said(3, first=20), 2.0)


def test_run_at_whose_address_a_newer_one_registered_is_superseded() -> None:
    table = RegistrationTable()
    for instance, address, at in (("old", "a:1", 1.0), ("other", "b:1", 2.0), ("new", "a:1", 3.0)):
        registration = Registration(instance=instance, sequence=1, address=address)
        take_registration(table, registration, at)
    # A late heartbeat of the old run changes nothing.
    take_registration(table, Registration(instance="old", sequence=2, address="a:1"), 4.0)
    assert superseded(table) == {"old"}


def test_late_heartbeat_of_an_earlier_run_does_not_make_it_the_newer_one() -> None:
    """Neither where the earlier run was not known: the box was cut off or has just started."""
    for order in ((0, 1), (1, 0)):
        table = RegistrationTable(heartbeat=1.0)
        messages = (
            (Registration(instance="new", sequence=2, address="a:1"), 10.0),
            (Registration(instance="old", sequence=9, address="a:1"), 11.5),
        )
        for index in order:
            take_registration(table, *messages[index])
        assert superseded(table) == {"old"}


def run(born_ms: int, sequence: int = 1, **changes: object) -> Registration:
    """Return what a run said of an upstream that keeps its id over restarts."""
    registration = said(sequence)
    fields: dict[str, object] = {
        "instance": f"i-1#{born_ms}",
        "upstream": "i-1",
        "born_ms": born_ms,
    }
    return msgspec.structs.replace(registration, **(fields | changes))


def test_upstream_that_starts_again_under_its_id_is_a_new_run() -> None:
    """Its counts start anew, and what was known of the run before says nothing of it."""
    table = RegistrationTable()
    take_registration(table, run(1000, sequence=50), 0.0)
    assert take_registration(table, run(2000, holdings=()), 5.0)
    assert table.known["i-1#2000"].registration.holdings == ()
    assert superseded(table) == {"i-1#1000"}
    # A late heartbeat of the run before changes nothing, nor does one that names no run.
    take_registration(table, run(1000, sequence=51), 6.0)
    assert not take_registration(table, said(99), 6.0)
    assert superseded(table) == {"i-1#1000"}


def test_late_heartbeat_of_a_run_that_nobody_knows_any_more_is_passed_over() -> None:
    table = RegistrationTable()
    take_registration(table, run(2000), 0.0)
    assert not take_registration(table, run(1000, sequence=9), 1.0)
    assert list(table.known) == ["i-1#2000"]


def test_farewell_without_a_run_ends_the_newest_one_only() -> None:
    table = RegistrationTable()
    take_registration(table, run(1000), 0.0)
    ended = name_run(table, end_of("i-1", "i-1"))
    assert ended.instance == "i-1#1000"
    assert take_registration(table, ended, 1.0)
    # It may start again under its id, also at another box that hears of the end afterwards.
    assert take_registration(table, run(2000), 5.0)
    assert not take_registration(table, run(1000, sequence=2), 5.0)
    take_registration(table, ended, 6.0)
    assert list(table.known) == ["i-1#2000"]


def test_message_of_another_writer_moves_no_run_elsewhere() -> None:
    table = RegistrationTable()
    take_registration(table, run(1000), 0.0)
    for change in ({"pool": "nowhere"}, {"address": "10.0.0.66:80"}):
        assert not take_registration(table, run(1000, sequence=9, **change), 1.0)
    held = table.known["i-1#1000"].registration
    assert (held.pool, held.address) == ("engines", "10.0.0.1:80")
