"""Sans-IO core of the SWIM membership protocol between boxes."""

from __future__ import annotations

from .core import is_representative, join, leave, next_due, receive, tick, watchers
from .gossip import fingerprint, merge, merge_report
from .messages import (
    Ack,
    Datagram,
    Digest,
    Gossip,
    MembershipMessage,
    MemberStatus,
    MemberUpdate,
    Ping,
    ProbeRequest,
    Summary,
    UpstreamReport,
)
from .state import Membership, MembershipTiming, MemberView, alive, own_update

__all__ = [
    "Ack",
    "Datagram",
    "Digest",
    "Gossip",
    "MemberStatus",
    "MemberUpdate",
    "MemberView",
    "Membership",
    "MembershipMessage",
    "MembershipTiming",
    "Ping",
    "ProbeRequest",
    "Summary",
    "UpstreamReport",
    "alive",
    "fingerprint",
    "is_representative",
    "join",
    "leave",
    "merge",
    "merge_report",
    "next_due",
    "own_update",
    "receive",
    "tick",
    "watchers",
]
