"""Choice of the next order to an engine."""

from __future__ import annotations

import random

from ledgeladder.coordination.orders import (
    OrderTable,
    confirm_order,
    next_order,
    pending_orders,
    place_order,
)
from ledgeladder.model import Configuration, ObjectSet, Upstream, UpstreamKind, apply_objects

LAYERS = 12


def engine(name: str, first: int, end: int, version: str) -> Upstream:
    return Upstream(
        name=name,
        kind=UpstreamKind.ENGINE,
        address="127.0.0.1:1",
        failure_domain="a",
        model="m",
        first_layer=first,
        end_layer=end,
        version=version,
    )


def configuration(version: str, ranges: dict[str, tuple[int, int]]) -> Configuration:
    upstreams = tuple(engine(name, *span, version) for name, span in ranges.items())
    return apply_objects(Configuration(), ObjectSet(upstreams=upstreams), ())


def covered(table: OrderTable) -> bool:
    held: set[int] = set()
    for order in table.orders.values():
        if order.done:
            held.update(range(order.assignment.span.first, order.assignment.span.end))
    return held >= set(range(LAYERS))


def carry_out(table: OrderTable, wanted: Configuration, live: set[str]) -> int:
    """Place and confirm orders until nothing is due; returns how many."""
    count = 0
    while (chosen := next_order(table, wanted, live)) is not None:
        order = place_order(table, *chosen)
        assert len(pending_orders(table)) == 1
        assert next_order(table, wanted, live) is None
        confirm_order(table, chosen[0], order.index)
        count += 1
    return count


RANGES = {"e1": (0, 6), "e2": (6, 12), "e3": (0, 6), "e4": (6, 12)}


def test_all_engines_change_version_and_layers_stay_covered() -> None:
    table = OrderTable()
    live = set(RANGES)
    assert carry_out(table, configuration("v1", RANGES), live) == 4
    wanted = configuration("v2", RANGES)
    for _ in range(4):
        chosen = next_order(table, wanted, live)
        assert chosen is not None
        order = place_order(table, *chosen)
        assert covered(table)
        confirm_order(table, chosen[0], order.index)
    assert next_order(table, wanted, live) is None


def test_last_holder_of_a_layer_is_not_reloaded() -> None:
    table = OrderTable()
    carry_out(table, configuration("v1", RANGES), set(RANGES))
    live = {"e1", "e2"}
    assert next_order(table, configuration("v2", RANGES), live) is None


def test_superseded_order_is_not_confirmed() -> None:
    table = OrderTable()
    wanted = configuration("v1", RANGES)
    first = place_order(table, *next_order(table, wanted, set(RANGES)))
    newer = configuration("v2", RANGES)
    name = "e1"
    second = place_order(table, name, first.assignment)
    assert not confirm_order(table, name, first.index)
    assert confirm_order(table, name, second.index)
    assert newer.upstreams


def test_layers_never_lose_their_last_holder_in_random_histories() -> None:
    for seed in range(300):
        rng = random.Random(seed)
        table = OrderTable()
        ranges = dict(RANGES)
        carry_out(table, configuration("v0", ranges), set(ranges))
        for version in range(1, 5):
            name = rng.choice(sorted(ranges))
            ranges[name] = rng.choice([(0, 6), (6, 12), (0, 12), (3, 9)])
            wanted = configuration(f"v{version}", ranges)
            live = set(rng.sample(sorted(ranges), rng.randint(2, 4)))
            for _ in range(6):
                chosen = next_order(table, wanted, live)
                if chosen is None:
                    break
                was_covered = covered(table)
                order = place_order(table, *chosen)
                assert covered(table) or not was_covered, f"seed {seed}"
                confirm_order(table, chosen[0], order.index)
