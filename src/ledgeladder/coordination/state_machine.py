"""The replicated state machine: configuration, change history, audit trail and claims.

Applying a command is a pure function of state and command, without clock or random numbers, so
every member that applies the same log has the same state.
"""

from __future__ import annotations

import hashlib
from typing import Final

import msgspec

from ..model import ChangeDocument, Configuration, ResultCode, apply_objects
from .claims import ClaimTable, claim, complete, expire, release
from .commands import (
    Acknowledgement,
    ChangeCommand,
    ChangeResult,
    ClaimCommand,
    Command,
    CompleteCommand,
    OrderCommand,
    OrderDoneCommand,
    PublishCommand,
    PublishResult,
    QuarantineCommand,
    RefusalCommand,
    ReleaseCommand,
    Result,
)
from .orders import OrderTable, confirm_order, place_order
from .quarantine import Quarantine, add_fingerprint

MAX_DECIDED_CHANGES: Final = 4096
"""Decided change ids that are kept. A resend of an older one fails by its base version."""

MAX_AUDIT_ENTRIES: Final = 4096
"""Audit entries that are kept in the state; the log has all of them."""

PLATFORM_OPERATOR: Final = "platform"
"""Operator recorded in the audit trail for whole documents, which name none."""

MAX_DELTAS: Final = 256
"""Accepted changes that are kept for boxes that lag by a few versions."""


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One decided change, accepted or refused."""

    time_ms: int
    """When it was decided, in milliseconds since 1970."""

    operator: str
    """Operator that requested it."""

    change_id: str
    """Id that the operator gave it."""

    code: ResultCode
    """Outcome."""

    version: int
    """Version that it made, or the version in force when it was refused."""

    detail: str
    """What was changed, or why it was refused."""


class DecidedChange(msgspec.Struct, frozen=True, kw_only=True):
    """The first answer to a change id."""

    content_digest: bytes
    """Digest of the change, which distinguishes a resend from a reuse of the id."""

    result: ChangeResult
    """The answer."""


class Delta(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change as it is sent to the boxes."""

    version: int
    """Version that results from applying it to the one before."""

    change: ChangeDocument
    """The objects put and removed."""


class PublishedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The whole document of the highest version, for boxes that are configured by documents."""

    version: int = 0
    """Its version; 0 before the first."""

    body: bytes = b""
    """The document as the operator sent it, compressed with zlib."""


class ClusterState(msgspec.Struct, kw_only=True):
    """The replicated state, which is stored in snapshots."""

    configuration: Configuration = msgspec.field(default_factory=Configuration)
    """The newest accepted configuration."""

    decided: dict[str, DecidedChange] = msgspec.field(default_factory=dict)
    """First answers by change id, oldest first."""

    deltas: list[Delta] = msgspec.field(default_factory=list)
    """Recent accepted changes, oldest first."""

    audit: list[AuditEntry] = msgspec.field(default_factory=list)
    """Recent audit entries, oldest first."""

    claims: ClaimTable = msgspec.field(default_factory=ClaimTable)
    """Claims of requests that may run at most once."""

    orders: OrderTable = msgspec.field(default_factory=OrderTable)
    """Newest order to each engine."""

    clock_ms: int = 0
    """Highest wall-clock time of any command so far."""

    published: PublishedDocument = msgspec.field(default_factory=PublishedDocument)
    """The document in force, if whole documents are published."""

    quarantine: Quarantine = msgspec.field(default_factory=Quarantine)
    """Fingerprints of request content that is sent to no upstream."""


COMMAND_DECODER: Final = msgspec.msgpack.Decoder(Command)
_STATE_DECODER: Final = msgspec.msgpack.Decoder(ClusterState)


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


def encode_state(state: ClusterState) -> bytes:
    """Encode a state for a snapshot."""
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> ClusterState:
    """Decode the state of a snapshot."""
    return _STATE_DECODER.decode(data)


def apply_command(state: ClusterState, command: Command) -> Result:
    """Apply one committed command.

    Args:
        state: The state, which is changed.
        command: The command.

    Returns:
        The result for the proposer of the command.
    """
    state.clock_ms = max(state.clock_ms, command.time_ms)
    expire(state.claims, state.clock_ms)
    match command:
        case ChangeCommand():
            return _apply_change(state, command)
        case RefusalCommand():
            _append_audit_entry(
                state, command, command.code, state.configuration.version, command.detail
            )
            return Acknowledgement(accepted=True)
        case ClaimCommand():
            return claim(state.claims, command, state.clock_ms)
        case CompleteCommand():
            return Acknowledgement(accepted=complete(state.claims, command))
        case ReleaseCommand():
            return Acknowledgement(accepted=release(state.claims, command))
        case OrderCommand():
            place_order(state.orders, command.upstream, command.assignment)
            return Acknowledgement(accepted=True)
        case OrderDoneCommand():
            return Acknowledgement(
                accepted=confirm_order(state.orders, command.upstream, command.index)
            )
        case PublishCommand():
            return _publish(state, command)
        case QuarantineCommand():
            is_new = add_fingerprint(state.quarantine, command.fingerprint, state.clock_ms)
            return Acknowledgement(accepted=is_new)


def _publish(state: ClusterState, command: PublishCommand) -> PublishResult:
    """Keep the document of the highest version; an equal version never replaces the first."""
    is_newer = command.version > state.published.version
    if is_newer:
        state.published = PublishedDocument(version=command.version, body=command.body)
    entry = AuditEntry(
        time_ms=command.time_ms,
        operator=PLATFORM_OPERATOR,
        change_id=f"version {command.version}",
        code=ResultCode.OK,
        version=state.published.version,
        detail="published" if is_newer else "not newer; nothing changed",
    )
    state.audit.append(entry)
    del state.audit[:-MAX_AUDIT_ENTRIES]
    return PublishResult(version=state.published.version, in_force=is_newer)


def change_digest(change: ChangeDocument) -> bytes:
    """Return the digest of a change without its id."""
    encoded = msgspec.msgpack.encode((change.base_version, change.put, change.remove))
    return hashlib.blake2b(encoded, digest_size=16).digest()


def previous_result(state: ClusterState, change: ChangeDocument) -> ChangeResult | None:
    """Return the answer to a change id that was decided before.

    Args:
        state: The state.
        change: The change, which may be a resend.

    Returns:
        The first answer, a refusal if the content differs, or None for a new id.
    """
    earlier = state.decided.get(change.change_id)
    if earlier is None:
        return None
    if earlier.content_digest != change_digest(change):
        return ChangeResult(
            code=ResultCode.CHANGE_ID_REUSED,
            version=state.configuration.version,
            detail=f"change id {change.change_id} was used before with other content",
        )
    result = earlier.result
    return msgspec.structs.replace(result, repeated=True)


def check_base_version(state: ClusterState, change: ChangeDocument) -> ChangeResult | None:
    """Check the base version of a change.

    Args:
        state: The state.
        change: The change.

    Returns:
        The refusal, or None if the change is based on the current version.
    """
    current = state.configuration.version
    if change.base_version == current:
        return None
    if change.base_version > current:
        code = ResultCode.VERSION_FUTURE
        detail = f"base version {change.base_version} does not exist; current is {current}"
    else:
        code = ResultCode.VERSION_CONFLICT
        detail = f"base version {change.base_version} was superseded; current is {current}"
    return ChangeResult(code=code, version=current, detail=detail)


def _apply_change(state: ClusterState, command: ChangeCommand) -> ChangeResult:
    change = command.change
    previous = previous_result(state, change)
    if previous is not None:
        if previous.code is ResultCode.CHANGE_ID_REUSED:
            _append_audit_entry(state, command, previous.code, previous.version, previous.detail)
        return previous
    result = check_base_version(state, change)
    if result is None:
        state.configuration = apply_objects(state.configuration, change.put, change.remove)
        version = state.configuration.version
        state.deltas.append(Delta(version=version, change=change))
        del state.deltas[:-MAX_DELTAS]
        result = ChangeResult(code=ResultCode.OK, version=version, detail=_summarize(change))
    _append_audit_entry(state, command, result.code, result.version, result.detail)
    state.decided[change.change_id] = DecidedChange(
        content_digest=change_digest(change), result=result
    )
    while len(state.decided) > MAX_DECIDED_CHANGES:
        del state.decided[next(iter(state.decided))]
    return result


def _summarize(change: ChangeDocument) -> str:
    put = change.put
    groups = (put.upstreams, put.pipelines, put.priorities, put.accounts, put.policies)
    names = [item.name for group in groups for item in group]
    removed = [f"{reference.kind.value} {reference.name}" for reference in change.remove]
    parts = []
    if names:
        parts.append("put " + ", ".join(names[:20]) + (" ..." if len(names) > 20 else ""))
    if removed:
        parts.append("removed " + ", ".join(removed[:20]))
    return "; ".join(parts)


def _append_audit_entry(
    state: ClusterState,
    command: ChangeCommand | RefusalCommand,
    code: ResultCode,
    version: int,
    detail: str,
) -> None:
    change_id = command.change_id if isinstance(command, RefusalCommand) else ""
    if isinstance(command, ChangeCommand):
        change_id = command.change.change_id
    entry = AuditEntry(
        time_ms=command.time_ms,
        operator=command.operator,
        change_id=change_id,
        code=code,
        version=version,
        detail=detail,
    )
    state.audit.append(entry)
    del state.audit[:-MAX_AUDIT_ENTRIES]


def deltas_after(state: ClusterState, version: int) -> list[Delta] | None:
    """Return the changes that bring a box from one version to the newest.

    Args:
        state: The state.
        version: Version that the box has in force.

    Returns:
        The deltas in order, or None if they are no longer kept.
    """
    current = state.configuration.version
    if version > current or current - version > len(state.deltas):
        return None
    if version == current:
        return []
    return state.deltas[-(current - version) :]


def apply_delta(configuration: Configuration, delta: Delta) -> Configuration | None:
    """Apply a delta to the configuration that a box has in force.

    Args:
        configuration: The configuration in force.
        delta: The next change.

    Returns:
        The next configuration, or None if the delta does not follow the version in force.
    """
    if delta.version != configuration.version + 1:
        return None
    return apply_objects(configuration, delta.change.put, delta.change.remove)
