"""Datagrams of the membership protocol."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class MemberStatus(IntEnum):
    """Status of a box; of two updates with the same incarnation the higher status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    """Announced by the box itself before a planned stop."""


class MemberUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Status of one box at one incarnation."""

    name: str
    failure_domain: str
    address: str
    incarnation: int
    """Incremented by the box itself to refute a suspicion."""

    status: MemberStatus


class UpstreamReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Observation of one upstream by a watching box."""

    name: str
    version: int
    """Time of the observation in milliseconds since 1970; the newer report wins."""

    live: bool
    draining: bool
    running: int
    """Number of running requests that the upstream reported."""


class Gossip(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Updates and reports, piggybacked on the other messages."""

    members: tuple[MemberUpdate, ...] = ()
    reports: tuple[UpstreamReport, ...] = ()


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag="ping", array_like=True):
    """A direct or indirect probe, answered with an `Ack`."""

    sender: str
    sequence_number: int
    gossip: Gossip
    on_behalf_of: str = ""
    """Address of the box that requested this indirect probe and receives the `Ack`."""


class Ack(msgspec.Struct, frozen=True, kw_only=True, tag="ack", array_like=True):
    """Answer to a probe."""

    sender: str
    sequence_number: int
    gossip: Gossip


class ProbeRequest(msgspec.Struct, frozen=True, kw_only=True, tag="probe", array_like=True):
    """Request to probe a third box (ping-req in the SWIM paper)."""

    sender: str
    sequence_number: int
    reply_to: str
    target: str
    """Address of the box to probe."""


class Summary(msgspec.Struct, frozen=True, kw_only=True, tag="summary", array_like=True):
    """Fingerprint of a membership state, for anti-entropy between failure domains."""

    sender: str
    reply_to: str
    fingerprint: bytes


class Digest(msgspec.Struct, frozen=True, kw_only=True, tag="digest", array_like=True):
    """The membership state of a box, or a part of it."""

    sender: str
    gossip: Gossip
    reply_to: str = ""
    """Address for the receiver's membership state; empty if not requested."""


MembershipMessage = Ping | Ack | ProbeRequest | Summary | Digest


class Datagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with its destination address."""

    address: str
    message: MembershipMessage
