"""Back-pressure: how long a box honors the back-off and draining that upstreams signal."""

from __future__ import annotations

import random

import pytest

from ledgeladder.model.registration import Registration, UpstreamState
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
from ledgeladder.routing.upstream_wishes import (
    MAX_KEPT_UPSTREAMS,
    MAX_REQUESTS_BACKOFFS,
    Backpressure,
    BackpressureTable,
    cap_requests,
    extend_backoff,
    record_draining,
)

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
        started_ms=start,
    )


def known(table: ForwardingTable, registered: Registration, at: float = 0.0) -> ForwardedUpstream:
    upstream = put_registration(table, registered, at)
    assert upstream is not None
    return upstream


def backoff(
    table: ForwardingTable, upstream: ForwardedUpstream, seconds: float, now: float
) -> bool:
    return extend_backoff(
        table.backpressure, upstream.registration, upstream.backpressure, seconds, now
    )


def test_upstream_backs_off_until_the_end_of_the_time() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    assert backoff(table, upstream, 3.0, 10.0)
    assert is_backing_off(upstream, 12.999)
    assert not is_usable(upstream, 12.999)
    assert is_usable(upstream, 13.0)


@pytest.mark.parametrize(("second", "until"), [(0.5, 13.0), (2.0, 13.0), (4.0, 15.0)])
def test_of_two_answers_the_one_that_asks_for_the_later_end_counts(
    second: float, until: float
) -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    backoff(table, upstream, 3.0, 10.0)
    assert backoff(table, upstream, second, 11.0) is (until > 13.0)
    assert upstream.backpressure.backoff_until == until


def test_zero_seconds_start_no_backoff() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    assert not backoff(table, upstream, 0.0, 10.0)
    assert is_usable(upstream, 10.0)


def test_answer_to_an_earlier_request_ends_no_backoff() -> None:
    """A success ends avoidance after a failure, but not a back-off."""
    table = ForwardingTable()
    upstream = known(table, registration())
    backoff(table, upstream, 3.0, 10.0)
    record_success(upstream)
    assert not is_usable(upstream, 11.0)


def test_backpressure_outlives_the_registration_of_the_same_instance() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    backoff(table, upstream, 30.0, 10.0)
    record_draining(table.backpressure, upstream.registration, upstream.backpressure)
    drop_upstream(table, upstream.registration.instance)
    again = known(table, registration(sequence=20), 20.0)
    assert is_backing_off(again, 20.0)
    assert again.draining
    assert again.registration.state is UpstreamState.READY


def test_heartbeat_that_says_ready_does_not_end_draining() -> None:
    table = ForwardingTable()
    upstream = known(table, registration())
    assert record_draining(table.backpressure, upstream.registration, upstream.backpressure)
    assert not record_draining(table.backpressure, upstream.registration, upstream.backpressure)
    assert known(table, registration(sequence=2), 1.0).draining
    assert not accepts_work(upstream, 1.0)


def test_new_instance_starts_without_backpressure() -> None:
    table = ForwardingTable(heartbeat=HEARTBEAT)
    first = known(table, registration(start=1), 0.0)
    backoff(table, first, 60.0, 10.0)
    record_draining(table.backpressure, first.registration, first.backpressure)
    drop_upstream(table, first.registration.instance)
    second = known(table, registration(start=2), 10.5)
    assert accepts_work(second, 10.5)


def test_backoff_that_a_new_instance_asked_for_before_it_was_registered_counts() -> None:
    """A new instance may answer under the same id before its first heartbeat arrives."""
    table = ForwardingTable(heartbeat=HEARTBEAT)
    first = known(table, registration(start=1), 0.0)
    record_draining(table.backpressure, first.registration, first.backpressure)
    backoff(table, first, 5.0, 10.0)
    drop_upstream(table, first.registration.instance)
    # Its third heartbeat arrives at 11.5, so it started about two intervals earlier.
    second = known(table, registration(start=2, sequence=3), 11.5)
    assert is_backing_off(second, 14.9)
    assert not second.draining


def test_kept_backpressure_is_bounded() -> None:
    table = BackpressureTable()
    for number in range(MAX_KEPT_UPSTREAMS + 10):
        extend_backoff(table, registration(f"s-{number}"), Backpressure(), 3.0, 0.0)
    assert len(table.entries) == MAX_KEPT_UPSTREAMS
    assert "s-9" not in table.entries
    assert f"s-{MAX_KEPT_UPSTREAMS + 9}" in table.entries


def test_remaining_wait_is_that_of_the_first_upstream_to_accept_work() -> None:
    table = ForwardingTable()
    upstreams = [known(table, registration(f"s-{number}")) for number in range(3)]
    backoff(table, upstreams[0], 3.0, 10.0)
    backoff(table, upstreams[1], 2.0, 10.0)
    assert min_remaining_wait(upstreams, 11.0) is None
    backoff(table, upstreams[2], 4.0, 10.0)
    assert min_remaining_wait(upstreams, 11.0) == 1.0
    record_draining(table.backpressure, upstreams[1].registration, upstreams[1].backpressure)
    assert min_remaining_wait(upstreams, 11.0) == 2.0
    assert min_remaining_wait([], 11.0) is None


def choose(upstreams: list[ForwardedUpstream], now: float) -> str | None:
    chosen = choose_service(
        upstreams, now, tried=(), failure_domain="a", sharers=1, rng=random.Random(1)
    )
    return None if chosen is None else chosen.registration.instance


def test_avoided_service_is_a_last_resort_and_one_that_backs_off_or_drains_is_not() -> None:
    table = ForwardingTable()
    backing_off, draining, avoided = (known(table, registration(name), 10.0) for name in "rla")
    backoff(table, backing_off, 3.0, 10.0)
    record_draining(table.backpressure, draining.registration, draining.backpressure)
    avoided.avoid_until = 20.0
    pool = [backing_off, draining, avoided]
    assert choose(pool, 11.0) == "a"
    assert choose(pool[:2], 11.0) is None
    assert choose(pool[:2], 13.0) == "r"
    assert not has_alternative(pool, avoided, set(), 11.0)


def test_service_that_backs_off_is_not_chosen_over_a_far_one() -> None:
    table = ForwardingTable()
    near, far = known(table, registration("n"), 10.0), known(table, registration("f"), 10.0)
    far.registration = Registration(
        instance="f", sequence=1, pool="p", address="f:80", failure_domain="b", slots=6
    )
    assert {choose([near, far], 11.0) for _ in range(20)} == {"n"}
    backoff(table, near, 3.0, 10.0)
    assert {choose([near, far], 11.0) for _ in range(20)} == {"f"}


@pytest.mark.parametrize(
    ("estimated", "cap"),
    [(5.0, float("inf")), (6.0, 6.0), (12.0, 7.2), (40.0, 24.0)],
)
def test_upstream_that_was_full_gets_a_cap_below_its_requests(estimated: float, cap: float) -> None:
    """An upstream with fewer requests than slots was not full and gets no cap."""
    backpressure = Backpressure()
    cap_requests(backpressure, estimated, 6, 3.0, 10.0)
    assert backpressure.max_requests == pytest.approx(cap)


def test_cap_falls_with_each_backoff_and_expires() -> None:
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
