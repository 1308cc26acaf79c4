"""Grants entry boxes retry quota and requests to rate-limited upstreams.

Only voters grant, each of them an equal part, so the sum of all grants stays within the limit.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from ...coordination.rate_limit import LEADER_CONTACT_SECONDS
from ...links import post_to_all
from ...links.messages import RetryQuotaReply
from ...routing.repeat_loans import BASE_QUOTA_SHARE, QuotaLedger, grant_quota
from ...routing.repeat_window import USABLE_SHARE
from ..rate_lender import RateGranter
from .published_version import version_age

if TYPE_CHECKING:
    from ...links import Link
    from ...links.messages import RetryQuotaRequest
    from .state import RegistryState

logger = logging.getLogger(__name__)


def update_voter_status(state: RegistryState) -> None:
    """Record when this box became a voter; quota granted in an earlier membership is dropped."""
    is_voter = state.node.replica.is_voter
    if is_voter and state.voter_since is None:
        state.voter_since = anyio.current_time()
        state.quota_ledgers.clear()
    elif not is_voter:
        state.voter_since = None


def may_grant(state: RegistryState) -> bool:
    """Return whether this box is a voter, as confirmed by the leader recently."""
    age = version_age(state) if state.voter_since is not None else None
    return age is not None and age <= LEADER_CONTACT_SECONDS


def count_granting_voters(state: RegistryState) -> int:
    """Return the number of parts that a limit is divided into: the largest number of voters."""
    voters = 2 * state.settings.cluster.tolerated_losses + 1
    return max(voters, len(state.node.replica.log.members.voters))


def build_rate_granter(state: RegistryState) -> RateGranter:
    """Return a rate granter that uses the links of this process."""
    return RateGranter(
        parts=lambda: count_granting_voters(state),
        may_grant=lambda: may_grant(state),
        broadcast_to_entries=lambda message: post_to_all(state.entry_links.values(), message),
        broadcast_to_peers=lambda message: post_to_all(state.peers.links.values(), message),
    )


def handle_quota_request(state: RegistryState, link: Link, request: RetryQuotaRequest) -> None:
    """Grant an entry box as much of the requested retry quota as is left in this voter's part."""
    opened_at, count = state.voter_since, 0
    if opened_at is not None and may_grant(state):
        ledger = _quota_ledger(state, request.pool, opened_at)
        now = anyio.current_time()
        count = grant_quota(ledger, request.count, now, started=request.started)
    if count < request.count:
        logger.info(
            "retry quota not fully granted",
            extra={
                "peer": link.peer_box,
                "pool": request.pool,
                "wanted": request.count,
                "lent": count,
                "started": request.started,
                "age": version_age(state),
            },
        )
    link.post(RetryQuotaReply(call=request.call, count=count))


def _quota_ledger(state: RegistryState, pool: str, opened_at: float) -> QuotaLedger:
    """Return the ledger of retry quota granted for a pool, sized to this voter's part of it."""
    ledger = state.quota_ledgers.get(pool)
    if ledger is None:
        bounds = state.settings.bounds
        grantable = bounds.repeat_reserve * (1.0 - BASE_QUOTA_SHARE) * USABLE_SHARE
        ledger = state.quota_ledgers[pool] = QuotaLedger(
            grantable=grantable / count_granting_voters(state),
            window=bounds.repeat_window_seconds,
            opened_at=opened_at,
        )
    return ledger
