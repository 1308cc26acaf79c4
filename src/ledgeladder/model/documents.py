"""The objects that operators create: pipelines, upstreams, client accounts, priorities, policies.

They are validated when an operator submits them (see `validation`) and again when they are decoded
from the log or a link.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Final

import msgspec

NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9_.-]{0,62}$"
ADDRESS_PATTERN: Final = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
POLICY_SOURCE_LIMIT: Final = 16 * 1024
"""Maximum length of a policy program, in characters."""

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]


class Kind(StrEnum):
    """The kinds of object in a configuration."""

    PIPELINE = "pipeline"
    UPSTREAM = "upstream"
    ACCOUNT = "account"
    PRIORITY = "priority"
    POLICY = "policy"


class UpstreamKind(StrEnum):
    """What an upstream is."""

    ENGINE = "engine"
    SERVICE = "service"


class Upstream(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model engine that holds a range of layers, or a plain service."""

    name: Name
    """Unique name."""

    kind: UpstreamKind
    """Engine or service."""

    address: Address
    """`host:port` with an IP address."""

    failure_domain: Name
    """Failure domain that the upstream runs in."""

    model: str = ""
    """Model whose layers an engine holds; empty for a service."""

    first_layer: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    """First layer that an engine holds."""

    end_layer: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    """One past the last layer that an engine holds."""

    version: Annotated[str, msgspec.Meta(max_length=64)] = ""
    """Version of the weights that the engine is ordered to load; empty if no order is sent."""

    layers_per_second: Annotated[float, msgspec.Meta(gt=0, le=1e9)] = 1.0
    """Declared speed in layer steps per second over all requests; measurements adjust it."""

    checks_fences: bool = True
    """Whether the upstream rejects orders with an outdated fence."""


class Pipeline(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A model run by engines, or a set of plain services, as callers name it in requests."""

    name: Name
    """Unique name; callers use it as the model name."""

    model: str = ""
    """Model that the pipeline runs; empty for a pipeline of services."""

    layers: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    """Number of layers of the model."""

    services: tuple[Name, ...] = ()
    """Upstreams of kind service that may answer; empty for a pipeline that runs a model."""

    policy: Name | None = None
    """Policy that is evaluated for each request."""

    deadline_seconds: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 60.0
    """Maximum time from acceptance to the last byte of the answer."""

    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1024
    """Maximum number of tokens that one request may ask for."""


class Priority(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A priority class of requests; lower ranks are served first."""

    name: Name
    """Unique name."""

    rank: Annotated[int, msgspec.Meta(ge=0, le=100)]
    """Order among priorities, 0 first."""


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A caller's account with its key and limits."""

    name: Name
    """Unique name."""

    key_sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    """SHA-256 of the bearer key, in hexadecimal; the key itself is never stored."""

    pipelines: tuple[Name, ...] = ()
    """Pipelines that the account may use; empty for all."""

    priority: Name | None = None
    """Priority of its requests unless a policy sets another."""

    rate: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1000.0
    """Maximum number of requests per second over all boxes."""

    concurrency: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1000
    """Maximum number of requests in progress over all boxes."""


class Policy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A Starlark program that allows, denies or routes requests."""

    name: Name
    """Unique name."""

    source: Annotated[str, msgspec.Meta(max_length=POLICY_SOURCE_LIMIT)]
    """Source text; it defines `decide(request)`."""


class ObjectReference(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Names one object of a configuration."""

    kind: Kind
    """Kind of the object."""

    name: Name
    """Name of the object."""


class ObjectSet(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Objects of all kinds, as listed in a change file."""

    upstreams: tuple[Upstream, ...] = ()
    """Upstreams to create or replace."""

    pipelines: tuple[Pipeline, ...] = ()
    """Pipelines to create or replace."""

    priorities: tuple[Priority, ...] = ()
    """Priorities to create or replace."""

    accounts: tuple[ClientAccount, ...] = ()
    """Client accounts to create or replace."""

    policies: tuple[Policy, ...] = ()
    """Policies to create or replace."""


class ChangeDocument(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A configuration change submitted by an operator."""

    change_id: Annotated[
        str, msgspec.Meta(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")
    ]
    """Unique id of the change; resubmitting it under the same id is safe."""

    base_version: Annotated[int, msgspec.Meta(ge=0)]
    """Version that the change is based on."""

    put: ObjectSet = msgspec.field(default_factory=ObjectSet)
    """Objects to create or replace."""

    remove: tuple[ObjectReference, ...] = ()
    """Objects to remove."""
