"""Compact encoding of figures about all upstreams.

Hundreds of boxes receive ages and loads of hundreds of upstreams several times a second, so the
size of a message must not depend on the length of names.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import pytest

from ledgeladder.coordination.upstream_order import (
    MAX_COUNT,
    NO_LOAD,
    IndexChange,
    LoadFigures,
    UpstreamIndex,
    apply_index_change,
    diff_index,
    pack_ages,
    pack_loads,
    unpack_ages,
    unpack_loads,
)
from ledgeladder.model import ProblemError

UPSTREAMS = 600
"""Number of upstreams of a large deployment."""


def update_index(index: UpstreamIndex, instances: Collection[str]) -> UpstreamIndex:
    """Bring an index up to date as a sender does."""
    change = diff_index(index, instances)
    return index if change is None else apply_index_change(index, change)


INDEX = update_index(UpstreamIndex(), [f"i-{number:08x}" for number in range(UPSTREAMS)])


def test_index_changes_with_the_upstreams_only() -> None:
    assert update_index(INDEX, list(reversed(INDEX.instances))) is INDEX
    fewer = update_index(INDEX, INDEX.instances[1:])
    assert fewer.number == INDEX.number + 1
    exchanged = update_index(fewer, [*fewer.instances[1:], "i-new"])
    assert exchanged.number == fewer.number + 1
    assert "i-new" in exchanged.instances


def test_ages_keep_their_precision_and_have_a_bound() -> None:
    sent = {INDEX.instances[0]: 0.013, INDEX.instances[1]: 12.345, INDEX.instances[2]: 1e6}
    ages = dict(unpack_ages(INDEX, INDEX.number, pack_ages(INDEX, sent)))
    assert ages[INDEX.instances[0]] == pytest.approx(0.01)
    assert ages[INDEX.instances[1]] == pytest.approx(12.34, abs=0.006)
    assert ages[INDEX.instances[2]] == ages[INDEX.instances[3]] > 600.0


def test_loads_round_trip_and_missing_ones_are_zero() -> None:
    sent = {
        INDEX.instances[5]: LoadFigures(3, 2400.0),
        INDEX.instances[6]: LoadFigures(MAX_COUNT + 9, 0.0),
        "i-unknown": LoadFigures(1, 1.0),
    }
    loads = dict(unpack_loads(INDEX, INDEX.number, pack_loads(INDEX, sent)))
    assert loads[INDEX.instances[5]] == LoadFigures(3, 2400.0)
    assert loads[INDEX.instances[6]] == LoadFigures(MAX_COUNT, 0.0)
    assert loads[INDEX.instances[7]] == NO_LOAD
    assert len(loads) == UPSTREAMS


def test_figures_of_another_index_are_refused() -> None:
    """The link is then closed, and opened again with the whole index first."""
    fewer = update_index(INDEX, INDEX.instances[1:])
    for number in (INDEX.number, fewer.number):
        with pytest.raises(ProblemError, match="FRAME_INVALID"):
            list(unpack_ages(fewer, number, pack_ages(INDEX, {})))
        with pytest.raises(ProblemError, match="FRAME_INVALID"):
            list(unpack_loads(fewer, number, pack_loads(INDEX, {})))


def test_message_sizes_at_a_large_deployment() -> None:
    assert len(pack_ages(INDEX, {})) == 2 * UPSTREAMS
    assert len(pack_loads(INDEX, {})) == 4 * UPSTREAMS


def test_kv_cache_is_encoded_to_a_thousandth_and_has_a_bound() -> None:
    first, second = INDEX.instances[:2]
    sent = {first: LoadFigures(1, 3_456_789.0), second: LoadFigures(1, 1e12)}
    loads = dict(unpack_loads(INDEX, INDEX.number, pack_loads(INDEX, sent)))
    assert loads[first].kv_reserved == pytest.approx(3_456_789.0, rel=1e-3)
    assert loads[second].kv_reserved > 6e7


def test_changes_reproduce_the_index_of_the_sender() -> None:
    """Receivers must hold the sender's index while upstreams register and are replaced."""
    rng = random.Random(11)
    sender = receiver = UpstreamIndex()
    known: set[str] = set()
    for step in range(200):
        known |= {f"i-{step}-{number}" for number in range(rng.randrange(30))}
        known -= set(rng.sample(sorted(known), min(len(known), rng.randrange(25))))
        change = diff_index(sender, known)
        if change is None:
            continue
        sender = apply_index_change(sender, change)
        receiver = apply_index_change(receiver, change)
        assert receiver == sender
        assert set(sender.instances) == known
        assert len(sender.instances) == len(known)


@pytest.mark.parametrize(
    "change",
    [
        IndexChange(number=INDEX.number),
        IndexChange(number=INDEX.number + 2),
        IndexChange(number=INDEX.number + 1, removed=(UPSTREAMS,)),
        IndexChange(number=INDEX.number + 1, removed=(-1,)),
    ],
)
def test_changes_that_do_not_apply_are_refused(change: IndexChange) -> None:
    """A change that is lost, duplicated or of another sender closes the link."""
    with pytest.raises(ProblemError, match="FRAME_INVALID"):
        apply_index_change(INDEX, change)
