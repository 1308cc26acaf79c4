"""Claims, which prevent a request that may run at most once from running twice.

A key carries its own time (version 7 UUID, RFC 9562). A claim is dropped only once its key is so
old that the table refuses the key by that time alone. Dropping a claim therefore never lets a
request run again, whatever the clocks of leaders do.
"""

from __future__ import annotations

import uuid
from typing import Final

import msgspec

from .commands import ClaimCommand, ClaimResult, ClaimVerdict, CompleteCommand, ReleaseCommand

CLAIM_WINDOW_MS: Final = 3_600_000
"""How long a claim is kept after the time that its key carries."""

CLOCK_SKEW_MS: Final = 60_000
"""How far in the future the time of a key may lie."""

BUCKET_MS: Final = 60_000
"""Granularity at which claims expire."""

CLAIM_LIMIT: Final = 100_000
"""Maximum number of claims."""

ANSWER_LIMIT: Final = 16 * 1024
"""Maximum length of a recorded answer, in bytes. Of a longer one only the status is used."""

ANSWERS_TOTAL_LIMIT: Final = 32 * 1024 * 1024
"""Maximum total length of the recorded answers, in bytes."""

UUID_VERSION: Final = 7


class Claim(msgspec.Struct, kw_only=True):
    """One claimed request."""

    body_digest: bytes
    """Digest of the request body."""

    attempt: str
    """The attempt that may dispatch."""

    deadline_ms: int
    """When the attempt has certainly finished, in milliseconds since 1970."""

    ended: bool = False
    """True once an outcome is recorded."""

    status: int = 0
    """HTTP status of the recorded answer; 0 if unknown."""

    content_type: str = ""
    """Content type of the recorded answer."""

    body: bytes = b""
    """The recorded answer."""


class ClaimTable(msgspec.Struct, kw_only=True):
    """All claims, by client account and key."""

    claims: dict[str, dict[str, Claim]] = msgspec.field(default_factory=dict)
    """Claims by client account, then by key."""

    buckets: dict[int, list[tuple[str, str]]] = msgspec.field(default_factory=dict)
    """Accounts and keys of the claims, by the time of the key rounded down to `BUCKET_MS`."""

    count: int = 0
    """Number of claims."""

    answer_bytes: int = 0
    """Total length of the recorded answers."""

    expired_before_ms: int = 0
    """Keys with an earlier time are refused, and there is no claim for them."""


