"""Parts of prompts that crash upstreams are told from those that they stand beside."""

from __future__ import annotations

import pytest

from ledgeladder.coordination.crash_book import CRASH_LIMIT, MAX_SINGLE_CRASHES, MAX_SUSPECTS
from ledgeladder.coordination.part_crashes import (
    MAX_CONTENTS,
    MAX_INSTANCES,
    MOMENT_SECONDS,
    SETTLE_SECONDS,
    SOUND_CRASH_LIMIT,
    SOUND_SETTLE_SECONDS,
    PartCrashTable,
    blame_parts,
    clear_part,
    part_crash_count,
    record_part_crash,
)

GAP = 2 * MOMENT_SECONDS
"""Time between two crashes that count separately."""


def crash(
    table: PartCrashTable,
    *parts: bytes,
    number: int,
    at: float | None = None,
    content: bytes | None = None,
    answered_lately: bool = False,
) -> None:
    for part in parts:
        record_part_crash(
            table,
            part,
            f"i-{number}",
            content if content is not None else b"%d" % number,
            number * GAP if at is None else at,
            answered_lately=answered_lately,
        )


def test_part_is_blamed_after_several_crashes_and_not_before_they_settle() -> None:
    table = PartCrashTable()
    for number in range(CRASH_LIMIT - 1):
        crash(table, b"bad", number=number)
    assert blame_parts(table, 100.0) == []
    last = CRASH_LIMIT - 1
    crash(table, b"bad", number=last)
    assert blame_parts(table, last * GAP + SETTLE_SECONDS * 0.9) == []
    assert blame_parts(table, last * GAP + SETTLE_SECONDS) == [b"bad"]


def test_answer_clears_a_part_although_it_was_in_every_crash() -> None:
    table = PartCrashTable()
    for number in range(CRASH_LIMIT):
        crash(table, b"shared", b"bad", number=number)
    assert clear_part(table, b"shared")
    assert blame_parts(table, 100.0) == [b"bad"]
    assert part_crash_count(table, b"shared") == 0
    assert not clear_part(table, b"shared")


def test_crashes_at_one_moment_count_once() -> None:
    """A rack that fails takes many engines, with requests that share their first part."""
    table = PartCrashTable()
    for number in range(10):
        crash(table, b"shared", number=number, at=1.0 + number * MOMENT_SECONDS / 20)
    assert blame_parts(table, 100.0) == []


def test_part_of_one_request_alone_is_not_blamed() -> None:
    """The request is watched as a whole; its part may be sound."""
    table = PartCrashTable()
    for number in range(CRASH_LIMIT + 2):
        crash(table, b"own", number=number, content=b"same")
    assert blame_parts(table, 100.0) == []


def test_part_that_was_answered_lately_needs_more_crashes() -> None:
    table = PartCrashTable()
    for number in range(SOUND_CRASH_LIMIT - 1):
        crash(table, b"was-sound", number=number, answered_lately=True)
    assert blame_parts(table, 100.0) == []
    last = SOUND_CRASH_LIMIT - 1
    crash(table, b"was-sound", number=last)
    assert blame_parts(table, last * GAP + SOUND_SETTLE_SECONDS * 0.9) == []
    assert blame_parts(table, last * GAP + SOUND_SETTLE_SECONDS) == [b"was-sound"]


def test_crashes_that_a_part_explains_count_for_no_other() -> None:
    """All requests share their first part, which no answer has cleared yet."""
    table = PartCrashTable()
    for number in range(SOUND_CRASH_LIMIT):
        crash(table, b"shared", number=number, answered_lately=True)
        crash(table, b"bad", number=number)
    assert blame_parts(table, 100.0) == [b"bad"]
    assert part_crash_count(table, b"shared") == 0


@pytest.mark.parametrize("shared_extra", [0, 2])
def test_of_parts_answered_lately_the_one_of_fewest_requests_is_blamed(shared_extra: int) -> None:
    """What all requests share is in every crash, and in some that the part did not cause."""
    table = PartCrashTable()
    for number in range(SOUND_CRASH_LIMIT):
        crash(table, b"shared", b"turned-bad", number=number, answered_lately=True)
        for other in range(3):
            content = b"sound-%d-%d" % (number, other)
            crash(table, b"shared", number=number, content=content, answered_lately=True)
    for number in range(shared_extra):
        crash(table, b"shared", number=SOUND_CRASH_LIMIT + number, answered_lately=True)
    assert blame_parts(table, 100.0) == [b"turned-bad"]


def test_two_parts_with_crashes_of_their_own_are_both_blamed() -> None:
    table = PartCrashTable()
    for number in range(CRASH_LIMIT):
        crash(table, b"shared", b"bad-1", number=2 * number)
        crash(table, b"shared", b"bad-2", number=2 * number + 1)
    clear_part(table, b"shared")
    assert sorted(blame_parts(table, 100.0)) == [b"bad-1", b"bad-2"]


def test_unconfirmed_crashes_blame_nothing() -> None:
    """A box behind a partition that refuses connections considers every upstream crashed."""
    table = PartCrashTable()
    for number in range(CRASH_LIMIT):
        crash(table, b"bad", number=number)
    confirmed = {f"i-{number}" for number in range(CRASH_LIMIT - 1)}
    assert blame_parts(table, 100.0, confirmed.__contains__) == []
    assert blame_parts(table, 100.0, lambda _instance: True) == [b"bad"]


def test_made_up_parts_displace_none_with_several_crashes() -> None:
    table = PartCrashTable()
    crash(table, b"bad", number=0)
    crash(table, b"bad", number=1)
    for number in range(3 * MAX_SINGLE_CRASHES):
        crash(table, b"made-up-%d" % number, number=2, at=1.0)
    assert len(table.single_crashes) == MAX_SINGLE_CRASHES
    crash(table, b"bad", number=3)
    assert blame_parts(table, 100.0) == [b"bad"]


def test_what_is_kept_is_bounded() -> None:
    table = PartCrashTable()
    for number in range(100):
        crash(table, b"bad", number=number)
    (crashes,) = table.suspects.values()
    assert (len(crashes.instances), len(crashes.contents)) == (MAX_INSTANCES, MAX_CONTENTS)
    for part in range(2 * MAX_SUSPECTS):
        for number in range(2):
            crash(table, b"part-%d" % part, number=number)
    assert len(table.suspects) == MAX_SUSPECTS
