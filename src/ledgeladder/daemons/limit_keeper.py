"""Keeping, together with all other boxes, to the requests a second that upstreams name.

Both kinds of entry processes use this, each with its own links and its own table of upstreams.
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
from ..links.messages import GrantReply, GrantRequest, RateLimitNews
from ..routing.rate_grants import (
    ASK_SECONDS,
    HeldLimit,
    LimitTable,
    add_grants,
    grants_to_ask,
    is_limited,
    share_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..coordination.rate_limit import ReportedLimit
    from ..links import Link
    from ..links.messages import LinkMessage
    from ..model.exchange import NamedRate

logger = logging.getLogger(__name__)

LOG_SECONDS: Final = 1.0
"""How often it is logged what was sent under a limit."""

NEWS_SECONDS: Final = 0.1
"""Least time between two rounds of news, for upstreams that change their mind with each answer."""


class LimitKeeper(msgspec.Struct, kw_only=True):
    """What an entry box does about limits."""

    table: LimitTable
    """Limits that it knows."""

    attach: Callable[[str, HeldLimit | None], None]
    """Gives the upstream of a name its limit, or takes it away, if the upstream is known."""

    controls: Callable[[], list[Link]]
    """Returns the links to control boxes that are up."""

    changed: dict[str, None] = msgspec.field(default_factory=dict)
    """Upstreams whose answers here said something new that others must be told, oldest first."""

    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when there is something to tell or to ask for."""

    calls: int = 0
    """Questions that were asked; the number of the newest."""

    asked_at: dict[int, float] = msgspec.field(default_factory=dict)
    """When each question that may yet be answered was asked, on the monotonic clock."""


def note_rate(
    keeper: LimitKeeper, upstream: str, named: NamedRate | None, sent_at: float, *, is_own: bool
) -> None:
    """Take in which rate an upstream names in an answer, or that it names none.

    Args:
        keeper: The box's part.
        upstream: The upstream.
        named: The rate that the answer names.
        sent_at: When the request was sent, on the monotonic clock.
        is_own: True if the answer is the upstream's own for certain. Only then does one that names
            no rate end a limit.
    """
    rate = math.inf if named is None else named.rate
    if rate is None:
        # It names something that nobody can keep to, and does not take back what it named before.
        return
    now = anyio.current_time()
    if rate < MAX_RATE:
        _name(keeper, upstream, rate, now)
    elif is_own:
        _end(keeper, upstream, sent_at, now)


def _name(keeper: LimitKeeper, upstream: str, rate: float, now: float) -> None:
    held = keeper.table.limits.get(upstream)
    if held is None:
        _hold(keeper, upstream, RateLimit(rate=rate, advertised_at=now))
    elif not record_rate(held.limit, rate, now):
        return
    logger.warning("upstream names a limit", extra={"upstream": upstream, "rate": rate, "age": 0.0})
    _tell_soon(keeper, upstream)


def _end(keeper: LimitKeeper, upstream: str, sent_at: float, now: float) -> None:
    held = keeper.table.limits.get(upstream)
    if held is None or not record_no_rate(held.limit, sent_at, now):
        return
    logger.info("upstream names no limit any more", extra={"upstream": upstream, "age": 0.0})
    _tell_soon(keeper, upstream)


def _tell_soon(keeper: LimitKeeper, upstream: str) -> None:
    keeper.changed[upstream] = None
    keeper.wake.set()


def _hold(keeper: LimitKeeper, upstream: str, limit: RateLimit) -> None:
    """Begin to keep to the limit of an upstream, also if it is not known yet."""
    held = keeper.table.limits[upstream] = HeldLimit(limit=limit)
    keeper.attach(upstream, held)


def take_limit_message(keeper: LimitKeeper, message: LinkMessage) -> bool:
    """Take in what a control box says of limits.

    Returns:
        False if the message is about something else.
    """
    match message:
        case RateLimitNews():
            take_limits(keeper, message.limits)
        case GrantReply():
            take_grant_reply(keeper, message)
        case _:
            return False
    return True


def take_limits(keeper: LimitKeeper, limits: Mapping[str, ReportedLimit]) -> None:
    """Take in what a control box knows of limits, where that is newer."""
    now = anyio.current_time()
    for upstream, told in limits.items():
        held = keeper.table.limits.get(upstream)
        if held is None:
            limit = from_reported(told, now)
            if is_expired(limit, now):
                continue
            _hold(keeper, upstream, limit)
        elif not merge_reported(held.limit, told, now):
            continue
        _log_told(upstream, keeper.table.limits[upstream].limit, now)
    if limits:
        keeper.wake.set()


