"""A control box's part in limits of upstreams: telling of them, and lending requests.

Both kinds of control processes use this, each with its own links.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio
import msgspec

from ..coordination.rate_lending import (
    RateLedger,
    charge_own_requests,
    grant_requests,
    mean_wait,
    record_requester,
)
from ..coordination.rate_limit import from_reported, is_expired, merge_reported, to_reported
from ..links.messages import Grant, GrantReply, RateLimitNews

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..coordination.rate_limit import ReportedLimit
    from ..links import Link
    from ..links.messages import GrantRequest, LinkMessage

logger = logging.getLogger(__name__)

TELL_SECONDS: Final = 1.0
"""How often all are told of all limits, so that lost news and boxes that have just started cost no
more than that."""

NEWS_SECONDS: Final = 0.1
"""Least time between two rounds of news beside that. Each goes to every entry box, and an upstream
may name another figure in each answer."""


class RateLender(msgspec.Struct, kw_only=True):
    """What one control box knows of limits, and what it lends."""

    parts: Callable[[], int]
    """Returns how many control boxes lend at most, this one included."""

    may_lend: Callable[[], bool]
    """Tells whether this box is one of them for certain."""

    tell_entries: Callable[[LinkMessage], None]
    """Tells the entry boxes that follow this box."""

    tell_peers: Callable[[LinkMessage], None]
    """Tells the other control boxes."""

    books: dict[str, RateLedger] = msgspec.field(default_factory=dict)
    """What it lends, by run of the upstream."""

    told_at: float = float("-inf")
    """When others were last told at once, on the monotonic clock."""


def take_limits(lender: RateLender, limits: Mapping[str, ReportedLimit], *, to_peers: bool) -> None:
    """Take in what another box knows of limits, and tell others what is news.

    Args:
        lender: What this box knows.
        limits: What it was told, by run of the upstream.
        to_peers: True if an entry box told it, so that the other control boxes must be told.
    """
    now = anyio.current_time()
    news = [instance for instance, told in limits.items() if _take(lender, instance, told, now)]
    if not news or now - lender.told_at < NEWS_SECONDS:
        return
    lender.told_at = now
    message = _news(lender, news, now)
    lender.tell_entries(message)
    if to_peers:
        lender.tell_peers(message)


def _take(lender: RateLender, instance: str, told: ReportedLimit, now: float) -> bool:
    """Take in one limit; returns True if it says something new."""
    book = lender.books.get(instance)
    if book is not None:
        changed = merge_reported(book.limit, told, now)
        limit = book.limit
    else:
        limit = from_reported(told, now)
        if is_expired(limit, now):
            return False
        lender.books[instance] = RateLedger(limit=limit, refilled_at=now)
        changed = True
    if changed:
        logger.info(
            "limit of an upstream",
            extra={"upstream": instance, "rate": limit.rate, "named": limit.is_advertised},
        )
    return changed


def _news(lender: RateLender, instances: list[str], now: float) -> RateLimitNews:
    return RateLimitNews(
        limits={instance: to_reported(lender.books[instance].limit, now) for instance in instances}
    )


def answer_grants(lender: RateLender, link: Link, request: GrantRequest) -> None:
    """Lend requests to an entry box out of the part of this box."""
    take_limits(lender, request.limits, to_peers=True)
    now = anyio.current_time()
    grants: dict[str, Grant] = {}
    if _is_lending(lender):
        for instance, wanted in request.counts.items():
            book = lender.books.get(instance)
            if book is None:
                continue
            record_requester(book, link.peer_box, now)
            count = grant_requests(book, wanted, lender.parts(), now)
            wait = mean_wait(book, now)
            grants[instance] = Grant(count=count, wait=wait, limit=to_reported(book.limit, now))
    link.post(GrantReply(call=request.call, grants=grants))


def note_own_calls(lender: RateLender, instance: str, count: int) -> None:
    """Count calls of this box to an upstream, which take the place of requests of others."""
    book = lender.books.get(instance)
    if book is not None:
        charge_own_requests(book, count, lender.parts(), anyio.current_time())


def _is_lending(lender: RateLender) -> bool:
    """Tell whether this box lends; one that does not has nothing saved when it begins to."""
    if lender.may_lend():
        return True
    now = anyio.current_time()
    for book in lender.books.values():
        book.tokens, book.refilled_at = min(book.tokens, 0.0), now
    return False


async def keep_telling_limits(lender: RateLender) -> None:
    """Tell all boxes all limits once a second while there are any, for ever."""
    while True:
        await anyio.sleep(TELL_SECONDS)
        _is_lending(lender)
        now = anyio.current_time()
        for instance in [
            name for name, book in lender.books.items() if is_expired(book.limit, now)
        ]:
            del lender.books[instance]
        if lender.books:
            news = limit_news(lender)
            lender.tell_entries(news)
            lender.tell_peers(news)


def limit_news(lender: RateLender) -> RateLimitNews:
    """Return the news of all limits, for a box that has just connected."""
    return _news(lender, list(lender.books), anyio.current_time())
