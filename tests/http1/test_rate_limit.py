"""Rates that header fields name."""

from __future__ import annotations

import math

import pytest

from ledgeladder.http1 import read_rate

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
def test_lowest_figure_that_can_be_read_counts(values: list[str], rate: float | None) -> None:
    named = read_rate(NAME, [(b"other", b"7"), *((NAME, value.encode()) for value in values)])
    assert named is not None
    assert named.rate == rate


def test_answer_without_the_field_names_nothing() -> None:
    assert read_rate(NAME, [(b"other", b"7")]) is None
