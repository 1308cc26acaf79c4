"""Which plain service gets a request: the one with the least to do, near ones before far ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .forwarding_table import is_at_most, is_silent, is_usable, pressure, takes_work

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from .forwarding_table import ForwardedUpstream

REMOTE_DOMAIN_PENALTY: Final = 0.15
"""How much emptier an upstream of another failure domain must be, in requests per slot."""

JITTER: Final = 0.05
"""Random part of the choice, so that boxes that know the same do not choose the same."""

INACTIVE_PENALTY: Final = 2.0
"""Added for an upstream that nobody has heard lately."""


def choose_service(
    pool: Iterable[ForwardedUpstream],
    now: float,
    *,
    tried: Collection[str],
    failure_domain: str,
    sharers: int,
    rng: random.Random,
) -> ForwardedUpstream | None:
    """Choose the upstream for the next try of a request.

    Those that failed or were full lately are the last resort, since this box only guesses that they
    cannot serve. Those that leave, asked for rest or take no more requests in this second are none:
    they said what they want. Nor are those that would ask for rest again.

    Args:
        pool: Upstreams of the pool.
        now: Monotonic time.
        tried: Runs of upstreams that it was tried at.
        failure_domain: Failure domain of this box.
        sharers: Entry boxes that send to them.
        rng: Source of the random part.

    Returns:
        The upstream, or None if none is left.
    """
    candidates = [
        item
        for item in pool
        if takes_work(item, now)
        and item.registration.instance not in tried
        and not is_at_most(item, now, sharers)
    ]
    usable = [item for item in candidates if is_usable(item, now)] or candidates

    def weight(item: ForwardedUpstream) -> float:
        remote = (
            REMOTE_DOMAIN_PENALTY if item.registration.failure_domain != failure_domain else 0.0
        )
        inactive = INACTIVE_PENALTY if is_silent(item, now) else 0.0
        return pressure(item, now, sharers) + remote + inactive + rng.random() * JITTER

    return min(usable, key=weight, default=None)
