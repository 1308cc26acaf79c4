"""Figures of all upstreams, told in a few bytes each.

The pattern: hundreds of boxes are told the age and the load of hundreds of upstreams, several times
a second. What is told must grow with the upstreams by bytes, not by names.
"""

from __future__ import annotations

import pytest

from ledgeladder.coordination.upstream_order import (
    COUNT_LIMIT,
    NO_LOAD,
    LoadFigures,
    UpstreamOrder,
    pack_ages,
    pack_loads,
    renew_order,
    unpack_ages,
    unpack_loads,
)
from ledgeladder.model import ProblemError

UPSTREAMS = 600
"""The upstreams of the size that decides."""

ORDER = renew_order(UpstreamOrder(), [f"i-{number:08x}" for number in range(UPSTREAMS)])


def test_order_changes_with_the_upstreams_only() -> None:
    assert renew_order(ORDER, list(reversed(ORDER.instances))) is ORDER
    fewer = renew_order(ORDER, ORDER.instances[1:])
    assert fewer.number == ORDER.number + 1
    exchanged = renew_order(fewer, [*fewer.instances[1:], "i-new"])
    assert exchanged.number == fewer.number + 1
    assert "i-new" in exchanged.instances


def test_ages_keep_their_precision_and_have_a_bound() -> None:
    told = {ORDER.instances[0]: 0.013, ORDER.instances[1]: 12.345, ORDER.instances[2]: 1e6}
    ages = dict(unpack_ages(ORDER, ORDER.number, pack_ages(ORDER, told)))
    assert ages[ORDER.instances[0]] == pytest.approx(0.01)
    assert ages[ORDER.instances[1]] == pytest.approx(12.34, abs=0.006)
    assert ages[ORDER.instances[2]] == ages[ORDER.instances[3]] > 600.0


def test_loads_come_back_and_those_left_out_carry_nothing() -> None:
    told = {
        ORDER.instances[5]: LoadFigures(3, 2400.0),
        ORDER.instances[6]: LoadFigures(COUNT_LIMIT + 9, 0.0),
        "i-unknown": LoadFigures(1, 1.0),
    }
    loads = dict(unpack_loads(ORDER, ORDER.number, pack_loads(ORDER, told)))
    assert loads[ORDER.instances[5]] == LoadFigures(3, 2400.0)
    assert loads[ORDER.instances[6]] == LoadFigures(COUNT_LIMIT, 0.0)
    assert loads[ORDER.instances[7]] == NO_LOAD
    assert len(loads) == UPSTREAMS


def test_figures_of_another_order_are_refused() -> None:
    """The link that carried them is ended then, and opened anew with the order told first."""
    fewer = renew_order(ORDER, ORDER.instances[1:])
    for number in (ORDER.number, fewer.number):
        with pytest.raises(ProblemError, match="FRAME_INVALID"):
            list(unpack_ages(fewer, number, pack_ages(ORDER, {})))
        with pytest.raises(ProblemError, match="FRAME_INVALID"):
            list(unpack_loads(fewer, number, pack_loads(ORDER, {})))


def test_bytes_at_the_size_that_decides() -> None:
    assert len(pack_ages(ORDER, {})) == 2 * UPSTREAMS
    assert len(pack_loads(ORDER, {})) == 6 * UPSTREAMS
