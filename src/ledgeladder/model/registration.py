"""What an upstream says of itself when it registers."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class UpstreamState(StrEnum):
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "leaving"
    """It ends soon and must get no new work."""

    EXITED = "gone"
    """It has ended, or is about to; this run of it never returns."""


class Holding(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A range of layers that an upstream holds."""

    first: int
    """First layer."""

    end: int
    """One past the last layer."""


class Registration(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The newest that one run of an upstream said of itself."""

    instance: str
    """Name of this run of the upstream; a restart has another."""

    sequence: int
    """Rises with every message of this run, so that a late one is recognised."""

    pool: str = ""
    """Pool that it belongs to."""

    address: str = ""
    """`host:port` at which it takes requests."""

    failure_domain: str = ""
    """Where it runs."""

    slots: int = 1
    """Requests that it works on at once."""

    state: UpstreamState = UpstreamState.READY
    """Whether it takes new work."""

    card: str = ""
    """Kind of its accelerator; empty for a plain service."""

    holdings: tuple[Holding, ...] = ()
    """Layers that it holds."""

    upstream: str = ""
    """Id that it keeps over restarts; empty where each run has another, and `instance` is all."""

    started_ms: int = 0
    """When this run started, in milliseconds since 1970, by its own clock; 0 if it does not say. Of
    two runs with one id the later one is the one that lives."""

    @property
    def upstream_id(self) -> str:
        """Id that is the same for all of its runs."""
        return self.upstream or self.instance


def estimate_start(registration: Registration, heard_at: float, heartbeat: float) -> float:
    """Estimate when a run of an upstream began, to tell which of two runs at an address is newer.

    A heartbeat may arrive seconds late, after its run has crashed and the next one has registered;
    its number still says how many came before it.

    Args:
        registration: What the run said.
        heard_at: When that arrived.
        heartbeat: Time between two messages of a run, in seconds.

    Returns:
        A time on the clock of `heard_at`; too late by as much as the message was. Of several
        messages of one run the earliest estimate is the best one.
    """
    return heard_at - registration.sequence * heartbeat


class Liveness(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A registration and how long ago its upstream was last heard."""

    registration: Registration
    """The registration."""

    age: float
    """Seconds since the upstream was last heard by whoever tells this."""
