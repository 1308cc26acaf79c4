"""Datagrams of the membership protocol."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class MemberStatus(IntEnum):
    """What a box is believed to be; of two claims of one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    """Said by the box itself before a planned stop."""


class MemberUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A claim about one box."""

    name: str
    failure_domain: str
    address: str
    incarnation: int
    """Raised by the box itself to refute a suspicion."""

    status: MemberStatus


class UpstreamReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a watching box saw of one upstream."""

    name: str
    version: int
    """Time of the observation in milliseconds since 1970; the newer report wins."""

    live: bool
    draining: bool
    running: int
    """Requests that it said to be working on."""


class Gossip(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Claims and reports that ride on other datagrams."""

    members: tuple[MemberUpdate, ...] = ()
    reports: tuple[UpstreamReport, ...] = ()


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag="ping", array_like=True):
    """Ask for a sign of life."""

    sender: str
    sequence_number: int
    gossip: Gossip
    on_behalf_of: str = ""
    """Address of the box that asked for this indirect probe; the answer goes there."""


class Ack(msgspec.Struct, frozen=True, kw_only=True, tag="ack", array_like=True):
    """A sign of life."""

    sender: str
    sequence_number: int
    gossip: Gossip


class ProbeRequest(msgspec.Struct, frozen=True, kw_only=True, tag="probe", array_like=True):
    """Ask another box to probe a third one."""

    sender: str
    sequence_number: int
    reply_to: str
    target: str
    """Address of the box to probe."""


class Summary(msgspec.Struct, frozen=True, kw_only=True, tag="summary", array_like=True):
    """Fingerprint of all that a box believes, for anti-entropy between failure domains."""

    sender: str
    reply_to: str
    fingerprint: bytes


class Digest(msgspec.Struct, frozen=True, kw_only=True, tag="digest", array_like=True):
    """Everything that a box believes, or a part of it."""

    sender: str
    gossip: Gossip
    reply_to: str = ""
    """Set if the sender wants the receiver's beliefs in return."""


MembershipMessage = Ping | Ack | ProbeRequest | Summary | Digest


class Datagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with the address that it goes to."""

    address: str
    message: MembershipMessage
