"""Back-off and rates in header fields of answers."""

from __future__ import annotations

import math

import pytest

from ledgeladder.http1.backpressure import MAX_BACKOFF_SECONDS, read_rate, read_retry_after

DATE = (b"date", b"Sun, 06 Nov 1994 08:49:37 GMT")


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"3", 3.0),
        (b" 2.5 ", 2.5),
        (b"0", 0.0),
        (b"0.004", 0.004),
        (b"1e12", MAX_BACKOFF_SECONDS),
        (b"inf", MAX_BACKOFF_SECONDS),
        (b"-1", None),
        (b"nan", None),
        (b"", None),
        (b"soon", None),
        (b"3 s", None),
        (b"\xff\x00", None),
        (b"Sun, 06 Nov 1994 08:49:41 GMT", 4.0),
        (b"Sun, 06 Nov 1994 08:49:31 GMT", None),
        (b"Sun, 06 Nov 1994 08:49:41", None),
        (b"Sun, 99 Nov 1994 08:49:41 GMT", None),
    ],
)
def test_retry_after_is_parsed_or_ignored_if_invalid(value: bytes, seconds: float | None) -> None:
    assert read_retry_after([DATE, (b"retry-after", value)]) == seconds


def test_answer_without_retry_after_requests_no_backoff() -> None:
    assert read_retry_after([DATE, (b"x-retry-after", b"3")]) is None


def test_retry_after_date_is_ignored_without_a_date_field() -> None:
    assert read_retry_after([(b"retry-after", DATE[1])]) is None


def test_longest_of_several_delays_counts() -> None:
    fields = [(b"retry-after", b"1"), (b"retry-after", b"4"), (b"retry-after", b"x")]
    assert read_retry_after(fields) == 4.0


NAME = b"limit"


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        (["2"], 2.0),
        (["2.25"], 2.25),
        ([" 0 "], 0.0),
        (["1e9"], 1e9),
        (["inf"], math.inf),
        (["3", "1.5"], 1.5),
        (["many", "1.5"], 1.5),
        (["-2"], None),
        (["nan"], None),
        (["many"], None),
        ([""], None),
    ],
)
def test_lowest_valid_rate_counts(values: list[str], rate: float | None) -> None:
    advertised = read_rate(NAME, [(b"other", b"7"), *((NAME, value.encode()) for value in values)])
    assert advertised is not None
    assert advertised.rate == rate


def test_answer_without_a_rate_field_has_no_rate() -> None:
    assert read_rate(NAME, [(b"other", b"7")]) is None
