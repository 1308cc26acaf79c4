"""Retry delays for callers whose request found no path."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...routing.contention import urgency_class
from ...routing.fleet_demand import pool_demand
from ...routing.load_time import load_seconds
from ...routing.paths import has_whole_domain
from ...routing.return_times import (
    CAPACITY_SHARE,
    MIN_RETURN_SECONDS,
    ReturnBook,
    choose_return,
    place_interval,
)
from .stream_session import begun_streams

if TYPE_CHECKING:
    from ...routing.paths import NoPathReason
    from .checks import Permit
    from .state import GatewayState

logger = logging.getLogger(__name__)


def retry_after_full(state: GatewayState, permit: Permit) -> float:
    """Return the delay until full engines are expected to have capacity, in seconds.

    The estimate is based on the recent duration of streams on this box. In pools that share their
    room by priority, each caller is told another time, the more urgent an earlier one.

    Args:
        state: The process's state.
        permit: What the request may do.
    """
    if permit.pool.name in state.contended:
        return _return_seconds(state, permit)
    return max(MIN_RETURN_SECONDS, state.stream_pace.mean * CAPACITY_SHARE)


def urgency_of(state: GatewayState, permit: Permit) -> int:
    """Return the urgency class of a request for a contended pool, 0 being the most urgent."""
    pool = permit.pool.name
    demand = pool_demand(state.demand, pool, anyio.current_time(), state.entry_count)
    return urgency_class(state.index.ranks.get(pool, ()), demand, permit.priority)


def _return_seconds(state: GatewayState, permit: Permit) -> float:
    """Choose when a refused caller of a contended pool should return, in seconds from now."""
    pool, now = permit.pool.name, anyio.current_time()
    book = state.return_books.setdefault(pool, ReturnBook())
    ages = [now - item.opened_at for item in begun_streams(state, pool)]
    interval = place_interval(state.stream_pace.mean, ages)
    chosen = choose_return(
        book,
        now,
        rank=urgency_of(state, permit),
        interval=interval,
        seconds_left=permit.deadline - now,
        rng=state.rng,
    )
    state.metrics.counters["return-promised" if chosen.promised else "return-too-late"] += 1
    logger.info(
        "return time told",
        extra={
            "request": permit.facts.attempt_id,
            "pool": pool,
            "priority": permit.priority,
            "seconds": round(chosen.seconds, 3),
            "promised": chosen.promised,
            "left": round(permit.deadline - now, 3),
            "interval": round(interval, 3),
            "streams": len(ages),
            "places": len(book.places),
        },
    )
    return chosen.seconds


def retry_after_no_path(state: GatewayState, permit: Permit, missing: NoPathReason | None) -> float:
    """Return the delay until a path is expected to exist, in seconds.

    If engines or links are full, this is the delay until they have capacity. Missing layers are
    expected back after the time to load the mean number of layers per engine of the pool. In pools
    that share their room by priority none are missing while a failure domain holds all of them.

    Args:
        state: The process's state.
        permit: What the request may do.
        missing: Why there is no path; None if unknown.
    """
    profile = permit.pool.engine
    engines = state.table.pools.get(permit.pool.name, [])
    held = [item.end - item.first for engine in engines for item in engine.registration.holdings]
    if profile is None or not held or (missing is not None and missing.is_out_of_capacity):
        return retry_after_full(state, permit)
    is_contended = permit.pool.name in state.contended
    if is_contended and has_whole_domain(profile, engines, anyio.current_time()):
        # Engines that have refused are avoided for a moment, and not known as full.
        return retry_after_full(state, permit)
    return max(
        MIN_RETURN_SECONDS, load_seconds(profile, sum(held) // len(held), concurrent_loads=1)
    )
