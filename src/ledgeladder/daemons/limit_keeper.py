"""Rate limiting of an entry box, for upstreams that advertise a rate for all boxes together.

The box reports advertised rates to control boxes and requests grants from them. Both kinds of entry
processes use this module, each with its own links and its own table of upstreams.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ..coordination.rate_limit import (
    GRANT_TTL_SECONDS,
    MAX_RATE,
    RateLimit,
    from_reported,
    is_expired,
    merge_reported,
    record_no_rate,
    record_rate,
    to_reported,
)
from ..links import post_to_all
from ..links.messages import GrantReply, GrantRequest, RateLimitUpdate
from ..routing.rate_grants import (
    REQUEST_INTERVAL_SECONDS,
    GrantedLimit,
    GrantedLimitTable,
    add_grants,
    grants_to_request,
    is_limited,
    split_evenly,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..coordination.rate_limit import ReportedLimit
    from ..links import Link
    from ..links.messages import LinkMessage
    from ..model.exchange import AdvertisedRate

logger = logging.getLogger(__name__)

LOG_INTERVAL_SECONDS: Final = 1.0
"""Interval at which the number of requests sent under each limit is logged."""

MIN_UPDATE_INTERVAL_SECONDS: Final = 0.1
"""Minimum interval between updates. An upstream may advertise another rate in each response."""


class RateLimiter(msgspec.Struct, kw_only=True):
    """Rate limits of one entry box, and its grant requests."""

    table: GrantedLimitTable
    """Limits that this box knows."""

    attach: Callable[[str, GrantedLimit | None], None]
    """Sets the limit of the upstream of this name, or removes it, if the upstream is known."""

    control_links: Callable[[], list[Link]]
    """Returns the established links to control boxes."""

    pending_updates: dict[str, None] = msgspec.field(default_factory=dict)
    """Upstreams whose limits changed here and were not sent to control boxes yet, oldest first."""

    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when there is an update to send or a grant to request."""

    last_call: int = 0
    """Number of the newest grant request."""

    requested_at: dict[int, float] = msgspec.field(default_factory=dict)
    """When each grant request that may still be answered was sent, on the monotonic clock."""


def record_advertised_rate(
    limiter: RateLimiter,
    upstream: str,
    advertised: AdvertisedRate | None,
    sent_at: float,
    *,
    is_own: bool,
) -> None:
    """Record the rate that an upstream advertises in a response, or that it advertises none.

    Args:
        limiter: The limiter.
        upstream: The upstream.
        advertised: The advertised rate.
        sent_at: When the request was sent, on the monotonic clock.
        is_own: Whether the response is certain to come from the upstream itself. Only then does a
            response without a rate withdraw the limit.
    """
    rate = math.inf if advertised is None else advertised.rate
    if rate is None:
        # The advertised value is invalid, and does not withdraw an earlier one.
        return
    now = anyio.current_time()
    if rate < MAX_RATE:
        _record_advertised(limiter, upstream, rate, now)
    elif is_own:
        _record_withdrawn(limiter, upstream, sent_at, now)


def _record_advertised(limiter: RateLimiter, upstream: str, rate: float, now: float) -> None:
    granted_limit = limiter.table.limits.get(upstream)
    if granted_limit is None:
        _start_limiting(limiter, upstream, RateLimit(rate=rate, advertised_at=now))
    elif not record_rate(granted_limit.limit, rate, now):
        return
    logger.warning(
        "upstream advertised a rate limit", extra={"upstream": upstream, "rate": rate, "age": 0.0}
    )
    _schedule_update(limiter, upstream)


def _record_withdrawn(limiter: RateLimiter, upstream: str, sent_at: float, now: float) -> None:
    granted_limit = limiter.table.limits.get(upstream)
    if granted_limit is None or not record_no_rate(granted_limit.limit, sent_at, now):
        return
    logger.info("upstream withdrew its rate limit", extra={"upstream": upstream, "age": 0.0})
    _schedule_update(limiter, upstream)


def _schedule_update(limiter: RateLimiter, upstream: str) -> None:
    limiter.pending_updates[upstream] = None
    limiter.wake.set()


def _start_limiting(limiter: RateLimiter, upstream: str, limit: RateLimit) -> None:
    """Start to limit an upstream, even if it is not known yet."""
    granted_limit = limiter.table.limits[upstream] = GrantedLimit(limit=limit)
    limiter.attach(upstream, granted_limit)


def handle_limit_message(limiter: RateLimiter, message: LinkMessage) -> bool:
    """Handle a control box's message about limits.

    Returns:
        False if the message is of another kind.
    """
    match message:
        case RateLimitUpdate():
            apply_limits(limiter, message.limits)
        case GrantReply():
            handle_grant_reply(limiter, message)
        case _:
            return False
    return True


