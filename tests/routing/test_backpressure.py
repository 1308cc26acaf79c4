"""Upstreams that ask for rest or say that they leave: what a box believes, and for how long."""

from __future__ import annotations

import random

import pytest

from ledgeladder.model.registration import Registration, UpstreamState
from ledgeladder.routing.backpressure import (
    MAX_KEPT_UPSTREAMS,
    MAX_REQUESTS_BACKOFFS,
    Backpressure,
    BackpressureTable,
    cap_requests,
    extend_backoff,
    record_draining,
)
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    ForwardingTable,
    accepts_work,
    drop_upstream,
    has_alternative,
    is_at_max_requests,
    is_backing_off,
    is_usable,
    min_remaining_wait,
    put_registration,
    record_success,
)
from ledgeladder.routing.service_choice import choose_service

HEARTBEAT = 1.0


def registration(name: str = "s-1", *, start: int = 0, sequence: int = 1) -> Registration:
    return Registration(
        instance=f"{name}#{start}" if start else name,
        sequence=sequence,
        pool="p",
        address=f"{name}:80",
        failure_domain="a",
        slots=6,
        upstream=name if start else "",
        born_ms=start,
    )


def known(table: ForwardingTable, said: Registration, at: float = 0.0) -> ForwardedUpstream:
    upstream = put_registration(table, said, at)
    assert upstream is not None
    return upstream


def rest(table: ForwardingTable, upstream: ForwardedUpstream, seconds: float, now: float) -> bool:
    return extend_backoff(
        table.backpressure, upstream.registration, upstream.backpressure, seconds, now
    )


def test_upstream_rests_until_the_end_of_the_time_and_not_longer() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    assert rest(table, upstream, 3.0, 10.0)
    assert is_backing_off(upstream, 12.999)
    assert not is_usable(upstream, 12.999)
    assert is_usable(upstream, 13.0)


@pytest.mark.parametrize(("second", "until"), [(0.5, 13.0), (2.0, 13.0), (4.0, 15.0)])
def test_of_two_answers_the_one_that_asks_for_longer_counts(second: float, until: float) -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    rest(table, upstream, 3.0, 10.0)
    assert rest(table, upstream, second, 11.0) is (until > 13.0)
    assert upstream.backpressure.backoff_until == until


def test_no_time_is_no_rest() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    assert not rest(table, upstream, 0.0, 10.0)
    assert is_usable(upstream, 10.0)


def test_answer_to_an_earlier_request_ends_no_rest() -> None:
    """It was on its way when the upstream asked; a time of avoidance ends with it."""
    table = ForwardingTable()
    upstream = known(table, registration())
    rest(table, upstream, 3.0, 10.0)
    record_success(upstream)
    assert not is_usable(upstream, 11.0)


def test_wishes_outlive_the_registration_of_the_same_run() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    rest(table, upstream, 30.0, 10.0)
    record_draining(table.backpressure, upstream.registration, upstream.backpressure)
    drop_upstream(table, upstream.registration.instance)
    again = known(table, registration(sequence=20), 20.0)
    assert is_backing_off(again, 20.0)
    assert again.draining
    assert again.registration.state is UpstreamState.READY


def test_heartbeat_that_says_ready_ends_no_leaving() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    assert record_draining(table.backpressure, upstream.registration, upstream.backpressure)
    assert not record_draining(table.backpressure, upstream.registration, upstream.backpressure)
    assert known(table, registration(sequence=2), 1.0).draining
    assert not accepts_work(upstream, 1.0)


def test_run_that_starts_anew_has_asked_for_nothing() -> None:
    table = ForwardingTable(heartbeat=HEARTBEAT)
    first = known(table, registration(start=1), 0.0)
    rest(table, first, 60.0, 10.0)
    record_draining(table.backpressure, first.registration, first.backpressure)
    drop_upstream(table, first.registration.instance)
    second = known(table, registration(start=2), 10.5)
    assert accepts_work(second, 10.5)


