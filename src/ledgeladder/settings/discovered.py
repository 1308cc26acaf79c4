"""Settings of processes that discover each other from seeds instead of a list of boxes."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from .models import Address, LogSection, Name


class _Section(msgspec.Struct, frozen=True, kw_only=True):
    """A section that ignores unknown keys, as platforms add keys for other programs."""


class DiscoveredBox(_Section, frozen=True, kw_only=True):
    """Box that the process runs on."""

    name: Name
    """Name of the box, for logs."""

    failure_domain: Name
    """Failure domain of the box."""

    address: Annotated[str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}$")]
    """IP number of the box, from which its connections come and by which others know it."""


class DiscoveredCluster(_Section, frozen=True, kw_only=True):
    """Discovery and authentication of the processes."""

    name: Name = "ledgeladder"
    """Name of the cluster."""

    secret: Annotated[str, msgspec.Meta(min_length=16)]
    """Secret by which the processes recognise each other."""

    link_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    """Port on every box for links between the system's processes."""

    metrics_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    """Port on every box for metrics."""

    relay_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    """Port on every entry box for connections that it relays for others which reach no upstream; 0
    to relay none and ask nobody."""

    seeds: tuple[Address, ...]
    """Some control boxes, which may be out of date."""

    bootstrap: bool = False
    """True only when the whole system starts for the first time."""

    tolerated_losses: Annotated[int, msgspec.Meta(ge=0, le=3)] = 1
    """Boxes with a disk that may be lost at once; twice that and one vote."""


class Bounds(_Section, frozen=True, kw_only=True):
    """Guarantees to callers, operators and upstreams."""

    strict_revocation: bool = True
    """True if a key that was taken away must not work after `revocation_ms`."""

    revocation_ms: Annotated[float, msgspec.Meta(gt=0)] = 5000.0
    """How long a key may still work after a document without it was accepted."""

    apply_ms: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    """How long an accepted document may take to be in force, and a read may be out of date."""

    stop_seconds: Annotated[float, msgspec.Meta(gt=0)] = 8.0
    """How long a planned stop may take before the process is killed."""

    heartbeat_ms: Annotated[float, msgspec.Meta(gt=0)] = 1200.0
    """Time between heartbeats of an upstream."""

    stall_ms: Annotated[float, msgspec.Meta(gt=0)] = 3000.0
    """How long an engine waits for another one that is lost before it ends a request."""

    repeat_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    """Repeats that all boxes may make for each request."""

    repeat_reserve: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    """Repeats that all boxes may make besides, within `repeat_window_seconds`."""

    repeat_window_seconds: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    """Window of the two above."""


class GatewaySection(_Section, frozen=True, kw_only=True):
    """Settings of an entry process that forwards HTTP."""

    caller_address: Address
    """Where it accepts callers."""

    ready_address: Address
    """Where it is asked whether it is ready."""

    wait_queue_requests: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 256
    """Most requests that wait while it starts, and as many again while upstreams want no work; 0
    refuses them at once."""

    wait_queue_bytes: Annotated[int, msgspec.Meta(ge=0, le=1_073_741_824)] = 4_194_304
    """Most bytes that their bodies have together, an eighth of the memory that a box may use for
    control, and as many again."""

    relayed_connections: Annotated[int, msgspec.Meta(ge=0, le=65_536)] = 256
    """Most connections to upstreams that it relays for other boxes at once."""

    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1_048_576)] = 0
    """Memory that the process may use, in MB; requests of callers get an eighth of it, at least 8
    MB. 0 takes what the machine shows."""

    admission: Literal["by-priority", "off"] = "by-priority"
    """Which new streams get the room of engines that requests of several priorities share, while it
    is short; `off` admits them as they come."""


class RegistrySection(_Section, frozen=True, kw_only=True):
    """Settings of a control process that upstreams register with."""

    address: Address
    """Where it accepts upstreams and operators."""

    data_folder: Path
    """Folder on the disk that lasts."""

    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1_048_576)] = 0
    """Memory that the process may use, in MB; requests of callers get an eighth of it, at least 8
    MB. 0 takes what the machine shows."""

    snapshot_entries: Annotated[int, msgspec.Meta(ge=10, le=1_000_000)] = 200
    """Log entries after which a snapshot is taken; a document is a few kilobytes."""

    heartbeat_seconds: Annotated[float, msgspec.Meta(ge=0.01, le=5)] = 0.1
    """Time between heartbeats of the leader."""

    election_seconds: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 0.6
    """Least silence after which another leader is elected."""


class GatewaySettings(_Section, frozen=True, kw_only=True):
    """Settings file of an entry process that forwards HTTP."""

    box: DiscoveredBox
    """Box that the process runs on."""

    cluster: DiscoveredCluster
    """Discovery and authentication of the processes."""

    gateway: GatewaySection
    """Settings of the process."""

    bounds: Bounds = Bounds()
    """Guarantees to callers, operators and upstreams."""

    log: LogSection = LogSection()
    """Settings of structured logging."""


class RegistrySettings(_Section, frozen=True, kw_only=True):
    """Settings file of a control process that upstreams register with."""

    box: DiscoveredBox
    """Box that the process runs on."""

    cluster: DiscoveredCluster
    """Discovery and authentication of the processes."""

    registry: RegistrySection
    """Settings of the process."""

    bounds: Bounds = Bounds()
    """Guarantees to callers, operators and upstreams."""

    log: LogSection = LogSection()
    """Settings of structured logging."""
