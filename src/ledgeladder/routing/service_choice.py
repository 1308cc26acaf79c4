"""Selection of a plain service for a request.

The least loaded one is selected, with a preference for the local failure domain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .forwarding_table import accepts_work, is_at_max_requests, is_inactive, is_usable, utilization

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from .forwarding_table import ForwardedUpstream

REMOTE_DOMAIN_PENALTY: Final = 0.15
"""Utilization added for an upstream in another failure domain, in requests per slot."""

JITTER: Final = 0.05
"""Largest random part of the weight, so that boxes with the same view choose differently."""

INACTIVE_PENALTY: Final = 2.0
"""Utilization added for an inactive upstream, in requests per slot."""


def choose_service(
    pool: Iterable[ForwardedUpstream],
    now: float,
    *,
    tried: Collection[str],
    failure_domain: str,
    sharers: int,
    rng: random.Random,
) -> ForwardedUpstream | None:
    """Choose the upstream for the next attempt of a request.

    Upstreams that recently failed or were full are a last resort, since this box only infers that
    they cannot serve. Draining, backing-off and rate-limited upstreams are never used, since that
    state is reported and not inferred; nor are those likely to request back-off again.

    Args:
        pool: Upstreams of the pool.
        now: Monotonic time.
        tried: Instances of upstreams that the request was already sent to.
        failure_domain: Failure domain of this box.
        sharers: Number of entry boxes that use the upstreams.
        rng: Source of the jitter.

    Returns:
        The upstream, or None if none is left.
    """
    candidates = [
        item
        for item in pool
        if accepts_work(item, now)
        and item.registration.instance not in tried
        and not is_at_max_requests(item, now, sharers)
    ]
    usable = [item for item in candidates if is_usable(item, now)] or candidates

    def weight(item: ForwardedUpstream) -> float:
        remote = (
            REMOTE_DOMAIN_PENALTY if item.registration.failure_domain != failure_domain else 0.0
        )
        inactive = INACTIVE_PENALTY if is_inactive(item, now) else 0.0
        return utilization(item, now, sharers) + remote + inactive + rng.random() * JITTER

    return min(usable, key=weight, default=None)
