"""Registrations of upstreams as soft state: kept by id and sequence, merged from many sources.

Every control box takes registrations and tells every other box. Nothing here is written to a disk:
upstreams register again within one heartbeat interval.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ..model.registration import Liveness, Registration, UpstreamState, run_began

if TYPE_CHECKING:
    from collections.abc import Iterable

GONE_REMEMBERED: Final = 4096
"""Ids of ended upstreams that are kept, so that a late heartbeat does not bring one back.
A day of 600 upstreams with 110 restarts needs a few hundred."""


class KnownUpstream(msgspec.Struct, kw_only=True):
    """An upstream that registered."""

    registration: Registration
    """The newest registration."""

    first_heard_at: float
    """When it was first heard, on the own monotonic clock."""

    began_at: float
    """Estimate of when its run began, on the own monotonic clock."""

    heard_at: float
    """When the upstream was last heard by anybody, on the own monotonic clock."""


class NewestRun(msgspec.Struct, frozen=True, kw_only=True):
    """The newest run of an upstream that keeps its id over restarts."""

    instance: str
    """Name of the run."""

    born_ms: int
    """When it started, in milliseconds since 1970."""


class RegistrationTable(msgspec.Struct, kw_only=True):
    """All upstreams that are known."""

    known: dict[str, KnownUpstream] = msgspec.field(default_factory=dict)
    """Upstreams that have not ended, by id."""

    gone: dict[str, None] = msgspec.field(default_factory=dict)
    """Ids of upstreams that have ended, oldest first."""

    newest: dict[str, NewestRun] = msgspec.field(default_factory=dict)
    """Newest run of each upstream by the id that it keeps, the one heard of last at the end."""

    heartbeat: float = 1.0
    """Time between two heartbeats of an upstream, in seconds."""


def take_registration(
    table: RegistrationTable, registration: Registration, heard_at: float
) -> bool:
    """Take in a registration, wherever it came from.

    Args:
        table: The table.
        registration: The registration.
        heard_at: When the upstream was heard, on the own monotonic clock.

    Returns:
        True if it says anything new, so that others must be told.
    """
    instance = registration.instance
    if instance in table.gone:
        return False
    if registration.state is UpstreamState.GONE:
        table.known.pop(instance, None)
        _remember_gone(table, instance)
        return True
    held = table.known.get(instance)
    if held is None and has_newer_run(table, registration):
        return False
    if held is not None and not _is_same_place(held.registration, registration):
        return False
    began_at = run_began(registration, heard_at, table.heartbeat)
    if held is None:
        _note_newest(table, registration)
        table.known[instance] = KnownUpstream(
            registration=registration,
            first_heard_at=heard_at,
            began_at=began_at,
            heard_at=heard_at,
        )
        return True
    held.began_at = min(held.began_at, began_at)
    held.heard_at = max(held.heard_at, heard_at)
    if registration.sequence <= held.registration.sequence:
        return False
    registration = _keep_leaving(held.registration, registration)
    changed = not _same_content(held.registration, registration)
    held.registration = registration
    return changed


def has_newer_run(table: RegistrationTable, registration: Registration) -> bool:
    """Tell whether a later run of an upstream is known, so that this one has ended."""
    newest = table.newest.get(registration.upstream_id)
    if newest is None or newest.instance == registration.instance:
        return False
    return newest.born_ms > registration.born_ms


def name_run(table: RegistrationTable, registration: Registration) -> Registration:
    """Name the run that ends where only the id of its upstream was told: the newest one.

    Done once, where the upstream was heard: another box may know of a later run by the time that it
    is told.
    """
    newest = table.newest.get(registration.upstream_id)
    is_named = registration.instance != registration.upstream_id
    if registration.state is not UpstreamState.GONE or newest is None or is_named:
        return registration
    return msgspec.structs.replace(registration, instance=newest.instance)


def _note_newest(table: RegistrationTable, registration: Registration) -> None:
    newest = NewestRun(instance=registration.instance, born_ms=registration.born_ms)
    table.newest.pop(registration.upstream_id, None)
    table.newest[registration.upstream_id] = newest
    while len(table.newest) > GONE_REMEMBERED:
        del table.newest[next(iter(table.newest))]


def _is_same_place(held: Registration, new: Registration) -> bool:
    """Tell whether two messages of one run name the same pool and address: a run changes neither.

    Those of another writer under its id might, and would take it away from where it serves.
    """
    return (held.pool, held.address) == (new.pool, new.address)


def _remember_gone(table: RegistrationTable, instance: str) -> None:
    table.gone[instance] = None
    while len(table.gone) > GONE_REMEMBERED:
        del table.gone[next(iter(table.gone))]


def _keep_leaving(held: Registration, new: Registration) -> Registration:
    """Keep an upstream that announced its end from being taken for a ready one again."""
    if held.state is UpstreamState.LEAVING and new.state is UpstreamState.READY:
        return msgspec.structs.replace(new, state=UpstreamState.LEAVING)
    return new


def _same_content(one: Registration, other: Registration) -> bool:
    return msgspec.structs.replace(one, sequence=other.sequence) == other


def end_of(instance: str, upstream: str = "") -> Registration:
    """Return the registration that says that an upstream has ended.

    Args:
        instance: Name of the run, or only the id of the upstream.
        upstream: Id that it keeps over restarts, if it does.
    """
    return Registration(instance=instance, sequence=0, state=UpstreamState.GONE, upstream=upstream)


def tell_all(table: RegistrationTable, now: float) -> tuple[Liveness, ...]:
    """Return everything that is known, for a box that has just connected."""
    return tuple(
        Liveness(registration=item.registration, age=max(0.0, now - item.heard_at))
        for item in table.known.values()
    )


def take_all(table: RegistrationTable, told: Iterable[Liveness], now: float) -> list[Registration]:
    """Merge what another box knows.

    Args:
        table: The own table.
        told: What the other box told.
        now: Own monotonic time.

    Returns:
        The registrations that were news.
    """
    return [
        item.registration
        for item in told
        if take_registration(table, item.registration, now - item.age)
    ]


def ages(table: RegistrationTable, now: float) -> dict[str, float]:
    """Return for each upstream how long ago it was last heard, in seconds."""
    return {instance: max(0.0, now - item.heard_at) for instance, item in table.known.items()}


def take_ages(table: RegistrationTable, told: Iterable[tuple[str, float]], now: float) -> None:
    """Note how many seconds ago other boxes heard the upstreams that are known here."""
    for instance, age in told:
        held = table.known.get(instance)
        if held is not None:
            held.heard_at = max(held.heard_at, now - age)


def superseded(table: RegistrationTable) -> set[str]:
    """Return the runs after which a newer one has registered, at their address or under their id.

    An upstream that crashed says nothing of it.
    """
    newest: dict[str, tuple[float, str]] = {}
    for instance, item in table.known.items():
        address, run = item.registration.address, (item.began_at, instance)
        newest[address] = max(newest.get(address, run), run)
    at_old_address = set(table.known) - {instance for _began_at, instance in newest.values()}
    return at_old_address | {
        instance
        for instance, item in table.known.items()
        if has_newer_run(table, item.registration)
    }


def forget_silent(table: RegistrationTable, now: float, silence: float) -> list[str]:
    """Drop upstreams that nobody has heard for long; they may register again.

    Args:
        table: The table.
        now: Monotonic time.
        silence: Seconds without a heartbeat after which an upstream is dropped.

    Returns:
        Ids that were dropped.
    """
    silent = [instance for instance, item in table.known.items() if now - item.heard_at > silence]
    for instance in silent:
        del table.known[instance]
    return silent
