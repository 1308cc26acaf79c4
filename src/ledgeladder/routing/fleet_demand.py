"""Demand for pools at this entry box and at all of them.

This box knows its own demand at once, and that of the others from control boxes, which sum up the
reports of all entry boxes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from ..model.demand import ClassDemand, PoolDemand
from .account_sketch import (
    TIME_CONSTANT_SECONDS,
    AccountSketch,
    heaviest_accounts,
    record_tokens,
)
from .demand_sums import (
    REPORT_ACCOUNTS,
    TOTAL_ACCOUNTS,
    keep_heaviest,
    scale_demand,
    subtract_demand,
    sum_pools,
)
from .load_sharing import LOAD_VALID_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

TOTALS_VALID_SECONDS: Final = LOAD_VALID_SECONDS
"""How long totals are used. Control boxes send them at least once a second and drop reports of this
age, so older totals mean that this box is cut off."""

MIN_RATE: Final = 0.01
"""Rates below this are left out: a single request has decayed to it after five time constants."""


class LocalClass(msgspec.Struct, kw_only=True):
    """Decayed sums of the requests of one priority for one pool at this box."""

    asked: float = 0.0
    """New requests."""

    admitted: float = 0.0
    """Admitted requests."""

    tokens: float = 0.0
    """Prompt and expected answer tokens of the new requests."""

    updated_at: float = 0.0
    """Monotonic time to which the sums are decayed."""

    accounts: AccountSketch = msgspec.field(default_factory=AccountSketch)
    """The heaviest client accounts."""


class LocalDemand(msgspec.Struct, kw_only=True):
    """Demand for one pool at this box."""

    classes: dict[int, LocalClass] = msgspec.field(default_factory=dict)
    """Demand by priority."""


class FleetDemand(msgspec.Struct, kw_only=True):
    """Demand for pools, as far as this box knows."""

    local: dict[str, LocalDemand] = msgspec.field(default_factory=dict)
    """Demand at this box, by pool."""

    totals: dict[str, PoolDemand] = msgspec.field(default_factory=dict)
    """Newest totals of all entry boxes, by pool."""

    totals_at: float | None = None
    """Monotonic time at which the totals arrived; None if they never did."""

    totals_entries: int = 0
    """Number of entry boxes whose reports are in the totals."""

    reported: dict[str, PoolDemand] = msgspec.field(default_factory=dict)
    """Newest report of this box, by pool."""

    included: dict[str, PoolDemand] = msgspec.field(default_factory=dict)
    """Report that was the newest when the totals arrived, and is a part of them."""


def record_asked(
    demand: FleetDemand,
    *,
    pool: str,
    priority: int,
    account: str | None,
    tokens: float,
    now: float,
) -> None:
    """Record a new request, whether or not it is admitted later.

    Args:
        demand: Known demand.
        pool: Pool that would serve the request.
        priority: Priority of the request.
        account: Client account; None if it has none.
        tokens: Prompt and expected answer tokens.
        now: Monotonic time.
    """
    item = _local_class(demand, pool, priority, now)
    item.asked += 1.0
    item.tokens += tokens
    if account is not None:
        record_tokens(item.accounts, account, tokens, now)


def record_admitted(demand: FleetDemand, *, pool: str, priority: int, now: float) -> None:
    """Record that a request was admitted."""
    _local_class(demand, pool, priority, now).admitted += 1.0


def local_pool_demand(demand: FleetDemand, pool: str, now: float) -> PoolDemand:
    """Return the demand for a pool at this box, by priority."""
    local = demand.local.get(pool)
    if local is None:
        return PoolDemand()
    rates = {rank: _rates(item, now) for rank, item in local.classes.items()}
    return PoolDemand(
        classes={
            rank: item
            for rank, item in rates.items()
            if item.asked >= MIN_RATE or item.admitted >= MIN_RATE
        }
    )


def pool_demand(demand: FleetDemand, pool: str, now: float, entries: int) -> PoolDemand:
    """Return the demand for a pool at all entry boxes, by priority.

    Args:
        demand: Known demand.
        pool: Name of the pool.
        now: Monotonic time.
        entries: Number of known entry boxes.

    Returns:
        The totals with this box's part as of now; it is never less than that part. Without recent
        totals, each box is assumed to receive as much as this one.
    """
    local = local_pool_demand(demand, pool, now)
    factor = _others_factor(demand, now, entries)
    if factor is None:
        return scale_demand(local, max(1, entries))
    total = demand.totals.get(pool, PoolDemand())
    others = subtract_demand(total, demand.included.get(pool, PoolDemand()))
    return keep_heaviest(
        sum_pools([{pool: scale_demand(others, factor)}, {pool: local}]), TOTAL_ACCOUNTS
    )[pool]


def demand_age(demand: FleetDemand, now: float) -> float | None:
    """Return the time since totals arrived, in seconds; None if they never did."""
    return None if demand.totals_at is None else max(0.0, now - demand.totals_at)


def has_totals(demand: FleetDemand, now: float) -> bool:
    """Return whether recent totals are known."""
    age = demand_age(demand, now)
    return age is not None and age <= TOTALS_VALID_SECONDS


def demand_report(demand: FleetDemand, pools: Iterable[str], now: float) -> dict[str, PoolDemand]:
    """Return the demand at this box for a report, and drop what has decayed.

    Args:
        demand: Known demand.
        pools: Pools to report.
        now: Monotonic time.
    """
    for pool in [name for name in demand.local if not local_pool_demand(demand, name, now).classes]:
        del demand.local[pool]
    found = {pool: local_pool_demand(demand, pool, now) for pool in pools if pool in demand.local}
    return keep_heaviest(found, REPORT_ACCOUNTS)


def record_reported(demand: FleetDemand, report: Mapping[str, PoolDemand]) -> None:
    """Record the report that was sent last, to be subtracted from totals that include it."""
    demand.reported = dict(report)


def apply_totals(
    demand: FleetDemand, totals: Mapping[str, PoolDemand], entries: int, now: float
) -> None:
    """Apply totals that arrived now.

    Args:
        demand: Known demand.
        totals: Totals by pool.
        entries: Number of entry boxes whose reports are in the totals.
        now: Monotonic time.
    """
    demand.totals = dict(totals)
    demand.totals_entries = entries
    demand.totals_at = now
    demand.included = demand.reported


def _others_factor(demand: FleetDemand, now: float, entries: int) -> float | None:
    """Return the factor from the other boxes in the totals to all others.

    It is 1 if the totals cover half of the entry boxes: boxes that ended are counted as known for a
    while, and their callers ask others. It is None if the totals say nothing about the others.
    """
    if not has_totals(demand, now):
        return None
    covered = demand.totals_entries
    if covered * 2 >= entries:
        return 1.0
    return (entries - 1) / (covered - 1) if covered > 1 else None


def _local_class(demand: FleetDemand, pool: str, priority: int, now: float) -> LocalClass:
    """Return a class of this box, decayed to now."""
    classes = demand.local.setdefault(pool, LocalDemand()).classes
    item = classes.setdefault(priority, LocalClass(updated_at=now))
    factor = _decay(item, now)
    item.asked *= factor
    item.admitted *= factor
    item.tokens *= factor
    item.updated_at = max(item.updated_at, now)
    return item


def _rates(item: LocalClass, now: float) -> ClassDemand:
    factor = _decay(item, now) / TIME_CONSTANT_SECONDS
    return ClassDemand(
        asked=item.asked * factor,
        admitted=item.admitted * factor,
        tokens=item.tokens * factor,
        accounts=heaviest_accounts(item.accounts, now),
    )


def _decay(item: LocalClass, now: float) -> float:
    return math.exp(-max(0.0, now - item.updated_at) / TIME_CONSTANT_SECONDS)