def _log_told(upstream: str, limit: RateLimit, now: float) -> None:
    if limit.is_advertised:
        age = round(now - limit.advertised_at, 3)
        extra = {"upstream": upstream, "rate": limit.rate, "age": age}
        logger.info("upstream names a limit", extra=extra)
    else:
        age = round(now - limit.withdrawn_at, 3)
        logger.info("upstream names no limit any more", extra={"upstream": upstream, "age": age})


def take_grant_reply(keeper: LimitKeeper, reply: GrantReply) -> None:
    """Take in what a control box lends; an answer that comes too late counts for nothing here."""
    take_limits(keeper, {upstream: grant.limit for upstream, grant in reply.grants.items()})
    asked_at = keeper.asked_at.pop(reply.call, None)
    now = anyio.current_time()
    if asked_at is None or now >= asked_at + GRANT_TTL_SECONDS:
        return
    for upstream, grant in reply.grants.items():
        held = keeper.table.limits.get(upstream)
        if held is not None:
            held.wait_until = now + grant.wait
            add_grants(held, grant.count, asked_at + GRANT_TTL_SECONDS)


async def keep_limits(keeper: LimitKeeper) -> None:
    """Tell control boxes what answers say of limits, and ask for requests, for ever."""
    logged_at = float("-inf")
    while True:
        with anyio.move_on_after(ASK_SECONDS if keeper.table.limits else None):
            await keeper.wake.wait()
        keeper.wake = anyio.Event()
        now = anyio.current_time()
        links = keeper.controls()
        _tell_changes(keeper, links, now)
        if now - keeper.table.asked_at >= ASK_SECONDS:
            _ask(keeper, links, now)
        if now - logged_at >= LOG_SECONDS:
            _log_sent(keeper)
            logged_at = now
        _forget_over(keeper, now)
        await anyio.sleep(NEWS_SECONDS)


def _tell_changes(keeper: LimitKeeper, links: list[Link], now: float) -> None:
    changed = {
        upstream: to_reported(held.limit, now)
        for upstream in keeper.changed
        if (held := keeper.table.limits.get(upstream)) is not None
    }
    keeper.changed.clear()
    if changed:
        post_to_all(links, RateLimitNews(limits=changed))


def _ask(keeper: LimitKeeper, links: list[Link], now: float) -> None:
    """Ask for requests to all limited upstreams that callers want.

    Each control box lends its own part of a rate, so that each is asked for a part of them, and for
    the odd ones in turn.
    """
    wanted = {
        upstream: held
        for upstream, held in keeper.table.limits.items()
        if held.wanted and is_limited(held, now)
    }
    if not wanted or not links:
        return
    keeper.table.asked_at = now
    for call in [call for call, at in keeper.asked_at.items() if now - at >= GRANT_TTL_SECONDS]:
        del keeper.asked_at[call]
    counts = {upstream: grants_to_ask(held) for upstream, held in wanted.items()}
    limits = {upstream: to_reported(held.limit, now) for upstream, held in wanted.items()}
    turn = keeper.calls
    for number, link in enumerate(links):
        shares = {
            upstream: share
            for upstream, count in counts.items()
            if (share := share_of(count, (number + turn) % len(links), len(links)))
        }
        if shares:
            keeper.calls += 1
            keeper.asked_at[keeper.calls] = now
            asked = {upstream: limits[upstream] for upstream in shares}
            link.post(GrantRequest(call=keeper.calls, counts=shares, limits=asked))


def _log_sent(keeper: LimitKeeper) -> None:
    for upstream, held in keeper.table.limits.items():
        if held.sent or held.lent:
            logger.info(
                "sent under a limit",
                extra={
                    "upstream": upstream,
                    "rate": held.limit.rate,
                    "sent": held.sent,
                    "lent": held.lent,
                },
            )
        held.sent = held.lent = 0


def _forget_over(keeper: LimitKeeper, now: float) -> None:
    limits = keeper.table.limits
    for upstream in [name for name, held in limits.items() if is_expired(held.limit, now)]:
        del limits[upstream]
        keeper.attach(upstream, None)
