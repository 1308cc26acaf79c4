"""The room of a pool is what its scarcest layers still take, by failure domain."""

from __future__ import annotations

from itertools import count

import msgspec
import pytest

from ledgeladder.model.registration import Holding, Registration, UpstreamState
from ledgeladder.model.traffic import CardKind
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    apply_peer_load,
    record_full,
    record_loss,
)
from ledgeladder.routing.layer_coverage import kv_capacity, usual_tokens
from ledgeladder.routing.path_costs import FULL_FRACTION
from ledgeladder.routing.pool_room import PoolRoom, pool_room

from .sample_site import PROFILE as SITE_PROFILE

NOW = 100.0
PROFILE = msgspec.structs.replace(SITE_PROFILE, layer_mb=100.0)
"""Layers so small that one engine can hold them all."""

PORTS = count(1)
"""Ports of the engines: each has an address of its own."""


def engine(
    first: int, end: int, *, domain: str = "a", slots: int = 1, card: str = "fast"
) -> ForwardedUpstream:
    registration = Registration(
        instance=f"{domain}-{first}-{end}-{slots}",
        sequence=1,
        address=f"127.0.0.1:{next(PORTS)}",
        failure_domain=domain,
        card=card,
        slots=slots,
        holdings=(Holding(first=first, end=end),),
    )
    return ForwardedUpstream(registration=registration, last_seen_at=NOW)


def room(*engines: ForwardedUpstream, sharers: float = 1.0) -> PoolRoom:
    return pool_room(PROFILE, engines, NOW, sharers)


def idle_requests(layers: int) -> float:
    cache = kv_capacity(PROFILE, "fast", layers) * FULL_FRACTION
    return cache / (layers * usual_tokens(PROFILE))


def test_idle_domain_takes_what_its_scarcest_layer_takes() -> None:
    found = room(engine(0, 20), engine(20, 50), engine(50, 80), engine(50, 80))
    assert found.free == pytest.approx(idle_requests(30))
    assert found.capacity == pytest.approx(found.free)
    assert found.in_flight == 0.0


def test_domains_add_up() -> None:
    halves = [engine(first, first + 40, domain=name) for name in "ab" for first in (0, 40)]
    assert room(*halves).free == pytest.approx(2 * idle_requests(40))


def test_domain_that_lacks_a_layer_counts_only_if_none_is_complete() -> None:
    """Failure: the only holder of a layer in a domain is gone."""
    complete = [engine(0, 40), engine(40, 80)]
    alone = room(*complete).free
    assert room(*complete, engine(0, 40, domain="b")).free == pytest.approx(alone)
    crossing = room(engine(0, 40), engine(40, 80, domain="b"))
    assert crossing.free == pytest.approx(alone)


def test_slots_limit_the_room() -> None:
    found = room(engine(0, 40, slots=10), engine(40, 80, slots=10))
    assert found.free == pytest.approx(10 * FULL_FRACTION)


def test_running_requests_of_all_boxes_take_room() -> None:
    busy = [engine(0, 40, slots=10), engine(40, 80, slots=10)]
    for item in busy:
        apply_peer_load(item, 6, 6 * 40 * usual_tokens(PROFILE), NOW)
    found = room(*busy)
    assert found.free == pytest.approx(10 * FULL_FRACTION - 6)
    assert found.in_flight == pytest.approx(6)
    busy[0].in_flight = 1
    assert room(*busy, sharers=3.0).free == pytest.approx(10 * FULL_FRACTION - 9)


def test_lost_and_draining_engines_have_no_room_and_no_capacity() -> None:
    """Failure: one of two holders is lost or leaves."""
    lost, leaving = engine(0, 80), engine(0, 80)
    kept = engine(0, 80)
    alone = room(kept)
    record_loss(lost, NOW)
    leaving.registration = msgspec.structs.replace(
        leaving.registration, state=UpstreamState.DRAINING
    )
    assert room(kept, lost, leaving) == alone


def test_engine_that_refused_has_no_room_but_keeps_its_capacity() -> None:
    """Load: an engine is full; what it runs ends and counts as expected room."""
    full = engine(0, 80)
    record_full(full, NOW)
    found = room(full)
    assert found.free == 0.0
    assert found.capacity == pytest.approx(idle_requests(80))


def test_overloaded_engine_does_not_take_room_of_others() -> None:
    over, idle = engine(0, 80, slots=10), engine(0, 80, slots=10)
    over.in_flight = 30
    assert room(over, idle).free == pytest.approx(10 * FULL_FRACTION)


def test_no_engines_have_no_room() -> None:
    assert room() == PoolRoom(free=0.0, capacity=0.0, in_flight=0.0)
    assert room(engine(0, 80, card="unknown")).capacity == 0.0


def test_unknown_cache_without_slots_is_bounded() -> None:
    profile = msgspec.structs.replace(
        PROFILE,
        kv_token_bytes=0.0,
        cards={"fast": CardKind(name="fast", memory_mb=1.0, step_factor=1.0, prefill_factor=1.0)},
    )
    assert pool_room(profile, [engine(0, 80)], NOW, 1.0).free < float("inf")


@pytest.mark.parametrize("order", [1, -1])
def test_engine_that_was_started_again_counts_once(order: int) -> None:
    """Failure: an engine crashes and starts again; its old instance is registered for a while."""
    old = engine(0, 80)
    address = old.registration.address
    apply_peer_load(old, 1, 80 * usual_tokens(PROFILE), NOW)
    new = engine(0, 80)
    new.registration = msgspec.structs.replace(
        new.registration, address=address, instance="a-again"
    )
    new.started_at = old.started_at + 5.0
    other = engine(0, 80)
    assert room(*[old, new, other][::order]) == room(new, other)
