"""Tells an upstream that is gone from a box that is cut off from all upstreams.

A connection that fails is evidence against an upstream only if the box opens connections to others.
If it opens none while other boxes do, the box is cut off, and other boxes relay its connections.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from .forwarding_table import ForwardedUpstream

SAMPLE_SIZE: Final = 3
"""Other upstreams that a box connects to in order to check its own reach."""

RECOVERY_ROUNDS: Final = 2
"""Consecutive rounds in which all sampled upstreams must accept before a cut counts as over. A link
that comes and goes would otherwise move all connections each time."""

UNKNOWN_VALID_SECONDS: Final = 1.0
"""How long a check that neither this box nor any other could answer keeps losses unreported."""

MAX_RELAY_PEERS: Final = 64
"""Entry boxes that are kept, the newest. Control boxes name a few at a time, so that each box knows
others of its own and a fleet spreads its relayed connections."""

PEER_VALID_SECONDS: Final = 120.0
"""How long a box that no control box names any more is asked, since it may have been removed."""

RELAY_CUT_AVOID_SECONDS: Final = 1.0
"""How long a box that reaches no upstream either is not asked again."""

RELAY_FULL_AVOID_SECONDS: Final = 0.25
"""How long a box that relays as much as it may is not asked again."""

RELAY_UNREACHABLE_AVOID_SECONDS: Final = 2.0
"""How long a box that does not answer, or is stopping, is not asked again."""


class ReachVerdict(StrEnum):
    """Result of a check of this box's own reach."""

    DIRECT = "direct"
    """This box reaches other upstreams, or another box cannot reach the upstream either."""

    CUT = "cut"
    """This box reaches no upstream, and other boxes do."""

    UNKNOWN = "unknown"
    """This box reaches no upstream, and no other box could tell."""


class UpstreamReach(msgspec.Struct, kw_only=True):
    """Outcomes of this box's own connections to upstreams, and what follows from them."""

    opened: int = 0
    """Number of connections that were opened."""

    failed: int = 0
    """Number of connections that could not be opened."""

    last_opened_at: float = float("-inf")
    """When the newest connection was opened, on the monotonic clock."""

    proved_at: float = float("-inf")
    """When connecting began for the newest connection that was opened, on the monotonic clock."""

    cut_since: float | None = None
    """When this box was found to be cut off, on the monotonic clock; None while it is not."""

    good_rounds: int = 0
    """Consecutive rounds since then in which all sampled upstreams accepted."""

    unknown_at: float = float("-inf")
    """When a check last had the result `UNKNOWN`, on the monotonic clock."""

    relayed: int = 0
    """Number of connections that were opened through other boxes."""

    @property
    def is_cut(self) -> bool:
        """True while this box is cut off from all upstreams."""
        return self.cut_since is not None


def record_opened(reach: UpstreamReach, started_at: float, now: float) -> None:
    """Record that this box opened a connection to an upstream itself.

    Args:
        reach: Reach of this box.
        started_at: When connecting began, on the monotonic clock.
        now: Monotonic time.
    """
    reach.opened += 1
    reach.last_opened_at = now
    reach.proved_at = max(reach.proved_at, started_at)


def record_not_opened(reach: UpstreamReach) -> None:
    """Record that this box could not open a connection to an upstream itself."""
    reach.failed += 1


def is_proved_since(reach: UpstreamReach, since: float) -> bool:
    """Return whether connecting began at or after a time, and succeeded."""
    return reach.proved_at >= since


def record_cut(reach: UpstreamReach, now: float) -> bool:
    """Record that this box is cut off; return False if that was known."""
    reach.good_rounds = 0
    if reach.is_cut:
        return False
    reach.cut_since = now
    return True


def record_round(reach: UpstreamReach, *, accepted: int, sampled: int) -> bool:
    """Record a round of connections that checks whether a cut is over.

    Args:
        reach: Reach of this box.
        accepted: Number of sampled upstreams that accepted a connection.
        sampled: Number of sampled upstreams.

    Returns:
        True if the cut is over.
    """
    reach.good_rounds = reach.good_rounds + 1 if sampled and accepted == sampled else 0
    if reach.good_rounds < RECOVERY_ROUNDS:
        return False
    reach.cut_since = None
    return True


