"""Sums and scales demand, and shortens it for messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

from ..model.demand import ClassDemand, PoolDemand
from .load_sharing import is_report_due

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

Message = TypeVar("Message")

Pools = dict[str, PoolDemand]
"""Demand by pool."""

REPORT_ACCOUNTS: Final = 8
"""Accounts a priority in the report of an entry box."""

TOTAL_ACCOUNTS: Final = 32
"""Accounts a priority in sums over entry boxes."""

DEMAND_BYTES_PER_SECOND: Final = 2000.0
"""Maximum rate of demand on one link; an eighth of the bandwidth of an entry box for control."""

MAX_DEMAND_BYTES: Final = 2000
"""Size above which fewer accounts are named, so that a message a second keeps to the rate."""


def is_demand_due(changed: bool, seconds: float, sent_bytes: int) -> bool:
    """Return whether demand may and should be sent again.

    Args:
        changed: Whether it differs from what was sent last.
        seconds: Time since then.
        sent_bytes: Size of the last message.

    >>> is_demand_due(True, 0.25, 100), is_demand_due(True, 0.25, 1000)
    (True, False)
    """
    return is_report_due(changed, seconds) and seconds >= sent_bytes / DEMAND_BYTES_PER_SECOND


def sum_pools(parts: Iterable[Mapping[str, PoolDemand]]) -> Pools:
    """Sum demand by pool; the order of the parts does not matter."""
    by_pool: dict[str, list[PoolDemand]] = {}
    for part in parts:
        for pool, demand in part.items():
            by_pool.setdefault(pool, []).append(demand)
    return {pool: _sum_classes(demands) for pool, demands in by_pool.items()}


def sum_domains(parts: Iterable[Mapping[str, Mapping[str, PoolDemand]]]) -> dict[str, Pools]:
    """Sum demand by failure domain and pool."""
    by_domain: dict[str, list[Mapping[str, PoolDemand]]] = {}
    for part in parts:
        for domain, pools in part.items():
            by_domain.setdefault(domain, []).append(pools)
    return {domain: sum_pools(pools) for domain, pools in by_domain.items()}


def _sum_classes(demands: Iterable[PoolDemand]) -> PoolDemand:
    by_priority: dict[int, list[ClassDemand]] = {}
    for demand in demands:
        for priority, item in demand.classes.items():
            by_priority.setdefault(priority, []).append(item)
    return PoolDemand(classes={rank: _sum_class(items) for rank, items in by_priority.items()})


def _sum_class(items: list[ClassDemand]) -> ClassDemand:
    accounts: dict[str, float] = {}
    for item in items:
        for account, tokens in item.accounts.items():
            accounts[account] = accounts.get(account, 0.0) + tokens
    return ClassDemand(
        asked=sum(item.asked for item in items),
        admitted=sum(item.admitted for item in items),
        tokens=sum(item.tokens for item in items),
        accounts=accounts,
    )


def scale_demand(demand: PoolDemand, factor: float) -> PoolDemand:
    """Return demand multiplied by a factor, as that of several boxes alike."""
    return PoolDemand(
        classes={
            rank: ClassDemand(
                asked=item.asked * factor,
                admitted=item.admitted * factor,
                tokens=item.tokens * factor,
                accounts={account: tokens * factor for account, tokens in item.accounts.items()},
            )
            for rank, item in demand.classes.items()
        }
    )


def subtract_demand(total: PoolDemand, part: PoolDemand) -> PoolDemand:
    """Return a total without a part of it; nothing falls below 0.

    >>> subtract_demand(
    ...     PoolDemand(classes={0: ClassDemand(asked=5.0)}),
    ...     PoolDemand(classes={0: ClassDemand(asked=2.0)}),
    ... ).classes[0].asked
    3.0
    """
    return PoolDemand(
        classes={
            rank: _subtract_class(item, part.classes.get(rank, ClassDemand()))
            for rank, item in total.classes.items()
        }
    )


def _subtract_class(total: ClassDemand, part: ClassDemand) -> ClassDemand:
    return ClassDemand(
        asked=max(0.0, total.asked - part.asked),
        admitted=max(0.0, total.admitted - part.admitted),
        tokens=max(0.0, total.tokens - part.tokens),
        accounts={
            account: max(0.0, tokens - part.accounts.get(account, 0.0))
            for account, tokens in total.accounts.items()
        },
    )


def keep_heaviest(pools: Mapping[str, PoolDemand], count: int) -> Pools:
    """Return demand with only the heaviest accounts of each priority named.

    The others stay a part of `tokens`.

    Args:
        pools: Demand by pool.
        count: Maximum number of accounts a priority.
    """
    return {
        pool: PoolDemand(
            classes={rank: _shorten(item, count) for rank, item in demand.classes.items()}
        )
        for pool, demand in pools.items()
    }


def _shorten(item: ClassDemand, count: int) -> ClassDemand:
    if len(item.accounts) <= count:
        return item
    ranked = sorted(item.accounts.items(), key=lambda entry: (-entry[1], entry[0]))
    return ClassDemand(
        asked=item.asked, admitted=item.admitted, tokens=item.tokens, accounts=dict(ranked[:count])
    )


def shorten_message(
    build: Callable[[int], Message], size_of: Callable[[Message], int], max_accounts: int
) -> tuple[Message, int]:
    """Build a message of at most `MAX_DEMAND_BYTES`, halving the number of accounts until it fits.

    Args:
        build: Builds the message with at most some accounts a priority.
        size_of: Returns the size of a message in bytes.
        max_accounts: Number of accounts that is tried first.

    Returns:
        The message and its size. Classes are never left out, so that a message without accounts may
        still be longer.

    >>> shorten_message(lambda accounts: "x" * (500 + 100 * accounts), len, 32)[1]
    1300
    """
    accounts = max_accounts
    while True:
        message = build(accounts)
        size = size_of(message)
        if size <= MAX_DEMAND_BYTES or not accounts:
            return message, size
        accounts //= 2
