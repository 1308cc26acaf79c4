"""Rate limits that upstreams advertise: which of several observations is in force."""

from __future__ import annotations

from ledgeladder.coordination.rate_limit import (
    LIMIT_TTL_SECONDS,
    RECOVERY_DOUBLING_SECONDS,
    RECOVERY_SECONDS,
    RateLimit,
    effective_rate,
    is_expired,
    mean_interval,
    merge_reported,
    record_no_rate,
    record_rate,
    to_reported,
)


def test_newest_rate_is_in_force() -> None:
    limit = RateLimit(rate=2.0, advertised_at=1.0)
    assert not record_rate(limit, 2.0, 2.0)
    assert record_rate(limit, 3.5, 3.0)
    assert (limit.rate, limit.advertised_at) == (3.5, 3.0)


def test_limit_is_withdrawn_by_an_answer_to_a_request_sent_after_it_was_advertised() -> None:
    limit = RateLimit(rate=2.0, advertised_at=5.0)
    assert not record_no_rate(limit, sent_at=4.0, now=6.0)
    assert limit.is_advertised
    assert record_no_rate(limit, sent_at=5.5, now=6.0)
    assert not limit.is_advertised
    assert not record_no_rate(limit, sent_at=5.7, now=6.1)


def test_withdrawn_limit_is_advertised_again() -> None:
    limit = RateLimit(rate=2.0, advertised_at=5.0, withdrawn_at=6.0)
    assert record_rate(limit, 2.0, 7.0)
    assert limit.is_advertised


def test_limit_expires_after_its_ttl_and_the_rate_recovers_in_steps() -> None:
    limit = RateLimit(rate=2.0, advertised_at=0.0)
    assert effective_rate(limit, LIMIT_TTL_SECONDS - 0.1) == 2.0
    assert 2.0 < effective_rate(limit, LIMIT_TTL_SECONDS + 1.0) < 100.0
    limit.advertised_at, limit.withdrawn_at = 40.0, 41.0
    assert effective_rate(limit, 41.0) == 2.0
    assert effective_rate(limit, 41.0 + RECOVERY_DOUBLING_SECONDS) == 4.0
    assert not is_expired(limit, 41.0 + RECOVERY_SECONDS - 0.1)
    assert is_expired(limit, 41.0 + RECOVERY_SECONDS)


def test_time_to_the_next_request_is_bounded_at_a_rate_of_zero() -> None:
    limit = RateLimit(rate=0.0, advertised_at=0.0)
    assert mean_interval(limit, 4.0) == LIMIT_TTL_SECONDS - 4.0 + 1.0
    limit.rate = 0.5
    assert mean_interval(limit, 4.0) == 2.0
    assert mean_interval(limit, LIMIT_TTL_SECONDS + RECOVERY_SECONDS) == 0.0


def test_newer_report_replaces_the_limit_whatever_the_clock_of_its_sender() -> None:
    here = RateLimit(rate=2.0, advertised_at=100.0)
    older = RateLimit(rate=3.0, advertised_at=7.0)
    assert not merge_reported(here, to_reported(older, 10.0), 102.0)
    newer = RateLimit(rate=3.0, advertised_at=9.0)
    assert merge_reported(here, to_reported(newer, 10.0), 102.0)
    assert (here.rate, here.advertised_at) == (3.0, 101.0)
    withdrawn = RateLimit(rate=3.0, advertised_at=9.0, withdrawn_at=9.5)
    assert merge_reported(here, to_reported(withdrawn, 10.0), 102.0)
    assert not here.is_advertised
    assert not merge_reported(here, to_reported(withdrawn, 10.0), 102.0)


def test_newer_report_of_the_same_rate_is_not_a_change() -> None:
    here = RateLimit(rate=2.0, advertised_at=100.0)
    assert not merge_reported(
        here, to_reported(RateLimit(rate=2.0, advertised_at=9.9), 10.0), 102.0
    )
    assert here.advertised_at == 101.9
