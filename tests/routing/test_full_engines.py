"""Engines that are full for other boxes are avoided as if they had refused this one."""

from __future__ import annotations

import random

import pytest

from ledgeladder.model.registration import Holding, Registration, UpstreamState
from ledgeladder.routing.forwarding_table import (
    FULL_AVOID_SECONDS,
    INACTIVE_SECONDS,
    ForwardedUpstream,
    is_usable,
    record_failure,
    record_full,
    record_loss,
)
from ledgeladder.routing.full_engines import apply_full_notice

LAYERS = 12


def make_engine(
    name: str,
    *ranges: tuple[int, int],
    address: str = "",
    now: float = 10.0,
    domain: str = "",
) -> ForwardedUpstream:
    registration = Registration(
        instance=name,
        sequence=1,
        pool="p",
        address=address or f"{name}:1",
        failure_domain=domain,
        holdings=tuple(Holding(first=first, end=end) for first, end in ranges),
    )
    return ForwardedUpstream(registration=registration, last_seen_at=now)


def test_noticed_engine_is_avoided_like_one_that_refused() -> None:
    noticed, refused = make_engine("i-1", (0, 6)), make_engine("i-2", (0, 6))
    pool = [noticed, refused, make_engine("i-3", (0, 12))]
    assert apply_full_notice(pool, noticed, 10.0)
    record_full(refused, 10.0)
    assert noticed.avoid_until == refused.avoid_until == 10.0 + FULL_AVOID_SECONDS
    assert not noticed.failures


def test_doubled_or_late_notice_costs_at_most_one_time_of_avoidance_from_its_arrival() -> None:
    full = make_engine("i-1", (0, 6))
    pool = [full, make_engine("i-2", (0, 6))]
    for arrival in (10.0, 10.0, 10.1, 12.0):
        assert apply_full_notice(pool, full, arrival)
        assert full.avoid_until == arrival + FULL_AVOID_SECONDS
    assert is_usable(full, 12.0 + FULL_AVOID_SECONDS)


def test_longer_avoidance_after_a_failure_is_kept() -> None:
    failed = make_engine("i-1", (0, 6))
    record_failure(failed, 10.0)
    until = failed.avoid_until
    assert apply_full_notice([failed, make_engine("i-2", (0, 6))], failed, 10.0)
    assert failed.avoid_until == until > 10.0 + FULL_AVOID_SECONDS


@pytest.mark.parametrize("others", [[], [(0, 5)], [(1, 6)], [(0, 2), (3, 6)]])
def test_only_holder_of_a_layer_stays_in_use(others: list[tuple[int, int]]) -> None:
    full = make_engine("i-1", (0, 6))
    pool = [full, *(make_engine(f"o-{number}", item) for number, item in enumerate(others))]
    assert not apply_full_notice(pool, full, 10.0)
    assert is_usable(full, 10.0)


@pytest.mark.parametrize("reason", ["lost", "full", "draining", "inactive", "older instance"])
def test_holders_that_are_not_usable_do_not_count(reason: str) -> None:
    full, other = make_engine("i-1", (0, 6)), make_engine("i-2", (0, 6))
    if reason == "lost":
        record_loss(other, 10.0)
    elif reason == "full":
        record_full(other, 10.0)
    elif reason == "draining":
        other.registration = Registration(
            **{
                name: getattr(other.registration, name)
                for name in ("instance", "sequence", "pool", "address", "holdings")
            },
            state=UpstreamState.DRAINING,
        )
    elif reason == "inactive":
        other.last_seen_at = 10.0 - INACTIVE_SECONDS - 0.1
    else:
        other = make_engine("i-2", (0, 6), address=full.registration.address)
    assert not apply_full_notice([full, other], full, 10.0)


def test_last_failure_domain_that_holds_all_layers_stays_in_use() -> None:
    """Load: half of each failure domain is full. New requests of contended pools do not cross, so
    that a notice on the other half would leave them no path."""
    first = make_engine("a-1", (0, 6), domain="a")
    spare = make_engine("a-2", (0, 6), domain="a")
    pool = [first, spare, make_engine("a-3", (6, LAYERS), domain="a")]
    pool += [make_engine("b-1", (0, 6), domain="b"), make_engine("b-2", (6, LAYERS), domain="b")]
    record_full(pool[4], 10.0)
    assert apply_full_notice(pool, first, 10.0)
    assert not apply_full_notice(pool, spare, 10.0)
    # The other half of the full domain is part of no path inside a domain.
    assert apply_full_notice(pool, pool[3], 10.0)


def test_each_failure_domain_may_be_avoided_while_another_holds_all_layers() -> None:
    pool = [make_engine(f"{name}-1", (0, LAYERS), domain=name) for name in "abc"]
    assert apply_full_notice(pool, pool[0], 10.0)
    assert apply_full_notice(pool, pool[1], 10.0)
    assert not apply_full_notice(pool, pool[2], 10.0)


def test_engine_without_layers_can_be_avoided() -> None:
    full = make_engine("i-1")
    assert apply_full_notice([full], full, 10.0)


@pytest.mark.parametrize("seed", range(30))
def test_notices_never_uncover_a_layer(seed: int) -> None:
    """A storm of notices in any order and at any time leaves a usable holder of each layer."""
    rng = random.Random(seed)
    pool = [make_engine("base-0", (0, 7)), make_engine("base-1", (7, LAYERS))]
    for number in range(rng.randrange(8)):
        first = rng.randrange(LAYERS)
        pool.append(make_engine(f"i-{number}", (first, rng.randrange(first, LAYERS) + 1)))
    now = 10.0
    applied = 0
    for _ in range(200):
        now += rng.expovariate(100.0)
        full = rng.choice(pool)
        before = full.avoid_until
        if apply_full_notice(pool, full, now):
            applied += 1
            assert full.avoid_until <= now + FULL_AVOID_SECONDS
        else:
            assert full.avoid_until == before
        covered = {
            layer
            for item in pool
            if is_usable(item, now)
            for held in item.registration.holdings
            for layer in range(held.first, held.end)
        }
        assert covered == set(range(LAYERS))
    assert applied or len(pool) < 6


def whole_domains(pool: list[ForwardedUpstream], now: float) -> set[str]:
    """Return the failure domains in which usable engines hold all layers."""
    held: dict[str, set[int]] = {}
    for item in pool:
        if is_usable(item, now):
            layers = held.setdefault(item.registration.failure_domain, set())
            for holding in item.registration.holdings:
                layers.update(range(holding.first, holding.end))
    return {name for name, layers in held.items() if len(layers) == LAYERS}


@pytest.mark.parametrize("seed", range(30))
def test_notices_never_take_the_last_domain_that_holds_all_layers(seed: int) -> None:
    rng = random.Random(seed)
    pool = []
    for number in range(rng.randrange(6, 25)):
        first = rng.choice([0, 0, 6])
        end = rng.choice([6, LAYERS]) if first == 0 else LAYERS
        pool.append(make_engine(f"i-{number}", (first, end), domain=rng.choice("abc")))
    now = 10.0
    seen = False
    for _ in range(200):
        now += rng.expovariate(100.0)
        before = whole_domains(pool, now)
        seen |= bool(before)
        apply_full_notice(pool, rng.choice(pool), now)
        assert bool(whole_domains(pool, now)) == bool(before)
    assert seen
