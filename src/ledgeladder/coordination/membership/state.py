"""State of one box in the membership protocol."""

from __future__ import annotations

import msgspec

from .messages import MemberStatus, MemberUpdate, UpstreamReport


class MembershipTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals, in seconds."""

    probe_interval: float = 0.5
    """Time between probes of one box each."""

    ack_timeout: float = 0.15
    """How long a direct probe may take before others are asked to probe."""

    suspicion_timeout: float = 1.5
    """How long a suspected box may take to refute it."""

    summary_interval: float = 1.0
    """Time between comparisons with other failure domains."""

    dead_retention: float = 120.0
    """How long a dead box is remembered."""


class MemberView(msgspec.Struct, kw_only=True):
    """What is believed of one box."""

    update: MemberUpdate
    """The winning claim."""

    since: float
    """When it was taken over, on the monotonic clock."""


class Probe(msgspec.Struct, kw_only=True):
    """A probe that has not been answered."""

    target: str
    """Name of the box."""

    sequence_number: int
    """Number of the probe."""

    sent_at: float
    """When it was sent."""

    indirect: bool = False
    """True once others were asked."""


class Membership(msgspec.Struct, kw_only=True):
    """Beliefs of one box about all boxes and upstreams."""

    name: str
    """Own name."""

    failure_domain: str
    """Own failure domain."""

    address: str
    """Own address for datagrams."""

    seeds: tuple[str, ...]
    """Addresses of boxes to ask at the start."""

    timing: MembershipTiming = msgspec.field(default_factory=MembershipTiming)
    """Intervals."""

    incarnation: int = 0
    """Own incarnation; starts at the wall clock so that a restart wins over old claims."""

    members: dict[str, MemberView] = msgspec.field(default_factory=dict)
    """Beliefs by name, without the own box."""

    reports: dict[str, UpstreamReport] = msgspec.field(default_factory=dict)
    """Newest report of each upstream."""

    pending_members: dict[str, int] = msgspec.field(default_factory=dict)
    """How often a claim must still be passed on, by name."""

    pending_reports: dict[str, int] = msgspec.field(default_factory=dict)
    """How often a report must still be passed on, by upstream."""

    probe_order: list[str] = msgspec.field(default_factory=list)
    """Boxes still to be probed in this round."""

    probe: Probe | None = None
    """The unanswered probe."""

    sequence_number: int = 0
    """Number of the last probe."""

    probe_due: float = 0.0
    """When to probe next."""

    expiry_due: float = 0.0
    """When to look for suspicions that have run out next."""

    summary_due: float = 0.0
    """When to compare with another failure domain next."""

    left: bool = False
    """True once the own box has said that it leaves."""


def own_update(membership: Membership) -> MemberUpdate:
    """Return the claim of a box about itself."""
    return MemberUpdate(
        name=membership.name,
        failure_domain=membership.failure_domain,
        address=membership.address,
        incarnation=membership.incarnation,
        status=MemberStatus.LEFT if membership.left else MemberStatus.ALIVE,
    )


def alive(membership: Membership, failure_domain: str | None = None) -> list[MemberUpdate]:
    """Return the boxes that take part, the own one included.

    Args:
        membership: The beliefs.
        failure_domain: Only boxes of this one, or None for all.

    Returns:
        Claims, sorted by name. Suspected boxes still count.
    """
    own = [] if membership.left else [own_update(membership)]
    others = [
        view.update
        for view in membership.members.values()
        if view.update.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
    ]
    found = [
        update
        for update in own + others
        if failure_domain is None or update.failure_domain == failure_domain
    ]
    return sorted(found, key=lambda update: update.name)