def record_unknown(reach: UpstreamReach, now: float) -> None:
    """Record that nobody could tell whether this box is cut off."""
    reach.unknown_at = now


def may_report_losses(reach: UpstreamReach, now: float) -> bool:
    """Return whether upstreams that this box cannot reach may be reported to other boxes."""
    return not reach.is_cut and now - reach.unknown_at >= UNKNOWN_VALID_SECONDS


def sample_upstreams(
    upstreams: Iterable[ForwardedUpstream],
    excluded: Collection[str],
    own_domain: str,
    rng: random.Random,
) -> list[ForwardedUpstream]:
    """Choose the upstreams that a check of this box's reach connects to.

    They are of different failure domains and pools as far as possible, since a link or a pool that
    is down says nothing of the others. One is of this box's own domain, which is all that a box
    reaches in a partition between domains.

    Args:
        upstreams: All registered upstreams.
        excluded: Addresses that are known to be unreachable.
        own_domain: Failure domain of this box.
        rng: Random source.

    Returns:
        At most `SAMPLE_SIZE` upstreams.
    """
    groups: dict[tuple[str, str], list[ForwardedUpstream]] = {}
    for item in upstreams:
        if item.registration.address not in excluded:
            key = (item.registration.failure_domain, item.registration.pool)
            groups.setdefault(key, []).append(item)
    drawn = [rng.choice(group) for group in groups.values()]
    rng.shuffle(drawn)
    drawn.sort(key=lambda item: item.registration.failure_domain != own_domain)
    # The second of the own domain would displace one of another domain.
    own = [item for item in drawn if item.registration.failure_domain == own_domain]
    drawn = own[:1] + drawn[len(own) :] + own[1:]
    if len(drawn) < SAMPLE_SIZE:
        rest = [item for group in groups.values() for item in group if item not in drawn]
        drawn += rng.sample(rest, min(len(rest), SAMPLE_SIZE - len(drawn)))
    return drawn[:SAMPLE_SIZE]


class RelayPeers(msgspec.Struct, kw_only=True):
    """Entry boxes that may relay connections."""

    known: dict[str, float] = msgspec.field(default_factory=dict)
    """When a control box last named each box, on the monotonic clock, by IP address; the one named
    longest ago first."""

    avoid_until: dict[str, float] = msgspec.field(default_factory=dict)
    """Time until which a box is not asked, on the monotonic clock, by IP address."""


def record_relay_peers(
    peers: RelayPeers, addresses: Iterable[str], own_address: str, now: float
) -> None:
    """Record entry boxes that a control box names.

    Args:
        peers: The known boxes.
        addresses: IP addresses of the boxes. Those named longest ago are dropped beyond
            `MAX_RELAY_PEERS`.
        own_address: IP address of this box, which is ignored.
        now: Monotonic time.
    """
    for address in addresses:
        if address != own_address:
            peers.known.pop(address, None)
            peers.known[address] = now
    while len(peers.known) > MAX_RELAY_PEERS:
        oldest = next(iter(peers.known))
        del peers.known[oldest]
        peers.avoid_until.pop(oldest, None)


def avoid_relay_peer(peers: RelayPeers, address: str, seconds: float, now: float) -> None:
    """Leave a box out for some seconds."""
    peers.avoid_until[address] = now + seconds


def choose_relay_peers(peers: RelayPeers, count: int, now: float, rng: random.Random) -> list[str]:
    """Choose boxes to ask, in random order, so that no box relays for all others.

    Args:
        peers: The known boxes.
        count: Maximum number of boxes.
        now: Monotonic time.
        rng: Random source.

    Returns:
        Their IP addresses; empty if none is known that may be asked now.
    """
    usable = [
        address
        for address, named_at in peers.known.items()
        if now - named_at < PEER_VALID_SECONDS and peers.avoid_until.get(address, 0.0) <= now
    ]
    return rng.sample(usable, min(count, len(usable)))
