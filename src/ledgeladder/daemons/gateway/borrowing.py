"""Acquires retries for requests, and requests more quota from control boxes when none is left."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import anyio

from ...links.messages import RetryQuotaRequest
from ...routing.repeat_loans import MAX_QUOTA_REQUEST, QUOTA_SECONDS
from ...routing.repeat_window import acquire_local_retry, add_quota
from .state import PendingQuotaRequest, retry_budget
from .stream_session import begun_streams

if TYPE_CHECKING:
    from ...links.messages import RetryQuotaReply
    from ...routing.repeat_window import Retry
    from .state import GatewayState

logger = logging.getLogger(__name__)

QUOTA_WAIT_SECONDS: Final = 0.1
"""How long a request waits for quota: several round trips to another failure domain, and less than
the pause that callers of a stream accept."""

QUOTA_DENIED_SECONDS: Final = 0.5
"""How long no quota is requested after a denial."""


async def acquire_retry(state: GatewayState, pool: str, *, started: bool = True) -> Retry | None:
    """Acquire one retry for a pool, from quota granted by a control box if necessary.

    Args:
        state: State of the process.
        pool: Name of the pool.
        started: Whether the retry is for a stream whose caller has part of the answer. Only pools
            that share their room by priority keep retries for these.

    Returns:
        The retry, or None if the request must not be sent again.
    """
    # In other pools all requests share the budget.
    uses_kept = started or pool not in state.contended
    retry = _acquire_local(state, pool, uses_kept)
    if retry is None and await _request_quota(state, pool, uses_kept):
        retry = _acquire_local(state, pool, uses_kept)
    purpose = "started" if started else "new"
    if retry is None:
        state.metrics.counters["repeat-refused"] += 1
        state.metrics.counters[f"repeat-refused-{purpose}"] += 1
    else:
        state.metrics.counters[f"repeat-allowed-{purpose}"] += 1
    return retry


def _acquire_local(state: GatewayState, pool: str, started: bool) -> Retry | None:
    """Acquire a retry from this box's own share or from quota that it has."""
    return acquire_local_retry(
        retry_budget(state, pool),
        anyio.current_time(),
        state.entry_count,
        started=started,
        begun=0 if started else len(begun_streams(state, pool)),
    )


async def _request_quota(state: GatewayState, pool: str, started: bool) -> bool:
    """Request quota, batched by pool and purpose; return whether any was granted."""
    key = (pool, started)
    pending = state.batched_quota_requests.get(key)
    if pending is None:
        peers, now = state.peers, anyio.current_time()
        if peers is None or now < state.quota_denied_until.get(key, now):
            return False
        controls = [address for address in peers.ranked if address in peers.links]
        pending = state.batched_quota_requests[key] = PendingQuotaRequest(
            pool=pool, started=started, requested_at=now, remaining_controls=controls
        )
        pending.requested = 1
        try:
            # Streams that lose the same engine arrive in one iteration of the event loop, and share
            # one request.
            await anyio.sleep(0)
        finally:
            # Runs even if this caller disconnects, because others wait for the answer.
            del state.batched_quota_requests[key]
            _drop_unanswered(state, now)
            _request_next(state, pending)
    else:
        pending.requested += 1
    with anyio.move_on_after(pending.requested_at + QUOTA_WAIT_SECONDS - anyio.current_time()):
        await pending.done.wait()
    return pending.granted > 0


def _drop_unanswered(state: GatewayState, now: float) -> None:
    """Drop requests whose quota would have expired when an answer arrived."""
    for call, pending in list(state.pending_quota_requests.items()):
        if now - pending.requested_at >= QUOTA_SECONDS:
            del state.pending_quota_requests[call]


def _request_next(state: GatewayState, pending: PendingQuotaRequest) -> None:
    """Request the missing quota from the next control box, or finish if none remains."""
    assert state.peers is not None
    while pending.remaining_controls and pending.granted < pending.requested:
        link = state.peers.links.get(pending.remaining_controls.pop(0))
        if link is not None:
            pending.call = state.next_quota_call
            state.next_quota_call += 1
            state.pending_quota_requests[pending.call] = pending
            count = min(pending.requested - pending.granted, MAX_QUOTA_REQUEST)
            link.post(
                RetryQuotaRequest(
                    call=pending.call, pool=pending.pool, count=count, started=pending.started
                )
            )
            return
    state.metrics.counters["repeats-borrowed"] += pending.granted
    logger.info(
        "retry quota received",
        extra={
            "pool": pending.pool,
            "count": pending.granted,
            "wanted": pending.requested,
            "started": pending.started,
        },
    )
    if pending.granted == 0:
        _record_denial(state, pending)
    pending.done.set()


def _record_denial(state: GatewayState, pending: PendingQuotaRequest) -> None:
    """Request no quota for a while; if none is left for begun streams, none is left at all."""
    until = anyio.current_time() + QUOTA_DENIED_SECONDS
    state.quota_denied_until[pending.pool, False] = until
    if pending.started:
        state.quota_denied_until[pending.pool, True] = until


def handle_quota_reply(state: GatewayState, reply: RetryQuotaReply) -> None:
    """Add the quota that a control box granted, and request what is missing from the next one.

    A reply that arrives too late is ignored; the control box still counts its quota as granted.
    """
    pending = state.pending_quota_requests.pop(reply.call, None)
    if pending is None:
        return
    pending.granted += reply.count
    until = pending.requested_at + QUOTA_SECONDS
    budget = retry_budget(state, pending.pool)
    add_quota(budget, reply.count, until, started=pending.started)
    _request_next(state, pending)
