"""The account of bytes, over seeded orders of events."""

from __future__ import annotations

import random

import pytest

from ledgeladder.http1.byte_account import (
    ByteAccount,
    Holder,
    close_holder,
    give_back,
    open_holder,
    take,
)

LIMIT = 1_000_000
SEEDS = range(40)


def can_take(account: ByteAccount, count: int) -> bool:
    """Return True if a new holder could take this many bytes, perhaps in place of larger ones.

    It follows from the rules by itself, as what `take` does is compared with it.
    """
    is_small = count <= account.small_bytes
    part = account.limit_bytes - (0 if is_small else account.reserved_bytes)
    missing = account.taken_bytes + count - part
    if missing <= 0:
        return True
    others = (item.bytes for item in account.holders.values() if not item.pinned)
    floor = 0 if is_small else count + 1
    return sum(held for held in others if held >= floor) >= missing


class Bed:
    """An account and the holders that callers still believe to be open."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.account = ByteAccount(limit_bytes=LIMIT)
        self.open: dict[int, Holder] = {}
        self.evictions: list[int] = []
        self.now = 0.0

    def add(self, kind: str = "request") -> Holder:
        def evict() -> None:
            self.evictions.append(holder.key)
            self.open.pop(holder.key, None)
            # A connection that is closed closes its holder once more.
            close_holder(self.account, holder)

        holder = open_holder(self.account, kind, self.now, evict)
        self.open[holder.key] = holder
        return holder

    def step(self) -> None:
        self.now += self.rng.choice((0.0, 0.001, 0.5, 3.0))
        event = self.rng.random()
        if not self.open or event < 0.3:
            self.add(self.rng.choice(("request", "answer", "relay")))
            return
        holder = self.rng.choice(list(self.open.values()))
        if event < 0.75:
            count = self.rng.choice((1, 500, 8_000, 65_536, 300_000, 2 * LIMIT))
            if not take(self.account, holder, count, self.now) and self.rng.random() < 0.5:
                self.close(holder)
        elif event < 0.9:
            give_back(self.account, holder, self.rng.randrange(100_000))
        else:
            self.close(holder)

    def close(self, holder: Holder) -> None:
        self.open.pop(holder.key, None)
        close_holder(self.account, holder)

    def check(self) -> None:
        account = self.account
        assert 0 <= account.taken_bytes <= account.limit_bytes
        assert account.taken_bytes == sum(item.bytes for item in account.holders.values())
        assert all(item.bytes >= 0 for item in account.holders.values())
        assert set(account.holders) == set(self.open)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_sum_never_exceeds_the_limit_and_everything_is_given_back(seed: int) -> None:
    """Guards against a crowd whose bodies together use up the memory of the machine."""
    bed = Bed(seed)
    for _ in range(600):
        bed.step()
        bed.check()
    for holder in list(bed.open.values()):
        bed.close(holder)
    assert bed.account.taken_bytes == 0
    assert not bed.account.holders


@pytest.mark.parametrize("seed", SEEDS)
def test_no_holder_is_evicted_twice(seed: int) -> None:
    """Guards against closing a connection for bytes that it no longer has."""
    bed = Bed(seed)
    for _ in range(600):
        bed.step()
    assert len(bed.evictions) == len(set(bed.evictions)) == bed.account.evicted


@pytest.mark.parametrize("seed", SEEDS)
def test_ordinary_request_always_finds_room(seed: int) -> None:
    """Guards against a crowd that leaves no room for ordinary callers."""
    bed = Bed(seed)
    for _ in range(300):
        bed.step()
        count = bed.rng.randrange(1, bed.account.small_bytes + 1)
        assert can_take(bed.account, count)
        holder = bed.add()
        assert take(bed.account, holder, count, bed.now)
        if bed.rng.random() < 0.5:
            bed.close(holder)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_holder_goes_for_one_that_would_have_more(seed: int) -> None:
    """Guards against large bodies that push out smaller ones."""
    bed = Bed(seed)
    for _ in range(600):
        before = {key: item.bytes for key, item in bed.account.holders.items()}
        evicted = len(bed.evictions)
        bed.step()
        gained = max(
            (
                item.bytes
                for key, item in bed.account.holders.items()
                if item.bytes != before.get(key, 0)
            ),
            default=0,
        )
        for key in bed.evictions[evicted:]:
            assert gained <= max(before[key], bed.account.small_bytes)


def test_holder_that_has_most_and_moves_least_goes_first() -> None:
    """Guards against an eviction of those that are about to finish."""
    bed = Bed(0)
    moving, still, little = bed.add(), bed.add(), bed.add()
    assert take(bed.account, still, 400_000, 0.0)
    assert take(bed.account, little, 50_000, 0.0)
    assert take(bed.account, moving, 400_000, 9.0)
    bed.now = 10.0
    assert take(bed.account, bed.add(), 200_000, bed.now)
    assert bed.evictions == [still.key]


def test_none_goes_in_vain() -> None:
    """Guards against evictions that still leave no room."""
    bed = Bed(0)
    held = bed.add()
    assert take(bed.account, held, 300_000, 0.0)
    assert not can_take(bed.account, 2 * LIMIT)
    assert not take(bed.account, bed.add(), 2 * LIMIT, 100.0)
    assert not bed.evictions


def test_equal_ones_do_not_push_each_other_out_while_they_move() -> None:
    """Guards against full-size requests that all fail where some could be served."""
    bed = Bed(0)
    first, second = bed.add(), bed.add()
    assert take(bed.account, first, 400_000, 0.0)
    assert take(bed.account, second, 400_000, 0.0)
    third = bed.add()
    assert not take(bed.account, third, 400_000, 0.1)
    assert take(bed.account, third, 400_000, 60.0)
    assert len(bed.evictions) == 1


def test_evicted_holder_takes_no_more() -> None:
    """Guards against bytes that nobody gives back."""
    bed = Bed(0)
    large = bed.add()
    assert take(bed.account, large, 870_000, 0.0)
    assert take(bed.account, bed.add(), 60_000, 1.0)
    assert take(bed.account, bed.add(), 62_000, 1.0)
    assert take(bed.account, bed.add(), 62_000, 1.0)
    assert bed.evictions == [large.key]
    assert not take(bed.account, large, 1, 1.0)
    give_back(bed.account, large, 870_000)
    assert bed.account.taken_bytes == 184_000


def test_pinned_holder_never_makes_way() -> None:
    """Guards against closing the connection of a request that may already run."""
    bed = Bed(0)
    running = bed.add()
    assert take(bed.account, running, 870_000, 0.0)
    running.pinned = True
    late = bed.add()
    assert not can_take(bed.account, 300_000)
    assert not take(bed.account, late, 300_000, 100.0)
    assert take(bed.account, late, 60_000, 100.0)
    assert not bed.evictions
