"""Rate grants of a control box, for upstreams that advertise a rate limit.

The box merges the limits that entry boxes report, broadcasts them, and grants requests out of its
part of each rate. Both kinds of control processes use this module, each with its own links.
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
from ..links.messages import Grant, GrantReply, RateLimitUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..coordination.rate_limit import ReportedLimit
    from ..links import Link
    from ..links.messages import GrantRequest, LinkMessage

logger = logging.getLogger(__name__)

BROADCAST_INTERVAL_SECONDS: Final = 1.0
"""Interval at which all limits are broadcast. Bounds the delay after a lost update, and for boxes
that have just started."""

MIN_UPDATE_INTERVAL_SECONDS: Final = 0.1
"""Minimum interval between updates that are sent besides the periodic ones. Each goes to every
entry box, and an upstream may advertise another rate in each response."""


class RateGranter(msgspec.Struct, kw_only=True):
    """Rate limits that one control box knows, and its grants."""

    parts: Callable[[], int]
    """Returns the maximum number of granting control boxes, including this one."""

    may_grant: Callable[[], bool]
    """Returns whether this box is certain to be one of them."""

    broadcast_to_entries: Callable[[LinkMessage], None]
    """Sends a message to the entry boxes that follow this box."""

    broadcast_to_peers: Callable[[LinkMessage], None]
    """Sends a message to the other control boxes."""

    ledgers: dict[str, RateLedger] = msgspec.field(default_factory=dict)
    """Token buckets by instance of the upstream."""

    last_broadcast_at: float = float("-inf")
    """When an update was last broadcast besides the periodic ones, on the monotonic clock."""


def apply_limits(
    granter: RateGranter, limits: Mapping[str, ReportedLimit], *, to_peers: bool
) -> None:
    """Merge limits that another box reports, and broadcast those that changed.

    Args:
        granter: The granter.
        limits: Reported limits by instance of the upstream.
        to_peers: Whether to broadcast to the other control boxes too. True if they came from an
            entry box.
    """
    now = anyio.current_time()
    updated = [
        instance
        for instance, reported in limits.items()
        if _apply_limit(granter, instance, reported, now)
    ]
    if not updated or now - granter.last_broadcast_at < MIN_UPDATE_INTERVAL_SECONDS:
        return
    granter.last_broadcast_at = now
    message = _build_update(granter, updated, now)
    granter.broadcast_to_entries(message)
    if to_peers:
        granter.broadcast_to_peers(message)


def _apply_limit(granter: RateGranter, instance: str, reported: ReportedLimit, now: float) -> bool:
    """Merge one limit, and return True if it changed."""
    ledger = granter.ledgers.get(instance)
    if ledger is not None:
        changed = merge_reported(ledger.limit, reported, now)
        limit = ledger.limit
    else:
        limit = from_reported(reported, now)
        if is_expired(limit, now):
            return False
        granter.ledgers[instance] = RateLedger(limit=limit, refilled_at=now)
        changed = True
    if changed:
        logger.info(
            "upstream rate limit changed",
            extra={"upstream": instance, "rate": limit.rate, "named": limit.is_advertised},
        )
    return changed


def _build_update(granter: RateGranter, instances: list[str], now: float) -> RateLimitUpdate:
    return RateLimitUpdate(
        limits={
            instance: to_reported(granter.ledgers[instance].limit, now) for instance in instances
        }
    )


def handle_grant_request(granter: RateGranter, link: Link, request: GrantRequest) -> None:
    """Grant requests to an entry box out of this box's part of each rate."""
    apply_limits(granter, request.limits, to_peers=True)
    now = anyio.current_time()
    grants: dict[str, Grant] = {}
    if _is_granting(granter):
        for instance, wanted in request.counts.items():
            ledger = granter.ledgers.get(instance)
            if ledger is None:
                continue
            record_requester(ledger, link.peer_box, now)
            count = grant_requests(ledger, wanted, granter.parts(), now)
            wait = mean_wait(ledger, now)
            grants[instance] = Grant(count=count, wait=wait, limit=to_reported(ledger.limit, now))
    link.post(GrantReply(call=request.call, grants=grants))


def record_own_calls(granter: RateGranter, instance: str, count: int) -> None:
    """Charge calls of this box to an upstream, which reduce the grants to others."""
    ledger = granter.ledgers.get(instance)
    if ledger is not None:
        charge_own_requests(ledger, count, granter.parts(), anyio.current_time())


def _is_granting(granter: RateGranter) -> bool:
    """Return whether this box grants requests, and empty its buckets if it does not.

    A box thus starts with empty buckets when it begins to grant.
    """
    if granter.may_grant():
        return True
    now = anyio.current_time()
    for ledger in granter.ledgers.values():
        ledger.tokens, ledger.refilled_at = min(ledger.tokens, 0.0), now
    return False


async def run_limit_broadcasts(granter: RateGranter) -> None:
    """Broadcast all limits periodically while there are any; runs until cancelled."""
    while True:
        await anyio.sleep(BROADCAST_INTERVAL_SECONDS)
        _is_granting(granter)
        now = anyio.current_time()
        for instance in [
            name for name, ledger in granter.ledgers.items() if is_expired(ledger.limit, now)
        ]:
            del granter.ledgers[instance]
        if granter.ledgers:
            update = limit_update(granter)
            granter.broadcast_to_entries(update)
            granter.broadcast_to_peers(update)


def limit_update(granter: RateGranter) -> RateLimitUpdate:
    """Return all limits as a message, for a box that has just connected."""
    return _build_update(granter, list(granter.ledgers), anyio.current_time())
