"""Routes, retry budgets, suspected failure domains and events of forwarded traffic."""

from __future__ import annotations

import random

import pytest

from ledgeladder.daemons.gateway.probing import LIVENESS_SECONDS
from ledgeladder.model.registration import Registration, UpstreamState
from ledgeladder.model.traffic import (
    CallerLimits,
    PoolWeight,
    RequestKind,
    RouteRule,
    TrafficConfiguration,
)
from ledgeladder.routing.event_stream import EventBuffer, EventOrder, accept_event, accept_events
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    SuspectedDomains,
    counts_as_alive,
    has_alternative,
    is_suspected,
    is_usable,
    record_domain_failure,
    record_event,
    record_failure,
    record_loss,
    record_success,
)
from ledgeladder.routing.repeat_window import RetryWindow, acquire_local_retry, record_first_attempt
from ledgeladder.routing.route_index import build_index, choose_pool, find_route


def rule(prefix: str, *pools: tuple[str, float]) -> RouteRule:
    return RouteRule(
        name=prefix,
        host="h",
        path_prefix=prefix,
        kind=RequestKind.REPEATABLE,
        resumable=False,
        timeout=1.0,
        target_latency=0.5,
        gap_target=0.0,
        priority=1,
        pools=tuple(PoolWeight(pool=name, weight=weight) for name, weight in pools),
        max_attempts=2,
        public=False,
    )


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/x", "/a/"),
        ("/a/b/x", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a", None),
        ("/c/x", None),
        ("/a/b/c/d/e", "/a/b/"),
    ],
)
def test_longest_prefix_wins(path: str, expected: str | None) -> None:
    configuration = TrafficConfiguration(
        version=1,
        routes=(rule("/a/", ("p", 1)), rule("/a/b/", ("p", 1))),
        pools={},
        limits=CallerLimits(),
        accounts=(),
    )
    index = build_index(configuration)
    route = find_route(index, "h", path)
    assert (route.path_prefix if route else None) == expected
    assert find_route(index, "other", path) is None


def test_weights_are_kept_and_zero_gets_nothing() -> None:
    route = rule("/a/", ("p", 90), ("q", 10), ("none", 0))
    rng = random.Random(1)
    drawn = [choose_pool(route, rng) for _ in range(5000)]
    assert 0.87 < drawn.count("p") / 5000 < 0.93
    assert "none" not in drawn


def test_retries_of_all_boxes_stay_within_the_shared_budget() -> None:
    entries = 8
    windows = [RetryWindow(ratio=0.2, reserve=200.0, seconds=10.0) for _ in range(entries)]
    rng = random.Random(2)
    retries_sent: list[float] = []
    first_attempts: list[float] = []
    for step in range(20_000):
        now = step * 0.002
        window = rng.choice(windows)
        if rng.random() < 0.1:
            record_first_attempt(window, now)
            first_attempts.append(now)
        if acquire_local_retry(window, now, entries):
            retries_sent.append(now)
    for end in range(10, 40):
        retries = sum(end - 10 < at <= end for at in retries_sent)
        requests = sum(end - 10 < at <= end for at in first_attempts)
        assert retries <= 0.2 * requests + 200


def test_concurrent_failures_count_once_and_avoidance_expires() -> None:
    upstream = ForwardedUpstream(
        registration=Registration(instance="i", sequence=1), last_seen_at=0.0
    )
    for _ in range(20):
        record_failure(upstream, 1.0)
    assert upstream.failures == 1
    assert not is_usable(upstream, 1.5)
    assert is_usable(upstream, 2.1)
    record_failure(upstream, 2.1)
    assert not is_usable(upstream, 4.0)
    record_success(upstream)
    assert is_usable(upstream, 4.0)


def test_suspicion_needs_two_upstreams_and_expires() -> None:
    suspected = SuspectedDomains()

    def upstream(name: str) -> ForwardedUpstream:
        registration = Registration(instance=name, sequence=1, failure_domain="b")
        return ForwardedUpstream(registration=registration, last_seen_at=0.0)

    record_domain_failure(suspected, upstream("one"), 1.0)
    record_domain_failure(suspected, upstream("one"), 1.1)
    assert not is_suspected(suspected, "b", 1.2)
    record_domain_failure(suspected, upstream("two"), 1.2)
    assert is_suspected(suspected, "b", 1.3)
    assert not is_suspected(suspected, "a", 1.3)
    assert not is_suspected(suspected, "b", 2.5)


