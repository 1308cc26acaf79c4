"""Taking in how many requests a second upstreams take, and keeping to it."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.rate_limit import MOST_RATE, RateLimit, end_rate, name_rate
from ...routing.rate_grants import HeldLimit

if TYPE_CHECKING:
    from ...model.exchange import AnswerFacts
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

LOG_SECONDS: Final = 1.0
"""How often it is logged what was sent under a limit."""


def note_rate(
    state: GatewayState, upstream: ForwardedUpstream, facts: AnswerFacts, sent_at: float
) -> None:
    """Take in which rate an upstream names in the head of an answer, or that it names none.

    Args:
        state: The process's state.
        upstream: The upstream that answered.
        facts: What the head says.
        sent_at: When the request was sent, on the monotonic clock.
    """
    if facts.wrong_upstream:
        return
    named = facts.named_rate
    rate = math.inf if named is None else named.rate
    if rate is None:
        # It names something that nobody can keep to, and does not take back what it named before.
        return
    now = anyio.current_time()
    if rate < MOST_RATE:
        _name(state, upstream, rate, now)
    elif facts.signed or facts.not_run:
        _end(state, upstream, sent_at, now)


def _name(state: GatewayState, upstream: ForwardedUpstream, rate: float, now: float) -> None:
    if upstream.limit is None:
        limit = RateLimit(rate=rate, named_at=now)
        upstream.limit = HeldLimit(limit=limit)
        state.table.limits.limits[upstream.registration.instance] = upstream.limit
    elif not name_rate(upstream.limit.limit, rate, now):
        return
    state.metrics.counters["upstream-named-rate"] += 1
    logger.warning(
        "upstream names a limit",
        extra={"upstream": upstream.registration.instance, "rate": rate},
    )


def _end(state: GatewayState, upstream: ForwardedUpstream, sent_at: float, now: float) -> None:
    if upstream.limit is None or not end_rate(upstream.limit.limit, sent_at, now):
        return
    logger.info(
        "upstream names no limit any more", extra={"upstream": upstream.registration.instance}
    )


async def watch_limits(state: GatewayState) -> None:
    """Log what this box sends to upstreams that name a limit, for ever."""
    while True:
        await anyio.sleep(LOG_SECONDS)
        for instance, held in state.table.limits.limits.items():
            if held.sent:
                logger.info(
                    "sent under a limit",
                    extra={"upstream": instance, "rate": held.limit.rate, "sent": held.sent},
                )
                held.sent = 0
