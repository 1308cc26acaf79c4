"""The settings that each process reads from its TOML file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ..model.documents import ADDRESS_PATTERN, NAME_PATTERN

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
Sha256 = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A section that rejects unknown keys, which catches misspelled ones."""


class BoxSection(_Section, frozen=True, kw_only=True):
    """Box that the process runs on."""

    name: Name
    """Unique name of the process among all of its cluster."""

    failure_domain: Name
    """Failure domain of the box."""

    source_address: Annotated[str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}$")] | None = None
    """IP number that outgoing connections come from, for a box that has several."""


class ClusterSection(_Section, frozen=True, kw_only=True):
    """Settings shared by all processes of the cluster."""

    name: Name
    """Name of the cluster."""

    secret: Annotated[str, msgspec.Meta(min_length=16)]
    """Secret by which the processes recognise each other."""


class LogSection(_Section, frozen=True, kw_only=True):
    """Settings of structured logging."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    """Least level that is written."""


class ControlPeer(_Section, frozen=True, kw_only=True):
    """One control box of the cluster."""

    name: Name
    """Box name."""

    failure_domain: Name
    """Failure domain of the box."""

    link_address: Address
    """Where it accepts links."""

    operator_address: Address
    """Where it accepts operators."""


class EntryPeer(_Section, frozen=True, kw_only=True):
    """An entry box."""

    name: Name
    """Box name."""

    failure_domain: Name | None = None
    """Failure domain of the box; that of the reading box if left out."""

    link_address: Address
    """Where it accepts links over TCP and membership datagrams over UDP."""


class Operator(_Section, frozen=True, kw_only=True):
    """A person or program that may change the configuration."""

    name: Name
    """Name for the audit trail."""

    token_sha256: Sha256
    """SHA-256 of the operator's token, in hexadecimal."""


class ControlSection(_Section, frozen=True, kw_only=True):
    """Settings of a control process."""

    data_folder: Path
    """Folder on the disk that lasts."""

    listen_link_address: Address | None = None
    """Where to accept links, if not at the address that others know."""

    listen_operator_address: Address | None = None
    """Where to accept operators, if not at the address that others know."""

    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1_048_576)] = 0
    """Memory that the process may use, in MB; bodies of operators get an eighth of it, at least 8
    MB. 0 takes what the machine shows."""

    snapshot_entries: Annotated[int, msgspec.Meta(ge=10, le=1_000_000)] = 1000
    """Log entries after which a snapshot is taken."""

    heartbeat_seconds: Annotated[float, msgspec.Meta(ge=0.01, le=5)] = 0.1
    """Time between heartbeats of the leader."""

    election_seconds: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 0.6
    """Least silence after which another leader is elected."""


class EntrySection(_Section, frozen=True, kw_only=True):
    """Settings of an entry process."""

    caller_address: Address
    """Where it accepts callers."""

    link_address: Address
    """Where it accepts links over TCP and membership datagrams over UDP."""

    body_limit_bytes: Annotated[int, msgspec.Meta(ge=1024, le=64 * 1024 * 1024)] = 1024 * 1024
    """Longest request body."""

    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1_048_576)] = 0
    """Memory that the process may use, in MB; requests of callers get an eighth of it, at least 8
    MB. 0 takes what the machine shows."""

    queue_limit: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 256
    """Most requests that wait for an upstream."""

    in_flight_limit: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 400
    """Most requests in progress."""

    route_choice: Literal["better-of-two", "least-loaded", "round-robin"] = "better-of-two"
    """How an engine is chosen among those that hold a layer; the others are baselines."""

    stall_seconds: Annotated[float, msgspec.Meta(gt=0, le=60)] | None = None
    """Fixed gap between tokens after which stages are probed; if left out, each stream's pace."""

    entry_boxes: Annotated[int, msgspec.Meta(ge=1, le=10_000)] | None = None
    """Entry boxes of the cluster, among which limits are split; those listed if left out."""

    stop_notice_seconds: Annotated[float, msgspec.Meta(ge=0, le=600)] = 1.0
    """How long a stopping process still serves what the balancer sends."""

    stop_limit_seconds: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 90.0
    """How long a stopping process waits for requests in progress."""


class PlatformSection(_Section, frozen=True, kw_only=True):
    """Endpoints of the platform."""

    box_list_url: Annotated[str, msgspec.Meta(pattern=r"^http://")] | None = None
    """Page with the live and leaving upstreams, which lags."""

    poll_seconds: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 0.5
    """How often it is read."""


class ControlSettings(_Section, frozen=True, kw_only=True):
    """Settings file of a control process."""

    box: BoxSection
    """Box that the process runs on."""

    cluster: ClusterSection
    """Settings shared by all processes of the cluster."""

    control: ControlSection
    """Settings of the control process."""

    controls: Annotated[tuple[ControlPeer, ...], msgspec.Meta(min_length=1, max_length=8)]
    """All control boxes, this one included."""

    operators: tuple[Operator, ...] = ()
    """Who may change the configuration."""

    log: LogSection = LogSection()
    """Settings of structured logging."""


class EntrySettings(_Section, frozen=True, kw_only=True):
    """Settings file of an entry process."""

    box: BoxSection
    """Box that the process runs on."""

    cluster: ClusterSection
    """Settings shared by all processes of the cluster."""

    entry: EntrySection
    """Settings of the entry process."""

    controls: Annotated[tuple[ControlPeer, ...], msgspec.Meta(min_length=1, max_length=8)]
    """All control boxes."""

    entries: tuple[EntryPeer, ...] = ()
    """Entry boxes: all of the own failure domain, this one included, and some of each other."""

    platform: PlatformSection = PlatformSection()
    """Endpoints of the platform."""

    log: LogSection = LogSection()
    """Settings of structured logging."""
