"""Registrations: the state that upstreams report with each heartbeat."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class UpstreamState(StrEnum):
    """Whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "leaving"
    """It is about to stop and must get no new requests."""

    EXITED = "gone"
    """Its process has exited or is exiting; this instance never returns."""


class Holding(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A range of layers that an upstream has loaded."""

    first: int
    """First layer."""

    end: int
    """One past the last layer."""


class Registration(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The newest report of an upstream instance, which is one run of an upstream's process."""

    instance: str
    """Name of the instance; a restart gets another one."""

    sequence: int
    """Increases with every message of the instance; a lower number marks a late message."""

    pool: str = ""
    """Pool that it belongs to."""

    address: str = ""
    """`host:port` at which it accepts requests."""

    failure_domain: str = ""
    """Failure domain of its box."""

    slots: int = 1
    """Maximum number of concurrent requests."""

    state: UpstreamState = UpstreamState.READY
    """Whether it accepts new requests."""

    card: str = ""
    """Kind of its accelerator; empty for a plain service."""

    holdings: tuple[Holding, ...] = ()
    """Layers that it has loaded."""

    upstream: str = ""
    """Id that it keeps over restarts; empty if `instance` is its only id."""

    started_ms: int = 0
    """Start of the instance by its own clock, in milliseconds since 1970; 0 if not given. Of two
    instances with the same id, the one that started later is alive."""

    @property
    def upstream_id(self) -> str:
        """Id that all instances of the upstream share."""
        return self.upstream or self.instance


def estimate_start(registration: Registration, received_at: float, heartbeat: float) -> float:
    """Estimate when an instance started, to decide which of two instances at an address is newer.

    A heartbeat may arrive seconds late, after its instance has crashed and the next one has
    registered; its sequence number still gives the number of heartbeats before it.

    Args:
        registration: Report of the instance.
        received_at: When the report arrived, in seconds.
        heartbeat: Time between two heartbeats, in seconds.

    Returns:
        A time on the clock of `received_at`, late by the delay of the message. Of several
        estimates for one instance, the earliest is the most exact.
    """
    return received_at - registration.sequence * heartbeat


class Liveness(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A registration and the age of its last heartbeat."""

    registration: Registration
    """The registration."""

    age: float
    """Seconds since the sender last received a heartbeat of the upstream."""
