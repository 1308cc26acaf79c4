"""State of one box in the membership protocol."""

from __future__ import annotations

import msgspec

from .messages import MemberStatus, MemberUpdate, UpstreamReport


class MembershipTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals, in seconds."""

    probe_interval: float = 0.5
    """Time between probes, each of one box (protocol period in the SWIM paper)."""

    ack_timeout: float = 0.15
    """Time without an answer to a direct probe before indirect probes are requested."""

    suspicion_timeout: float = 1.5
    """Time within which a suspected box must refute the suspicion."""

    summary_interval: float = 1.0
    """Mean time between comparisons with other failure domains."""

    dead_retention: float = 120.0
    """Time after which a box that is dead or has left is forgotten."""


class MemberView(msgspec.Struct, kw_only=True):
    """State of one other box."""

    update: MemberUpdate
    """The update in force."""

    since: float
    """When it was merged, on the monotonic clock."""


class Probe(msgspec.Struct, kw_only=True):
    """An unanswered probe."""

    target: str
    """Name of the probed box."""

    sequence_number: int
    """Sequence number of the probe."""

    sent_at: float
    """When it was sent, on the monotonic clock."""

    indirect: bool = False
    """True once indirect probes were requested."""


class Membership(msgspec.Struct, kw_only=True):
    """Membership state of one box: all boxes and upstreams that it knows."""

    name: str
    """Own name."""

    failure_domain: str
    """Own failure domain."""

    address: str
    """Own address for datagrams."""

    seeds: tuple[str, ...]
    """Addresses of the boxes to join through."""

    timing: MembershipTiming = msgspec.field(default_factory=MembershipTiming)
    """Protocol intervals."""

    incarnation: int = 0
    """Own incarnation; initially the wall clock time, so a restart supersedes old updates."""

    members: dict[str, MemberView] = msgspec.field(default_factory=dict)
    """Other boxes by name."""

    reports: dict[str, UpstreamReport] = msgspec.field(default_factory=dict)
    """Newest report of each upstream."""

    pending_members: dict[str, int] = msgspec.field(default_factory=dict)
    """Remaining transmissions of each update, by name of the box."""

    pending_reports: dict[str, int] = msgspec.field(default_factory=dict)
    """Remaining transmissions of each report, by upstream."""

    probe_order: list[str] = msgspec.field(default_factory=list)
    """Boxes still to probe in this round, last one first."""

    probe: Probe | None = None
    """The unanswered probe."""

    sequence_number: int = 0
    """Sequence number of the last probe or join."""

    probe_due: float = 0.0
    """When to send the next probe."""

    expiry_due: float = 0.0
    """When to check next for expired suspicions."""

    summary_due: float = 0.0
    """When to compare next with the other failure domains."""

    left: bool = False
    """True once this box has announced that it leaves."""


def own_update(membership: Membership) -> MemberUpdate:
    """Return the update of a box about itself."""
    return MemberUpdate(
        name=membership.name,
        failure_domain=membership.failure_domain,
        address=membership.address,
        incarnation=membership.incarnation,
        status=MemberStatus.LEFT if membership.left else MemberStatus.ALIVE,
    )


def alive(membership: Membership, failure_domain: str | None = None) -> list[MemberUpdate]:
    """Return the boxes that are alive or suspected, including this one unless it has left.

    Args:
        membership: Membership state of the box.
        failure_domain: Domain to select, or None for all.

    Returns:
        Updates, sorted by name.
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