def test_partial_event_is_never_forwarded() -> None:
    whole = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(30))
    for seed in range(50):
        rng = random.Random(seed)
        cuts = sorted(rng.sample(range(len(whole)), 12))
        end = cuts[-1]
        buffer, order, forwarded = EventBuffer(), EventOrder(last_id=None), b""
        for start, stop in zip([0, *cuts], cuts, strict=False):
            for event in buffer.feed(whole[start:stop]):
                assert accept_event(order, event)
                forwarded += event.data
        assert whole.startswith(forwarded)
        assert forwarded.endswith(b"\n\n") or not forwarded
        assert len(forwarded) <= end
        # Another attempt continues after the last event, retries some and loses none.
        resumed = EventBuffer()
        for event in resumed.feed(whole):
            if accept_event(order, event):
                forwarded += event.data
        assert forwarded == whole


def test_missing_event_ends_an_attempt() -> None:
    order = EventOrder(last_id=3)
    [skipping] = EventBuffer().feed(b"id: 5\n\n")
    assert accept_event(order, skipping) is None
    assert order.last_id == 3


def test_draining_avoided_tried_or_older_upstream_is_no_alternative() -> None:
    """A request must not leave its only usable upstream and fail."""

    def upstream(name: str, address: str, *, draining: bool = False) -> ForwardedUpstream:
        state = UpstreamState.DRAINING if draining else UpstreamState.READY
        registration = Registration(instance=name, sequence=1, address=address, state=state)
        return ForwardedUpstream(registration=registration, last_seen_at=0.0)

    own, older = upstream("own", "a:1"), upstream("older", "a:1")
    draining, avoided = upstream("draining", "b:1", draining=True), upstream("avoided", "c:1")
    tried, good = upstream("tried", "d:1"), upstream("good", "e:1")
    record_failure(avoided, 1.0)
    pool = [own, older, draining, avoided, tried]
    assert not has_alternative(pool, own, {"own", "tried"}, 1.5)
    assert has_alternative([*pool, good], own, {"own", "tried"}, 1.5)
    assert has_alternative(pool, own, {"own", "tried"}, 2.5)


def test_events_before_a_gap_in_the_same_chunk_are_forwarded() -> None:
    """Guards against events that count as forwarded but are dropped."""
    order = EventOrder(last_id=4)
    events = EventBuffer().feed(b"id: 5\ndata: a\n\nid: 7\ndata: c\n\n")
    accepted, fault = accept_events(order, events)
    assert accepted == [b"id: 5\ndata: a\n\n"]
    assert order.last_id == 5
    assert fault == "event 7 after 5"


def test_lost_upstream_gets_no_requests_until_it_is_seen_again() -> None:
    """Its registration outlives it; each request retries_sent to it meanwhile would be refused."""
    upstream = ForwardedUpstream(
        registration=Registration(instance="i-1", sequence=1), last_seen_at=9.5
    )
    record_loss(upstream, 10.0)
    assert not is_usable(upstream, 60.0)
    upstream.last_seen_at = 10.02
    assert not is_usable(upstream, 60.0)
    upstream.last_seen_at = 11.2
    assert is_usable(upstream, 11.3)


def test_lost_upstream_that_serves_a_request_is_used_again() -> None:
    upstream = ForwardedUpstream(
        registration=Registration(instance="i-1", sequence=1), last_seen_at=9.5
    )
    record_loss(upstream, 10.0)
    record_success(upstream)
    assert is_usable(upstream, 10.1)


def test_probes_do_not_fill_the_accept_queue_of_a_silent_engine() -> None:
    """Failure: probes of all boxes fill the queue, further ones time out, and all streams on an
    engine that is only suspended are taken for lost."""
    boxes, accept_queue, silence_seconds = 8, 100, 3.0
    engine = ForwardedUpstream(
        registration=Registration(instance="i-1", sequence=1, address="a:1"), last_seen_at=0.0
    )
    record_event(engine, 0.0)
    probes = 0
    for now in (step / 1000 for step in range(int(silence_seconds * 1000))):
        if not counts_as_alive(engine, now, LIVENESS_SECONDS):
            engine.last_success_at = now
            probes += 1
    assert probes > 0
    assert probes * boxes < accept_queue
    record_event(engine, silence_seconds)
    assert not counts_as_alive(engine, silence_seconds + 2 * LIVENESS_SECONDS, LIVENESS_SECONDS)
