"""Max-min fair shares of a rate among client accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .account_sketch import MIN_TOKENS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MIN_ACCOUNT_SHARE: Final = 0.25
"""Minimum admitted ratio of an account, relative to that of its class: however much an account
asks for, some of its requests are served, and callers see that the service is up."""


def fair_level(demands: Sequence[tuple[float, float]], rate: float) -> float:
    """Return the rate up to which each account is served in full.

    Args:
        demands: Demand of one account and number of accounts that have it, in any order.
        rate: Rate to share.

    Returns:
        The level; infinity if the rate covers the whole demand.

    >>> fair_level([(1.0, 1), (8.0, 1)], 5.0)
    4.0
    """
    left = max(0.0, rate)
    remaining = sum(count for _demand, count in demands)
    for demand, count in sorted(demands):
        if demand * remaining >= left:
            return left / remaining
        left -= demand * count
        remaining -= count
    return float("inf")


def account_ratio(
    accounts: Mapping[str, float], total: float, ratio: float, account: str | None
) -> float:
    """Return which part of an account's requests is admitted while its class is cut.

    `MIN_ACCOUNT_SHARE` of the class's admitted rate is split in proportion to demand, the rest by
    max-min fairness, so that the sum over all accounts is the class's admitted rate.

    Args:
        accounts: Demand of the heaviest accounts, in tokens per second.
        total: Demand of the class, in tokens per second.
        ratio: Part of the class's demand that is admitted, from 0 to 1.
        account: Account of the request; None on routes without keys.

    Returns:
        The part, from 0 to 1. Accounts that are not listed count as that many accounts of the size
        of the smallest listed one, the largest that they can be.
    """
    # Less is what is left of an account that has stopped asking. Those that are not listed would
    # count as that small, and be served in full.
    listed = {name: demand for name, demand in accounts.items() if demand >= MIN_TOKENS_PER_SECOND}
    if ratio >= 1.0 or not listed:
        return ratio
    least = min(listed.values())
    rest = max(0.0, total - sum(listed.values()))
    base = ratio * MIN_ACCOUNT_SHARE
    demands = [(demand * (1.0 - base), 1.0) for demand in listed.values()]
    if rest > 0.0:
        demands.append((least * (1.0 - base), rest / least))
    level = fair_level(demands, (ratio - base) * (sum(listed.values()) + rest))
    wanted = listed.get(account or "", least) * (1.0 - base)
    return min(1.0, base + (1.0 - base) * min(1.0, level / wanted))
