"""Prompts that wait at an engine delay the first event of every request behind them.

Bursts, and the streams of a lost engine that resume together, otherwise choose the same few
engines.
"""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest

from ledgeladder.model.registration import Holding, Registration
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    apply_peer_load,
    total_pending_prefill,
)
from ledgeladder.routing.path_costs import PathRequest, engine_offers
from ledgeladder.routing.paths import COST_JITTER, ChosenPath, choose_path, count_prompt, reserve

from .sample_site import PROFILE
from .test_paths import make_engines

SMALL = msgspec.structs.replace(PROFILE, layer_mb=250.0)
"""A model that fits whole on one engine."""

PROMPT, ANSWER = 774, 200
TARGET = 0.5


def whole(name: str, domain: str = "a", card: str = "fast") -> ForwardedUpstream:
    """Return an engine that holds all layers."""
    registration = Registration(
        instance=name,
        sequence=1,
        pool="p",
        address=f"{name}:1",
        failure_domain=domain,
        card=card,
        holdings=(Holding(first=0, end=PROFILE.layers),),
    )
    return ForwardedUpstream(registration=registration, last_seen_at=0.0)


def request(sharers: float = 1.0, target: float = TARGET) -> PathRequest:
    return PathRequest(
        prompt_tokens=PROMPT,
        answer_tokens=ANSWER,
        failure_domain="a",
        sharers=sharers,
        target_latency=target,
    )


def choose(pool: list[ForwardedUpstream], wanted: PathRequest) -> ChosenPath:
    path = choose_path(SMALL, pool, wanted, 0.0)
    assert path is not None
    return path


def wait(engine: ForwardedUpstream, seconds: float) -> None:
    """Let prompts wait at an engine that take a time to read."""
    card = PROFILE.cards[engine.registration.card]
    engine.pending_prompts += 1
    engine.pending_prefill += (
        seconds * PROFILE.prefill_tokens_per_s / card.prefill_factor * PROFILE.layers
    )


def test_prompt_is_counted_until_its_first_event_and_only_once() -> None:
    pool = make_engines()
    path = choose_path(PROFILE, pool, request(), 0.0)
    assert path is not None
    first, second = count_prompt(path, 100), count_prompt(path, 300)
    layers = [part.end - part.first for part in path.parts]
    assert [item.pending_prompts for item in path.engines] == [2] * len(layers)
    assert [item.pending_prefill for item in path.engines] == [400 * count for count in layers]
    first()
    first()  # The end of the attempt follows its first event.
    assert [item.pending_prefill for item in path.engines] == [300 * count for count in layers]
    second()
    assert all(not item.pending_prompts and not item.pending_prefill for item in pool)


def test_other_boxes_are_assumed_to_wait_like_this_one_as_far_as_they_have_requests() -> None:
    engine = whole("i-1")
    assert total_pending_prefill(engine, 0.0, 8.0) == 0.0
    engine.in_flight = engine.pending_prompts = 2
    engine.pending_prefill = 1000.0
    # Their load is unknown and extrapolated as well.
    assert total_pending_prefill(engine, 0.0, 8.0) == 8 * 1000.0
    assert total_pending_prefill(engine, 0.0, 1.0) == 1000.0
    engine.reported_in_flight = 2
    apply_peer_load(engine, 5, 0.0, 0.0)
    assert total_pending_prefill(engine, 0.0, 8.0) == 1000.0 + 3 * 500.0
    apply_peer_load(engine, 2, 0.0, 0.0)
    assert total_pending_prefill(engine, 0.0, 8.0) == 1000.0


@pytest.mark.parametrize("seed", range(40))
def test_nothing_changes_while_no_prompt_waits(seed: int) -> None:
    """Requests that already run, peer loads and the target latency make no difference."""
    rng = random.Random(seed)
    pool = make_engines()
    for engine in pool:
        engine.in_flight = rng.randrange(4)
        engine.kv_reserved = engine.in_flight * 30_000.0
        if rng.random() < 0.5:
            apply_peer_load(engine, rng.randrange(20), rng.random() * 1e5, 0.0)
    wanted = msgspec.structs.replace(request(sharers=rng.uniform(1.0, 60.0)), failure_domain="b")
    for engine in pool:
        assert all(not item.queue_seconds for item in engine_offers(PROFILE, engine, wanted, 0.0))
        assert all(not item.fixed_seconds for item in engine_offers(PROFILE, engine, wanted, 0.0))
    unlimited = msgspec.structs.replace(wanted, target_latency=float("inf"))
    found = [
        choose_path(PROFILE, pool, item, 0.0, rng=random.Random(seed))
        for item in (wanted, unlimited)
    ]
    assert found[0] == found[1]
    assert found[0] is None or not found[0].queue_seconds
    ended = choose_path(PROFILE, pool, unlimited, 0.0)
    if ended is not None:
        count_prompt(ended, PROMPT)()
        assert choose_path(PROFILE, pool, unlimited, 0.0) == ended