def key_time_ms(key: str) -> int | None:
    """Return the time that an idempotency key carries.

    Args:
        key: Text of a UUID.

    Returns:
        Milliseconds since 1970, or None if the key is not a version 7 UUID.

    >>> key_time_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742000
    >>> key_time_ms("booking-17") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> 80


def canonical_key(key: str) -> str:
    """Return the canonical spelling of a key, under which its claim is stored."""
    return str(uuid.UUID(key))


def expire(table: ClaimTable, clock_ms: int) -> None:
    """Drop the claims whose keys are refused by their time from now on.

    Args:
        table: The table.
        clock_ms: Clock of the state machine, which never goes back.
    """
    limit = (clock_ms - CLAIM_WINDOW_MS) // BUCKET_MS * BUCKET_MS
    if limit <= table.expired_before_ms:
        return
    table.expired_before_ms = limit
    for bucket in [bucket for bucket in table.buckets if bucket < limit]:
        for account, key in table.buckets.pop(bucket):
            _drop_claim(table, account, key)


def _drop_claim(table: ClaimTable, account: str, key: str) -> None:
    keys = table.claims.get(account, {})
    claim = keys.pop(key, None)
    if claim is None:
        return
    table.count -= 1
    table.answer_bytes -= len(claim.body)
    if not keys:
        del table.claims[account]


def claim(table: ClaimTable, command: ClaimCommand, clock_ms: int) -> ClaimResult:
    """Grant a claim, or return the state of the existing one.

    Args:
        table: The table.
        command: The claim.
        clock_ms: Clock of the state machine.

    Returns:
        The verdict. The attempt that holds the claim gets the same grant again.
    """
    key_time = key_time_ms(command.key)
    if key_time is None or key_time > clock_ms + CLOCK_SKEW_MS:
        return ClaimResult(verdict=ClaimVerdict.FUTURE)
    if key_time < table.expired_before_ms:
        return ClaimResult(verdict=ClaimVerdict.EXPIRED)
    key = canonical_key(command.key)
    existing = table.claims.get(command.account, {}).get(key)
    if existing is not None:
        return _evaluate_existing(existing, command, clock_ms)
    if table.count >= CLAIM_LIMIT:
        return ClaimResult(verdict=ClaimVerdict.FULL)
    table.claims.setdefault(command.account, {})[key] = Claim(
        body_digest=command.body_digest,
        attempt=command.attempt,
        deadline_ms=command.deadline_ms,
    )
    bucket = key_time // BUCKET_MS * BUCKET_MS
    table.buckets.setdefault(bucket, []).append((command.account, key))
    table.count += 1
    return ClaimResult(verdict=ClaimVerdict.GRANTED)


def _evaluate_existing(existing: Claim, command: ClaimCommand, clock_ms: int) -> ClaimResult:
    if existing.body_digest != command.body_digest:
        return ClaimResult(verdict=ClaimVerdict.MISMATCH)
    if existing.ended and existing.status:
        return ClaimResult(
            verdict=ClaimVerdict.ANSWERED,
            status=existing.status,
            content_type=existing.content_type,
            body=existing.body,
        )
    if existing.ended:
        return ClaimResult(verdict=ClaimVerdict.UNKNOWN)
    if existing.attempt == command.attempt:
        return ClaimResult(verdict=ClaimVerdict.GRANTED)
    if clock_ms <= existing.deadline_ms:
        retry_ms = existing.deadline_ms - clock_ms
        return ClaimResult(verdict=ClaimVerdict.RUNNING, retry_ms=retry_ms)
    return ClaimResult(verdict=ClaimVerdict.UNKNOWN)


def complete(table: ClaimTable, command: CompleteCommand) -> bool:
    """Record the outcome of a claimed request.

    Args:
        table: The table.
        command: The outcome.

    Returns:
        False if the attempt does not hold the claim, or an outcome is already recorded.
    """
    existing = _find_claim(table, command.account, command.key, command.attempt)
    if existing is None or existing.ended:
        return False
    existing.ended = True
    existing.status = command.status
    existing.content_type = command.content_type
    fits = len(command.body) <= ANSWER_LIMIT
    if fits and table.answer_bytes + len(command.body) <= ANSWERS_TOTAL_LIMIT:
        existing.body = command.body
        table.answer_bytes += len(command.body)
    elif command.body:
        # The request ran, but its answer is not kept and can't be replayed.
        existing.status = 0
    return True


def release(table: ClaimTable, command: ReleaseCommand) -> bool:
    """Release a claim whose request was certainly not run.

    Args:
        table: The table.
        command: The claim and the attempt that holds it.

    Returns:
        False if the attempt does not hold the claim, or its outcome is recorded.
    """
    existing = _find_claim(table, command.account, command.key, command.attempt)
    if existing is None or existing.ended:
        return False
    key = canonical_key(command.key)
    _drop_claim(table, command.account, key)
    key_time = key_time_ms(key) or 0
    bucket = table.buckets.get(key_time // BUCKET_MS * BUCKET_MS, [])
    if (command.account, key) in bucket:
        bucket.remove((command.account, key))
    return True


def _find_claim(table: ClaimTable, account: str, key: str, attempt: str) -> Claim | None:
    if key_time_ms(key) is None:
        return None
    existing = table.claims.get(account, {}).get(canonical_key(key))
    if existing is None or existing.attempt != attempt:
        return None
    return existing
