"""Registrations that arrive late, twice, out of order and over several control boxes."""

from __future__ import annotations

import random

import msgspec

from ledgeladder.coordination.registrations import (
    RegistrationTable,
    apply_registration,
    drop_inactive,
    exit_registration,
    list_liveness,
    merge_ages,
    merge_liveness,
    resolve_instance,
    superseded_instances,
)
from ledgeladder.model.registration import Holding, Registration, UpstreamState


def registration_of(
    sequence: int, state: UpstreamState = UpstreamState.READY, first: int = 0
) -> Registration:
    return Registration(
        instance="i-1",
        sequence=sequence,
        pool="engines",
        address="10.0.0.1:80",
        state=state,
        holdings=(Holding(first=first, end=first + 10),),
    )


def test_order_of_arrival_does_not_matter() -> None:
    messages = [
        registration_of(1),
        registration_of(2, first=10),
        registration_of(3, UpstreamState.DRAINING),
        registration_of(4),
    ]
    for seed in range(50):
        rng = random.Random(seed)
        table = RegistrationTable()
        shuffled = messages * 2
        rng.shuffle(shuffled)
        for message in shuffled:
            apply_registration(table, message, rng.random())
        current = table.known["i-1"].registration
        assert current.sequence == 4
        # A later heartbeat never reverts draining, unless the draining message itself was late.
        leaving_seen_first = shuffled.index(messages[2]) < shuffled.index(messages[3])
        expected = UpstreamState.DRAINING if leaving_seen_first else UpstreamState.READY
        assert current.state is expected


def test_late_heartbeat_does_not_register_an_exited_upstream() -> None:
    table = RegistrationTable()
    apply_registration(table, registration_of(1), 0.0)
    assert apply_registration(table, exit_registration("i-1"), 1.0)
    assert not apply_registration(table, registration_of(9), 2.0)
    assert not table.known


def test_merge_of_two_boxes_and_their_clocks() -> None:
    here, there = RegistrationTable(), RegistrationTable()
    apply_registration(there, registration_of(5), 100.0)
    changed = merge_liveness(here, list_liveness(there, 103.0), 7.0)
    assert changed == [registration_of(5)]
    assert here.known["i-1"].last_seen_at == 4.0
    merge_ages(here, [("i-1", 0.5), ("i-unknown", 0.1)], 8.0)
    assert here.known["i-1"].last_seen_at == 7.5
    assert not drop_inactive(here, 12.0, 5.0)
    assert drop_inactive(here, 13.0, 5.0) == ["i-1"]
    # Inactivity is not an exit: the next heartbeat registers it again.
    assert apply_registration(here, registration_of(6), 14.0)


def test_unchanged_heartbeat_is_not_a_change() -> None:
    table = RegistrationTable()
    assert apply_registration(table, registration_of(1), 0.0)
    assert not apply_registration(
        table, msgspec.structs.replace(registration_of(1), sequence=2), 1.0
    )
    assert apply_registration(table, registration_of(3, first=20), 2.0)


def test_instance_is_superseded_by_a_newer_one_at_its_address() -> None:
    table = RegistrationTable()
    for instance, address, at in (("old", "a:1", 1.0), ("other", "b:1", 2.0), ("new", "a:1", 3.0)):
        registration = Registration(instance=instance, sequence=1, address=address)
        apply_registration(table, registration, at)
    # A late heartbeat of the old instance changes nothing.
    apply_registration(table, Registration(instance="old", sequence=2, address="a:1"), 4.0)
    assert superseded_instances(table) == {"old"}


def test_late_heartbeat_of_an_earlier_instance_does_not_make_it_the_newer_one() -> None:
    """Neither where the earlier instance was unknown, as after a partition or a restart."""
    for order in ((0, 1), (1, 0)):
        table = RegistrationTable(heartbeat=1.0)
        messages = (
            (Registration(instance="new", sequence=2, address="a:1"), 10.0),
            (Registration(instance="old", sequence=9, address="a:1"), 11.5),
        )
        for index in order:
            apply_registration(table, *messages[index])
        assert superseded_instances(table) == {"old"}


def instance_registration(started_ms: int, sequence: int = 1, **changes: object) -> Registration:
    """Return a registration of an instance whose upstream keeps its id over restarts."""
    registration = registration_of(sequence)
    fields: dict[str, object] = {
        "instance": f"i-1#{started_ms}",
        "upstream": "i-1",
        "started_ms": started_ms,
    }
    return msgspec.structs.replace(registration, **(fields | changes))


def test_upstream_that_restarts_under_its_id_is_a_new_instance() -> None:
    """Sequence numbers start again, and the state of the earlier instance does not apply."""
    table = RegistrationTable()
    apply_registration(table, instance_registration(1000, sequence=50), 0.0)
    assert apply_registration(table, instance_registration(2000, holdings=()), 5.0)
    assert table.known["i-1#2000"].registration.holdings == ()
    assert superseded_instances(table) == {"i-1#1000"}
    # A late heartbeat of the earlier instance changes nothing, nor does one without an instance.
    apply_registration(table, instance_registration(1000, sequence=51), 6.0)
    assert not apply_registration(table, registration_of(99), 6.0)
    assert superseded_instances(table) == {"i-1#1000"}


def test_late_heartbeat_of_a_forgotten_instance_is_ignored() -> None:
    table = RegistrationTable()
    apply_registration(table, instance_registration(2000), 0.0)
    assert not apply_registration(table, instance_registration(1000, sequence=9), 1.0)
    assert list(table.known) == ["i-1#2000"]


def test_exit_without_an_instance_applies_to_the_newest_one_only() -> None:
    table = RegistrationTable()
    apply_registration(table, instance_registration(1000), 0.0)
    exited = resolve_instance(table, exit_registration("i-1", "i-1"))
    assert exited.instance == "i-1#1000"
    assert apply_registration(table, exited, 1.0)
    # It may start again under its id, also at a box that receives the exit afterwards.
    assert apply_registration(table, instance_registration(2000), 5.0)
    assert not apply_registration(table, instance_registration(1000, sequence=2), 5.0)
    apply_registration(table, exited, 6.0)
    assert list(table.known) == ["i-1#2000"]


def test_message_of_another_sender_does_not_redirect_an_instance() -> None:
    table = RegistrationTable()
    apply_registration(table, instance_registration(1000), 0.0)
    for change in ({"pool": "nowhere"}, {"address": "10.0.0.66:80"}):
        assert not apply_registration(table, instance_registration(1000, sequence=9, **change), 1.0)
    current = table.known["i-1#1000"].registration
    assert (current.pool, current.address) == ("engines", "10.0.0.1:80")
