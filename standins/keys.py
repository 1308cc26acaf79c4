"""Idempotency keys: version 7 UUIDs (RFC 9562), which the standard library does not make yet."""

from __future__ import annotations

import secrets
import time
import uuid


def new_key(at_ms: int | None = None) -> str:
    """Return a new key that carries a time, by default now."""
    milliseconds = time.time_ns() // 1_000_000 if at_ms is None else at_ms
    value = milliseconds << 80 | 7 << 76 | secrets.randbits(12) << 64
    value |= 0b10 << 62 | secrets.randbits(62)
    return str(uuid.UUID(int=value))