def apply_limits(limiter: RateLimiter, limits: Mapping[str, ReportedLimit]) -> None:
    """Merge limits that a control box reports."""
    now = anyio.current_time()
    for upstream, reported in limits.items():
        granted_limit = limiter.table.limits.get(upstream)
        if granted_limit is None:
            limit = from_reported(reported, now)
            if is_expired(limit, now):
                continue
            _start_limiting(limiter, upstream, limit)
        elif not merge_reported(granted_limit.limit, reported, now):
            continue
        _log_reported(upstream, limiter.table.limits[upstream].limit, now)
    if limits:
        limiter.wake.set()


def _log_reported(upstream: str, limit: RateLimit, now: float) -> None:
    if limit.is_advertised:
        age = round(now - limit.advertised_at, 3)
        extra = {"upstream": upstream, "rate": limit.rate, "age": age}
        logger.info("upstream advertised a rate limit", extra=extra)
    else:
        age = round(now - limit.withdrawn_at, 3)
        logger.info("upstream withdrew its rate limit", extra={"upstream": upstream, "age": age})


def handle_grant_reply(limiter: RateLimiter, reply: GrantReply) -> None:
    """Add the requests that a control box granted, unless the reply is too late."""
    apply_limits(limiter, {upstream: grant.limit for upstream, grant in reply.grants.items()})
    requested_at = limiter.requested_at.pop(reply.call, None)
    now = anyio.current_time()
    if requested_at is None or now >= requested_at + GRANT_TTL_SECONDS:
        return
    for upstream, grant in reply.grants.items():
        granted_limit = limiter.table.limits.get(upstream)
        if granted_limit is not None:
            granted_limit.wait_until = now + grant.wait
            add_grants(granted_limit, grant.count, requested_at + GRANT_TTL_SECONDS)


async def run_rate_limiter(limiter: RateLimiter) -> None:
    """Report limits to control boxes and request grants; runs until cancelled."""
    logged_at = float("-inf")
    while True:
        with anyio.move_on_after(REQUEST_INTERVAL_SECONDS if limiter.table.limits else None):
            await limiter.wake.wait()
        limiter.wake = anyio.Event()
        now = anyio.current_time()
        links = limiter.control_links()
        _send_updates(limiter, links, now)
        if now - limiter.table.requested_at >= REQUEST_INTERVAL_SECONDS:
            _request_grants(limiter, links, now)
        if now - logged_at >= LOG_INTERVAL_SECONDS:
            _log_sent(limiter)
            logged_at = now
        _drop_expired(limiter, now)
        await anyio.sleep(MIN_UPDATE_INTERVAL_SECONDS)


def _send_updates(limiter: RateLimiter, links: list[Link], now: float) -> None:
    limits = {
        upstream: to_reported(granted_limit.limit, now)
        for upstream in limiter.pending_updates
        if (granted_limit := limiter.table.limits.get(upstream)) is not None
    }
    limiter.pending_updates.clear()
    if limits:
        post_to_all(links, RateLimitUpdate(limits=limits))


def _request_grants(limiter: RateLimiter, links: list[Link], now: float) -> None:
    """Request grants for all limited upstreams that callers need.

    Each control box grants its own part of a rate, so the wanted count is divided over all of them.
    The remainder goes to each in turn.
    """
    wanted = {
        upstream: granted_limit
        for upstream, granted_limit in limiter.table.limits.items()
        if granted_limit.demand and is_limited(granted_limit, now)
    }
    if not wanted or not links:
        return
    limiter.table.requested_at = now
    for call in [
        call for call, at in limiter.requested_at.items() if now - at >= GRANT_TTL_SECONDS
    ]:
        del limiter.requested_at[call]
    counts = {
        upstream: grants_to_request(granted_limit) for upstream, granted_limit in wanted.items()
    }
    limits = {
        upstream: to_reported(granted_limit.limit, now)
        for upstream, granted_limit in wanted.items()
    }
    turn = limiter.last_call
    for number, link in enumerate(links):
        shares = {
            upstream: share
            for upstream, count in counts.items()
            if (share := split_evenly(count, (number + turn) % len(links), len(links)))
        }
        if shares:
            limiter.last_call += 1
            limiter.requested_at[limiter.last_call] = now
            requested_limits = {upstream: limits[upstream] for upstream in shares}
            link.post(GrantRequest(call=limiter.last_call, counts=shares, limits=requested_limits))


def _log_sent(limiter: RateLimiter) -> None:
    for upstream, granted_limit in limiter.table.limits.items():
        if granted_limit.sent or granted_limit.granted:
            logger.info(
                "sent under a limit",
                extra={
                    "upstream": upstream,
                    "rate": granted_limit.limit.rate,
                    "sent": granted_limit.sent,
                    "lent": granted_limit.granted,
                },
            )
        granted_limit.sent = granted_limit.granted = 0


def _drop_expired(limiter: RateLimiter, now: float) -> None:
    limits = limiter.table.limits
    for upstream in [
        name for name, granted_limit in limits.items() if is_expired(granted_limit.limit, now)
    ]:
        del limits[upstream]
        limiter.attach(upstream, None)
