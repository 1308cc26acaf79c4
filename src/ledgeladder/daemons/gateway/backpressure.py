"""Taking in what upstreams ask for in their answers: rest for a time, no new work, or a limit."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...routing.forwarding_table import held_requests, limits_in
from ...routing.rate_grants import note_wanted
from ...routing.upstream_wishes import ask_rest, note_fullness, say_leaving
from ..limit_keeper import note_rate
from .state import limit_keeper_of

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
    """Take in what an upstream asks for in the head of an answer.

    Where it names a later engine as the one at fault, both are left alone: it speaks for itself,
    and what it says came from the other.

    Args:
        state: The process's state.
        permit: The request that was answered.
        upstream: The upstream that answered.
        facts: What the head says.
        sent_at: When the request was sent, on the monotonic clock.
    """
    if facts.wrong_upstream:
        # Another run of an upstream has the address, and speaks for itself alone.
        return
    instance = upstream.registration.instance
    is_own = facts.signed or facts.not_run
    note_rate(limit_keeper_of(state), instance, facts.named_rate, sent_at, is_own=is_own)
    if facts.leaving and say_leaving(state.table.book, upstream.registration, upstream.wishes):
        state.metrics.counters["upstream-said-leaving"] += 1
        logger.info(
            "upstream says that it leaves",
            extra={
                "request": permit.facts.attempt_id,
                "upstream": upstream.registration.instance,
                "registered": upstream.registration.state.value,
            },
        )
    if facts.rest_seconds is None:
        return
    asking = [upstream]
    if facts.culprit:
        pool = state.table.pools.get(permit.pool.name, [])
        asking += [item for item in pool if item.registration.address == facts.culprit]
    for item in asking:
        record_backoff(state, item, facts.rest_seconds, request=permit.facts.attempt_id)


def record_backoff(
    state: GatewayState,
    upstream: ForwardedUpstream,
    seconds: float,
    *,
    request: str = "",
) -> None:
    """Leave an upstream alone for a time that it named.

    Args:
        state: The process's state.
        upstream: The upstream.
        seconds: How long, from now on.
        request: Attempt that it refused; empty for a call of this box's own.
    """
    now = anyio.current_time()
    held = held_requests(upstream, now, state.entry_count)
    note_fullness(upstream.wishes, held, upstream.registration.slots, seconds, now)
    if not ask_rest(state.table.book, upstream.registration, upstream.wishes, seconds, now):
        return
    state.metrics.counters["upstream-asked-rest"] += 1
    state.backoff_watch.upstreams[upstream.registration.instance] = upstream
    state.backoff_watch.changed.set()
    logger.warning(
        "upstream asks for rest",
        extra={
            "request": request,
            "upstream": upstream.registration.instance,
            "seconds": round(seconds, 3),
            "in_flight": upstream.in_flight,
            "held": round(held, 1),
            "most": upstream.wishes.most if now < upstream.wishes.most_until else None,
        },
    )


def request_grants(state: GatewayState, pool: str) -> None:
    """Note that a request looks for an upstream of a pool, and ask for what limited ones lack."""
    if note_wanted(limits_in(state.table, pool), anyio.current_time()):
        limit_keeper_of(state).wake.set()


async def log_backoff_ends(state: GatewayState) -> None:
    """Log when upstreams have rested for as long as they asked, for ever."""
    resting = state.backoff_watch
    while True:
        now = anyio.current_time()
        for instance, upstream in list(resting.upstreams.items()):
            if upstream.wishes.rest_until <= now:
                del resting.upstreams[instance]
                logger.info(
                    "upstream has rested",
                    extra={"upstream": instance, "registered": instance in state.table.upstreams},
                )
        resting.changed = anyio.Event()
        until = min(
            (item.wishes.rest_until for item in resting.upstreams.values()), default=float("inf")
        )
        with anyio.move_on_after(until - now):
            await resting.changed.wait()