def test_rest_that_a_new_run_asked_for_before_it_was_known_counts_for_it() -> None:
    """A new run answers at the address, under the id, before its first heartbeat arrives."""
    table = ForwardingTable(heartbeat=HEARTBEAT)
    first = known(table, registration(start=1), 0.0)
    record_draining(table.backpressure, first.registration, first.backpressure)
    rest(table, first, 5.0, 10.0)
    drop_upstream(table, first.registration.instance)
    # Its third message came at 11.5, so that it began about two intervals before.
    second = known(table, registration(start=2, sequence=3), 11.5)
    assert is_backing_off(second, 14.9)
    assert not second.draining


def test_remembered_wishes_are_bounded() -> None:
    book = BackpressureTable()
    for number in range(MAX_KEPT_UPSTREAMS + 10):
        extend_backoff(book, registration(f"s-{number}"), Backpressure(), 3.0, 0.0)
    assert len(book.entries) == MAX_KEPT_UPSTREAMS
    assert "s-9" not in book.entries
    assert f"s-{MAX_KEPT_UPSTREAMS + 9}" in book.entries


def test_time_that_is_left_is_that_of_the_first_upstream_to_return() -> None:
    table = ForwardingTable()
    upstreams = [known(table, registration(f"s-{number}")) for number in range(3)]
    rest(table, upstreams[0], 3.0, 10.0)
    rest(table, upstreams[1], 2.0, 10.0)
    assert min_remaining_wait(upstreams, 11.0) is None
    rest(table, upstreams[2], 4.0, 10.0)
    assert min_remaining_wait(upstreams, 11.0) == 1.0
    record_draining(table.backpressure, upstreams[1].registration, upstreams[1].backpressure)
    assert min_remaining_wait(upstreams, 11.0) == 2.0
    assert min_remaining_wait([], 11.0) is None


def choose(upstreams: list[ForwardedUpstream], now: float) -> str | None:
    chosen = choose_service(
        upstreams, now, tried=(), failure_domain="a", sharers=1, rng=random.Random(1)
    )
    return None if chosen is None else chosen.registration.instance


def test_avoided_service_is_a_last_resort_and_one_that_rests_or_leaves_is_none() -> None:
    table = ForwardingTable()
    resting, leaving, avoided = (known(table, registration(name), 10.0) for name in "rla")
    rest(table, resting, 3.0, 10.0)
    record_draining(table.backpressure, leaving.registration, leaving.backpressure)
    avoided.avoid_until = 20.0
    pool = [resting, leaving, avoided]
    assert choose(pool, 11.0) == "a"
    assert choose(pool[:2], 11.0) is None
    assert choose(pool[:2], 13.0) == "r"
    assert not has_alternative(pool, avoided, set(), 11.0)


def test_service_that_rests_is_chosen_by_nobody_while_a_far_one_serves() -> None:
    table = ForwardingTable()
    near, far = known(table, registration("n"), 10.0), known(table, registration("f"), 10.0)
    far.registration = Registration(
        instance="f", sequence=1, pool="p", address="f:80", failure_domain="b", slots=6
    )
    assert {choose([near, far], 11.0) for _ in range(20)} == {"n"}
    rest(table, near, 3.0, 10.0)
    assert {choose([near, far], 11.0) for _ in range(20)} == {"f"}


@pytest.mark.parametrize(
    ("held", "most"),
    [(5.0, float("inf")), (6.0, 6.0), (12.0, 7.2), (40.0, 24.0)],
)
def test_upstream_that_was_full_is_sent_less_than_it_held(held: float, most: float) -> None:
    """One that held fewer than its slots asked for another reason, and is not bound."""
    wishes = Backpressure()
    cap_requests(wishes, held, 6, 3.0, 10.0)
    assert wishes.max_requests == pytest.approx(most)


def test_bound_falls_with_each_rest_and_ends_some_rests_later() -> None:
    table = ForwardingTable()
    upstream = known(table, registration(), 10.0)
    cap_requests(upstream.backpressure, 20.0, 6, 3.0, 10.0)
    cap_requests(upstream.backpressure, 30.0, 6, 3.0, 11.0)
    assert upstream.backpressure.max_requests == 12.0
    upstream.in_flight = 12
    assert is_at_max_requests(upstream, 20.0, 1)
    assert choose([upstream], 20.0) is None
    upstream.in_flight = 11
    assert choose([upstream], 20.0) == "s-1"
    upstream.in_flight = 12
    assert choose([upstream], 11.0 + 3.0 * MAX_REQUESTS_BACKOFFS) == "s-1"
