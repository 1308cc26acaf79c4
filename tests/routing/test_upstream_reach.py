"""Verdicts on this box's own reach, and the boxes that relay for it."""

from __future__ import annotations

import random

from ledgeladder.model.registration import Registration
from ledgeladder.routing.forwarding_table import ForwardedUpstream
from ledgeladder.routing.upstream_reach import (
    MAX_RELAY_PEERS,
    PEER_VALID_SECONDS,
    RECOVERY_ROUNDS,
    SAMPLE_SIZE,
    UNKNOWN_VALID_SECONDS,
    RelayPeers,
    UpstreamReach,
    avoid_relay_peer,
    choose_relay_peers,
    is_proved_since,
    may_report_losses,
    record_cut,
    record_opened,
    record_relay_peers,
    record_round,
    record_unknown,
    sample_upstreams,
)


def upstream(number: int, domain: str, pool: str = "p") -> ForwardedUpstream:
    registration = Registration(
        instance=f"i-{number}",
        sequence=1,
        pool=pool,
        address=f"10.0.0.{number}:1",
        failure_domain=domain,
    )
    return ForwardedUpstream(registration=registration, last_seen_at=0.0)


def test_success_before_the_failed_attempt_proves_nothing() -> None:
    """A box that was cut off a moment ago has opened connections a moment ago."""
    reach = UpstreamReach()
    record_opened(reach, started_at=1.0, now=5.0)
    assert not is_proved_since(reach, 2.0)
    record_opened(reach, started_at=2.0, now=2.1)
    assert is_proved_since(reach, 2.0)


def test_cut_ends_only_after_consecutive_rounds_that_all_upstreams_accept() -> None:
    reach = UpstreamReach()
    assert record_cut(reach, 1.0)
    assert not record_cut(reach, 2.0)
    assert reach.cut_since == 1.0
    for accepted in (3, 2, 3, 0):
        assert not record_round(reach, accepted=accepted, sampled=3)
    assert not record_round(reach, accepted=0, sampled=0)
    rounds = [record_round(reach, accepted=3, sampled=3) for _ in range(RECOVERY_ROUNDS)]
    assert rounds == [False] * (RECOVERY_ROUNDS - 1) + [True]
    assert not reach.is_cut


def test_box_without_proof_of_its_own_reach_reports_no_losses() -> None:
    reach = UpstreamReach()
    assert may_report_losses(reach, 1.0)
    record_cut(reach, 1.0)
    assert not may_report_losses(reach, 100.0)
    reach.cut_since = None
    record_unknown(reach, 10.0)
    assert not may_report_losses(reach, 10.0)
    assert may_report_losses(reach, 10.0 + UNKNOWN_VALID_SECONDS)


def test_sample_spreads_over_failure_domains_and_leaves_out_what_failed() -> None:
    upstreams = [upstream(number, "abc"[number % 3]) for number in range(1, 30)]
    for seed in range(50):
        sample = sample_upstreams(upstreams, {"10.0.0.1:1"}, "a", random.Random(seed))
        assert {item.registration.failure_domain for item in sample} == {"a", "b", "c"}
        assert "i-1" not in {item.registration.instance for item in sample}


def test_sample_reaches_other_pools_than_the_one_that_failed() -> None:
    upstreams = [upstream(number, "a") for number in range(1, 30)]
    upstreams += [upstream(40, "a", pool="q")]
    failed = {item.registration.address for item in upstreams[:29]}
    for seed in range(20):
        sample = sample_upstreams(upstreams, failed, "a", random.Random(seed))
        assert [item.registration.pool for item in sample] == ["q"]


def test_sample_has_an_upstream_of_the_own_domain() -> None:
    """Partitioned from the other domains, the box would otherwise seem cut off from all."""
    pools = ["p", "q", "r"]
    upstreams = [upstream(number, "abc"[number % 3], pools[number // 9]) for number in range(27)]
    for seed in range(50):
        sample = sample_upstreams(upstreams, set(), "b", random.Random(seed))
        assert sample[0].registration.failure_domain == "b"
        assert {item.registration.failure_domain for item in sample} > {"b"}


def test_sample_is_filled_from_one_domain_without_repeats() -> None:
    upstreams = [upstream(number, "a") for number in range(1, 9)]
    sample = sample_upstreams(upstreams, set(), "a", random.Random(1))
    assert len({item.registration.instance for item in sample}) == SAMPLE_SIZE
    assert sample_upstreams([], set(), "a", random.Random(1)) == []


def test_relay_peers_are_bounded_and_never_this_box() -> None:
    peers = RelayPeers()
    record_relay_peers(peers, [f"10.0.0.{number}" for number in range(200)], "10.0.0.150", 0.0)
    assert len(peers.known) == MAX_RELAY_PEERS
    assert "10.0.0.150" not in peers.known
    assert "10.0.0.199" in peers.known


def test_relay_peers_that_are_named_again_outlive_those_that_are_not() -> None:
    peers = RelayPeers()
    for number in range(MAX_RELAY_PEERS * 3):
        record_relay_peers(peers, [f"10.0.1.{number}", "10.0.0.1"], "10.9.9.9", 0.0)
    assert "10.0.0.1" in peers.known


def test_avoided_relay_peers_are_not_asked_until_their_time_is_over() -> None:
    peers = RelayPeers()
    record_relay_peers(peers, ["10.0.0.1", "10.0.0.2"], "10.9.9.9", 0.0)
    avoid_relay_peer(peers, "10.0.0.1", 1.0, now=5.0)
    assert choose_relay_peers(peers, 6, 5.5, random.Random(1)) == ["10.0.0.2"]
    assert sorted(choose_relay_peers(peers, 6, 6.0, random.Random(1))) == ["10.0.0.1", "10.0.0.2"]


def test_relay_peers_that_are_named_no_more_are_not_asked() -> None:
    peers = RelayPeers()
    record_relay_peers(peers, ["10.0.0.1", "10.0.0.2"], "10.9.9.9", 0.0)
    record_relay_peers(peers, ["10.0.0.2"], "10.9.9.9", 1.0)
    assert choose_relay_peers(peers, 6, PEER_VALID_SECONDS, random.Random(1)) == ["10.0.0.2"]
