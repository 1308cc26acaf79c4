"""Registrations of upstreams as soft state, keyed by instance and merged from all control boxes.

Every control box accepts registrations and forwards them to the others. Nothing is written to disk,
since upstreams register again within one heartbeat interval.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model.registration import Liveness, Registration, UpstreamState, estimate_start

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_GONE: Final = 4096
"""Exited instances that are kept, so a late heartbeat does not register one again. A day with a
hundred restarts among 600 upstreams needs a few hundred."""

EXIT_RESEND_SECONDS: Final = 60.0
"""Age up to which exits are told to a box that has just connected. Boxes keep an upstream without a
heartbeat for a quarter of that, and heartbeats are delayed by seconds."""


class KnownUpstream(msgspec.Struct, kw_only=True):
    """An instance of an upstream that registered."""

    registration: Registration
    """The newest registration."""

    first_seen_at: float
    """When it was first seen, on the local monotonic clock."""

    started_at: float
    """Estimated start of the instance, on the local monotonic clock."""

    last_seen_at: float
    """When any box last received a heartbeat from it, on the local monotonic clock."""


class NewestInstance(msgspec.Struct, frozen=True, kw_only=True):
    """The newest instance of an upstream that keeps its id over restarts."""

    instance: str
    """Name of the instance."""

    started_ms: int
    """When it started, in milliseconds since 1970."""


class RegistrationTable(msgspec.Struct, kw_only=True):
    """All upstreams that are known."""

    known: dict[str, KnownUpstream] = msgspec.field(default_factory=dict)
    """Upstreams that have not exited, by instance."""

    gone: dict[str, float] = msgspec.field(default_factory=dict)
    """When each instance that has exited reported it, on the local monotonic clock, in the order in
    which they became known."""

    newest: dict[str, NewestInstance] = msgspec.field(default_factory=dict)
    """Newest instance of each upstream by upstream id, the most recently registered last."""

    heartbeat: float = 1.0
    """Time between two heartbeats of an upstream, in seconds."""


def apply_registration(
    table: RegistrationTable, registration: Registration, last_seen_at: float
) -> bool:
    """Apply a registration from any source.

    Args:
        table: The table.
        registration: The registration.
        last_seen_at: When the upstream was seen, on the local monotonic clock.

    Returns:
        True if anything changed and must be sent to other boxes.
    """
    instance = registration.instance
    if instance in table.gone:
        return False
    if registration.state is UpstreamState.EXITED:
        table.known.pop(instance, None)
        _record_gone(table, instance, last_seen_at)
        return True
    current = table.known.get(instance)
    if current is None and has_newer_instance(table, registration):
        return False
    if current is not None and not _has_same_address(current.registration, registration):
        return False
    started_at = estimate_start(registration, last_seen_at, table.heartbeat)
    if current is None:
        _record_newest(table, registration)
        table.known[instance] = KnownUpstream(
            registration=registration,
            first_seen_at=last_seen_at,
            started_at=started_at,
            last_seen_at=last_seen_at,
        )
        return True
    current.started_at = min(current.started_at, started_at)
    current.last_seen_at = max(current.last_seen_at, last_seen_at)
    if registration.sequence <= current.registration.sequence:
        return False
    registration = _keep_draining(current.registration, registration)
    changed = not _is_equivalent(current.registration, registration)
    current.registration = registration
    return changed


def has_newer_instance(table: RegistrationTable, registration: Registration) -> bool:
    """Return whether a later instance of the upstream is known, so this one has exited."""
    newest = table.newest.get(registration.upstream_id)
    if newest is None or newest.instance == registration.instance:
        return False
    return newest.started_ms > registration.started_ms


def resolve_instance(table: RegistrationTable, registration: Registration) -> Registration:
    """Fill in the newest instance in an exit that names only the id of its upstream.

    This is done only at the box that received the exit: by the time it reaches another box, that
    one may know of a later instance.
    """
    newest = table.newest.get(registration.upstream_id)
    is_named = registration.instance != registration.upstream_id
    if registration.state is not UpstreamState.EXITED or newest is None or is_named:
        return registration
    return msgspec.structs.replace(registration, instance=newest.instance)


def _record_newest(table: RegistrationTable, registration: Registration) -> None:
    newest = NewestInstance(instance=registration.instance, started_ms=registration.started_ms)
    table.newest.pop(registration.upstream_id, None)
    table.newest[registration.upstream_id] = newest
    while len(table.newest) > MAX_GONE:
        del table.newest[next(iter(table.newest))]


def _has_same_address(current: Registration, new: Registration) -> bool:
    """Return whether two messages of one instance name the same pool and address.

    An instance changes neither. A message that does comes from another sender under the same id and
    must not redirect requests.
    """
    return (current.pool, current.address) == (new.pool, new.address)


def _record_gone(table: RegistrationTable, instance: str, exited_at: float) -> None:
    table.gone[instance] = exited_at
    while len(table.gone) > MAX_GONE:
        del table.gone[next(iter(table.gone))]


def _keep_draining(current: Registration, new: Registration) -> Registration:
    """Keep an upstream that announced that it is draining from becoming ready again."""
    if current.state is UpstreamState.DRAINING and new.state is UpstreamState.READY:
        return msgspec.structs.replace(new, state=UpstreamState.DRAINING)
    return new


def _is_equivalent(one: Registration, other: Registration) -> bool:
    return msgspec.structs.replace(one, sequence=other.sequence) == other


def exit_registration(instance: str, upstream: str = "") -> Registration:
    """Return the registration that reports the exit of an upstream.

    Args:
        instance: Name of the instance, or only the id of the upstream.
        upstream: Id that it keeps over restarts, if it does.
    """
    return Registration(
        instance=instance, sequence=0, state=UpstreamState.EXITED, upstream=upstream
    )


def list_liveness(table: RegistrationTable, now: float) -> tuple[Liveness, ...]:
    """Return all known upstreams and recent exits, for a box that has just connected.

    That box may have missed the exits, or forgotten them in a restart, and would otherwise keep the
    upstreams, or accept a delayed heartbeat of one.
    """
    known = (
        Liveness(registration=item.registration, age=max(0.0, now - item.last_seen_at))
        for item in table.known.values()
    )
    exits = (
        Liveness(registration=exit_registration(instance), age=max(0.0, now - exited_at))
        for instance, exited_at in table.gone.items()
        if now - exited_at <= EXIT_RESEND_SECONDS
    )
    return (*known, *exits)


def reported_at(table: RegistrationTable, instance: str, default: float) -> float:
    """Return when an instance last reported, to any box, on the local monotonic clock."""
    known = table.known.get(instance)
    return table.gone.get(instance, default) if known is None else known.last_seen_at


def merge_liveness(
    table: RegistrationTable, reported: Iterable[Liveness], now: float
) -> list[Registration]:
    """Merge what another box knows.

    Args:
        table: The local table.
        reported: What the other box reported.
        now: Monotonic time.

    Returns:
        Registrations that changed anything.
    """
    return [
        item.registration
        for item in reported
        if apply_registration(table, item.registration, now - item.age)
    ]


def heartbeat_ages(table: RegistrationTable, now: float) -> dict[str, float]:
    """Return the seconds since the last heartbeat of each upstream."""
    return {instance: max(0.0, now - item.last_seen_at) for instance, item in table.known.items()}


def merge_ages(table: RegistrationTable, reported: Iterable[tuple[str, float]], now: float) -> None:
    """Merge heartbeat ages in seconds that another box reported; unknown upstreams are ignored."""
    for instance, age in reported:
        current = table.known.get(instance)
        if current is not None:
            current.last_seen_at = max(current.last_seen_at, now - age)


def superseded_instances(table: RegistrationTable) -> set[str]:
    """Return the instances that a newer one at the same address or of the same upstream replaced.

    An upstream that crashed does not report its exit.
    """
    newest: dict[str, tuple[float, str]] = {}
    for instance, item in table.known.items():
        address, candidate = item.registration.address, (item.started_at, instance)
        newest[address] = max(newest.get(address, candidate), candidate)
    at_old_address = set(table.known) - {instance for _started_at, instance in newest.values()}
    return at_old_address | {
        instance
        for instance, item in table.known.items()
        if has_newer_instance(table, item.registration)
    }


def drop_inactive(table: RegistrationTable, now: float, timeout_seconds: float) -> list[str]:
    """Drop upstreams without a recent heartbeat; they may register again.

    Args:
        table: The table.
        now: Monotonic time.
        timeout_seconds: Time without a heartbeat after which an upstream is dropped.

    Returns:
        Instances that were dropped.
    """
    inactive = [
        instance
        for instance, item in table.known.items()
        if now - item.last_seen_at > timeout_seconds
    ]
    for instance in inactive:
        del table.known[instance]
    return inactive
