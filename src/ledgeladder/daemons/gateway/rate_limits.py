"""Keeping, together with all other boxes, to the requests a second that upstreams name."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final

import anyio

from ...coordination.rate_limit import (
    GRANT_SECONDS,
    MOST_RATE,
    RateLimit,
    end_rate,
    from_told,
    is_over,
    name_rate,
    take_told,
    tell,
)
from ...links import post_to_all
from ...links.messages import GrantRequest, RateLimitNews
from ...routing.rate_grants import (
    ASK_SECONDS,
    HeldLimit,
    add_grants,
    grants_to_ask,
    has_grant,
    is_limited,
    share_of,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...coordination.rate_limit import ToldLimit
    from ...links import Link
    from ...links.messages import GrantReply
    from ...model.exchange import AnswerFacts
    from ...routing.forwarding_table import ForwardedUpstream
    from .state import GatewayState

logger = logging.getLogger(__name__)

LOG_SECONDS: Final = 1.0
"""How often it is logged what was sent under a limit."""

NEWS_SECONDS: Final = 0.1
"""Least time between two rounds of news, for upstreams that change their mind with each answer."""


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
    instance = upstream.registration.instance
    if upstream.limit is None:
        _hold(state, instance, RateLimit(rate=rate, named_at=now))
    elif not name_rate(upstream.limit.limit, rate, now):
        return
    state.metrics.counters["upstream-named-rate"] += 1
    logger.warning("upstream names a limit", extra={"upstream": instance, "rate": rate, "age": 0.0})
    _tell_soon(state, instance)


def _end(state: GatewayState, upstream: ForwardedUpstream, sent_at: float, now: float) -> None:
    if upstream.limit is None or not end_rate(upstream.limit.limit, sent_at, now):
        return
    instance = upstream.registration.instance
    logger.info("upstream names no limit any more", extra={"upstream": instance, "age": 0.0})
    _tell_soon(state, instance)


def _tell_soon(state: GatewayState, instance: str) -> None:
    state.limit_news.changed[instance] = None
    state.limit_news.wake.set()


def _hold(state: GatewayState, instance: str, limit: RateLimit) -> HeldLimit:
    """Begin to keep to the limit of an upstream, also if it is not registered yet."""
    held = state.table.limits.limits[instance] = HeldLimit(limit=limit)
    upstream = state.table.upstreams.get(instance)
    if upstream is not None:
        upstream.limit = held
    return held


def take_limits(state: GatewayState, limits: Mapping[str, ToldLimit]) -> None:
    """Take in what a control box knows of limits, where that is newer."""
    now = anyio.current_time()
    for instance, told in limits.items():
        held = state.table.limits.limits.get(instance)
        if held is None:
            limit = from_told(told, now)
            if is_over(limit, now):
                continue
            _hold(state, instance, limit)
        elif not take_told(held.limit, told, now):
            continue
        else:
            limit = held.limit
        _log_told(instance, limit, now)
    if limits:
        state.limit_news.wake.set()


def _log_told(instance: str, limit: RateLimit, now: float) -> None:
    if limit.is_named:
        age = round(now - limit.named_at, 3)
        extra = {"upstream": instance, "rate": limit.rate, "age": age}
        logger.info("upstream names a limit", extra=extra)
    else:
        age = round(now - limit.ended_at, 3)
        logger.info("upstream names no limit any more", extra={"upstream": instance, "age": age})


def want_grants(state: GatewayState, pool: str) -> None:
    """Note that a request looks for an upstream of a pool, as far as some have limits."""
    now = anyio.current_time()
    for instance, held in state.table.limits.limits.items():
        upstream = state.table.upstreams.get(instance)
        if upstream is None or upstream.registration.pool != pool or upstream.leaving:
            continue
        held.wanted += 1
        if not has_grant(held, now):
            state.limit_news.wake.set()


def any_limited(state: GatewayState, pool: str) -> bool:
    """Tell whether any upstream of a pool has a limit."""
    now = anyio.current_time()
    return any(is_limited(item.limit, now) for item in state.table.pools.get(pool, ()))


def take_grant_reply(state: GatewayState, reply: GrantReply) -> None:
    """Take in what a control box lends; an answer that comes too late counts for nothing here."""
    take_limits(state, {instance: grant.limit for instance, grant in reply.grants.items()})
    asked_at = state.limit_news.asked_at.pop(reply.call, None)
    now = anyio.current_time()
    if asked_at is None or now >= asked_at + GRANT_SECONDS:
        return
    for instance, grant in reply.grants.items():
        held = state.table.limits.limits.get(instance)
        if held is not None:
            held.wait_until = now + grant.wait
            add_grants(held, grant.count, asked_at + GRANT_SECONDS)


async def keep_limits(state: GatewayState) -> None:
    """Tell control boxes what answers say of limits, and ask for requests, for ever."""
    news, table = state.limit_news, state.table.limits
    logged_at = float("-inf")
    while True:
        if not table.limits:
            await news.wake.wait()
        with anyio.move_on_after(ASK_SECONDS):
            await news.wake.wait()
        news.wake = anyio.Event()
        now = anyio.current_time()
        links = list(state.peers.links.values()) if state.peers is not None else []
        _tell_changes(state, links, now)
        if now - table.asked_at >= ASK_SECONDS:
            _ask(state, links, now)
        if now - logged_at >= LOG_SECONDS:
            _log_sent(state)
            logged_at = now
        _forget_over(state, now)
        await anyio.sleep(NEWS_SECONDS)


def _tell_changes(state: GatewayState, links: list[Link], now: float) -> None:
    changed = {
        instance: tell(held.limit, now)
        for instance in state.limit_news.changed
        if (held := state.table.limits.limits.get(instance)) is not None
    }
    state.limit_news.changed.clear()
    if changed:
        post_to_all(links, RateLimitNews(limits=changed))


def _ask(state: GatewayState, links: list[Link], now: float) -> None:
    """Ask for requests to all limited upstreams that callers want.

    Each control box lends its own part of a rate, so that each is asked for a part of them, and for
    the odd ones in turn.
    """
    news, table = state.limit_news, state.table.limits
    wanted = {
        instance: held
        for instance, held in table.limits.items()
        if held.wanted and is_limited(held, now)
    }
    if not wanted or not links:
        return
    table.asked_at = now
    for call in [call for call, at in news.asked_at.items() if now - at >= GRANT_SECONDS]:
        del news.asked_at[call]
    counts = {instance: grants_to_ask(held) for instance, held in wanted.items()}
    limits = {instance: tell(held.limit, now) for instance, held in wanted.items()}
    turn = news.calls
    for number, link in enumerate(links):
        shares = {
            instance: share
            for instance, count in counts.items()
            if (share := share_of(count, (number + turn) % len(links), len(links)))
        }
        if shares:
            news.calls += 1
            news.asked_at[news.calls] = now
            asked = {instance: limits[instance] for instance in shares}
            link.post(GrantRequest(call=news.calls, counts=shares, limits=asked))


def _log_sent(state: GatewayState) -> None:
    for instance, held in state.table.limits.limits.items():
        if held.sent or held.lent:
            logger.info(
                "sent under a limit",
                extra={
                    "upstream": instance,
                    "rate": held.limit.rate,
                    "sent": held.sent,
                    "lent": held.lent,
                },
            )
        held.sent = held.lent = 0


def _forget_over(state: GatewayState, now: float) -> None:
    limits = state.table.limits.limits
    for instance in [name for name, held in limits.items() if is_over(held.limit, now)]:
        del limits[instance]
        upstream = state.table.upstreams.get(instance)
        if upstream is not None:
            upstream.limit = None
