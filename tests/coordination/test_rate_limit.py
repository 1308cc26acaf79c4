"""Limits that upstreams name: which of two answers counts."""

from __future__ import annotations

from ledgeladder.coordination.rate_limit import RateLimit, end_rate, name_rate


def test_newest_figure_counts() -> None:
    limit = RateLimit(rate=2.0, named_at=1.0)
    assert not name_rate(limit, 2.0, 2.0)
    assert name_rate(limit, 3.5, 3.0)
    assert (limit.rate, limit.named_at) == (3.5, 3.0)


def test_limit_ends_with_an_answer_to_a_request_that_was_sent_after_it_was_named() -> None:
    limit = RateLimit(rate=2.0, named_at=5.0)
    assert not end_rate(limit, sent_at=4.0, now=6.0)
    assert limit.is_named
    assert end_rate(limit, sent_at=5.5, now=6.0)
    assert not limit.is_named
    assert not end_rate(limit, sent_at=5.7, now=6.1)


def test_limit_that_ended_is_named_again() -> None:
    limit = RateLimit(rate=2.0, named_at=5.0, ended_at=6.0)
    assert name_rate(limit, 2.0, 7.0)
    assert limit.is_named
