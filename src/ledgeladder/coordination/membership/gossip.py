"""Merges updates and reports, and selects those to forward."""

from __future__ import annotations

import hashlib
import math
from typing import Final

import msgspec

from .messages import Gossip, MemberStatus, MemberUpdate, UpstreamReport
from .state import Membership, MemberView, own_update

MEMBERS_PER_DATAGRAM: Final = 6
"""Maximum number of member updates in one datagram."""

REPORTS_PER_DATAGRAM: Final = 12
"""Maximum number of upstream reports in one datagram."""

TRANSMISSIONS_FACTOR: Final = 3.0
"""Transmissions of an update, as a multiple of the binary logarithm of the number of boxes."""


def transmissions(membership: Membership) -> int:
    """Return how many times a new update or report is forwarded."""
    return math.ceil(TRANSMISSIONS_FACTOR * math.log2(len(membership.members) + 2))


def merge(membership: Membership, gossip: Gossip, now: float) -> None:
    """Merge all updates and reports that supersede the current ones.

    Args:
        membership: Membership state of this box.
        gossip: Updates and reports from another box.
        now: Monotonic time in seconds.
    """
    for update in gossip.members:
        merge_member(membership, update, now)
    for report in gossip.reports:
        merge_report(membership, report)


def merge_member(membership: Membership, update: MemberUpdate, now: float) -> None:
    """Merge one update if it supersedes the current one, and schedule it for forwarding."""
    if update.name == membership.name:
        _refute(membership, update)
        return
    view = membership.members.get(update.name)
    if view is not None and not _supersedes(update, view.update):
        return
    membership.members[update.name] = MemberView(update=update, since=now)
    membership.pending_members[update.name] = transmissions(membership)


def _supersedes(update: MemberUpdate, current: MemberUpdate) -> bool:
    return (update.incarnation, update.status) > (current.incarnation, current.status)


def _refute(membership: Membership, update: MemberUpdate) -> None:
    """Refute an update that says this box is suspect, dead or left, by a higher incarnation."""
    if update.incarnation < membership.incarnation or membership.left:
        return
    if update.status is MemberStatus.ALIVE and update.incarnation == membership.incarnation:
        return
    membership.incarnation = update.incarnation + 1
    membership.pending_members[membership.name] = transmissions(membership)


def merge_report(membership: Membership, report: UpstreamReport) -> None:
    """Merge a report if it is newer, and schedule it for forwarding."""
    current = membership.reports.get(report.name)
    if current is not None and current.version >= report.version:
        return
    membership.reports[report.name] = report
    membership.pending_reports[report.name] = transmissions(membership)


def pop_gossip(membership: Membership) -> Gossip:
    """Select updates and reports to forward with a datagram, the least often sent first."""
    members: list[MemberUpdate] = []
    for name in _choose(membership.pending_members, MEMBERS_PER_DATAGRAM):
        if name == membership.name:
            members.append(own_update(membership))
        elif name in membership.members:
            members.append(membership.members[name].update)
    reports = [
        membership.reports[name]
        for name in _choose(membership.pending_reports, REPORTS_PER_DATAGRAM)
        if name in membership.reports
    ]
    return Gossip(members=tuple(members), reports=tuple(reports))


def _choose(pending: dict[str, int], limit: int) -> list[str]:
    names = sorted(pending, key=lambda name: -pending[name])[:limit]
    for name in names:
        pending[name] -= 1
        if pending[name] <= 0:
            del pending[name]
    return names


def full_state(membership: Membership) -> Gossip:
    """Return all updates and reports."""
    members = [own_update(membership)]
    members.extend(view.update for view in membership.members.values())
    return Gossip(members=tuple(members), reports=tuple(membership.reports.values()))


def fingerprint(membership: Membership) -> bytes:
    """Return a hash of the state of all boxes and of which upstreams are live or draining.

    Loads are excluded: they change constantly and matter mostly within their own failure domain.
    """
    own = own_update(membership)
    updates = [own, *(view.update for view in membership.members.values())]
    boxes = sorted((update.name, update.incarnation, int(update.status)) for update in updates)
    upstreams = sorted(
        (report.name, report.live, report.draining) for report in membership.reports.values()
    )
    return hashlib.blake2b(msgspec.msgpack.encode((boxes, upstreams)), digest_size=8).digest()