def test_burst_of_prompts_spreads_over_the_holders_of_the_same_layers() -> None:
    pool = [whole(f"i-{number}") for number in range(4)]
    for _ in range(40):
        count_prompt(choose(pool, request(target=float("inf"))), PROMPT)
    assert {item.pending_prompts for item in pool} == {10}


def test_holder_that_reads_first_is_chosen() -> None:
    """A fast card with a queue and an idle slower one: the request goes where it is done first."""
    fast, slow = whole("fast"), whole("slow", card="middle")
    costs = {item.registration.instance: choose([item], request()).cost for item in (fast, slow)}
    gain = costs["slow"] - costs["fast"]
    assert gain > 0
    wait(fast, gain * 0.9)
    assert choose([fast, slow], request(target=float("inf"))).head is fast
    wait(fast, gain * 0.2)
    assert choose([fast, slow], request(target=float("inf"))).head is slow


@pytest.mark.parametrize("seed", range(10))
def test_streams_of_a_lost_engine_are_read_by_all_holders_when_they_resume(seed: int) -> None:
    """All boxes resume at the same moment, each with few streams, and none sees the others'.

    The time until the last of them is read is compared with that of a perfect split.
    """
    rng = random.Random(seed)
    roomy = msgspec.structs.replace(SMALL, kv_token_bytes=50_000)
    cards = {"i-0": "fast", "i-1": "middle", "i-2": "middle"}
    boxes = [[whole(name, card=card) for name, card in cards.items()] for _ in range(8)]
    read: Counter[str] = Counter()
    for _ in range(12):
        for pool in boxes:
            tokens = 4 * PROMPT + rng.randrange(ANSWER)
            wanted = msgspec.structs.replace(
                request(sharers=8.0, target=float("inf")), prompt_tokens=4 * PROMPT
            )
            path = choose_path(roomy, pool, wanted, 0.0, rng=rng)
            assert path is not None
            reserve(path, tokens + ANSWER)
            count_prompt(path, tokens)
            read[path.head.registration.instance] += tokens
    factors = {name: PROFILE.cards[card].prefill_factor for name, card in cards.items()}
    last = max(read[name] * factor for name, factor in factors.items())
    perfect = sum(read.values()) / sum(1 / factor for factor in factors.values())
    # Costs differ by their random part, and each box adds whole prompts without seeing the others'.
    one_of_each_box = len(boxes) * 5 * PROMPT * max(factors.values())
    assert last <= (1.0 + COST_JITTER) * perfect + one_of_each_box


@pytest.mark.parametrize("seconds", [0.0, 0.1, 10.0, 1000.0])
def test_single_holder_is_chosen_however_long_its_queue_is(seconds: float) -> None:
    only = whole("i-1")
    idle = choose([only], request(sharers=50.0))
    wait(only, seconds)
    path = choose([only], request(sharers=50.0))
    assert path.parts == idle.parts
    assert path.congestion == pytest.approx(idle.congestion)


def test_own_failure_domain_is_kept_until_its_queue_exceeds_the_target() -> None:
    own, remote = whole("own"), whole("remote", domain="b")
    wait(own, TARGET * 0.9)
    assert choose([own, remote], request()).head is own
    wait(own, TARGET * 0.2)
    assert choose([own, remote], request()).head is remote
    # Without a target, and if the other failure domain would be late as well, nothing is gained.
    assert choose([own, remote], request(target=float("inf"))).head is own
    wait(remote, TARGET * 1.1)
    assert choose([own, remote], request()).head is own


def test_queue_in_another_failure_domain_outweighs_its_lower_congestion() -> None:
    own, remote = whole("own"), whole("remote", domain="b")
    own.kv_reserved = 0.7 * 72_000e6 / PROFILE.kv_token_bytes * PROFILE.layers * 0.7
    assert choose([own, remote], request()).head is remote
    wait(remote, TARGET * 0.9)
    assert choose([own, remote], request()).head is remote
    wait(remote, TARGET * 0.2)
    assert choose([own, remote], request()).head is own


def test_congested_failure_domain_is_not_preferred_because_of_a_queue() -> None:
    own, remote = whole("own"), whole("remote", domain="b")
    wait(own, TARGET * 2)
    remote.kv_reserved = 0.7 * 72_000e6 / PROFILE.kv_token_bytes * PROFILE.layers * 0.7
    assert choose([own, remote], request()).head is own


def test_queue_does_not_lead_to_paths_across_failure_domains() -> None:
    """Links between failure domains are shared; only inactive engines justify such a path."""
    halves = {
        name: whole(name, domain=name[0]) for name in ("a-first", "a-last", "b-first", "b-last")
    }
    for name, engine in halves.items():
        held = Holding(first=0, end=40) if "first" in name else Holding(first=40, end=80)
        engine.registration = msgspec.structs.replace(engine.registration, holdings=(held,))
    wait(halves["a-last"], 100.0)
    wait(halves["b-first"], 100.0)
    path = choose(list(halves.values()), request())
    assert len(set(path.domains)) == 1
