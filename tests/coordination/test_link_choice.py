"""Choice of the control boxes to which an entry box keeps links."""

from __future__ import annotations

from collections import Counter

import pytest

from ledgeladder.coordination.link_choice import choose_controls, rank_controls

DOMAINS = {f"10.{domain}.0.{number}": f"d{domain}" for domain in (1, 2, 3, 4) for number in (1, 2)}


def ranked(own: str, domain: str, limit: int = 3) -> list[str]:
    return rank_controls(DOMAINS, DOMAINS, own=own, own_domain=domain, limit=limit)


def test_own_failure_domain_comes_first_with_one_box_of_another() -> None:
    for number in range(20):
        first = ranked(f"10.1.1.{number}", "d1")[:3]
        assert [DOMAINS[item] for item in first[:2]] == ["d1", "d1"]
        assert DOMAINS[first[2]] != "d1"


def test_every_control_box_is_ranked_once() -> None:
    assert sorted(ranked("10.1.1.1", "d1")) == sorted(DOMAINS)
    assert sorted(ranked("10.9.1.1", "unknown")) == sorted(DOMAINS)


def test_one_box_of_another_domain_even_if_the_own_has_many() -> None:
    many = {f"10.1.0.{number}": "d1" for number in range(6)} | {"10.2.0.1": "d2"}
    first = rank_controls(many, many, own="10.1.1.1", own_domain="d1", limit=3)[:3]
    assert {many[item] for item in first} == {"d1", "d2"}


def test_entry_boxes_spread_over_control_boxes() -> None:
    """No control box is preferred by more than three times its share."""
    first = Counter(
        ranked(f"10.1.{number // 250}.{number % 250}", "d1")[0] for number in range(400)
    )
    far = Counter(ranked(f"10.1.{number // 250}.{number % 250}", "d1")[2] for number in range(400))
    assert max(first.values()) < 400 * 3 / 2
    assert len(far) == 6
    assert max(far.values()) < 400 * 3 / 6


@pytest.mark.parametrize("lost", [set(), {0}, {0, 1}, {0, 1, 2}, {1, 2, 4}])
def test_unreachable_links_are_retried_beside_others(lost: set[int]) -> None:
    order = ranked("10.1.1.1", "d1")
    down = {order[index] for index in lost}
    chosen = choose_controls(order, lambda address: address not in down, 3)
    assert sum(address not in down for address in chosen) == 3
    assert chosen == order[: len(chosen)]


def test_all_are_chosen_when_too_few_are_reachable() -> None:
    order = ranked("10.1.1.1", "d1")
    assert choose_controls(order, lambda address: False, 3) == order
