"""The configuration: all objects under one increasing version, and checks of their consistency."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

import msgspec

from .documents import ClientAccount, Kind, Pipeline, Policy, Priority, Upstream, UpstreamKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .documents import ObjectReference, ObjectSet


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """An immutable set of objects with its version."""

    version: int = 0
    """Increases by one with each accepted change."""

    upstreams: dict[str, Upstream] = msgspec.field(default_factory=dict)
    """Upstreams by name."""

    pipelines: dict[str, Pipeline] = msgspec.field(default_factory=dict)
    """Pipelines by name."""

    priorities: dict[str, Priority] = msgspec.field(default_factory=dict)
    """Priorities by name."""

    accounts: dict[str, ClientAccount] = msgspec.field(default_factory=dict)
    """Client accounts by name."""

    policies: dict[str, Policy] = msgspec.field(default_factory=dict)
    """Policies by name."""


_Item = TypeVar("_Item", Upstream, Pipeline, Priority, ClientAccount, Policy)


def _merge(current: dict[str, _Item], put: Iterable[_Item], removed: set[str]) -> dict[str, _Item]:
    merged = {name: item for name, item in current.items() if name not in removed}
    merged.update({item.name: item for item in put})
    return merged


def apply_objects(
    configuration: Configuration, put: ObjectSet, remove: Sequence[ObjectReference]
) -> Configuration:
    """Apply a change to a configuration.

    Args:
        configuration: The current configuration; it is not modified.
        put: Objects to create or replace.
        remove: Objects to remove; missing ones are ignored.

    Returns:
        The changed configuration, with the next version number.
    """
    removed: dict[Kind, set[str]] = {kind: set() for kind in Kind}
    for reference in remove:
        removed[reference.kind].add(reference.name)
    return msgspec.structs.replace(
        configuration,
        version=configuration.version + 1,
        upstreams=_merge(configuration.upstreams, put.upstreams, removed[Kind.UPSTREAM]),
        pipelines=_merge(configuration.pipelines, put.pipelines, removed[Kind.PIPELINE]),
        priorities=_merge(configuration.priorities, put.priorities, removed[Kind.PRIORITY]),
        accounts=_merge(configuration.accounts, put.accounts, removed[Kind.ACCOUNT]),
        policies=_merge(configuration.policies, put.policies, removed[Kind.POLICY]),
    )


def digest(configuration: Configuration) -> bytes:
    """Hash a configuration, for boxes to compare theirs.

    Args:
        configuration: The configuration to hash.

    Returns:
        A digest of 16 bytes, equal for equal configurations.
    """
    encoded = msgspec.msgpack.encode(configuration, order="sorted")
    return hashlib.blake2b(encoded, digest_size=16).digest()


def find_problems(configuration: Configuration) -> list[str]:
    """Return the inconsistencies between the objects of a configuration.

    Args:
        configuration: The configuration to check.

    Returns:
        One sentence per problem; empty if the configuration is consistent.
    """
    problems: list[str] = []
    for upstream in configuration.upstreams.values():
        problems.extend(_upstream_problems(upstream))
    for pipeline in configuration.pipelines.values():
        problems.extend(_pipeline_problems(configuration, pipeline))
    seen_keys: dict[str, str] = {}
    for account in configuration.accounts.values():
        problems.extend(_account_problems(configuration, account, seen_keys))
    return problems


def _upstream_problems(upstream: Upstream) -> list[str]:
    if upstream.kind is UpstreamKind.SERVICE:
        return []
    problems = []
    if not upstream.model:
        problems.append(f"upstream {upstream.name}: an engine names the model that it holds")
    if upstream.end_layer <= upstream.first_layer:
        problems.append(f"upstream {upstream.name}: end_layer must exceed first_layer")
    return problems


def _pipeline_problems(configuration: Configuration, pipeline: Pipeline) -> list[str]:
    problems = []
    if bool(pipeline.model) == bool(pipeline.services):
        problems.append(f"pipeline {pipeline.name}: set either model or services")
    if pipeline.model and pipeline.layers == 0:
        problems.append(f"pipeline {pipeline.name}: layers must be at least 1")
    for service in pipeline.services:
        upstream = configuration.upstreams.get(service)
        if upstream is None or upstream.kind is not UpstreamKind.SERVICE:
            problems.append(f"pipeline {pipeline.name}: {service} is not a service upstream")
    if pipeline.policy is not None and pipeline.policy not in configuration.policies:
        problems.append(f"pipeline {pipeline.name}: policy {pipeline.policy} does not exist")
    return problems


def _account_problems(
    configuration: Configuration, account: ClientAccount, seen_keys: dict[str, str]
) -> list[str]:
    problems = []
    for pipeline in account.pipelines:
        if pipeline not in configuration.pipelines:
            problems.append(f"account {account.name}: pipeline {pipeline} does not exist")
    if account.priority is not None and account.priority not in configuration.priorities:
        problems.append(f"account {account.name}: priority {account.priority} does not exist")
    owner = seen_keys.setdefault(account.key_sha256, account.name)
    if owner != account.name:
        problems.append(f"account {account.name}: shares its key with account {owner}")
    return problems
