"""Applies back-pressure that upstreams signal in answers: back-off, draining or a rate limit."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...routing.forwarding_table import estimated_requests, pool_limits
from ...routing.rate_grants import record_demand
from ...routing.upstream_wishes import cap_requests, extend_backoff, record_draining
from ..limit_keeper import record_advertised_rate
from .state import rate_limiter_of

if TYPE_CHECKING:
    from ...model.exchange import AnswerFacts
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit
    from .state import GatewayState

logger = logging.getLogger(__name__)


def handle_backpressure(
    state: GatewayState,
    permit: Permit,
    upstream: ForwardedUpstream,
    facts: AnswerFacts,
    sent_at: float,
) -> None:
    """Apply the back-pressure in the head of an upstream's answer.

    If the answer attributes the back-off to a later engine of the path, both engines back off.

    Args:
        state: State of the process.
        permit: Permit of the answered request.
        upstream: Upstream that answered.
        facts: Facts from the head of the answer.
        sent_at: Monotonic time at which the request was sent.
    """
    if facts.wrong_upstream:
        # Another instance has taken over the address; its signals do not apply to this one.
        return
    instance = upstream.registration.instance
    is_own = facts.signed or facts.not_run
    record_advertised_rate(
        rate_limiter_of(state), instance, facts.advertised_rate, sent_at, is_own=is_own
    )
    if facts.draining and record_draining(
        state.table.backpressure, upstream.registration, upstream.backpressure
    ):
        state.metrics.counters["upstream-said-leaving"] += 1
        logger.info(
            "upstream is draining",
            extra={
                "request": permit.facts.attempt_id,
                "upstream": upstream.registration.instance,
                "registered": upstream.registration.state.value,
            },
        )
    if facts.backoff_seconds is None:
        return
    affected = [upstream]
    if facts.failed_upstream:
        pool = state.table.pools.get(permit.pool.name, [])
        affected += [item for item in pool if item.registration.address == facts.failed_upstream]
    for item in affected:
        record_backoff(state, item, facts.backoff_seconds, request=permit.facts.attempt_id)


def record_backoff(
    state: GatewayState,
    upstream: ForwardedUpstream,
    seconds: float,
    *,
    request: str = "",
) -> None:
    """Apply the back-off that an upstream requested.

    Args:
        state: State of the process.
        upstream: The upstream.
        seconds: Duration of the back-off from now, in seconds.
        request: Id of the refused attempt; empty for a call that this box made itself.
    """
    now = anyio.current_time()
    held = estimated_requests(upstream, now, state.entry_count)
    cap_requests(upstream.backpressure, held, upstream.registration.slots, seconds, now)
    if not extend_backoff(
        state.table.backpressure, upstream.registration, upstream.backpressure, seconds, now
    ):
        return
    state.metrics.counters["upstream-asked-rest"] += 1
    state.backoff_watch.upstreams[upstream.registration.instance] = upstream
    state.backoff_watch.changed.set()
    logger.warning(
        "upstream requested back-off",
        extra={
            "request": request,
            "upstream": upstream.registration.instance,
            "seconds": round(seconds, 3),
            "in_flight": upstream.in_flight,
            "held": round(held, 1),
            "most": (
                upstream.backpressure.max_requests
                if now < upstream.backpressure.max_requests_until
                else None
            ),
        },
    )


def request_grants(state: GatewayState, pool: str) -> None:
    """Record demand for a pool, and wake the rate limiter if rate grants are missing."""
    if record_demand(pool_limits(state.table, pool), anyio.current_time()):
        rate_limiter_of(state).wake.set()


async def log_backoff_ends(state: GatewayState) -> None:
    """Log the end of each upstream's back-off; runs until cancelled."""
    watch = state.backoff_watch
    while True:
        now = anyio.current_time()
        for instance, upstream in list(watch.upstreams.items()):
            if upstream.backpressure.backoff_until <= now:
                del watch.upstreams[instance]
                logger.info(
                    "upstream back-off ended",
                    extra={"upstream": instance, "registered": instance in state.table.upstreams},
                )
        watch.changed = anyio.Event()
        until = min(
            (item.backpressure.backoff_until for item in watch.upstreams.values()),
            default=float("inf"),
        )
        with anyio.move_on_after(until - now):
            await watch.changed.wait()
