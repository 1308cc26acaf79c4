"""Many boxes that choose by outdated load reports do not crowd the same engines.

Each box learns the load of the others with a delay. If all chose the best engine by these reports,
it would get all requests at once and refuse those that do not fit.
"""

from __future__ import annotations

import msgspec

from .fleet_simulation import (
    SLOTS,
    SMALL_BOXES,
    SMALL_CARDS,
    SMALL_PROFILE,
    SMALL_STREAMS_PER_SECOND,
    FleetSimulation,
    Outcome,
)

SECONDS = 4.0
"""Several times the duration of a stream and the age of load sums."""

NOTICE_SECONDS = 0.05
"""Time until a notice of a full engine has reached all boxes over two hops, one between regions."""

REFUSED_LIMIT = 0.01
"""Share of attempts that an engine may refuse while others have room."""


def test_large_fleet_does_not_herd_on_engines() -> None:
    fleet = FleetSimulation()
    calm = fleet.run(SECONDS)
    assert calm.streams > 0.8 * SECONDS * fleet.rate
    assert calm.gave_up == 0
    assert calm.refused_share < REFUSED_LIMIT
    assert calm.inter_domain_hops == 0
    busiest = max(engine.kv_used / engine.capacity for engine in fleet.engines.values())
    # Exceeded if each box takes the cheapest path without a random part.
    assert busiest < 0.85

    fleet.outcome = Outcome()
    fast = [name for name in fleet.engines if name.startswith("d-fast")]
    fleet.remove_engines(fast + [f"d-middle-{number}" for number in range(3)])
    after = fleet.run(1.5 * SECONDS)
    assert after.gave_up == 0
    assert after.refused_share < REFUSED_LIMIT
    assert after.inter_domain_hops == 0


def test_burst_of_short_answers_spreads_over_slots() -> None:
    """Guards against streams that wait for a slot while other engines have free ones.

    Short answers fill slots before KV caches. Choosing by KV caches alone would send all streams of
    a failure domain to one engine beyond its slots, while engines with the same layers had
    slots free.
    """
    fleet = FleetSimulation(
        profile=SMALL_PROFILE,
        cards=SMALL_CARDS,
        boxes=SMALL_BOXES,
        streams_per_second=SMALL_STREAMS_PER_SECOND,
    )
    outcome = fleet.run(2.0 * SECONDS)
    assert outcome.gave_up == 0
    assert outcome.refused_share < REFUSED_LIMIT
    arrivals = sum(engine.arrivals for engine in fleet.engines.values())
    waited = sum(engine.waited for engine in fleet.engines.values())
    assert waited / arrivals < REFUSED_LIMIT
    assert max(engine.max_running for engine in fleet.engines.values()) <= 1.1 * SLOTS


def test_prompts_that_queue_are_read_in_time_by_more_engines() -> None:
    """Guards against first events that are late while engines with shorter queues are free.

    Reading a prompt takes long enough that prompts wait at the preferred engines of a failure
    domain. Choosing by in-flight requests alone makes several times as many streams late.
    """
    late = {}
    for counts_prompts in (False, True):
        fleet = FleetSimulation(
            profile=msgspec.structs.replace(SMALL_PROFILE, prefill_tokens_per_s=25_000),
            cards=SMALL_CARDS,
            boxes=SMALL_BOXES,
            streams_per_second=SMALL_STREAMS_PER_SECOND,
            counts_prompts=counts_prompts,
        )
        outcome = fleet.run(SECONDS)
        assert outcome.gave_up == 0
        late[counts_prompts] = outcome.late_share
    assert late[False] > 0.05
    assert late[True] < 0.5 * late[False]


def test_engines_that_run_full_refuse_few_boxes_that_exchange_notices() -> None:
    """Guards against a refused attempt, and a retry, of every box for each full engine.

    The busiest engines lose most of their room unseen, as with answers longer than hinted.
    """
    refusals = {}
    for notice_seconds in (None, NOTICE_SECONDS):
        fleet = FleetSimulation(
            profile=SMALL_PROFILE,
            cards=SMALL_CARDS,
            boxes=SMALL_BOXES,
            streams_per_second=SMALL_STREAMS_PER_SECOND,
            notice_seconds=notice_seconds,
        )
        fleet.run(SECONDS / 2)
        for engine in sorted(fleet.engines.values(), key=lambda item: item.kv_used)[-5:]:
            engine.capacity *= 0.2
        fleet.outcome = Outcome()
        refusals[notice_seconds] = fleet.run(1.5 * SECONDS).refusals
    assert refusals[None] > 0
    assert refusals[NOTICE_SECONDS] < 0.5 * refusals[None]
